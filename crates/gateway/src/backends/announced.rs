//! What a backend server has announced in its responses.

use std::time::Duration;

use bulrushhall_core::{Incarnation, Stamp, bounded_seconds};
use bulrushhall_external::service::MAX_REST;
use bulrushhall_policy::server_limit::{LimitBucket, LimitPart, ServerLimitOptions};
use serde::{Deserialize, Serialize};

/// How long a changed limit is reported in each digest: several may be lost.
const CHANGE_REPORTED_FOR: Duration = Duration::from_secs(2);
/// The gossip rounds between two later reports of a limit that is in force. All servers of a large service may have
/// one, and its users state it in each response anyway.
const REPORT_INTERVAL: u64 = 32;

/// An `Announced` is what one incarnation of a backend server has announced about the requests that it accepts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Announced {
    leaving: bool,
    rests_until: Option<Stamp>,
    limit: Option<LimitNote>,
    limit_changed_at: Stamp,
    part: LimitPart,
    bucket: LimitBucket,
}

/// A `LimitNote` is one statement of a backend server about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNote {
    /// The requests per second that it accepts from all nodes together; none if it lifted its limit.
    pub per_second: Option<f64>,
    /// When it said so.
    pub at: Stamp,
    /// The node that received the response.
    pub author: Incarnation,
    /// The number of the response among those of the node.
    pub number: u64,
}

impl LimitNote {
    // The ages in gossip lack the transfer times, so notes of one node are ordered by their numbers.
    fn is_after(&self, other: &LimitNote) -> bool {
        if self.author == other.author { other.number < self.number } else { other.at < self.at }
    }
}

/// A `LimitReport` is a statement of a backend server about its limit, for other nodes.
///
/// It is encoded without field names, which would otherwise be repeated for each backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "(String, Option<u64>, Option<f64>, u64, Incarnation, u64)")]
pub struct LimitReport {
    /// The backend server.
    pub backend: String,
    /// Its start time.
    pub born: Option<u64>,
    /// The requests per second that it accepts from all nodes together; none if it lifted its limit.
    pub per_second: Option<f64>,
    /// The time since it said so, in milliseconds.
    pub age_ms: u64,
    /// The node that received the response.
    pub author: Incarnation,
    /// The number of the response among those of the node.
    pub number: u64,
}

impl From<LimitReport> for (String, Option<u64>, Option<f64>, u64, Incarnation, u64) {
    fn from(report: LimitReport) -> Self {
        let LimitReport { backend, born, per_second, age_ms, author, number } = report;
        (backend, born, per_second, age_ms, author, number)
    }
}

impl Announced {
    /// Returns whether it has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Notes that it has said that it is leaving; returns whether that was unknown.
    pub fn note_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Notes that it wants no requests from this node for a time; returns whether it was not resting.
    pub fn note_rest(&mut self, now: Stamp, rest: Duration) -> bool {
        let was_resting = self.is_resting(now);
        self.rests_until = self.rests_until.max(Some(now + rest.min(MAX_REST)));
        !was_resting
    }

    /// Returns whether it wants no requests from this node now.
    pub fn is_resting(&self, now: Stamp) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Returns its limit in requests per second, if it has one.
    pub fn limit(&self) -> Option<f64> {
        self.limit.and_then(|note| note.per_second)
    }

    /// Returns when it stated its limit, if it has one.
    pub fn limit_stated_at(&self) -> Option<Stamp> {
        self.limit.filter(|note| note.per_second.is_some()).map(|note| note.at)
    }

    /// Returns the last statement about its limit if it is reported to other nodes in a gossip round.
    ///
    /// A server has its turn in rounds that follow from its hash `identity`.
    pub fn reported_limit(&self, now: Stamp, identity: u64, round: u64) -> Option<LimitNote> {
        let is_new = now.since(self.limit_changed_at) < CHANGE_REPORTED_FOR;
        let has_turn = identity % REPORT_INTERVAL == round % REPORT_INTERVAL;
        self.limit.filter(|note| is_new || (has_turn && note.per_second.is_some()))
    }

    /// Notes a statement about its limit; returns whether the limit has changed.
    pub fn note_limit(&mut self, now: Stamp, note: LimitNote) -> bool {
        if self.limit.is_none() && note.per_second.is_none() {
            return false;
        }
        if self.limit.is_some_and(|known| !note.is_after(&known)) {
            return false;
        }
        let before = self.limit();
        if before.is_none() {
            self.bucket = LimitBucket::with_one_request(now);
        }
        self.limit = Some(note);
        let has_changed = before != note.per_second;
        if has_changed {
            self.limit_changed_at = now;
        }
        has_changed
    }

    /// Sets this node's part of the limit.
    pub fn set_part(&mut self, part: LimitPart) {
        self.part = part;
    }

    /// Returns whether a request may be sent to it now.
    pub fn accepts_request(&self, now: Stamp) -> bool {
        self.wait(now) == Some(Duration::ZERO)
    }

    /// Returns the time until this node may send it a request; none if this node has no part of its limit.
    pub fn wait(&self, now: Stamp) -> Option<Duration> {
        let rest = self.rests_until.map_or(Duration::ZERO, |until| until.since(now));
        match self.limit() {
            Some(_) => Some(rest.max(self.bucket.wait(now, self.part)?)),
            None => Some(rest),
        }
    }

    /// Returns the time until some node may send it a request, as far as is known: the rest that it wants from
    /// this node, or until its limit allows one.
    pub fn wait_anywhere(&self, now: Stamp) -> Duration {
        let rest = self.rests_until.map_or(Duration::ZERO, |until| until.since(now));
        let Some(per_second) = self.limit() else { return rest };
        let per_second = per_second.max(ServerLimitOptions::default().min_per_second);
        let between = bounded_seconds(1.0 / per_second);
        rest.max(self.bucket.wait(now, self.part).unwrap_or(between).min(between))
    }

    /// Notes a request that is about to be sent to it.
    pub fn take_request(&mut self, now: Stamp) {
        if self.limit().is_some() {
            self.bucket.take(now, self.part);
        }
    }

    /// Notes that a request did not reach it.
    pub fn refund_request(&mut self) {
        self.bucket.refund();
    }
}
