//! Ends of answers that have neither a length nor chunks.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_policy::placement::WorkerKey;
use tokio::time::{Instant, sleep};

use crate::{
    backends::{Backend, ListenerState, listener_state},
    clock,
    crashes::observe::COLLECTING_TIME,
    gateway::Gateway,
};

/// How long after its last answer the record of a server that leaves in order may take to be removed, as far as this
/// node knows. The record of a server that ends otherwise expires after some seconds.
pub const REMOVAL_TIME: Duration = Duration::from_millis(1_000);
/// How long before the end of an answer the removal of a record that follows it may be known: the two come on
/// different connections.
const MAX_REMOVAL_LEAD: Duration = Duration::from_millis(200);
/// The interval of checks whether a record was removed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An `UnmarkedEnd` is what the end of a connection says of an answer that has no other mark of its end.
#[derive(Clone, Copy)]
pub enum UnmarkedEnd<'a> {
    /// The server lives on, so it has closed the connection after the whole answer.
    Whole,
    /// The server is gone, or out of reach. The answer is whole if it left in order.
    Unproven(Departure<'a>),
    /// The server has crashed, and may have cut the answer off.
    Crashed,
}

/// A `Departure` is the end of a server that may have left in order.
#[derive(Clone, Copy)]
pub struct Departure<'a> {
    gateway: &'a Gateway,
    name: &'a str,
    address: SocketAddr,
    ended_at: Stamp,
}

/// Returns what is known of an answer whose connection was closed by the named server at an address.
pub async fn unmarked_end<'a>(
    gateway: &'a Gateway,
    (key, name): (WorkerKey, &'a str),
    address: SocketAddr,
) -> UnmarkedEnd<'a> {
    let ended_at = clock::now();
    let accepted_work =
        gateway.with(|state| state.backends.get(key).is_some_and(Backend::accepts_work));
    // The listener of a process that ends may be closed after its connections.
    sleep(COLLECTING_TIME).await;
    let listener = listener_state(address).await;
    // A later start under the same name may listen at the same address.
    let is_replaced =
        gateway.with(|state| state.backends.key_of(name).is_some_and(|known| known != key));
    match listener {
        ListenerState::Accepting if !is_replaced => UnmarkedEnd::Whole,
        ListenerState::Refusing if accepted_work => UnmarkedEnd::Crashed,
        _ => UnmarkedEnd::Unproven(Departure { gateway, name, address, ended_at }),
    }
}

impl Departure<'_> {
    /// Returns whether the server removes its record within a time, as one that leaves in order.
    pub async fn is_in_order(self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        loop {
            if self.has_left() {
                return true;
            }
            if until <= Instant::now() {
                return false;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    // The removal may be known before the end of the answer.
    fn has_left(&self) -> bool {
        let left_at = self.gateway.with(|state| state.backends.left_at(self.name, self.address));
        left_at.is_some_and(|left_at| self.ended_at.since(left_at) < MAX_REMOVAL_LEAD)
    }
}
