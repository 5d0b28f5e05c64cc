//! What is learnt of backend servers from their answers: how fast they read, write and reply.
//!
//! Nodes serve deployments whose machines nobody has measured before. Decisions ask these models
//! instead of assuming the speeds of some machines.

mod call_times;
mod engine_pace;
mod engine_speed;
mod line_fit;
mod recent;

pub use call_times::CallTimes;
pub use engine_pace::{EnginePace, Line};
pub use engine_speed::{EngineSpeed, FirstTokenSample, StreamSample};
pub use line_fit::LineFit;
pub use recent::Recent;
