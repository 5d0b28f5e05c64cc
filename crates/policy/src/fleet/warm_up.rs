//! Who loads model weights next, under the weight store's rate.

use bulrushhall_core::ServiceName;

/// A `Shortfall` is how far a service is from the engines it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// The service.
    pub service: ServiceName,
    /// The engines that it needs.
    pub needed: u32,
    /// The engines that serve or load already.
    pub present: u32,
    /// The engines that wait to load.
    pub cold: u32,
}

/// Returns the service whose engine loads next: the one with the largest part missing.
pub fn next_to_load(shortfalls: &[Shortfall]) -> Option<&ServiceName> {
    let cold = shortfalls.iter().filter(|one| 0 < one.cold && 0 < one.needed);
    // Parts are compared by their cross products, so that no rounding decides.
    let first = cold.max_by(|a, b| {
        let missing = |one: &Shortfall| u64::from(one.needed.saturating_sub(one.present));
        let (left, right) = (missing(a) * u64::from(b.needed), missing(b) * u64::from(a.needed));
        left.cmp(&right).then(b.service.cmp(&a.service))
    });
    first.map(|one| &one.service)
}
