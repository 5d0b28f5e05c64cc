//! The measurements: each returns one or more slopes over at least three sizes.

mod codec;
mod control;
mod decision;
mod orders;
mod process_testbed;
mod relay;

use std::error;

use crate::capacity::Slope;

/// The result of a measurement; its errors end the program.
pub type MeasureResult<T> = Result<T, Box<dyn error::Error + Send + Sync>>;

/// A named slope.
pub type NamedSlope = (&'static str, Slope);

/// The groups of measurements, in the order in which they run.
pub const GROUPS: [&str; 7] =
    ["codec", "decision", "orders", "requests", "streams", "kept", "control"];

/// Runs the measurements of a group one after the other; an unknown group has none.
pub async fn group(name: &str) -> MeasureResult<Vec<NamedSlope>> {
    match name {
        "codec" => codec::measure(),
        "decision" => Ok(decision::measure()),
        "orders" => orders::measure().await,
        "requests" => relay::requests().await,
        "streams" => relay::streams().await,
        "kept" => relay::kept_answers().await,
        "control" => {
            let mut measured = control::engines().await?;
            measured.extend(control::measure().await?);
            Ok(measured)
        }
        _ => Ok(Vec::new()),
    }
}
