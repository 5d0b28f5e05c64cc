//! Leases of duties with fencing numbers, and the time in which a holder may act.
//!
//! The key of a duty is attached to a lease of the key-value service, which deletes it when the
//! lease expires. Its version, which rises with every write to the service, is the fencing number,
//! so that no second counter has to be kept consistent with it.

use std::time::Duration;

use bulrushhall_core::{FencingNumber, Incarnation, Ran, Stamp};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

/// `LeaseOptions` set the times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long the lease lasts without a renewal.
    pub ttl: Duration,
    /// The part of `ttl` that the holder does not rely on, as the rates of clocks differ.
    pub margin: Duration,
    /// The time between two renewals, and between two attempts while another node holds the lease.
    pub renew_interval: Duration,
    /// The maximum time in which an order may still arrive after its sender's hold has ended.
    pub max_delivery_time: Duration,
}

/// A `LeaseCall` is a call to the key-value service that a [`Lease`] asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Opens a lease.
    Grant(Duration),
    /// Writes the holder to the duty's key if the key is absent, attached to the lease.
    Claim(u64),
    /// Renews the lease.
    Renew(u64),
    /// Removes the duty's key if it has this version.
    Release(FencingNumber),
}

/// A `Holder` is the value of the key of a held duty.
///
/// The lease is part of it: a node that lost its hold and retries with a new lease may find its own
/// incarnation under the old lease. If it took that for a success, the key would expire with the
/// old lease while the node renews the new one, and a second node would hold the duty as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The incarnation that holds the duty.
    pub incarnation: Incarnation,
    /// The lease that the key is attached to.
    pub lease: u64,
}

/// A `LeaseReply` is the outcome of a [`LeaseCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The lease was opened.
    Granted(u64),
    /// The duty's key was written and has this version.
    Claimed(FencingNumber),
    /// The duty's key is held, with this version and by this holder.
    Taken(FencingNumber, Holder),
    /// The lease was renewed, or the key removed.
    Done,
    /// The call failed; the value states whether it took effect.
    Failed(Ran),
}

/// A `Hold` is the right to carry out a duty for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The fencing number that every order carries.
    pub fence: FencingNumber,
    /// The time from which orders may contradict those of an earlier holder.
    pub from: Stamp,
    /// The time at which the hold ends if it is not renewed.
    pub until: Stamp,
}

/// A `Lease` is the state machine by which one node tries to hold a duty.
///
/// The end of the hold is counted from the time at which the call that acquired or renewed it was
/// sent, so the hold ends at this node before the lease ends at the service. After a process pause
/// the present time is past that end in every state.
///
/// A receiver that ignores fencing numbers must not get orders of node A, then of B and then of A again within
/// `ttl`. So a node that may have held the duty before waits for that time. After the start of its process that
/// is every node: its previous process may have been killed as the holder.
#[derive(Debug)]
pub struct Lease {
    options: LeaseOptions,
    own: Incarnation,
    state: State,
    /// When the pending call was sent, if there is one.
    sent_at: Option<Stamp>,
    next_call_at: Stamp,
    failures: u32,
    /// The time from which this node may give orders, as far as its own earlier ones are concerned.
    may_return_at: Stamp,
    /// The time until which a holder of an earlier era of the service may still act.
    earlier_era_until: Option<Stamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Granting,
    Claiming { lease: u64, granted: Stamp },
    Holding { lease: u64, hold: Hold },
    Releasing,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        LeaseOptions {
            ttl: Duration::from_secs(10),
            margin: Duration::from_secs(2),
            renew_interval: Duration::from_secs(3),
            max_delivery_time: Duration::from_secs(2),
        }
    }
}

impl LeaseOptions {
    /// Returns how long a node waits by its own clock so that `time` passes by any other one, with rates that differ
    /// by as much as `margin` allows.
    fn at_slowest(&self, time: Duration) -> Duration {
        time.mul_f64(self.ttl.div_duration_f64(self.ttl - self.margin))
    }
}

/// Returns whether a node is one of the `candidates` nodes that try to hold a duty.
///
/// A few are enough, and each attempt at a held duty costs a call. The choice depends on the duty,
/// so that no single node holds all of them.
pub fn is_candidate(
    duty: &str,
    own: Incarnation,
    others: impl IntoIterator<Item = Incarnation>,
    candidates: usize,
) -> bool {
    let rank = |incarnation: Incarnation| xxh3_64(format!("{duty} {incarnation}").as_bytes());
    let own = rank(own);
    others.into_iter().filter(|other| rank(*other) < own).count() < candidates
}

impl Holder {
    /// Returns the value of the duty's key.
    pub fn encode(self) -> String {
        format!("{} {:x}", self.incarnation, self.lease)
    }

    /// Parses the value of a duty's key.
    pub fn decode(value: &str) -> Option<Holder> {
        let (incarnation, lease) = value.split_once(' ')?;
        let lease = u64::from_str_radix(lease, 16).ok()?;
        Some(Holder { incarnation: incarnation.parse().ok()?, lease })
    }
}

impl Lease {
    /// Returns a lease that is not held yet, at a node whose earlier processes and leases have ended.
    pub fn new(now: Stamp, own: Incarnation, options: LeaseOptions) -> Lease {
        Lease {
            may_return_at: now + options.at_slowest(options.ttl),
            options,
            own,
            state: State::Idle,
            sent_at: None,
            next_call_at: now,
            failures: 0,
            earlier_era_until: None,
        }
    }

    /// Returns a lease of a node without earlier processes, which needn't wait for the orders of one.
    pub fn at_first_start(now: Stamp, own: Incarnation, options: LeaseOptions) -> Lease {
        Lease { may_return_at: now, ..Lease::new(now, own, options) }
    }

    /// Notes that the service was restored from an older copy at `restored_at`, where the lease may not
    /// exist. The hold and the pending call are given up.
    ///
    /// A lease id may be given out again, so a renewal could extend the lease of another node.
    pub fn note_restored(&mut self, now: Stamp, restored_at: Stamp) {
        self.end_hold(now);
        self.sent_at = None;
        self.next_call_at = now;
        self.note_restored_at(restored_at);
    }

    /// Notes when the service was restored, without a change of this node's own state.
    pub fn note_restored_at(&mut self, restored_at: Stamp) {
        // A holder that has not heard of the restore renews at the latest when its hold ends.
        let until = restored_at + self.options.ttl + self.options.max_delivery_time;
        self.earlier_era_until = self.earlier_era_until.max(Some(until));
    }

    /// Returns the time from which a claim is useful: a node that claims the duty earlier keeps it from the others
    /// without being allowed to act.
    pub fn claims_from(&self) -> Stamp {
        self.may_return_at - self.options.max_delivery_time
    }

    /// Returns the hold if the node may act at `now`; to be checked before each order.
    pub fn hold(&self, now: Stamp) -> Option<Hold> {
        match self.state {
            State::Holding { hold, .. } if now < hold.until => Some(hold),
            _ => None,
        }
    }

    /// Advances the time; returns the call that is due, if there is one.
    pub fn tick(&mut self, now: Stamp, wanted: Wanted) -> Option<LeaseCall> {
        if self.sent_at.is_some() {
            return None;
        }
        if wanted == Wanted::No {
            return self.release(now);
        }
        if let State::Holding { hold, .. } = self.state {
            // A pause or an outage outlasted the hold. The old lease is never used again.
            if hold.until <= now {
                self.end_hold(now);
            }
        }
        let is_holding = matches!(self.state, State::Holding { .. });
        if now < self.next_call_at || (!is_holding && now < self.claims_from()) {
            return None;
        }
        let call = match self.state {
            State::Idle | State::Granting | State::Releasing => {
                self.state = State::Granting;
                LeaseCall::Grant(self.options.ttl)
            }
            State::Claiming { lease, .. } => LeaseCall::Claim(lease),
            State::Holding { lease, .. } => LeaseCall::Renew(lease),
        };
        self.sent_at = Some(now);
        Some(call)
    }

    /// Handles the reply to the pending call.
    pub fn reply(&mut self, now: Stamp, reply: LeaseReply, random: &mut dyn Rng) {
        let Some(sent_at) = self.sent_at.take() else { return };
        match (self.state, reply) {
            (State::Granting, LeaseReply::Granted(lease)) => {
                self.state = State::Claiming { lease, granted: sent_at };
                self.next_call_at = now;
            }
            (State::Claiming { lease, granted }, LeaseReply::Claimed(fence)) => {
                self.acquire(now, lease, granted, fence);
            }
            // The reply to an earlier claim was lost, but the claim took effect.
            (State::Claiming { lease, granted }, LeaseReply::Taken(fence, holder))
                if holder == (Holder { incarnation: self.own, lease }) =>
            {
                self.acquire(now, lease, granted, fence);
            }
            (State::Claiming { .. }, LeaseReply::Taken(..)) => {
                self.state = State::Idle;
                self.retry_later(now, random);
            }
            (State::Holding { lease, mut hold }, LeaseReply::Done) => {
                hold.until = self.valid_until(sent_at);
                self.state = State::Holding { lease, hold };
                self.failures = 0;
                self.next_call_at = now + self.options.renew_interval;
            }
            (State::Releasing, _) => {
                self.state = State::Idle;
                self.retry_later(now, random);
            }
            (State::Holding { .. }, LeaseReply::Failed(Ran::No)) => {
                // The lease has expired at the service: another node may hold the duty already.
                self.end_hold(now);
                self.back_off(now, random);
            }
            (State::Claiming { .. }, LeaseReply::Failed(Ran::No)) => {
                self.state = State::Idle;
                self.back_off(now, random);
            }
            _ => self.back_off(now, random),
        }
    }

    fn acquire(&mut self, now: Stamp, lease: u64, granted: Stamp, fence: FencingNumber) {
        let until = self.valid_until(granted);
        // The key was absent, so the earlier holder has released it, or its lease has expired and by its own
        // clock its hold has ended. It has written no order since.
        let from = now + self.options.max_delivery_time;
        // After a restore, an absent key does not prove that.
        let from = self.earlier_era_until.map_or(from, |until| from.max(until));
        let from = from.max(self.may_return_at);
        self.state = State::Holding { lease, hold: Hold { fence, from, until } };
        self.failures = 0;
        self.next_call_at = now;
    }

    fn release(&mut self, now: Stamp) -> Option<LeaseCall> {
        let State::Holding { hold, .. } = self.state else {
            self.state = State::Idle;
            return None;
        };
        self.end_hold(now);
        self.state = State::Releasing;
        self.sent_at = Some(now);
        Some(LeaseCall::Release(hold.fence))
    }

    fn end_hold(&mut self, now: Stamp) {
        if let State::Holding { hold, .. } = self.state {
            let options = &self.options;
            let wait = options.at_slowest(options.ttl + options.max_delivery_time);
            self.may_return_at = hold.until.min(now) + wait;
        }
        self.state = State::Idle;
    }

    fn valid_until(&self, sent_at: Stamp) -> Stamp {
        sent_at + (self.options.ttl - self.options.margin)
    }

    fn retry_later(&mut self, now: Stamp, random: &mut dyn Rng) {
        self.next_call_at =
            now + self.options.renew_interval.mul_f64(random.random_range(0.8..1.2));
    }

    // All nodes lose the service at the same time; jitter spreads their retries.
    fn back_off(&mut self, now: Stamp, random: &mut dyn Rng) {
        self.failures += 1;
        let full = self.options.renew_interval.mul_f64(0.25) * (1 << self.failures.min(4));
        self.next_call_at = now + full.mul_f64(random.random_range(0.5..1.0));
    }
}

/// A `Wanted` states whether a node should hold a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// It should hold the duty or try to acquire it.
    Yes,
    /// It should not, and should release the duty if it holds it.
    No,
}
