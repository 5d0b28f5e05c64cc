//! The speed of each backend server, learned from the answers that all nodes get there.
//!
//! A node keeps decaying sums of log ratios of measured to expected time for each server. The sums of all nodes are added,
//! and the mean is shrunk toward the model of the service. Times are factors of what the service's model expects: 1.0 is as
//! expected, 2.0 takes twice as long.

mod estimator;
mod link_offset;
mod own_speed;
mod report;
mod service_prior;
mod slow_moment;
mod sums;
mod verdict;

pub use estimator::{ChangeStage, SpeedEstimator};
pub use link_offset::LinkOffset;
pub use own_speed::OwnSpeed;
pub use report::{MAX_REPORT_NUMBER, REPORT_NUMBERS, SpeedReport};
pub use service_prior::ServicePrior;
pub use slow_moment::{PendingCall, SlowMoment};
pub use sums::{MAX_LOG, SpeedSums};
pub use verdict::{SpeedVerdict, VerdictChange};
