//! Latency estimates of backend servers, learned from their answers.
//!
//! The speed of the servers in a deployment is not known in advance. Decisions use these estimates
//! rather than fixed assumptions.

mod call_times;
mod engine_latency_estimator;
mod engine_latency_model;
mod line_fit;
mod model_sum;
mod recent_samples;

pub use call_times::CallTimes;
pub use engine_latency_estimator::{EngineLatencyEstimator, FirstTokenSample, StreamSample};
pub use engine_latency_model::{EngineLatencyModel, Line};
pub use line_fit::LineFit;
pub use model_sum::ModelSum;
pub use recent_samples::RecentSamples;
