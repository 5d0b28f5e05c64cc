//! Fault switches that every stand-in has.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use tokio::sync::watch;

/// `Faults` are the faults that are switched on at a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is refused with status 503.
    pub outage: bool,
    /// No call is answered until the switch is off again.
    pub frozen: bool,
    /// Each call waits this long first, in milliseconds.
    pub slow_ms: u64,
    /// The share of calls that take effect although the answer says status 504.
    pub lost_replies: f64,
    /// Writes whose reply is lost take effect this much later, in milliseconds.
    pub late_ms: u64,
}

/// `Switches` hold a stand-in's faults, which may be changed at any time.
pub struct Switches {
    faults: watch::Sender<Faults>,
    random: Mutex<Pcg64Mcg>,
}

impl Switches {
    /// Returns switches that are all off; `seed` decides which replies are lost later.
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

    /// Waits as the slowness and the freeze ask for, and returns the faults then in force.
    pub async fn enter(&self) -> Faults {
        let slow = self.faults().slow_ms;
        if 0 < slow {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
        let mut faults = self.faults.subscribe();
        let entered = faults.wait_for(|faults| !faults.frozen).await.map(|faults| *faults);
        entered.unwrap_or_default()
    }

    /// Returns whether the reply to the call at hand is lost.
    pub fn loses_reply(&self) -> bool {
        let share = self.faults().lost_replies;
        if share <= 0.0 {
            return false;
        }
        let mut random = self.random.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        random.random_bool(share.min(1.0))
    }

    /// Returns a random number below `bound`.
    pub fn below(&self, bound: u64) -> u64 {
        let mut random = self.random.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        random.next_u64() % bound.max(1)
    }
}
