//! The catalogue of numbered log events.

/// An `Event` is one kind of log line; its number never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// A node's process has started.
    NodeStarted,
    /// A node has been told to stop and no longer takes new work.
    NodeLeaving,
    /// A node's process has ended its work.
    NodeStopped,
    /// A connection was closed because of an error on it.
    ConnectionFailed,
    /// The certificates were read anew and are used for new connections.
    CertificatesChanged,
    /// The certificates could not be read anew; those in use stay.
    CertificatesRejected,
    /// The settings file has changed; the next start takes it.
    SettingsChanged,
    /// The settings file has changed and cannot be used.
    SettingsRejected,
    /// A configuration was read that cannot be used; the one in force stays.
    ConfigRejected,
    /// A service of the platform does not answer; the node goes on with what it knows.
    DependencyLost,
    /// A service of the platform answers again.
    DependencyRegained,
    /// A caller's request was refused.
    RequestRefused,
    /// An attempt of a request at an engine failed and the request goes on elsewhere.
    AttemptFailed,
    /// A request that this node owned is owned by another node now.
    RequestMoved,
    /// A request that another node owned is owned by this node now.
    RequestTaken,
    /// A copy of a request could not be read.
    HandoffFailed,
    /// A caller's request on a route has ended, whichever way.
    CallEnded,
    /// A send to a backend server ended without an answer that may be passed on.
    SendFailed,
    /// A request was not sent again, since the repeats of its service are used up.
    RepeatRefused,
    /// A stream goes on at another backend server after the last event that arrived.
    StreamResumed,
    /// A newer configuration is in force on this node.
    ConfigInForce,
    /// A backend server takes work.
    BackendReady,
    /// A backend server is leaving and gets no new work.
    BackendLeaving,
    /// A backend server is no longer known.
    BackendGone,
    /// A backend server fails so often that others are preferred.
    BackendDoubted,
    /// The record of a backend server cannot be read and is ignored.
    RecordIgnored,
    /// Another node is known.
    MemberSeen,
    /// Another node is no longer known.
    MemberLost,
    /// The node's part in passing on news has changed.
    RoleChanged,
    /// Another relay's news are taken in.
    SourceChanged,
    /// This node carries out the duties.
    DutiesGained,
    /// This node no longer carries out the duties.
    DutiesLost,
    /// A VM was bought.
    VmBought,
    /// The purchase of a VM was refused; its place is left alone for a while.
    PurchaseRefused,
    /// A VM was given back.
    VmReleased,
    /// A VM that no plan of the fleet knows was released.
    OrphanReleased,
    /// The plan of the fleet cannot be read; nothing is bought.
    FleetPlanRejected,
    /// A number of backend servers was ordered.
    CountOrdered,
    /// The usage of a window was reported.
    UsageReported,
    /// An order or report failed or was refused; it is tried again.
    OrderFailed,
}

impl Event {
    /// Every event, in the order of their numbers.
    pub const ALL: &'static [Event] = &[
        Event::NodeStarted,
        Event::NodeLeaving,
        Event::NodeStopped,
        Event::ConnectionFailed,
        Event::CertificatesChanged,
        Event::CertificatesRejected,
        Event::SettingsChanged,
        Event::SettingsRejected,
        Event::ConfigRejected,
        Event::DependencyLost,
        Event::DependencyRegained,
        Event::RequestRefused,
        Event::AttemptFailed,
        Event::RequestMoved,
        Event::RequestTaken,
        Event::HandoffFailed,
        Event::CallEnded,
        Event::SendFailed,
        Event::RepeatRefused,
        Event::StreamResumed,
        Event::ConfigInForce,
        Event::BackendReady,
        Event::BackendLeaving,
        Event::BackendGone,
        Event::BackendDoubted,
        Event::RecordIgnored,
        Event::MemberSeen,
        Event::MemberLost,
        Event::RoleChanged,
        Event::SourceChanged,
        Event::DutiesGained,
        Event::DutiesLost,
        Event::VmBought,
        Event::PurchaseRefused,
        Event::VmReleased,
        Event::OrphanReleased,
        Event::FleetPlanRejected,
        Event::CountOrdered,
        Event::UsageReported,
        Event::OrderFailed,
    ];

    /// Returns the number that the log line carries.
    pub fn number(self) -> u16 {
        match self {
            Event::NodeStarted => 100,
            Event::NodeLeaving => 101,
            Event::NodeStopped => 102,
            Event::ConnectionFailed => 110,
            Event::CertificatesChanged => 111,
            Event::CertificatesRejected => 112,
            Event::SettingsChanged => 113,
            Event::SettingsRejected => 114,
            Event::ConfigRejected => 120,
            Event::DependencyLost => 130,
            Event::DependencyRegained => 131,
            Event::RequestRefused => 200,
            Event::AttemptFailed => 201,
            Event::RequestMoved => 210,
            Event::RequestTaken => 211,
            Event::HandoffFailed => 212,
            Event::CallEnded => 220,
            Event::SendFailed => 221,
            Event::RepeatRefused => 222,
            Event::StreamResumed => 223,
            Event::ConfigInForce => 400,
            Event::BackendReady => 410,
            Event::BackendLeaving => 411,
            Event::BackendGone => 412,
            Event::BackendDoubted => 413,
            Event::RecordIgnored => 414,
            Event::MemberSeen => 420,
            Event::MemberLost => 421,
            Event::RoleChanged => 422,
            Event::SourceChanged => 423,
            Event::DutiesGained => 430,
            Event::DutiesLost => 431,
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
