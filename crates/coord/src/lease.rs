//! Leases of duties with fencing numbers, and what a holder may do when.
//!
//! The key of a duty is tied to a lease of the key-value service and vanishes when that lapses.
//! Its version, which rises with every write to the service, is the fencing number: no second
//! counter has to be kept in step.

use std::time::Duration;

use bulrushhall_core::{FencingNumber, Incarnation, Ran, Stamp};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

/// `LeaseOptions` set the times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long the lease lasts without renewal.
    pub ttl: Duration,
    /// The part of the time that the holder does not count on, for clocks that run apart.
    pub margin: Duration,
    /// The time between two renewals, and between two looks at another's lease.
    pub renew_interval: Duration,
    /// The longest time that an order of an earlier holder may still be on its way.
    pub order_timeout: Duration,
}

/// A `LeaseCall` is a call to the key-value service that a [`Lease`] asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseCall {
    /// Opens a lease.
    Grant(Duration),
    /// Writes the holder's name to the duty's key where it is absent, tied to the lease.
    Claim(u64),
    /// Renews the lease.
    Renew(u64),
    /// Removes the duty's key where it has this version.
    Release(FencingNumber),
}

/// A `Holder` is what the key of a held duty says.
///
/// The lease belongs to it: a node that lost its right and comes back with a new lease finds its
/// own name under the old one. Taking that for a success would let the key vanish with the old
/// lease while the node renews the new one, and a second node would hold the duty too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The life that holds the duty.
    pub incarnation: Incarnation,
    /// The lease that the key is tied to.
    pub lease: u64,
}

/// A `LeaseReply` tells how a [`LeaseCall`] ended.
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
    /// The call failed, and may or may not take effect.
    Failed(Ran),
}

/// A `Hold` is the right to carry out a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The fencing number that every order carries.
    pub fence: FencingNumber,
    /// From when on orders may contradict those of an earlier holder.
    pub from: Stamp,
    /// Until when the right lasts if it is not renewed.
    pub until: Stamp,
}

/// A `Lease` is one node's attempt to hold a duty.
///
/// The right is counted from before the call that got or renewed it was sent, so it ends here
/// before it ends at the service. After a pause the present time is past it, whatever the state.
#[derive(Debug)]
pub struct Lease {
    options: LeaseOptions,
    own: Incarnation,
    state: State,
    sent: Option<Stamp>,
    due: Stamp,
    failures: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Without,
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
            order_timeout: Duration::from_secs(2),
        }
    }
}

/// Returns whether a node is among those that try to hold a duty.
///
/// Few need to: each look at a held duty costs a call. The choice differs from duty to duty, so
/// that no node carries them all.
pub fn is_candidate(
    duty: &str,
    own: Incarnation,
    others: impl IntoIterator<Item = Incarnation>,
    candidates: usize,
) -> bool {
    let rank = |life: Incarnation| xxh3_64(format!("{duty} {life}").as_bytes());
    let own = rank(own);
    others.into_iter().filter(|other| rank(*other) < own).count() < candidates
}

impl Holder {
    /// Returns the value that the duty's key has.
    pub fn encode(self) -> String {
        format!("{} {:x}", self.incarnation, self.lease)
    }

    /// Reads the value of a duty's key.
    pub fn decode(value: &str) -> Option<Holder> {
        let (life, lease) = value.split_once(' ')?;
        let lease = u64::from_str_radix(lease, 16).ok()?;
        Some(Holder { incarnation: life.parse().ok()?, lease })
    }
}

impl Lease {
    /// Returns a lease that is not held.
    pub fn new(now: Stamp, own: Incarnation, options: LeaseOptions) -> Lease {
        Lease { options, own, state: State::Without, sent: None, due: now, failures: 0 }
    }

    /// Returns the right to act now, if there is one; ask before each order.
    pub fn hold(&self, now: Stamp) -> Option<Hold> {
        match self.state {
            State::Holding { hold, .. } if now < hold.until => Some(hold),
            _ => None,
        }
    }

    /// Lets time pass; returns the call that is due.
    pub fn tick(&mut self, now: Stamp, wanted: Wanted) -> Option<LeaseCall> {
        if self.sent.is_some() {
            return None;
        }
        if wanted == Wanted::No {
            return self.let_go(now);
        }
        if let State::Holding { hold, .. } = self.state {
            // A pause or an outage outlasted the right. The old lease is never used again.
            if hold.until <= now {
                self.state = State::Without;
            }
        }
        if now < self.due {
            return None;
        }
        let call = match self.state {
            State::Without | State::Granting | State::Releasing => {
                self.state = State::Granting;
                LeaseCall::Grant(self.options.ttl)
            }
            State::Claiming { lease, .. } => LeaseCall::Claim(lease),
            State::Holding { lease, .. } => LeaseCall::Renew(lease),
        };
        self.sent = Some(now);
        Some(call)
    }

    /// Takes the reply to the last call.
    pub fn reply(&mut self, now: Stamp, reply: LeaseReply, random: &mut dyn Rng) {
        let Some(sent) = self.sent.take() else { return };
        match (self.state, reply) {
            (State::Granting, LeaseReply::Granted(lease)) => {
                self.state = State::Claiming { lease, granted: sent };
                self.due = now;
            }
            (State::Claiming { lease, granted }, LeaseReply::Claimed(fence)) => {
                self.gain(now, lease, granted, fence);
            }
            // The reply to an earlier claim was lost, but the claim took effect.
            (State::Claiming { lease, granted }, LeaseReply::Taken(fence, holder))
                if holder == (Holder { incarnation: self.own, lease }) =>
            {
                self.gain(now, lease, granted, fence);
            }
            (State::Claiming { .. }, LeaseReply::Taken(..)) => {
                self.state = State::Without;
                self.wait(now, random);
            }
            (State::Holding { lease, mut hold }, LeaseReply::Done) => {
                hold.until = self.until(sent);
                self.state = State::Holding { lease, hold };
                self.failures = 0;
                self.due = now + self.options.renew_interval;
            }
            (State::Releasing, _) => {
                self.state = State::Without;
                self.wait(now, random);
            }
            (State::Holding { .. }, LeaseReply::Failed(Ran::No)) => {
                // The service says that the lease has lapsed: the duty may be another's already.
                self.state = State::Without;
                self.back_off(now, random);
            }
            (State::Claiming { .. }, LeaseReply::Failed(Ran::No)) => {
                self.state = State::Without;
                self.back_off(now, random);
            }
            _ => self.back_off(now, random),
        }
    }

    fn gain(&mut self, now: Stamp, lease: u64, granted: Stamp, fence: FencingNumber) {
        let until = self.until(granted);
        // The key was absent, so the earlier holder's lease has lapsed and it knows by its own
        // clock. Orders that it sent before are gone once their time-out has passed.
        let from = now + self.options.order_timeout + self.options.margin;
        self.state = State::Holding { lease, hold: Hold { fence, from, until } };
        self.failures = 0;
        self.due = now;
    }

    fn let_go(&mut self, now: Stamp) -> Option<LeaseCall> {
        let State::Holding { hold, .. } = self.state else {
            self.state = State::Without;
            return None;
        };
        self.state = State::Releasing;
        self.sent = Some(now);
        Some(LeaseCall::Release(hold.fence))
    }

    fn until(&self, sent: Stamp) -> Stamp {
        sent + (self.options.ttl - self.options.margin)
    }

    fn wait(&mut self, now: Stamp, random: &mut dyn Rng) {
        self.due = now + self.options.renew_interval.mul_f64(random.random_range(0.8..1.2));
    }

    // All nodes lose the service at once and would all come back at once.
    fn back_off(&mut self, now: Stamp, random: &mut dyn Rng) {
        self.failures += 1;
        let full = self.options.renew_interval.mul_f64(0.25) * (1 << self.failures.min(4));
        self.due = now + full.mul_f64(random.random_range(0.5..1.0));
    }
}

/// A `Wanted` tells whether a node shall try to hold a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// It shall.
    Yes,
    /// It shall not, and shall give back what it holds.
    No,
}
