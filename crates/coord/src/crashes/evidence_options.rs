//! The limits of what is remembered of crashes.

use std::time::Duration;

/// `EvidenceOptions` are the limits of what is remembered and when it is judged.
#[derive(Clone, Copy, Debug)]
pub struct EvidenceOptions {
    /// How long crashes are remembered.
    pub window: Duration,
    /// The maximum number of reports that are remembered.
    pub max_reports: usize,
    /// The maximum number of requests in a report.
    pub max_requests: usize,
    /// How long a report is sent to other nodes: several digests may be lost.
    pub reported_for: Duration,
    /// Crashes that follow each other faster than this count as one, as do crashes of requests that were sent before the
    /// last one: what ends many servers at once is no request.
    pub moment: Duration,
    /// The number of crashes from which a part is suspected, and nodes tell its sound answers.
    pub suspected_from: usize,
    /// The time after which all nodes have told the sound answers of a part that is suspected.
    pub settling: Duration,
    /// The time after the last report in which the evidence is judged again.
    pub judged_for: Duration,
    /// The answers that one server may break off and count each time, if it is not known to have ended.
    pub max_unknown_ends: u32,
    /// The number of servers that crashed together from which they may be evidence by themselves against a part.
    pub many: usize,
    /// The same against a request.
    pub many_of_request: usize,
    /// The crashes under one request that count against a part: more of them tell that the request crashes servers, and not whether
    /// the part does.
    pub max_of_request: u32,
}

impl Default for EvidenceOptions {
    fn default() -> EvidenceOptions {
        EvidenceOptions {
            window: Duration::from_secs(3_600),
            max_reports: 2_048,
            max_requests: 64,
            reported_for: Duration::from_millis(700),
            moment: Duration::from_millis(250),
            suspected_from: 2,
            settling: Duration::from_millis(700),
            judged_for: Duration::from_secs(3),
            max_unknown_ends: 2,
            many: 5,
            many_of_request: 3,
            max_of_request: 3,
        }
    }
}
