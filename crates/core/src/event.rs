//! The numbered log events.

/// An `Event` is one kind of log line; the meaning of its number never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// A node's process has started.
    NodeStarted,
    /// A node is stopping and accepts no new work.
    NodeLeaving,
    /// A node's process has ended its work.
    NodeStopped,
    /// A node's start is complete, or 10 s have passed since it began.
    StartupTimeline,
    /// A connection was closed because of an error on it, or to stay within the limits of its port (`reason`).
    ConnectionFailed,
    /// The certificates were reloaded and are used for new connections.
    CertificatesChanged,
    /// The certificates could not be reloaded; those in use stay in use.
    CertificatesRejected,
    /// The settings file has changed; the change takes effect at the next start.
    SettingsChanged,
    /// The settings file has changed and is invalid.
    SettingsRejected,
    /// A new configuration is invalid; the one in force stays in force.
    ConfigRejected,
    /// A service of the platform does not respond; the node continues with its last known state.
    DependencyLost,
    /// A service of the platform responds again.
    DependencyRegained,
    /// The key-value service was restored from an older copy of its data.
    StoreRestored,
    /// A caller's request was refused.
    RequestRefused,
    /// An attempt of a request at an engine failed and the request continues elsewhere.
    AttemptFailed,
    /// The ownership of a request has moved from this node to another one.
    RequestMoved,
    /// The ownership of a request has moved from another node to this one.
    RequestTaken,
    /// A copy of a request could not be read.
    HandoffFailed,
    /// A caller's request on a route has ended, with any outcome.
    CallEnded,
    /// An attempt at a backend server ended without a response that may be forwarded.
    SendFailed,
    /// A request was not retried, since the retry budget of its service is exhausted.
    RepeatRefused,
    /// A stream was resumed at another backend server after the last received event.
    StreamResumed,
    /// A backend server closed its connection before the end of its answer.
    AnswerBroken,
    /// A request was refused that no engine could start in time.
    QueuedRefused,
    /// A queued request was started too late to be in time.
    RequestStartedLate,
    /// A backend server has sent nothing of an answer for too long.
    ServerSilent,
    /// A backend server was silent in an answer, which has gone on or ended.
    SilenceEnded,
    /// A response of a server or of another node can't be used.
    ResponseMalformed,
    /// Nothing shows that a backend server lives on after an answer that has no mark of its end.
    EndUnproven,
    /// A newer configuration is in force on this node.
    ConfigInForce,
    /// A backend server accepts work.
    BackendReady,
    /// A backend server is leaving and receives no new work.
    BackendLeaving,
    /// A backend server was removed.
    BackendGone,
    /// A backend server failed so often that its circuit breaker opened; others are preferred.
    BackendDoubted,
    /// The record of a backend server cannot be read and is ignored; or the usage reports (`record`), which are replaced.
    RecordIgnored,
    /// A backend server limits the requests that it accepts from all nodes together.
    BackendLimited,
    /// A backend server no longer limits the requests that it accepts.
    BackendLimitLifted,
    /// A backend server has said in a response that it is leaving.
    BackendSaidLeaving,
    /// A backend server has turned a request away and wants none from this node for a while.
    BackendResting,
    /// A backend server is lastingly slower or faster than its service, or no longer.
    ServerSpeedChanged,
    /// Another node was discovered, or its record has changed.
    MemberSeen,
    /// Another node was removed.
    MemberLost,
    /// The node's role in the distribution of gossip has changed.
    RoleChanged,
    /// The node accepts the updates of another relay.
    SourceChanged,
    /// This node carries out the duties.
    DutiesGained,
    /// This node no longer carries out the duties.
    DutiesLost,
    /// An operator has ordered a roll-out.
    RolloutOrdered,
    /// The share of the target version of a roll-out has changed.
    RolloutAdvanced,
    /// A roll-out has ended.
    RolloutEnded,
    /// No connection to any server of a service can be opened; other nodes carry the requests.
    ServersLost,
    /// Connections to the servers of a service can be opened again.
    ServersReached,
    /// The servers of a service say that they are brittle: nodes keep to the room that they know to be there.
    ServiceBrittle,
    /// The servers of a service no longer say that they are brittle.
    ServiceSound,
    /// A brittle server has rejected a request, so that nodes send it fewer at once.
    RoomLowered,
    /// A backend server interrupted answers and refuses new connections.
    ServerCrashed,
    /// Requests with some prompt parts, or one request, are refused, since backend servers crash under them.
    PartBlocked,
    /// Requests with some prompt parts, or one request, are no longer refused.
    PartUnblocked,
    /// One request that is refused, or has prompt parts that are, was let through, to see whether its server crashes.
    PartProbed,
    /// Requests are queued for the engines of a service.
    EnginesShort,
    /// No more requests are queued for the engines of a service.
    EnginesSufficient,
    /// The number of home engines of the prompt prefix that is used most has changed.
    PrefixHomesChanged,
    /// A backend server interrupted answers, and was not found to have ended.
    AnswersInterrupted,
    /// Servers crash under a prompt part, and the evidence does not tell yet whether it is the cause.
    PartSuspected,
    /// A VM was bought.
    VmBought,
    /// The purchase of a VM was refused; no VM is bought in the same place for a while.
    PurchaseRefused,
    /// A VM was released.
    VmReleased,
    /// A VM that is in no plan of the fleet was released.
    OrphanReleased,
    /// The plan of the fleet cannot be read; no VMs are bought.
    FleetPlanRejected,
    /// A number of backend servers was ordered.
    CountOrdered,
    /// The usage of a window was reported.
    UsageReported,
    /// An order or report failed or was refused; it is retried.
    OrderFailed,
}

impl Event {
    /// Every event, in the order of their numbers.
    pub const ALL: &'static [Event] = &[
        Event::NodeStarted,
        Event::NodeLeaving,
        Event::NodeStopped,
        Event::StartupTimeline,
        Event::ConnectionFailed,
        Event::CertificatesChanged,
        Event::CertificatesRejected,
        Event::SettingsChanged,
        Event::SettingsRejected,
        Event::ConfigRejected,
        Event::DependencyLost,
        Event::DependencyRegained,
        Event::StoreRestored,
        Event::RequestRefused,
        Event::AttemptFailed,
        Event::RequestMoved,
        Event::RequestTaken,
        Event::HandoffFailed,
        Event::CallEnded,
        Event::SendFailed,
        Event::RepeatRefused,
        Event::StreamResumed,
        Event::AnswerBroken,
        Event::QueuedRefused,
        Event::RequestStartedLate,
        Event::ServerSilent,
        Event::SilenceEnded,
        Event::ResponseMalformed,
        Event::EndUnproven,
        Event::ConfigInForce,
        Event::BackendReady,
        Event::BackendLeaving,
        Event::BackendGone,
        Event::BackendDoubted,
        Event::RecordIgnored,
        Event::BackendLimited,
        Event::BackendLimitLifted,
        Event::BackendSaidLeaving,
        Event::BackendResting,
        Event::ServerSpeedChanged,
        Event::MemberSeen,
        Event::MemberLost,
        Event::RoleChanged,
        Event::SourceChanged,
        Event::DutiesGained,
        Event::DutiesLost,
        Event::RolloutOrdered,
        Event::RolloutAdvanced,
        Event::RolloutEnded,
        Event::ServersLost,
        Event::ServersReached,
        Event::ServiceBrittle,
        Event::ServiceSound,
        Event::RoomLowered,
        Event::ServerCrashed,
        Event::PartBlocked,
        Event::PartUnblocked,
        Event::PartProbed,
        Event::EnginesShort,
        Event::EnginesSufficient,
        Event::PrefixHomesChanged,
        Event::AnswersInterrupted,
        Event::PartSuspected,
        Event::VmBought,
        Event::PurchaseRefused,
        Event::VmReleased,
        Event::OrphanReleased,
        Event::FleetPlanRejected,
        Event::CountOrdered,
        Event::UsageReported,
        Event::OrderFailed,
    ];

    /// Returns the number in the log line.
    pub fn number(self) -> u16 {
        match self {
            Event::NodeStarted => 100,
            Event::NodeLeaving => 101,
            Event::NodeStopped => 102,
            Event::StartupTimeline => 103,
            Event::ConnectionFailed => 110,
            Event::CertificatesChanged => 111,
            Event::CertificatesRejected => 112,
            Event::SettingsChanged => 113,
            Event::SettingsRejected => 114,
            Event::ConfigRejected => 120,
            Event::DependencyLost => 130,
            Event::DependencyRegained => 131,
            Event::StoreRestored => 132,
            Event::RequestRefused => 200,
            Event::AttemptFailed => 201,
            Event::RequestMoved => 210,
            Event::RequestTaken => 211,
            Event::HandoffFailed => 212,
            Event::CallEnded => 220,
            Event::SendFailed => 221,
            Event::RepeatRefused => 222,
            Event::StreamResumed => 223,
            Event::AnswerBroken => 224,
            Event::QueuedRefused => 225,
            Event::RequestStartedLate => 226,
            Event::ServerSilent => 227,
            Event::SilenceEnded => 228,
            Event::ResponseMalformed => 229,
            Event::EndUnproven => 230,
            Event::ConfigInForce => 400,
            Event::BackendReady => 410,
            Event::BackendLeaving => 411,
            Event::BackendGone => 412,
            Event::BackendDoubted => 413,
            Event::RecordIgnored => 414,
            Event::BackendLimited => 415,
            Event::BackendLimitLifted => 416,
            Event::BackendSaidLeaving => 417,
            Event::BackendResting => 418,
            Event::ServerSpeedChanged => 419,
            Event::MemberSeen => 420,
            Event::MemberLost => 421,
            Event::RoleChanged => 422,
            Event::SourceChanged => 423,
            Event::DutiesGained => 430,
            Event::DutiesLost => 431,
            Event::RolloutOrdered => 440,
            Event::RolloutAdvanced => 441,
            Event::RolloutEnded => 442,
            Event::ServersLost => 450,
            Event::ServersReached => 451,
            Event::ServiceBrittle => 452,
            Event::ServiceSound => 453,
            Event::RoomLowered => 454,
            Event::ServerCrashed => 455,
            Event::PartBlocked => 456,
            Event::PartUnblocked => 457,
            Event::PartProbed => 458,
            Event::EnginesShort => 459,
            Event::EnginesSufficient => 460,
            Event::PrefixHomesChanged => 461,
            Event::AnswersInterrupted => 462,
            Event::PartSuspected => 463,
            Event::VmBought => 500,
            Event::PurchaseRefused => 501,
            Event::VmReleased => 502,
            Event::OrphanReleased => 503,
            Event::FleetPlanRejected => 504,
            Event::CountOrdered => 510,
            Event::UsageReported => 511,
            Event::OrderFailed => 512,
        }
    }
}
