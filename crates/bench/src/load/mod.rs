//! Open-loop load: planned arrivals, callers that behave like real ones, and what they saw.

mod addresses;
mod follow;
mod mix;
mod person;
mod plan;
mod record;
mod report;
mod runner;

pub use addresses::Addresses;
pub use follow::{Followed, Following};
pub use mix::{Arrival, Mix, arrivals};
pub use person::Person;
pub use plan::{Plan, PlanError};
pub use record::{Kind, Outcome, Phase, Record};
pub use report::{Latency, Report, Summary};
pub use runner::{Session, run};
