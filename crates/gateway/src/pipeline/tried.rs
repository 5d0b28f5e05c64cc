//! The backend servers that a request was sent to.

use bulrushhall_core::NodeName;
use bulrushhall_policy::placement::WorkerKey;

use crate::pipeline::placement::Way;

/// `TriedServers` are the backend servers that a request does not go to again.
#[derive(Clone, Debug, Default)]
pub struct TriedServers {
    /// The servers that may have received the request.
    sent: Vec<WorkerKey>,
    /// The servers to which this node could not open a connection; another node may reach them.
    unopened: Vec<WorkerKey>,
    /// The nodes that had no room for the request at a server.
    full: Vec<(WorkerKey, NodeName)>,
}

impl TriedServers {
    /// Notes that the request is sent to a server.
    pub fn note(&mut self, key: WorkerKey) {
        self.sent.push(key);
    }

    /// Notes that this node could not open a connection to a server that was noted.
    pub fn note_unopened(&mut self, key: WorkerKey) {
        self.forget(key);
        self.unopened.push(key);
    }

    /// Notes that a node had no room at a server that was noted, to which another node may carry the request.
    pub fn note_full(&mut self, key: WorkerKey, node: NodeName) {
        self.forget(key);
        self.full.push((key, node));
    }

    fn forget(&mut self, key: WorkerKey) {
        self.sent.retain(|sent| *sent != key);
    }

    /// Returns the number of times that a node had no room.
    pub fn full_count(&self) -> usize {
        self.full.len()
    }

    /// Returns whether some node had no room at a server.
    pub fn was_full(&self, server: WorkerKey) -> bool {
        self.full.iter().any(|(key, _)| *key == server)
    }

    /// Returns whether a node had no room at a server.
    pub fn is_full(&self, server: WorkerKey, node: &NodeName) -> bool {
        self.full.iter().any(|(key, name)| *key == server && name == node)
    }

    /// Returns whether no server was tried yet.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty() && self.unopened.is_empty()
    }

    /// Returns whether the request may go to a server on a way.
    pub fn allows(&self, key: WorkerKey, way: Way) -> bool {
        let is_unopened = way == Way::Own && self.unopened.contains(&key);
        !is_unopened && !self.sent.contains(&key)
    }
}
