//! The status of a node, for operators.

use bulrushhall_core::{ClassName, NodeName, Revision, ServiceName, VmName, ZoneName};
use bulrushhall_gateway::status::RouteStatus;
use serde::{Deserialize, Serialize};

use crate::{
    context::Context,
    dispatcher::{QueueDepth, Queues},
    meters::Metric,
};

/// A `NodeStatus` is the status of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The incarnation of its process.
    pub incarnation: String,
    /// The configuration revision that it has in force; 0 before it knows any.
    pub revision: Revision,
    /// The highest revision that any message reported.
    pub highest_revision: Revision,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// Whether it has contact neither with the key-value service nor with another node.
    pub isolated: bool,
    /// The number of model requests that it has accepted and not finished.
    pub unfinished: usize,
    /// The number of tokens that were recomputed because an engine or a request's placement was lost; none if it is not
    /// counted.
    pub recomputed_tokens: Option<u64>,
    /// The other nodes that it considers alive.
    pub members: Vec<MemberStatus>,
    /// The backend servers that it knows.
    pub backends: Vec<BackendStatus>,
    /// The queues of the services that run models.
    pub queues: Vec<QueueDepth>,
    /// The request classes in force.
    pub classes: Vec<ClassStatus>,
    /// The queues, teams and servers of a node that serves routes; none at other nodes and at those of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routes: Option<RouteStatus>,
}

/// A `MemberStatus` is another node, as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it refuses new work.
    pub leaving: bool,
}

/// A `BackendStatus` is a backend server, as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The VM that it runs on.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
}

/// A `ClassStatus` is a request class in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// The class.
    pub name: ClassName,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The time within which the answer has to be complete.
    pub deadline: String,
}

impl NodeStatus {
    /// Returns the node's current status.
    pub async fn of(cx: &Context) -> NodeStatus {
        // If the actor has ended, the node is stopping and its queues no longer exist.
        let queues = cx.dispatcher.send(Queues).await.unwrap_or_default();
        let in_force = cx.in_force();
        let node = &cx.settings.node;
        let mut members = Vec::new();
        for member in cx.members.current().iter() {
            members.push(MemberStatus {
                node: member.node.clone(),
                zone: member.zone.clone(),
                leaving: member.leaving,
            });
        }
        let mut backends = Vec::new();
        for service in in_force.deployment.services.keys() {
            for (_, backend) in cx.backends.of(service) {
                let (vm, zone) = (backend.vm, backend.zone);
                backends.push(BackendStatus { service: service.clone(), vm, zone });
            }
        }
        backends.sort();
        let mut classes = Vec::new();
        for (name, cfg) in &in_force.deployment.classes {
            let deadline = cfg.deadline.to_string();
            classes.push(ClassStatus { name: name.clone(), priority: cfg.priority, deadline });
        }
        NodeStatus {
            node: node.name.clone(),
            zone: node.zone.clone(),
            incarnation: cx.incarnation.to_string(),
            revision: in_force.revision,
            highest_revision: (*cx.highest_revision.borrow()).max(in_force.revision),
            leaving: cx.is_leaving(),
            isolated: cx.is_isolated(),
            unfinished: cx.answers.unfinished(),
            recomputed_tokens: Some(cx.meters.total(Metric::RecomputedTokens)),
            members,
            backends,
            queues,
            classes,
            routes: None,
        }
    }

    /// Returns the node's state in a word for people.
    pub fn state(&self) -> &'static str {
        if self.leaving {
            return "leaving";
        }
        if self.isolated {
            return "isolated";
        }
        if self.revision == Revision(0) {
            return "unconfigured";
        }
        if self.revision < self.highest_revision {
            return "behind";
        }
        "serving"
    }
}
