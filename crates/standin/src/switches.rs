//! Fault switches of the simulated servers.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use tokio::sync::watch;

/// `Faults` are the faults that are switched on at a simulated server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether every call is refused with status 503.
    pub outage: bool,
    /// The time in which an unavailable plain service wants no calls, in seconds; 0 if it names none.
    pub rest_s: u32,
    /// Whether all calls hang until the switch is turned off.
    pub frozen: bool,
    /// Whether nothing at all is sent until the switch is turned off, not even an identity.
    pub silent: bool,
    /// Whether an engine answers with comment lines without end.
    pub endless: bool,
    /// The delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// The share of calls that take effect although the response has status 504.
    pub lost_replies: f64,
    /// The delay after which writes with a lost reply take effect, in milliseconds.
    pub late_ms: u64,
}

/// `Switches` hold the faults of a simulated server; they may change at any time.
pub struct Switches {
    faults: watch::Sender<Faults>,
    random: Mutex<Pcg64Mcg>,
}

impl Switches {
    /// Returns switches that are all off; `seed` determines which replies will be lost.
    pub fn new(seed: u64) -> Switches {
        let random = Mutex::new(Pcg64Mcg::seed_from_u64(seed));
        Switches { faults: watch::Sender::new(Faults::default()), random }
    }

    /// Sets all switches.
    pub fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    /// Delays a call while the server is slow or frozen; returns the faults in force afterwards.
    pub async fn delay_call(&self) -> Faults {
        let slow_ms = self.faults().slow_ms;
        if 0 < slow_ms {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        self.wait_while_frozen().await
    }

    /// Waits while the server is frozen or silent; returns the faults in force afterwards.
    pub async fn wait_while_frozen(&self) -> Faults {
        let mut faults = self.faults.subscribe();
        let unfrozen = faults.wait_for(|faults| !faults.frozen && !faults.silent).await;
        unfrozen.map(|faults| *faults).unwrap_or_default()
    }

    /// Waits while the server is silent.
    pub async fn wait_while_silent(&self) {
        let _ = self.faults.subscribe().wait_for(|faults| !faults.silent).await;
    }

    /// Returns whether the reply to the current call is lost, at random.
    pub fn should_lose_reply(&self) -> bool {
        let share = self.faults().lost_replies;
        if share <= 0.0 {
            return false;
        }
        let mut random = self.random.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        random.random_bool(share.min(1.0))
    }

    /// Returns a random number below `bound`.
    pub fn random_below(&self, bound: u64) -> u64 {
        let mut random = self.random.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        random.next_u64() % bound.max(1)
    }
}
