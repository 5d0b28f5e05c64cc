//! The measurements: each yields one or more slopes over three or more sizes.

mod bed;
mod codec;
mod control;
mod decision;
mod orders;
mod relay;

use std::error;

use crate::capacity::Slope;

/// The result of a measurement; its errors end the program.
pub type Measured<T> = Result<T, Box<dyn error::Error + Send + Sync>>;

/// A named slope.
pub type Named = (&'static str, Slope);

/// The groups of measurements, in the order in which they are taken.
pub const GROUPS: [&str; 7] =
    ["codec", "decision", "orders", "requests", "streams", "kept", "control"];

/// Takes the measurements of a group, one after the other.
pub async fn group(name: &str) -> Measured<Vec<Named>> {
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
