//! Log lines and metrics of backend servers that send nothing for a while.

use std::time::Duration;

use bulrushhall_core::Event;

use crate::{
    meters,
    pipeline::{identify::IdentifiedRequest, placement::Placement},
};

/// A `SilenceStage` is the part of an answer in which a backend server is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceStage {
    /// Before the head.
    Head,
    /// After the head.
    Body,
}

impl SilenceStage {
    fn as_str(self) -> &'static str {
        match self {
            SilenceStage::Head => "head",
            SilenceStage::Body => "body",
        }
    }
}

/// A `NoTakeover` is the reason why no other backend server takes over a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTakeover {
    /// It may have run, and may not run again.
    NotRepeatable,
    /// It was sent as often as its route allows.
    Attempts,
    /// The retry budget of its service is exhausted.
    Budget,
    /// Backend servers crash under it, or may have.
    Blocked,
    /// It is not certain at which software version its stream began.
    Version,
    /// No other backend server accepts it.
    NoServer,
    /// Its time is over.
    Late,
    /// The node shuts down before another server would have answered.
    Leaving,
}

impl NoTakeover {
    /// Returns its label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NoTakeover::NotRepeatable => "not_repeatable",
            NoTakeover::Attempts => "attempts",
            NoTakeover::Budget => "budget",
            NoTakeover::Blocked => "blocked",
            NoTakeover::Version => "version",
            NoTakeover::NoServer => "no_server",
            NoTakeover::Late => "late",
            NoTakeover::Leaving => "leaving",
        }
    }
}

/// A `SilenceEnd` is how the silence of a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceEnd {
    /// It sent more.
    WentOn,
    /// Another server answered first.
    TakenOver,
    /// It closed the connection.
    Closed,
    /// The time of the request is over.
    Late,
}

impl SilenceEnd {
    fn as_str(self) -> &'static str {
        match self {
            SilenceEnd::WentOn => "went_on",
            SilenceEnd::TakenOver => "taken_over",
            SilenceEnd::Closed => "closed",
            SilenceEnd::Late => "late",
        }
    }
}

/// Logs how the silence of a server ended.
pub fn log_silence_end(
    req: &IdentifiedRequest,
    placement: &Placement,
    (stage, silent): (SilenceStage, Duration),
    end: SilenceEnd,
) {
    tracing::info!(
        event = Event::SilenceEnded.number(),
        id = req.call.id.as_str(),
        backend = &*placement.name,
        stage = stage.as_str(),
        silent_ms = silent.as_secs_f64() * 1_000.0,
        outcome = end.as_str()
    );
}

/// Logs that a server has been silent for too long, and whether another one takes over.
pub fn log_silent(
    req: &IdentifiedRequest,
    placement: &Placement,
    (stage, silent): (SilenceStage, Duration),
    takeover: Result<(), NoTakeover>,
) {
    let takeover = takeover.err().map_or("started", NoTakeover::as_str);
    meters::server_silent(stage.as_str(), takeover);
    tracing::info!(
        event = Event::ServerSilent.number(),
        id = req.call.id.as_str(),
        backend = &*placement.name,
        stage = stage.as_str(),
        silent_ms = silent.as_secs_f64() * 1_000.0,
        takeover
    );
}
