//! Roll-outs of a version of a service: how much traffic it gets, and whether it is kept.

mod controller;
mod judge;
mod options;
mod slow_bar;
mod track;

pub use controller::{RolloutController, RolloutObservation, RolloutStage, RolloutStep};
pub use judge::{Judge, SequentialJudge, ThresholdJudge, Verdict, judge_named};
pub use options::RolloutOptions;
pub use slow_bar::SlowBar;
pub use track::{
    COHORTS, RolloutCounts, Track, TrackCounts, TrackGroup, cohort, min_target_servers,
};
