//! What is learnt of backend servers from their answers: how fast they read, write and reply.
//!
//! Nodes serve deployments whose machines nobody has measured before. Decisions ask these models
//! instead of assuming the speeds of some machines.

mod call_times;
mod engine_latency_estimator;
mod engine_latency_model;
mod line_fit;
mod recent_samples;

pub use call_times::CallTimes;
pub use engine_latency_estimator::{EngineLatencyEstimator, FirstTokenSample, StreamSample};
pub use engine_latency_model::{EngineLatencyModel, Line};
pub use line_fit::LineFit;
pub use recent_samples::RecentSamples;
