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
    /// A configuration was read that cannot be used; the one in force stays.
    ConfigRejected,
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
        Event::ConfigRejected,
        Event::RequestRefused,
        Event::AttemptFailed,
        Event::RequestMoved,
        Event::RequestTaken,
        Event::HandoffFailed,
        Event::VmBought,
        Event::PurchaseRefused,
        Event::VmReleased,
        Event::OrphanReleased,
        Event::FleetPlanRejected,
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
            Event::ConfigRejected => 120,
            Event::RequestRefused => 200,
            Event::AttemptFailed => 201,
            Event::RequestMoved => 210,
            Event::RequestTaken => 211,
            Event::HandoffFailed => 212,
            Event::VmBought => 500,
            Event::PurchaseRefused => 501,
            Event::VmReleased => 502,
            Event::OrphanReleased => 503,
            Event::FleetPlanRejected => 504,
        }
    }
}
