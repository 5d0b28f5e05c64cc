//! The end of a request: its metrics and its line in the log.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Event, Stamp};

use crate::{
    clock,
    gateway::Gateway,
    meters,
    pipeline::{Failure, identify::IdentifiedRequest, placement::Placement},
    startup::Stage,
};

/// An `AccessLogEntry` collects the values of a request's access log entry, which is written on drop.
pub struct AccessLogEntry {
    gateway: Arc<Gateway>,
    req: Option<IdentifiedRequest>,
    started: Stamp,
    first_at: Option<Stamp>,
    /// The number of attempts so far.
    pub sends: u32,
    placement: Option<Placement>,
    /// The amount that is counted against its team's limit.
    pub counted: f64,
    /// The longest gap between two events of the stream so far.
    pub longest_gap: Duration,
    /// The status of the response to the caller.
    pub status: u16,
    outcome: &'static str,
    retry_after: Option<Duration>,
    waited: Option<Duration>,
}

impl AccessLogEntry {
    /// Returns the entry of a request that arrived at `started`.
    pub fn begin(gateway: Arc<Gateway>, started: Stamp) -> AccessLogEntry {
        AccessLogEntry {
            gateway,
            req: None,
            started,
            first_at: None,
            sends: 0,
            placement: None,
            counted: 0.0,
            longest_gap: Duration::ZERO,
            status: 0,
            outcome: "abandoned",
            retry_after: None,
            waited: None,
        }
    }

    /// Notes the team, the route and, once its body was read, the content.
    pub fn note_identified(&mut self, req: &IdentifiedRequest) {
        self.req = Some(req.clone());
    }

    /// Notes an attempt and its backend server.
    pub fn note_attempt(&mut self, placement: &Placement) {
        self.sends += 1;
        self.placement = Some(placement.clone());
    }

    /// Notes the time that it has waited for an engine.
    pub fn note_waited(&mut self, waited: Duration) {
        self.waited = Some(waited);
    }

    /// Notes that the last attempt did not leave this node.
    pub fn note_unsent(&mut self) {
        self.sends -= 1;
    }

    /// Notes the first token, or the response of a plain service.
    pub fn note_started(&mut self) {
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
    pub fn note_complete(&mut self) {
        self.outcome = "answered";
    }

    /// Notes that the response was cut short.
    pub fn note_cut(&mut self) {
        self.outcome = "cut";
    }

    /// Notes that the request ends with a response of the node's own.
    pub fn note_failure(&mut self, failure: Failure) {
        self.outcome = failure.as_str();
        let refusal = failure.refusal();
        self.status = refusal.status.as_u16();
        self.retry_after = refusal.after;
    }
}

// A caller that disconnects drops the response at any point, so the entry is written on drop.
impl Drop for AccessLogEntry {
    fn drop(&mut self) {
        let now = clock::now();
        let millis = |from: Stamp, to: Stamp| to.since(from).as_secs_f64() * 1_000.0;
        let req = self.req.as_ref();
        let placement = self.placement.as_ref();
        let cfg = req.map(|req| &req.route.cfg);
        let target_gap = cfg.filter(|cfg| cfg.kind.is_stream()).and_then(|cfg| cfg.target_gap);
        let expected = placement.and_then(|placement| placement.footprint.expected);
        meters::request_ended(
            req.map(|req| req.route.cfg.kind),
            self.outcome,
            self.first_at.map(|at| at.since(self.started)),
            now.since(self.started),
        );
        let age = self.gateway.with(|state| {
            if let Some(at) = self.first_at {
                state.startup.note(at, Stage::FirstAnswer);
            }
            state.freshness.age(now)
        });
        tracing::info!(
            event = Event::CallEnded.number(),
            id = req.map_or("", |req| req.call.id.as_str()),
            route = req.map_or("", |req| req.route.name.as_str()),
            team = req.and_then(|req| req.team.as_ref()).map_or("", |team| team.name.as_str()),
            outcome = self.outcome,
            status = self.status,
            counted = self.counted,
            sends = self.sends,
            backend = placement.map_or("", |placement| &*placement.name),
            version = placement.map_or("", |placement| &*placement.version),
            after = req.and_then(|req| req.call.resume_after),
            resumes = req.and_then(|req| req.call.resumes.as_deref()),
            parts = req
                .and_then(|req| req.call.prompt.as_ref())
                .map(|prompt| display(prompt.part_ids())),
            digest = req.map(|req| display(req.fingerprint.digest())),
            carrier = placement.and_then(|placement| placement.carrier.as_ref()).map(display),
            candidates = placement.map_or(0, |placement| placement.candidates),
            speed = placement.map(|placement| placement.speed),
            queued_ms = self.waited.map(|waited| waited.as_secs_f64() * 1_000.0),
            wait_ms = placement.map(|placement| placement.wait.as_secs_f64() * 1_000.0),
            expected_ms = expected.map(|expected| expected.as_secs_f64() * 1_000.0),
            to_read = placement.map_or(0, |placement| placement.footprint.prefill_tokens),
            copied_from = placement.and_then(|placement| placement.copy_from).map(display),
            first_ms = self.first_at.map(|at| millis(self.started, at)),
            took_ms = millis(self.started, now),
            target_ms = cfg.map(|cfg| cfg.target_latency.as_secs_f64() * 1_000.0),
            target_gap_ms = target_gap.map(|gap| gap.as_secs_f64() * 1_000.0),
            longest_gap_ms = target_gap.map(|_| self.longest_gap.as_secs_f64() * 1_000.0),
            after_ms = self.retry_after.map(|after| after.as_secs_f64() * 1_000.0),
            revision = req.map_or(0, |req| req.table.revision.0),
            config_age_ms = age.map(|age| age.as_secs_f64() * 1_000.0)
        );
    }
}
