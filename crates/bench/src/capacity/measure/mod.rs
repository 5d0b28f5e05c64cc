//! The measurements: each yields one or more slopes over three or more sizes.

mod bed;
mod codec;
mod control;
mod decision;
mod orders;
mod relay;

use std::error;

use crate::capacity::{Slope, Slopes};

/// The result of a measurement; its errors end the program.
pub type Measured<T> = Result<T, Box<dyn error::Error + Send + Sync>>;

/// A named slope.
pub type Named = (&'static str, Slope);

/// Takes all measurements, one after the other.
pub async fn all(mut progress: impl FnMut(&str)) -> Measured<Slopes> {
    let processors = std::thread::available_parallelism().map_or(1, |count| count.get());
    let mut slopes = Slopes { processors, ..Slopes::default() };
    let mut take = |measured: Vec<Named>| {
        for (name, slope) in measured {
            progress(&format!(
                "{name}: {:.4} each, {:.4} fixed, fit {:.3} ({} by {})",
                slope.each, slope.fixed, slope.fit, slope.value, slope.size
            ));
            slopes.slopes.insert(name.to_owned(), slope);
        }
    };
    take(codec::measure()?);
    take(decision::measure());
    take(orders::measure().await?);
    take(relay::requests().await?);
    take(relay::streams().await?);
    take(relay::kept_answers().await?);
    take(control::measure().await?);
    Ok(slopes)
}
