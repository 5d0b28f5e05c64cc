//! Hourly prices of VMs.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::errors::{CoreError, Result};

/// The form of a price, for error messages.
const EXPECTED: &str = "a price such as 0.35/h, with at most three decimals";

/// An `HourlyPrice` is the price of a VM per hour, in thousandths of the currency unit.
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
pub struct HourlyPrice(pub u32);

impl fmt::Display for HourlyPrice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/h", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for HourlyPrice {
    type Err = CoreError;

    fn from_str(text: &str) -> Result<HourlyPrice> {
        let malformed = || CoreError::value(EXPECTED, text);
        let amount = text.strip_suffix("/h").ok_or_else(malformed)?;
        let (whole, decimals) = amount.split_once('.').unwrap_or((amount, "0"));
        if 3 < decimals.len() || !decimals.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(malformed());
        }
        let whole: u32 = whole.parse().map_err(|_| malformed())?;
        let thousandths: u32 = format!("{decimals:0<3}").parse().map_err(|_| malformed())?;
        let total = whole.checked_mul(1_000).and_then(|whole| whole.checked_add(thousandths));
        total.map(HourlyPrice).ok_or_else(malformed)
    }
}
