//! Backoff for places that refused a purchase or reclaimed VMs.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::Stamp;

use crate::fleet::Place;

/// A `Backoff` prevents purchases in places that have just failed.
///
/// A cloud that refuses one VM also refuses the next one for a while. Continuous attempts cost API
/// calls and, with several services, drive all of them to the last place with capacity.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    places: BTreeMap<Place, Refusals>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    count: u32,
    until: Stamp,
}

impl Backoff {
    /// Returns whether a purchase in a place may be attempted.
    pub fn is_open(&self, now: Stamp, place: &Place) -> bool {
        self.places.get(place).is_none_or(|refusals| refusals.until <= now)
    }

    /// Records a refusal; the backoff doubles with each consecutive one.
    pub fn refused(&mut self, now: Stamp, place: &Place, initial: Duration, max: Duration) {
        let refusals = self.places.entry(place.clone()).or_default();
        let factor = 1_u32 << refusals.count.min(16);
        refusals.count += 1;
        refusals.until = refusals.until.max(now + initial.saturating_mul(factor).min(max));
    }

    /// Prevents purchases in a place for a duration.
    pub fn hold(&mut self, now: Stamp, place: &Place, duration: Duration) {
        let refusals = self.places.entry(place.clone()).or_default();
        refusals.until = refusals.until.max(now + duration);
    }

    /// Records a successful purchase, which resets the backoff.
    pub fn purchased(&mut self, place: &Place) {
        self.places.remove(place);
    }
}
