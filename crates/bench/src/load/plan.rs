//! The plan of a load run: what is sent, how fast and for how long.

use std::{error, fmt, net::SocketAddr, time::Duration};

use crate::{
    load::Mix,
    testbed::{LEDGER, MODEL},
};

/// The maximum length of a run.
const MAX_LENGTH: Duration = Duration::from_secs(3_600);
/// The maximum number of requests of one run.
const MAX_REQUESTS: usize = 500_000;

/// A `Plan` describes one load run; the same plan always generates the same arrivals.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The kinds of request and their shares.
    pub mix: Mix,
    /// The arrivals per second; they don't wait for answers.
    pub rate: f64,
    /// How long requests arrive, warm-up included.
    pub length: Duration,
    /// The time at the start that is excluded from the results.
    pub warm_up: Duration,
    /// The maximum number of requests that are sent.
    pub requests: usize,
    /// The seed of the random arrivals and texts.
    pub seed: u64,
    /// The number of callers; each has its own list of entries and its own connections.
    pub callers: usize,
    /// The teams that callers belong to.
    pub teams: Vec<String>,
    /// The model that is requested.
    pub model: String,
    /// The plain service that is called.
    pub service: String,
    /// The class of urgent requests.
    pub urgent: String,
    /// The class of requests that can wait.
    pub patient: String,
    /// How long a caller waits on a silent connection before it tries another entry.
    pub idle_timeout: Duration,
    /// How long after a request's arrival its caller abandons it.
    pub time_limit: Duration,
    /// The maximum number of retries of a request that was not accepted.
    pub retries: u32,
}

/// A `PlanError` is the reason why a plan is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// The address is not a loopback address.
    NotLoopback(SocketAddr),
    /// No entry address was given.
    NoEntries,
    /// The plan exceeds the maximum length or number of requests.
    TooLarge,
    /// The named value is not above zero.
    NotPositive(&'static str),
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            mix: Mix::Guild,
            rate: 20.0,
            length: Duration::from_secs(10),
            warm_up: Duration::from_secs(2),
            requests: MAX_REQUESTS,
            seed: 1,
            callers: 16,
            teams: vec!["workshop".to_owned(), "archive".to_owned()],
            model: MODEL.to_owned(),
            service: LEDGER.to_owned(),
            urgent: "urgent".to_owned(),
            patient: "patient".to_owned(),
            idle_timeout: Duration::from_secs(10),
            time_limit: Duration::from_secs(90),
            retries: 5,
        }
    }
}

impl Plan {
    /// Checks that the plan is within its bounds and sends to loopback addresses only.
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
        if MAX_LENGTH < self.length || MAX_REQUESTS < self.requests.min(expected as usize) {
            return Err(PlanError::TooLarge);
        }
        Ok(())
    }
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::NotLoopback(address) => {
                write!(
                    f,
                    "{address} is not a loopback address; load is sent to loopback addresses only"
                )
            }
            PlanError::NoEntries => f.write_str("no entry address was given"),
            PlanError::TooLarge => write!(
                f,
                "a run is limited to {MAX_REQUESTS} requests and {} s",
                MAX_LENGTH.as_secs()
            ),
            PlanError::NotPositive(what) => write!(f, "{what} must be above zero"),
        }
    }
}

impl error::Error for PlanError {}
