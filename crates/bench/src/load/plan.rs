//! What a load run sends, how fast and for how long.

use std::{error, fmt, net::SocketAddr, time::Duration};

use crate::{
    load::Mix,
    testbed::{LEDGER, MODEL},
};

/// The longest run that is allowed.
const LONGEST: Duration = Duration::from_secs(3_600);
/// The most requests of one run.
const MOST_REQUESTS: usize = 500_000;

/// A `Plan` describes one load run; the same plan always yields the same arrivals.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The kinds of request and their shares.
    pub mix: Mix,
    /// The arrivals in a second; they don't wait for answers.
    pub rate: f64,
    /// How long requests arrive, warm-up included.
    pub length: Duration,
    /// The part at the start that is left out of the figures.
    pub warm_up: Duration,
    /// The most requests that are sent.
    pub requests: usize,
    /// The seed of arrivals and texts.
    pub seed: u64,
    /// The callers; each keeps its own list of entries and its own connections.
    pub callers: usize,
    /// The teams that callers belong to.
    pub teams: Vec<String>,
    /// The model that is asked.
    pub model: String,
    /// The plain service that is called.
    pub service: String,
    /// The class of urgent requests.
    pub urgent: String,
    /// The class of requests that can wait.
    pub patient: String,
    /// How long a caller waits on a connection that brings nothing before it tries another.
    pub silence: Duration,
    /// How long after its arrival a caller gives a request up.
    pub patience: Duration,
    /// How often a caller comes back after a refusal.
    pub retries: u32,
}

/// A `PlanError` tells why a plan is not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// The address is not of this machine.
    NotLoopback(SocketAddr),
    /// No entry address was given.
    NoEntries,
    /// The plan would send more requests, or for longer, than is allowed.
    TooLarge,
    /// A number is not above zero.
    NotPositive(&'static str),
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            mix: Mix::Guild,
            rate: 20.0,
            length: Duration::from_secs(10),
            warm_up: Duration::from_secs(2),
            requests: MOST_REQUESTS,
            seed: 1,
            callers: 16,
            teams: vec!["workshop".to_owned(), "archive".to_owned()],
            model: MODEL.to_owned(),
            service: LEDGER.to_owned(),
            urgent: "urgent".to_owned(),
            patient: "patient".to_owned(),
            silence: Duration::from_secs(10),
            patience: Duration::from_secs(90),
            retries: 5,
        }
    }
}

impl Plan {
    /// Checks that the plan is bounded and sends to this machine only.
    pub fn check(&self, entries: &[SocketAddr]) -> Result<(), PlanError> {
        if entries.is_empty() {
            return Err(PlanError::NoEntries);
        }
        if let Some(far) = entries.iter().find(|entry| !entry.ip().is_loopback()) {
            return Err(PlanError::NotLoopback(*far));
        }
        if !self.rate.is_finite() || self.rate <= 0.0 {
            return Err(PlanError::NotPositive("rate"));
        }
        if self.callers == 0 {
            return Err(PlanError::NotPositive("callers"));
        }
        if self.teams.is_empty() {
            return Err(PlanError::NotPositive("teams"));
        }
        let expected = self.rate * self.length.as_secs_f64();
        if LONGEST < self.length || MOST_REQUESTS < self.requests.min(expected as usize) {
            return Err(PlanError::TooLarge);
        }
        Ok(())
    }
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::NotLoopback(address) => {
                write!(f, "{address} is not a loopback address; load is sent to this machine only")
            }
            PlanError::NoEntries => f.write_str("no entry address was given"),
            PlanError::TooLarge => write!(
                f,
                "a run may send {MOST_REQUESTS} requests in {} s at most",
                LONGEST.as_secs()
            ),
            PlanError::NotPositive(what) => write!(f, "{what} must be above zero"),
        }
    }
}

impl error::Error for PlanError {}
