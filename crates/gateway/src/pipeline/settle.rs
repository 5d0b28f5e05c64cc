//! The end of a request: its metrics and its line in the log.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Event, Stamp};

use crate::{
    clock,
    gateway::Gateway,
    meters,
    pipeline::{Failure, identify::Identified, place::Place},
};

/// A `Trail` collects the values of a request's access log entry, which is written on drop.
pub struct Trail {
    gateway: Arc<Gateway>,
    req: Option<Identified>,
    started: Stamp,
    first_at: Option<Stamp>,
    /// The number of attempts so far.
    pub sends: u32,
    placed: Option<Place>,
    /// The amount that is counted against its team's limit.
    pub counted: f64,
    /// The status of the response to the caller.
    pub status: u16,
    outcome: &'static str,
    after: Option<Duration>,
}

impl Trail {
    /// Returns the entry of a request that arrived at `started`.
    pub fn begin(gateway: Arc<Gateway>, started: Stamp) -> Trail {
        Trail {
            gateway,
            req: None,
            started,
            first_at: None,
            sends: 0,
            placed: None,
            counted: 0.0,
            status: 0,
            outcome: "abandoned",
            after: None,
        }
    }

    /// Notes the team and the route.
    pub fn identified(&mut self, req: &Identified) {
        self.req = Some(req.clone());
    }

    /// Notes an attempt and its backend server.
    pub fn placed(&mut self, place: &Place) {
        self.sends += 1;
        self.placed = Some(place.clone());
    }

    /// Notes that the last attempt did not leave this node.
    pub fn unsent(&mut self) {
        self.sends -= 1;
    }

    /// Notes the first token, or the response of a plain service.
    pub fn began(&mut self) {
        if self.first_at.is_some() {
            return;
        }
        self.first_at = Some(clock::now());
        let Some(team) = self.req.as_ref().and_then(|req| req.team.as_ref()) else { return };
        let window = self.gateway.window();
        let own = self.gateway.incarnation;
        let zone = &self.gateway.settings.gateway.zone;
        self.gateway.with(|state| state.usage.count(window, own, zone, &team.name));
    }

    /// Notes that the response was forwarded completely.
    pub fn answered(&mut self) {
        self.outcome = "answered";
    }

    /// Notes that the response was cut short.
    pub fn cut(&mut self) {
        self.outcome = "cut";
    }

    /// Notes that the request ends with a response of the node's own.
    pub fn failed(&mut self, failure: Failure) {
        self.outcome = failure.word();
        let refusal = failure.refusal();
        self.status = refusal.status.as_u16();
        self.after = refusal.after;
    }
}

// A caller that disconnects drops the response at any point, so the entry is written on drop.
impl Drop for Trail {
    fn drop(&mut self) {
        let now = clock::now();
        let millis = |from: Stamp, to: Stamp| to.since(from).as_secs_f64() * 1_000.0;
        let req = self.req.as_ref();
        let placed = self.placed.as_ref();
        let expected = placed.and_then(|place| place.footprint.expected);
        meters::ended(
            req.map(|req| req.route.cfg.kind),
            self.outcome,
            self.first_at.map(|at| at.since(self.started)),
            now.since(self.started),
        );
        let age = self.gateway.with(|state| state.freshness.age(now));
        tracing::info!(
            event = Event::CallEnded.number(),
            id = req.map_or("", |req| req.call.id.as_str()),
            route = req.map_or("", |req| req.route.name.as_str()),
            team = req.and_then(|req| req.team.as_ref()).map_or("", |team| team.name.as_str()),
            outcome = self.outcome,
            status = self.status,
            counted = self.counted,
            sends = self.sends,
            backend = placed.map_or("", |place| &*place.name),
            candidates = placed.map_or(0, |place| place.candidates),
            wait_ms = placed.map(|place| place.wait.as_secs_f64() * 1_000.0),
            expected_ms = expected.map(|expected| expected.as_secs_f64() * 1_000.0),
            to_read = placed.map_or(0, |place| place.footprint.to_read),
            copied_from = placed.and_then(|place| place.copy_from).map(tracing::field::display),
            first_ms = self.first_at.map(|at| millis(self.started, at)),
            took_ms = millis(self.started, now),
            after_ms = self.after.map(|after| after.as_secs_f64() * 1_000.0),
            revision = req.map_or(0, |req| req.table.revision.0),
            config_age_ms = age.map(|age| age.as_secs_f64() * 1_000.0)
        );
    }
}
