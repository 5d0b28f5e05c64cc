//! Rate limits.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::errors::{CoreError, Result};

/// The form of a rate, for error messages.
const EXPECTED: &str = "a rate such as 50/s or 20/min";
/// The number of seconds in a minute.
const SECONDS_PER_MINUTE: u32 = 60;

/// A `Rate` is the number of events that are allowed per minute.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Rate {
    /// The number of events per minute.
    pub per_minute: u32,
}

impl Rate {
    /// Returns the number of events per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.per_minute) / f64::from(SECONDS_PER_MINUTE)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.per_minute.is_multiple_of(SECONDS_PER_MINUTE) {
            return write!(f, "{}/s", self.per_minute / SECONDS_PER_MINUTE);
        }
        write!(f, "{}/min", self.per_minute)
    }
}

impl FromStr for Rate {
    type Err = CoreError;

    fn from_str(text: &str) -> Result<Rate> {
        let malformed = || CoreError::value(EXPECTED, text);
        let (count, unit) = text.split_once('/').ok_or_else(malformed)?;
        let count: u32 = count.trim().parse().map_err(|_| malformed())?;
        let units_per_minute = match unit.trim() {
            "s" => SECONDS_PER_MINUTE,
            "min" => 1,
            _ => return Err(malformed()),
        };
        let per_minute = count.checked_mul(units_per_minute).ok_or_else(malformed)?;
        Ok(Rate { per_minute })
    }
}
