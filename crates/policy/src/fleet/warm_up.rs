//! The order in which services load model weights, since the rate of the weight store is limited.

use bulrushhall_core::ServiceName;

/// A `Shortfall` is the gap between the present and the needed engines of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// The service.
    pub service: ServiceName,
    /// The number of engines that it needs.
    pub needed: u32,
    /// The number of engines that serve or load weights.
    pub present: u32,
    /// The number of engines that wait to load weights.
    pub cold: u32,
}

/// Returns the service whose engine loads next: the one with the largest relative shortfall.
pub fn next_to_load(shortfalls: &[Shortfall]) -> Option<&ServiceName> {
    let cold = shortfalls.iter().filter(|shortfall| 0 < shortfall.cold && 0 < shortfall.needed);
    // Ratios are compared by cross multiplication to avoid rounding.
    let first = cold.max_by(|a, b| {
        let missing =
            |shortfall: &Shortfall| u64::from(shortfall.needed.saturating_sub(shortfall.present));
        let (left, right) = (missing(a) * u64::from(b.needed), missing(b) * u64::from(a.needed));
        left.cmp(&right).then(b.service.cmp(&a.service))
    });
    first.map(|shortfall| &shortfall.service)
}
