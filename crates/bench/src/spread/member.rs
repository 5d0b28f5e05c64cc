//! A simulated member of a cluster, and the size of its messages.

use std::time::Duration;

use bulrushhall_coord::{Condition, Gossip, Membership, MembershipOptions, Record};
use bulrushhall_core::{Incarnation, NodeName, Revision, Stamp, VmName, ZoneName};
use bulrushhall_daemon::{
    members::Member,
    peers::{Envelope, GossipMessage, Sender},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The bytes of the head of an HTTP request: method, path, host and content length.
const REQUEST_HEAD_BYTES: u64 = 70;
/// The bytes of the head of an HTTP response: status, content length and date.
const REPLY_HEAD_BYTES: u64 = 76;

/// A `Traffic` is the number of messages and bytes that a member sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The messages that it sent, replies excluded.
    pub messages: u64,
    /// The bytes of messages and replies that it sent, heads included.
    pub sent: u64,
    /// The bytes of messages and replies that it received, heads included.
    pub received: u64,
}

/// A `SimMember` is one incarnation of a member of a cluster.
pub(crate) struct SimMember {
    pub(crate) membership: Membership<Member>,
    pub(crate) random: Pcg64Mcg,
    pub(crate) sender: Sender,
    pub(crate) zone: usize,
    pub(crate) instance: usize,
    pub(crate) alive: bool,
    pub(crate) paused_until: Stamp,
    pub(crate) traffic: Traffic,
    pub(crate) processor_time: Duration,
}

/// Returns the bytes of a message on the wire.
pub fn message_bytes(from: &Sender, to: Incarnation, gossip: &Gossip<Member>) -> u64 {
    let body = GossipMessage { gossip: gossip.clone() };
    REQUEST_HEAD_BYTES + encoded_len(&Envelope { from: from.clone(), to: Some(to), body })
}

/// Returns the bytes of a reply on the wire.
pub fn reply_bytes(from: &Sender, replies: &[Gossip<Member>]) -> u64 {
    REPLY_HEAD_BYTES
        + encoded_len(&Envelope { from: from.clone(), to: None, body: replies.to_vec() })
}

impl SimMember {
    pub(crate) fn new(
        index: usize,
        instance: usize,
        zone: usize,
        now: Stamp,
        options: MembershipOptions,
        seed: u64,
    ) -> SimMember {
        let number = instance as u64 + 1;
        let incarnation = Incarnation(0x6_4000_0000_0000 + number * 1_000_003);
        let own = member(index, zone, incarnation);
        let record = Record {
            node: own.node.clone(),
            zone: own.zone.clone(),
            incarnation,
            sequence: 0,
            condition: Condition::Alive,
            value: own.clone(),
        };
        SimMember {
            membership: Membership::new(now, record, options),
            random: Pcg64Mcg::seed_from_u64(seed ^ (number << 20)),
            sender: Sender { node: own.node, incarnation, revision: Revision(0) },
            zone,
            instance,
            alive: true,
            paused_until: Stamp(0),
            traffic: Traffic::default(),
            processor_time: Duration::ZERO,
        }
    }
}

fn member(index: usize, zone: usize, incarnation: Incarnation) -> Member {
    let port = u16::try_from(10_000 + index).unwrap_or_default();
    Member {
        node: valid(NodeName::new(format!("entry-{index}"))),
        incarnation,
        vm: valid(VmName::new(format!("vm-entry-{index}"))),
        zone: valid(ZoneName::new(format!("zone-{zone}"))),
        callers: ([10, 0, 0, 1], port).into(),
        peers: ([10, 0, 0, 2], port).into(),
        leaving: false,
        capacity: 8,
        suspected: false,
    }
}

fn valid<T>(name: bulrushhall_core::Result<T>) -> T {
    name.unwrap_or_else(|_| unreachable!("a valid name"))
}

fn encoded_len(value: &impl serde::Serialize) -> u64 {
    rmp_serde::to_vec_named(value).map_or(0, |bytes| bytes.len() as u64)
}
