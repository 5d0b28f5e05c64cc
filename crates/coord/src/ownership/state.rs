//! The state of one request at one node.

use bulrushhall_core::{Incarnation, Stamp};
use bytes::Bytes;

use super::message::Version;

/// A `State` is what a node knows about one request.
#[derive(Debug)]
pub(super) enum State {
    /// This node owns the request.
    Owned(Box<Owned>),
    /// This node holds a copy of the request.
    Held(Held),
    /// The request has moved to another node or has ended.
    Tombstone(Tombstone),
}

/// An `Owned` request is run by this node.
#[derive(Debug)]
pub(super) struct Owned {
    pub(super) version: Version,
    pub(super) body: Bytes,
    pub(super) tokens: Vec<String>,
    /// The software version of the engine that produced the first token.
    pub(super) origin: Option<String>,
    pub(super) end: Option<Bytes>,
    /// The number of tokens that readers have been shown.
    pub(super) released: usize,
    pub(super) stage: Stage,
    pub(super) holder: Option<Holder>,
    /// A leaving holder that keeps its copy of this version until the present holder has its own.
    pub(super) leaving_holder: Option<(Incarnation, Version)>,
    /// The peers that are not chosen as holder again for now.
    pub(super) failed_holders: Vec<Incarnation>,
    /// Since when no peer has been available as holder; none while there is a holder.
    pub(super) without_holder_since: Option<Stamp>,
    /// Whether readers are shown tokens that no other node has.
    pub(super) release_uncopied: bool,
    pub(super) owned_since: Stamp,
    pub(super) handover: Option<Handover>,
    /// The owner before this node, if the request was handed over or taken over.
    pub(super) previous_owner: Option<Incarnation>,
    /// The number of claims that are still to be sent.
    pub(super) claims_left: u8,
    /// When the last claim was sent; zero before the first.
    pub(super) last_claim: Stamp,
}

/// A `Stage` states whether an owned request has been copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The first copy has not been acknowledged yet.
    Copying,
    /// A peer has a copy, or the owner continues without one.
    Settled,
}

/// A `Holder` is the peer that holds or receives the copy of an owned request.
#[derive(Debug)]
pub(super) struct Holder {
    pub(super) peer: Incarnation,
    pub(super) has_copy: bool,
    /// The number of tokens that it has acknowledged.
    pub(super) acked: usize,
    /// When the unacknowledged message was sent, if there is one.
    pub(super) in_flight_since: Option<Stamp>,
    /// Since when an acknowledgement has been awaited.
    pub(super) awaiting_since: Option<Stamp>,
    pub(super) last_sent: Stamp,
    /// The number of consecutive messages that could not be delivered to it.
    pub(super) undelivered: u8,
}

/// A `Handover` is the offer of an owned request to a peer.
#[derive(Debug)]
pub(super) struct Handover {
    pub(super) version: Version,
    pub(super) started_at: Stamp,
    pub(super) last_sent: Stamp,
    /// The number of consecutive offers that could not be delivered to the peer.
    pub(super) undelivered: u8,
}

/// A `Held` request is copied here for its owner.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) version: Version,
    pub(super) body: Bytes,
    pub(super) tokens: Vec<String>,
    /// The software version of the engine that produced the first token.
    pub(super) origin: Option<String>,
    pub(super) last_received: Stamp,
    /// Since when the owner has been absent from the membership.
    pub(super) owner_missing_since: Option<Stamp>,
    /// The peer that the copy was passed on to, and when.
    pub(super) passed_to: Option<(Incarnation, Stamp)>,
}

/// A `Tombstone` remembers a request that is no longer owned or held here.
#[derive(Debug)]
pub(super) struct Tombstone {
    pub(super) version: Version,
    /// The number of tokens of the response, if it ended here.
    pub(super) final_tokens: Option<usize>,
    /// The peer that the copy was passed on to, if it was.
    pub(super) passed_to: Option<Incarnation>,
    pub(super) created_at: Stamp,
}

impl State {
    pub(super) fn version(&self) -> Version {
        match self {
            State::Owned(owned) => owned.version,
            State::Held(held) => held.version,
            State::Tombstone(tombstone) => tombstone.version,
        }
    }
}

impl Holder {
    pub(super) fn new(peer: Incarnation) -> Holder {
        Holder {
            peer,
            has_copy: false,
            acked: 0,
            in_flight_since: None,
            awaiting_since: None,
            last_sent: Stamp(0),
            undelivered: 0,
        }
    }
}
