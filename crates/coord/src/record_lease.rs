//! The lease that keeps a node's record in the key-value service.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// `RecordLeaseOptions` set the times of the lease of a record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordLeaseOptions {
    /// How long the lease lasts without a renewal, from the arrival of the last call at the service.
    pub ttl: Duration,
    /// The time from the last successful call to the next one, both as sent.
    pub renew_interval: Duration,
    /// The timeout of a renewal.
    pub call_timeout: Duration,
    /// The pause after a failed call; after [`quick_retries`](Self::quick_retries) failures it is
    /// [`long_pause`](Self::long_pause), because an outage may last.
    pub retry_pause: Duration,
    /// The number of failed calls in a row that are followed by the short pause.
    pub quick_retries: u32,
    /// The pause after further failed calls.
    pub long_pause: Duration,
    /// The factor of this node's pauses, from 0.5 to 1.5. All nodes may start at once, and those that were refused
    /// together would otherwise retry together.
    pub pause_factor: f64,
}

impl Default for RecordLeaseOptions {
    // The third renewal in a row ends by 3.5 + 2 × (0.7 + 0.15) + 0.7 = 5.9 s, within the lease.
    fn default() -> Self {
        RecordLeaseOptions {
            ttl: Duration::from_secs(6),
            renew_interval: Duration::from_millis(3_500),
            call_timeout: Duration::from_millis(700),
            retry_pause: Duration::from_millis(100),
            quick_retries: 2,
            long_pause: Duration::from_millis(500),
            pause_factor: 1.0,
        }
    }
}

/// A `RecordCall` is a call that a [`RecordLease`] asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordCall {
    /// Opens a lease and writes the record, attached to it.
    Write,
    /// Writes the record, attached to a lease that was opened by an earlier [`Write`](Self::Write).
    Attach(u64),
    /// Renews the lease.
    Renew(u64),
}

/// A `RecordReply` is the outcome of a [`RecordCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordReply {
    /// The record is attached to this lease, which was opened or renewed.
    Kept(u64),
    /// The lease was opened, but the record was not written.
    Granted(u64),
    /// The service does not have the lease.
    Gone,
    /// The call failed, or its outcome is unknown.
    Failed,
}

/// A `RecordPresence` states whether the record is known to be missing in the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordPresence {
    /// It is there, as far as the node knows.
    Present,
    /// It was removed, even though its lease may be valid.
    Missing,
}

/// A `RecordLease` is the state machine by which a node keeps its record.
///
/// Times count from when a call was sent, because the service may have received it at once. A renewal
/// that failed is repeated: it may have arrived, and a new lease takes two calls and another
/// version of the record, which is sent to all nodes that watch the records. A lease whose record could not be
/// written is used by the next attempt: above the service's rate of writes, attempts of several calls that start over
/// after each refusal would almost never succeed.
#[derive(Debug)]
pub struct RecordLease {
    options: RecordLeaseOptions,
    /// The lease and when the last successful call for it was sent.
    lease: Option<(u64, Stamp)>,
    /// The lease without a record, and when the call that opened it was sent.
    granted: Option<(u64, Stamp)>,
    sent_at: Stamp,
    next_call_at: Stamp,
    failures: u32,
}

impl RecordLease {
    /// Returns the state of a node that has no record yet.
    pub fn new(now: Stamp, options: RecordLeaseOptions) -> RecordLease {
        RecordLease {
            options,
            lease: None,
            granted: None,
            sent_at: now,
            next_call_at: now,
            failures: 0,
        }
    }

    /// Drops the lease: the service was restored, and its id may belong to another node now.
    pub fn reset(&mut self, now: Stamp) {
        self.lease = None;
        self.granted = None;
        self.next_call_at = now;
    }

    /// Returns the call that is due, if there is one.
    pub fn tick(&mut self, now: Stamp, presence: RecordPresence) -> Option<RecordCall> {
        // Failed calls pace a missing record too.
        let is_urgent = presence == RecordPresence::Missing && self.failures == 0;
        if now < self.next_call_at && !is_urgent {
            return None;
        }
        self.sent_at = now;
        let ttl = self.options.ttl;
        let valid = self.lease.filter(|(_, renewed_at)| now.since(*renewed_at) < ttl);
        // A lease that is due for renewal may end before the record is renewed.
        let renew_interval = self.options.renew_interval;
        self.granted =
            self.granted.filter(|(_, granted_at)| now.since(*granted_at) < renew_interval);
        match valid {
            Some((lease, _)) if presence == RecordPresence::Present => {
                Some(RecordCall::Renew(lease))
            }
            _ => {
                Some(self.granted.map_or(RecordCall::Write, |(lease, _)| RecordCall::Attach(lease)))
            }
        }
    }

    /// Notes the reply to the last call.
    pub fn reply(&mut self, now: Stamp, reply: RecordReply) {
        let options = &self.options;
        match reply {
            RecordReply::Kept(lease) => {
                let granted = self.granted.take().filter(|(granted, _)| *granted == lease);
                let renewed_at = granted.map_or(self.sent_at, |(_, granted_at)| granted_at);
                self.lease = Some((lease, renewed_at));
                self.failures = 0;
                self.next_call_at = renewed_at + options.renew_interval;
                return;
            }
            RecordReply::Granted(lease) => self.granted = Some((lease, self.sent_at)),
            RecordReply::Gone => (self.lease, self.granted) = (None, None),
            RecordReply::Failed => {}
        }
        self.failures += 1;
        let quick = self.failures <= options.quick_retries;
        let pause = if quick { options.retry_pause } else { options.long_pause };
        self.next_call_at = now + pause.mul_f64(options.pause_factor);
    }

    /// Returns when the last call that kept the record was sent; none if it is not kept.
    pub fn kept_at(&self) -> Option<Stamp> {
        self.lease.map(|(_, sent_at)| sent_at)
    }

    /// Returns when the next call is due.
    pub fn next_call_at(&self) -> Stamp {
        self.next_call_at
    }
}
