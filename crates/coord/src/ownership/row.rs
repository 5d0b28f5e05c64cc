//! What a node knows of one request.

use bulrushhall_core::{Incarnation, Stamp};
use bytes::Bytes;

use super::message::Version;

/// A `Row` is what a node knows of one request.
#[derive(Debug)]
pub(super) enum Row {
    /// This node owns it.
    Owned(Box<Owned>),
    /// This node holds a copy.
    Held(Held),
    /// It went elsewhere, or ended.
    Gone(Gone),
}

/// An `Owned` request is run by this node.
#[derive(Debug)]
pub(super) struct Owned {
    pub(super) version: Version,
    pub(super) body: Bytes,
    pub(super) tokens: Vec<String>,
    pub(super) end: Option<Bytes>,
    pub(super) released: usize,
    pub(super) stage: Stage,
    pub(super) holder: Option<Holder>,
    /// A leaving holder that keeps its copy of this version until the present one has its own.
    pub(super) former: Option<(Incarnation, Version)>,
    pub(super) failed: Vec<Incarnation>,
    /// Since when no holder could be had; none while there is one.
    pub(super) alone: Option<Stamp>,
    /// Whether readers are shown tokens that no other node has.
    pub(super) unprotected: bool,
    pub(super) since: Stamp,
    pub(super) handing: Option<Handing>,
    /// Whom the request came from, when it was offered or taken over.
    pub(super) before: Option<Incarnation>,
    pub(super) claims: u8,
    pub(super) claimed_at: Stamp,
}

/// A `Stage` tells whether an owned request has been copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// A first copy is awaited.
    Copying,
    /// A peer has it, or no peer is there to have it.
    Settled,
}

/// A `Holder` is the peer that has or gets the copy of an owned request.
#[derive(Debug)]
pub(super) struct Holder {
    pub(super) peer: Incarnation,
    pub(super) has: bool,
    pub(super) acked: usize,
    pub(super) in_flight: Option<Stamp>,
    /// Since when an answer has been awaited.
    pub(super) silent: Option<Stamp>,
    pub(super) last_sent: Stamp,
    /// The messages in a row that it did not get.
    pub(super) undelivered: u8,
}

/// A `Handing` is an owned request that has been offered to a peer.
#[derive(Debug)]
pub(super) struct Handing {
    pub(super) version: Version,
    pub(super) first: Stamp,
    pub(super) sent: Stamp,
    /// The offers in a row that the peer did not get.
    pub(super) undelivered: u8,
}

/// A `Held` request is copied here.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) version: Version,
    pub(super) body: Bytes,
    pub(super) tokens: Vec<String>,
    pub(super) heard: Stamp,
    pub(super) missing_since: Option<Stamp>,
    /// The peer that the copy was passed on to, and when.
    pub(super) passed: Option<(Incarnation, Stamp)>,
}

/// A `Gone` request is neither owned nor held here any more.
#[derive(Debug)]
pub(super) struct Gone {
    pub(super) version: Version,
    /// The number of tokens of the ended answer, where it ended.
    pub(super) ended: Option<usize>,
    /// The peer that its copy was passed on to, where that is why it is gone.
    pub(super) passed: Option<Incarnation>,
    pub(super) at: Stamp,
}

impl Row {
    pub(super) fn version(&self) -> Version {
        match self {
            Row::Owned(owned) => owned.version,
            Row::Held(held) => held.version,
            Row::Gone(gone) => gone.version,
        }
    }
}

impl Holder {
    pub(super) fn new(peer: Incarnation) -> Holder {
        Holder {
            peer,
            has: false,
            acked: 0,
            in_flight: None,
            silent: None,
            last_sent: Stamp(0),
            undelivered: 0,
        }
    }
}
