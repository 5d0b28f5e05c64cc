//! The decisions of a roll-out: the share of the target version, and its end.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bulrushhall_coord::Count;
use bulrushhall_core::{Stamp, bounded_seconds};

use super::{
    Judge, RolloutCounts, RolloutOptions, Track, TrackCounts, Verdict, min_target_servers,
};

/// The part of what the drain leaves of the allowed exposure that the first share may use.
const CANARY_REST_PART: f64 = 0.5;
/// The bounds of that, as parts of all of the allowed exposure.
const MIN_CANARY_PART: f64 = 0.15;
const CANARY_PART: f64 = 0.35;
/// How long the share is raised so far that a server of the target version has as much load as one of the current.
const PULSE: Duration = Duration::from_millis(800);
/// The greatest first share.
const MAX_CANARY_SHARE: f64 = 0.5;
/// The part of the allowed exposure that all shares together may use before the end.
const USABLE_PART: f64 = 0.8;
/// The part of the allowed exposure that is never passed on purpose; the rest is for late digests.
const MAX_PART: f64 = 0.85;
/// The factor by which the share of a doubtful version grows.
const MAX_DOUBTFUL_FACTOR: f64 = 2.0;
/// The time for which a share is kept while it grows.
const RAMP_INTERVAL: Duration = Duration::from_millis(500);
/// The factor by which it grows.
const RAMP_FACTOR: f64 = 4.0;
/// The smallest share that the growth leads to, if it is affordable.
const MIN_RAMP_SHARE: f64 = 0.15;
/// The greatest share before the end.
const MAX_RAMP_SHARE: f64 = 0.9;
/// The shortest time that the growth takes.
const MIN_RAMP_TIME: Duration = Duration::from_millis(3_000);
/// The requests for the service in that time: with few, there would be no evidence about a larger share.
const RAMP_REQUESTS: f64 = 60.0;
/// The longest part of a roll-out's time that the growth takes.
const MAX_RAMP_PART: f64 = 0.4;
/// The time in which requests at the current version end, about.
const DRAIN_TIME: Duration = Duration::from_millis(1_800);
/// The shortest time between the last request for the current version and the end: every node has to know.
const MIN_DRAIN: Duration = Duration::from_millis(1_300);
/// The shortest time from the first request for the target version to the end.
const MIN_TIME: Duration = Duration::from_millis(6_000);
/// The shortest time over which the rate of requests is measured.
const MIN_RATE_TIME: Duration = Duration::from_millis(500);
/// The part of the requests at the present rate that is expected to come: there may be fewer.
const EXPECTED_PART: f64 = 0.8;
/// The fewest answers on which a version is completed.
const MIN_ANSWERS: u64 = 8;
/// The windows in which recent answers are judged besides all: a version may turn bad late.
const WINDOWS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(6)];
/// The time before the end in which a version must not have been doubtful.
const UNDOUBTED: Duration = Duration::from_secs(3);
/// The least time between two entries of the history.
const HISTORY_INTERVAL: Duration = Duration::from_millis(150);

/// The fewest answers of the current version that are a control of their own.
const MIN_CONTROL_ANSWERS: u64 = 20;

/// The name under which the counts of all routes are summed up; no route has it.
const ALL_ROUTES: &str = "";

/// A `RolloutObservation` is what the holder of the duty sees at one time.
#[derive(Clone, Debug, Default)]
pub struct RolloutObservation {
    /// The counts of all nodes since the order.
    pub counts: RolloutCounts,
    /// The servers of the target version that accept work.
    pub target_servers: usize,
}

/// A `RolloutStage` is a stage of a roll-out that is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutStage {
    /// No server of the target version accepts work.
    Waiting,
    /// The target version gets a small share.
    Canary,
    /// Its share grows.
    Ramp,
    /// Requests that can only end where they run go to the target version; those at the current one end.
    Drain,
}

/// A `RolloutStep` is the decision at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutStep {
    /// The target version gets this share of the requests, and all that can't be resumed if `stage` is
    /// [`RolloutStage::Drain`].
    Share {
        /// The share.
        share: f64,
        /// The stage.
        stage: RolloutStage,
    },
    /// All requests go to the target version from now on.
    Complete,
    /// All requests go to the current version from now on.
    Revert,
}

/// A `RolloutController` decides one roll-out.
pub struct RolloutController {
    options: RolloutOptions,
    judge: Box<dyn Judge>,
    ordered_at: Stamp,
    /// When the roll-out is due.
    deadline: Stamp,
    /// When it ends; later than the deadline if the servers of the target version start late.
    end_at: Stamp,
    stage: RolloutStage,
    stage_since: Stamp,
    share: f64,
    share_since: Stamp,
    doubtful_at: Option<Stamp>,
    pulse_until: Option<Stamp>,
    pulsed: bool,
    history: VecDeque<(Stamp, RolloutCounts)>,
}

impl RolloutController {
    /// Returns the controller of a roll-out that was ordered at `ordered_at` and is due within `duration`.
    pub fn new(
        ordered_at: Stamp,
        duration: Duration,
        options: RolloutOptions,
        judge: Box<dyn Judge>,
    ) -> RolloutController {
        RolloutController {
            options,
            judge,
            ordered_at,
            deadline: ordered_at + duration,
            end_at: ordered_at + duration,
            stage: RolloutStage::Waiting,
            stage_since: ordered_at,
            share: 0.0,
            share_since: ordered_at,
            doubtful_at: None,
            pulse_until: None,
            pulsed: false,
            history: VecDeque::new(),
        }
    }

    /// Returns the share of the target version.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the stage.
    pub fn stage(&self) -> RolloutStage {
        self.stage
    }

    /// Returns the verdict on the observed answers.
    ///
    /// Those since the start and those of the last seconds are judged. All are compared with the current
    /// version at its worst: an outage may fall into seconds in which the target version had a larger share
    /// than before.
    pub fn verdict(&self, now: Stamp, seen: &RolloutObservation) -> Verdict {
        let mut spans = vec![by_route(seen.counts.clone())];
        for window in WINDOWS {
            let earlier = self.history.iter().rev().find(|(at, _)| window <= now.since(*at));
            let Some((_, earlier)) = earlier else { continue };
            let recent = seen.counts.iter().map(|(key, counts)| {
                let before = earlier.get(key).copied().unwrap_or_default();
                (key.clone(), counts.since(before))
            });
            spans.push(by_route(recent.collect()));
        }
        let mut worst = Verdict::Good;
        for span in &spans {
            for (route, answers) in span {
                let controls = spans.iter().filter_map(|span| Some(span.get(route)?.control));
                let control = worst_control(controls).unwrap_or(answers.control);
                worst = worst.max(self.judge.judge(control, &answers.cohorts));
            }
        }
        worst
    }

    /// Advances the time; returns the decision.
    pub fn step(&mut self, now: Stamp, seen: &RolloutObservation) -> RolloutStep {
        let verdict = self.verdict(now, seen);
        self.note_history(now, seen);
        let load = Load::new(self, now, seen);
        if verdict == Verdict::Bad {
            return RolloutStep::Revert;
        }
        if verdict == Verdict::Doubtful {
            self.doubtful_at = Some(now);
        }
        let last_moment = self.end_at - self.options.margin;
        if last_moment <= now && MIN_ANSWERS <= load.answers {
            // At the last moment a version that is probably bad must not take over.
            let is_suspect = verdict == Verdict::Suspect;
            return if is_suspect || self.is_doubted(now) {
                RolloutStep::Revert
            } else {
                RolloutStep::Complete
            };
        }
        if verdict == Verdict::Doubtful {
            // More answers settle the doubt, but they must not cost many callers.
            let share = (self.share * MAX_DOUBTFUL_FACTOR).min(load.affordable_share(self));
            if self.stage == RolloutStage::Drain {
                self.enter(now, RolloutStage::Ramp);
            }
            return RolloutStep::Share { share, stage: self.stage };
        }
        match self.stage {
            RolloutStage::Waiting if 0 < seen.target_servers => {
                self.enter(now, RolloutStage::Canary);
                // Servers that start late make the end late: it has to rest on evidence.
                self.end_at = self.end_at.max(now + MIN_TIME);
                self.set_share(now, self.canary_share(now, &load));
            }
            RolloutStage::Waiting => {}
            RolloutStage::Canary => {
                if self.ramp_from(&load) <= now && MIN_ANSWERS <= load.answers {
                    self.enter(now, RolloutStage::Ramp);
                } else if RAMP_INTERVAL <= now.since(self.share_since) {
                    self.set_share(now, self.canary_share(now, &load));
                }
            }
            RolloutStage::Ramp => {
                if self.drain_from(&load) <= now {
                    self.enter(now, RolloutStage::Drain);
                } else if let Some(share) = self.pulse_share(now, &load) {
                    self.set_share(now, share);
                    self.pulse_until = Some(now + PULSE);
                } else if self.pulse_until.is_some_and(|until| now < until) {
                    // Kept.
                } else if self.pulse_until.take().is_some() {
                    self.set_share(now, load.usable_share(self, now));
                    self.pulsed = true;
                } else if self.may_grow(now, &load) {
                    let grown = (self.share * RAMP_FACTOR).clamp(MIN_RAMP_SHARE, MAX_RAMP_SHARE);
                    self.set_share(now, grown.min(load.usable_share(self, now)).max(self.share));
                }
            }
            RolloutStage::Drain => {
                let drained = load.bound_in_flight == 0;
                let spent = load.affordable_share(self) <= 0.0;
                let ended = drained || spent;
                let is_sound = verdict == Verdict::Good && !self.is_doubted(now);
                if ended && is_sound && MIN_DRAIN <= now.since(self.stage_since) {
                    return RolloutStep::Complete;
                }
            }
        }
        RolloutStep::Share { share: self.share.min(load.affordable_share(self)), stage: self.stage }
    }

    fn is_doubted(&self, now: Stamp) -> bool {
        self.doubtful_at.is_some_and(|at| now.since(at) < UNDOUBTED)
    }

    fn enter(&mut self, now: Stamp, stage: RolloutStage) {
        self.stage = stage;
        self.stage_since = now;
    }

    fn set_share(&mut self, now: Stamp, share: f64) {
        self.share = share;
        self.share_since = now;
    }

    // Some versions are bad only where their servers have as much load as those of the current version. If the share that
    // can be kept is less, it is raised that far for a moment.
    fn pulse_share(&self, now: Stamp, load: &Load) -> Option<f64> {
        if self.pulsed || self.pulse_until.is_some() {
            return None;
        }
        let needed = load.full_share()?;
        let cost = needed * load.per_second * PULSE.as_secs_f64();
        let is_due = self.options.reaction + PULSE <= self.drain_from(load).since(now);
        let is_affordable = cost <= load.left_before_drain(&self.options);
        (is_due && is_affordable && load.usable_share(self, now) < needed).then_some(needed)
    }

    // There has to be evidence about each share before the end.
    fn may_grow(&self, now: Stamp, load: &Load) -> bool {
        RAMP_INTERVAL <= now.since(self.share_since)
            && self.options.reaction <= self.drain_from(load).since(now)
    }

    fn ramp_time(&self, load: &Load) -> Duration {
        let longest = self.deadline.since(self.ordered_at).mul_f64(MAX_RAMP_PART);
        let wanted = bounded_seconds(RAMP_REQUESTS / load.per_second.max(1.0));
        wanted.min(longest).max(MIN_RAMP_TIME)
    }

    fn drain_from(&self, load: &Load) -> Stamp {
        let longest = self.stage_since + self.ramp_time(load);
        longest.min(self.end_at - self.options.margin - DRAIN_TIME)
    }

    fn ramp_from(&self, load: &Load) -> Stamp {
        let latest = self.end_at - self.options.margin - DRAIN_TIME - self.ramp_time(load);
        latest.min(self.stage_since + self.options.max_canary)
    }

    fn canary_share(&self, now: Stamp, load: &Load) -> f64 {
        let length = self.ramp_from(load).since(now).max(self.options.reaction).as_secs_f64();
        let rest = load.allowed * USABLE_PART - load.drain_cost(&self.options);
        let bounds = (load.allowed * MIN_CANARY_PART, load.allowed * CANARY_PART);
        let budget = (rest * CANARY_REST_PART).clamp(bounds.0, bounds.1);
        let left = budget - load.exposed;
        (left / (load.per_second * length).max(1.0)).clamp(0.0, MAX_CANARY_SHARE)
    }

    fn note_history(&mut self, now: Stamp, seen: &RolloutObservation) {
        let last = self.history.back().map(|(at, _)| *at);
        if last.is_none_or(|at| HISTORY_INTERVAL <= now.since(at)) {
            self.history.push_back((now, seen.counts.clone()));
        }
        // One entry beyond the longest window is its start.
        let [.., longest] = WINDOWS;
        while self.history.get(1).is_some_and(|(at, _)| longest <= now.since(*at)) {
            self.history.pop_front();
        }
    }
}

/// The answers on one route.
#[derive(Default)]
struct RouteAnswers {
    control: TrackCounts,
    cohorts: Vec<TrackCounts>,
}

// A version may be bad on one route only, or slightly on all.
fn by_route(counts: RolloutCounts) -> BTreeMap<String, RouteAnswers> {
    let mut sums: RolloutCounts = RolloutCounts::new();
    for ((route, group), counts) in counts {
        for name in [route, ALL_ROUTES.to_owned()] {
            let sum = sums.entry((name, group)).or_default();
            *sum = sum.plus(counts);
        }
    }
    let mut routes: BTreeMap<String, RouteAnswers> = BTreeMap::new();
    for ((route, group), counts) in sums {
        let answers = routes.entry(route).or_default();
        match group.track() {
            Track::Current => answers.control = counts,
            Track::Target => answers.cohorts.push(counts),
        }
    }
    routes
}

// Returns the control with the highest share of bad answers, of those with enough of them.
fn worst_control(controls: impl Iterator<Item = TrackCounts>) -> Option<TrackCounts> {
    let share = |counts: &TrackCounts| counts.bad as f64 / counts.answers as f64;
    controls
        .filter(|counts| MIN_CONTROL_ANSWERS <= counts.answers)
        .max_by(|one, other| share(one).total_cmp(&share(other)))
}

/// The `Load` is the traffic of the service and the target version's part of it.
struct Load {
    /// The requests that the target version has got.
    exposed: f64,
    /// The requests that a bad version may get.
    allowed: f64,
    /// The requests for the service.
    per_second: f64,
    /// The answers of the target version.
    answers: u64,
    /// The requests at the current version that can only end there.
    bound_in_flight: u32,
    /// The share of such requests among all.
    bound_share: f64,
    /// The servers of the target version that accept work.
    target_servers: usize,
}

impl Load {
    fn new(controller: &RolloutController, now: Stamp, seen: &RolloutObservation) -> Load {
        let mut sums = [TrackCounts::default(); 2];
        for ((_, group), counts) in &seen.counts {
            let at = usize::from(group.track() == Track::Target);
            sums[at] = sums[at].plus(*counts);
        }
        let [current, target] = sums;
        let sent = current.sent as f64 + target.sent as f64;
        let elapsed = now.since(controller.ordered_at).max(MIN_RATE_TIME);
        let per_second = sent / elapsed.as_secs_f64();
        let left = controller.deadline.since(now).as_secs_f64();
        let coming = per_second * left * EXPECTED_PART;
        let options = &controller.options;
        Load {
            exposed: target.sent as f64,
            allowed: options.exposure_share * (sent + coming) + options.exposure_headroom,
            per_second,
            answers: target.answers,
            bound_in_flight: current.bound.in_flight(),
            bound_share: f64::from(current.bound.begun) / (current.sent.max(1) as f64),
            target_servers: seen.target_servers,
        }
    }

    // The share that keeps the exposure within its bound until evidence about it.
    fn affordable_share(&self, controller: &RolloutController) -> f64 {
        let reaction = controller.options.reaction.as_secs_f64();
        let left = self.allowed * MAX_PART - self.exposed;
        (left / (self.per_second * reaction).max(1.0)).clamp(0.0, 1.0)
    }

    // The share that keeps the exposure within its bound until the first evidence about the drain.
    fn usable_share(&self, controller: &RolloutController, now: Stamp) -> f64 {
        let reaction = controller.options.reaction.as_secs_f64();
        let length = controller.drain_from(self).since(now).as_secs_f64() + reaction;
        let left = self.left_before_drain(&controller.options);
        (left / (self.per_second * length).max(1.0)).clamp(0.0, 1.0)
    }

    // The requests that the target version gets from the begin of the drain to the first evidence about it.
    fn drain_cost(&self, options: &RolloutOptions) -> f64 {
        let drain = MIN_DRAIN + options.reaction;
        self.per_second * self.bound_share * drain.as_secs_f64()
    }

    fn left_before_drain(&self, options: &RolloutOptions) -> f64 {
        self.allowed * USABLE_PART - self.exposed - self.drain_cost(options)
    }

    // The share at which the fewest servers that are used have as much load as those of the current version.
    fn full_share(&self) -> Option<f64> {
        let servers = self.target_servers;
        (0 < servers).then(|| (min_target_servers(servers) as f64 / servers as f64).min(1.0))
    }
}
