//! How often something may happen.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::errors::{CoreError, Result};

/// What a well-formed rate looks like.
const EXPECTED: &str = "a rate such as 50/s or 20/min";
/// The seconds of a minute.
const MINUTE: u32 = 60;

/// A `Rate` tells how often something may happen, counted per minute.
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
    /// How often in a minute.
    pub per_minute: u32,
}

impl Rate {
    /// Returns how often in a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.per_minute) / f64::from(MINUTE)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.per_minute.is_multiple_of(MINUTE) {
            return write!(f, "{}/s", self.per_minute / MINUTE);
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
        let times = match unit.trim() {
            "s" => MINUTE,
            "min" => 1,
            _ => return Err(malformed()),
        };
        let per_minute = count.checked_mul(times).ok_or_else(malformed)?;
        Ok(Rate { per_minute })
    }
}
