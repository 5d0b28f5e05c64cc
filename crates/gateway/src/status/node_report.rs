//! The answer of a node that serves routes to an operator who asks for its status.

use bulrushhall_core::{NodeName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    clock,
    gateway::{Gateway, Phase},
    reachability::is_isolated,
    status::RouteStatus,
};

/// The maximum number of other nodes that are listed.
const MAX_MEMBERS: usize = 512;

/// A `NodeReport` is the status of a node that serves routes, with the fields that other nodes report on their operators' port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The incarnation of its process.
    pub incarnation: String,
    /// The configuration revision in force; 0 before it knows any.
    pub revision: Revision,
    /// The highest revision that it knows of.
    pub highest_revision: Revision,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// Whether it has lost its way to servers of all services.
    pub isolated: bool,
    /// The number of requests in flight at servers.
    pub unfinished: usize,
    /// Always none: these nodes do not count recomputed tokens.
    pub recomputed_tokens: Option<u64>,
    /// The other nodes that it considers alive.
    pub members: Vec<MemberReport>,
    /// Always empty: the servers are in `routes`.
    pub backends: Vec<()>,
    /// Always empty: the queues are in `routes`.
    pub queues: Vec<()>,
    /// Always empty: routes have no classes.
    pub classes: Vec<()>,
    /// Its queues, teams and servers.
    pub routes: RouteStatus,
}

/// A `MemberReport` is another node, as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it refuses new work.
    pub leaving: bool,
}

impl NodeReport {
    /// Returns the node's current status.
    pub fn of(gateway: &Gateway) -> NodeReport {
        let now = clock::now();
        let revision = gateway.revision();
        let (highest_revision, members, unfinished, isolated) = gateway.with(|state| {
            let mut members = Vec::new();
            for (name, member) in state.members.iter() {
                if MAX_MEMBERS <= members.len() || !member.is_live(now) {
                    continue;
                }
                members.push(MemberReport {
                    node: name.clone(),
                    zone: member.record.zone.clone(),
                    leaving: !member.ready,
                });
            }
            let requests = state.backends.iter().map(|(_, backend)| backend.own.requests as usize);
            let lost = state.reachability.lost_services();
            let newest = state.catch_up.newest(revision);
            (newest, members, requests.sum(), is_isolated(state, lost))
        });
        NodeReport {
            node: gateway.settings.gateway.name.clone(),
            zone: gateway.settings.gateway.zone.clone(),
            incarnation: gateway.incarnation.to_string(),
            revision,
            highest_revision,
            leaving: gateway.phase() != Phase::Serving,
            isolated,
            unfinished,
            recomputed_tokens: None,
            members,
            backends: Vec::new(),
            queues: Vec::new(),
            classes: Vec::new(),
            routes: RouteStatus::of(gateway, now),
        }
    }
}
