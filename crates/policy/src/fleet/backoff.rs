//! Places that refused a purchase or took VMs back, and how long they are left alone.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::Stamp;

use crate::fleet::Place;

/// A `Backoff` keeps purchases away from places that have just failed.
///
/// A cloud that refuses one VM refuses the next one too for a while. Asking on and on costs calls
/// and, with several services asking, drives all of them to the last place that still sells.
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
    /// Returns whether a place may be asked.
    pub fn is_open(&self, now: Stamp, place: &Place) -> bool {
        self.places.get(place).is_none_or(|refusals| refusals.until <= now)
    }

    /// Notes a refusal; the time left alone doubles with each one in a row.
    pub fn refused(&mut self, now: Stamp, place: &Place, first: Duration, most: Duration) {
        let refusals = self.places.entry(place.clone()).or_default();
        let doubled = 1_u32 << refusals.count.min(16);
        refusals.count += 1;
        refusals.until = refusals.until.max(now + first.saturating_mul(doubled).min(most));
    }

    /// Leaves a place alone for a time.
    pub fn hold(&mut self, now: Stamp, place: &Place, span: Duration) {
        let refusals = self.places.entry(place.clone()).or_default();
        refusals.until = refusals.until.max(now + span);
    }

    /// Notes that a place sold a VM.
    pub fn sold(&mut self, place: &Place) {
        self.places.remove(place);
    }
}
