//! What nodes tell each other about members.

use bulrushhall_core::{Incarnation, NodeName, ZoneName};
use serde::{Deserialize, Serialize};

/// A `Condition` is how a life of a node stands; it never goes back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Condition {
    /// It takes new work.
    #[default]
    #[serde(rename = "a")]
    Alive,
    /// It takes no new work any more, for the rest of this life.
    #[serde(rename = "l")]
    Leaving,
    /// Others have heard nothing of it for long; a heartbeat with a newer record corrects them.
    #[serde(rename = "g")]
    Gone,
}

/// A `Record` is what the author, one life of a node, last said of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<V> {
    /// The node.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// The availability zone of its VM.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The life of its process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The count of the author's changes; the highest holds.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// How it stands.
    #[serde(rename = "c")]
    pub condition: Condition,
    /// What else others shall know.
    #[serde(rename = "v")]
    pub value: V,
}

/// A `Beat` is one life's heartbeat and the version of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Incarnation, u64, u64)", into = "(Incarnation, u64, u64)")]
pub struct Beat {
    /// The life.
    pub incarnation: Incarnation,
    /// The sequence number of its record.
    pub sequence: u64,
    /// The count of its rounds; 0 tells of the record alone.
    pub beat: u64,
}

/// A `ZoneSummary` tells of a whole availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ZoneName, u64, u32)", into = "(ZoneName, u64, u32)")]
pub struct ZoneSummary {
    /// The availability zone.
    pub zone: ZoneName,
    /// A count that rises while the zone is heard of.
    pub beat: u64,
    /// A hash of the versions of all records of the zone.
    pub hash: u32,
}

/// A `Gossip` is one message about members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(serialize = "V: Serialize", deserialize = "V: serde::de::DeserializeOwned"))]
pub struct Gossip<V> {
    /// Records that may be new to the receiver.
    #[serde(rename = "r", default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record<V>>,
    /// Heartbeats.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub beats: Vec<Beat>,
    /// Summaries of availability zones.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneSummary>,
    /// Lives whose records the sender lacks.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub want: Vec<Incarnation>,
    /// Whether the sender has just started and asks for everything.
    #[serde(rename = "j", default, skip_serializing_if = "is_false")]
    pub joins: bool,
    /// Availability zones whose versions the sender wants listed.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lists: Vec<ZoneName>,
}

impl<V> Record<V> {
    /// Returns what orders the states of one life.
    pub fn rank(&self) -> (u64, Condition) {
        (self.sequence, self.condition)
    }
}

impl<V> Default for Gossip<V> {
    fn default() -> Self {
        Gossip {
            records: Vec::new(),
            beats: Vec::new(),
            zones: Vec::new(),
            want: Vec::new(),
            joins: false,
            lists: Vec::new(),
        }
    }
}

impl<V> Gossip<V> {
    /// Returns whether the message says nothing.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
            && self.beats.is_empty()
            && self.zones.is_empty()
            && self.want.is_empty()
            && self.lists.is_empty()
    }
}

impl From<(Incarnation, u64, u64)> for Beat {
    fn from((incarnation, sequence, beat): (Incarnation, u64, u64)) -> Beat {
        Beat { incarnation, sequence, beat }
    }
}

impl From<Beat> for (Incarnation, u64, u64) {
    fn from(beat: Beat) -> Self {
        (beat.incarnation, beat.sequence, beat.beat)
    }
}

impl From<(ZoneName, u64, u32)> for ZoneSummary {
    fn from((zone, beat, hash): (ZoneName, u64, u32)) -> ZoneSummary {
        ZoneSummary { zone, beat, hash }
    }
}

impl From<ZoneSummary> for (ZoneName, u64, u32) {
    fn from(summary: ZoneSummary) -> Self {
        (summary.zone, summary.beat, summary.hash)
    }
}

fn is_false(value: &bool) -> bool {
    !value
}
