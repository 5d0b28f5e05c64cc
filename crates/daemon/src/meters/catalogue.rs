//! The catalogue of a node's metrics.

/// A `Kind` is the type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A value that only increases while the process runs.
    Counter,
    /// A value that increases and decreases.
    Gauge,
    /// Counts of values by bucket.
    Histogram,
}

/// A `Metric` is one metric of a node; the meaning of its exported name never changes.
///
/// Label values come from the configuration or from a fixed set, so that callers can't increase the
/// number of time series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Metric {
    /// Callers' requests by outcome.
    Requests,
    /// The time from a caller's request to the end of its answer.
    RequestSeconds,
    /// The time from a caller's request to the first byte of its answer.
    FirstByteSeconds,
    /// Callers' requests that are being answered.
    InFlight,
    /// Accepted model requests that are not finished.
    Unfinished,
    /// Model requests that wait for an engine.
    QueueWaiting,
    /// Model requests that run on an engine.
    QueueRunning,
    /// Failed attempts at an engine after which the request continued on another one.
    FailedAttempts,
    /// Accepted requests of which no other node has a copy.
    Uncopied,
    /// Recomputed tokens.
    RecomputedTokens,
    /// Calls to the key-value service.
    KeyValueCalls,
    /// The time that calls to the key-value service took.
    KeyValueSeconds,
    /// The configuration revision in force.
    Revision,
    /// The number of revisions that the node is behind the highest reported one.
    RevisionLag,
    /// The other nodes that are considered alive.
    Members,
    /// The known backend servers.
    Backends,
    /// Whether the node refuses new work.
    Leaving,
    /// The memory for bodies and prompts that is in use.
    BodyBytes,
    /// Connections that were closed to stay within the limits of their port.
    ConnectionsClosed,
}

impl Metric {
    /// Every metric.
    pub const ALL: [Metric; 19] = [
        Metric::Requests,
        Metric::RequestSeconds,
        Metric::FirstByteSeconds,
        Metric::InFlight,
        Metric::Unfinished,
        Metric::QueueWaiting,
        Metric::QueueRunning,
        Metric::FailedAttempts,
        Metric::Uncopied,
        Metric::RecomputedTokens,
        Metric::KeyValueCalls,
        Metric::KeyValueSeconds,
        Metric::Revision,
        Metric::RevisionLag,
        Metric::Members,
        Metric::Backends,
        Metric::Leaving,
        Metric::BodyBytes,
        Metric::ConnectionsClosed,
    ];

    /// Returns its exported name.
    pub fn name(self) -> &'static str {
        match self {
            Metric::Requests => "bulrush_requests_total",
            Metric::RequestSeconds => "bulrush_request_seconds",
            Metric::FirstByteSeconds => "bulrush_first_byte_seconds",
            Metric::InFlight => "bulrush_requests_in_flight",
            Metric::Unfinished => "bulrush_answers_unfinished",
            Metric::QueueWaiting => "bulrush_queue_waiting",
            Metric::QueueRunning => "bulrush_queue_running",
            Metric::FailedAttempts => "bulrush_failed_attempts_total",
            Metric::Uncopied => "bulrush_accepted_uncopied_total",
            Metric::RecomputedTokens => "bulrush_recomputed_tokens_total",
            Metric::KeyValueCalls => "bulrush_key_value_calls_total",
            Metric::KeyValueSeconds => "bulrush_key_value_seconds",
            Metric::Revision => "bulrush_config_revision",
            Metric::RevisionLag => "bulrush_config_revision_lag",
            Metric::Members => "bulrush_members",
            Metric::Backends => "bulrush_backends",
            Metric::Leaving => "bulrush_leaving",
            Metric::BodyBytes => "bulrush_body_bytes",
            Metric::ConnectionsClosed => "bulrush_connections_closed_total",
        }
    }

    /// Returns its type.
    pub fn kind(self) -> Kind {
        match self {
            Metric::Requests
            | Metric::FailedAttempts
            | Metric::Uncopied
            | Metric::RecomputedTokens
            | Metric::KeyValueCalls
            | Metric::ConnectionsClosed => Kind::Counter,
            Metric::RequestSeconds | Metric::FirstByteSeconds | Metric::KeyValueSeconds => {
                Kind::Histogram
            }
            Metric::InFlight
            | Metric::Unfinished
            | Metric::QueueWaiting
            | Metric::QueueRunning
            | Metric::Revision
            | Metric::RevisionLag
            | Metric::Members
            | Metric::Backends
            | Metric::Leaving
            | Metric::BodyBytes => Kind::Gauge,
        }
    }

    /// Returns its labels other than `node`.
    pub fn labels(self) -> &'static [&'static str] {
        match self {
            Metric::Requests => &["team", "class", "outcome"],
            Metric::RequestSeconds | Metric::FirstByteSeconds => &["team", "class"],
            Metric::FailedAttempts => &["class"],
            Metric::RecomputedTokens => &["cause"],
            Metric::KeyValueCalls => &["purpose", "outcome"],
            Metric::KeyValueSeconds => &["purpose"],
            Metric::ConnectionsClosed => &["port", "reason"],
            Metric::Backends | Metric::QueueWaiting | Metric::QueueRunning => &["service"],
            Metric::InFlight
            | Metric::Uncopied
            | Metric::Unfinished
            | Metric::Revision
            | Metric::RevisionLag
            | Metric::Members
            | Metric::Leaving
            | Metric::BodyBytes => &[],
        }
    }

    /// Returns its index in [`Metric::ALL`].
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
