//! The gossip that nodes exchange about members.

use bulrushhall_core::{Incarnation, NodeName, ZoneName};
use serde::{Deserialize, Serialize};

/// A `Condition` is the state of an incarnation of a node; it only advances.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Condition {
    /// It accepts new work.
    #[default]
    #[serde(rename = "a")]
    Alive,
    /// It accepts no new work for the rest of this incarnation.
    #[serde(rename = "l")]
    Leaving,
    /// It was removed after the heartbeat timeout; a heartbeat with a newer record refutes that.
    #[serde(rename = "g")]
    Dead,
}

/// A `Record` is what one incarnation of a node, its author, advertises about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<V> {
    /// The node.
    #[serde(rename = "n")]
    pub node: NodeName,
    /// The availability zone of its VM.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The incarnation of its process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The count of the author's changes; the highest wins.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// The state of the incarnation.
    #[serde(rename = "c")]
    pub condition: Condition,
    /// The rest of what the node advertises.
    #[serde(rename = "v")]
    pub value: V,
}

/// A `Heartbeat` is the heartbeat of one incarnation with the version of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Incarnation, u64, u64)", into = "(Incarnation, u64, u64)")]
pub struct Heartbeat {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of its record.
    pub sequence: u64,
    /// The count of its rounds; 0 if only the version of the record is listed.
    pub beat: u64,
}

/// A `ZoneSummary` is the heartbeat of a whole availability zone and a hash of its records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ZoneName, u64, u32)", into = "(ZoneName, u64, u32)")]
pub struct ZoneSummary {
    /// The availability zone.
    pub zone: ZoneName,
    /// A count that rises while messages from the zone are received.
    pub beat: u64,
    /// The hash of the versions of all records of the zone.
    pub hash: u32,
}

/// A `Gossip` is one membership message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(serialize = "V: Serialize", deserialize = "V: serde::de::DeserializeOwned"))]
pub struct Gossip<V> {
    /// Records that may be new to the receiver.
    #[serde(rename = "r", default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record<V>>,
    /// Heartbeats.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub beats: Vec<Heartbeat>,
    /// Summaries of availability zones.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneSummary>,
    /// The incarnations whose records the sender requests.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub want: Vec<Incarnation>,
    /// Whether the sender has just started and requests all records.
    #[serde(rename = "j", default, skip_serializing_if = "is_false")]
    pub joins: bool,
    /// The availability zones whose record versions the sender requests.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lists: Vec<ZoneName>,
}

impl<V> Record<V> {
    /// Returns the key that orders the states of one incarnation.
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
    /// Returns whether the message has no content.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
            && self.beats.is_empty()
            && self.zones.is_empty()
            && self.want.is_empty()
            && self.lists.is_empty()
    }
}

impl From<(Incarnation, u64, u64)> for Heartbeat {
    fn from((incarnation, sequence, beat): (Incarnation, u64, u64)) -> Heartbeat {
        Heartbeat { incarnation, sequence, beat }
    }
}

impl From<Heartbeat> for (Incarnation, u64, u64) {
    fn from(heartbeat: Heartbeat) -> Self {
        (heartbeat.incarnation, heartbeat.sequence, heartbeat.beat)
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
