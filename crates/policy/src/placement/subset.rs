//! The subset of engines that one node routes to.

use std::collections::BTreeMap;

use crate::placement::rendezvous::mix;

/// Returns the indices of the `size` engines that a node routes to, in ascending order.
///
/// Each engine is given as the hash of its name and the number of its availability zone. A node
/// takes the engines with the highest rendezvous scores from the zones in turn, so that its subset
/// spans all zones. Adding or removing an engine changes one entry in the subsets of a few nodes.
pub fn subset(node: u64, engines: &[(u64, usize)], size: usize) -> Vec<usize> {
    if engines.len() <= size {
        return (0..engines.len()).collect();
    }
    let mut zones: BTreeMap<usize, Vec<(u64, usize)>> = BTreeMap::new();
    for (at, &(hash, zone)) in engines.iter().enumerate() {
        zones.entry(zone).or_default().push((mix(node ^ mix(hash)), at));
    }
    for zone in zones.values_mut() {
        zone.sort_unstable();
    }
    let mut chosen = Vec::with_capacity(size);
    while chosen.len() < size {
        for zone in zones.values_mut() {
            let Some((_, at)) = zone.pop() else { continue };
            if chosen.len() < size {
                chosen.push(at);
            }
        }
    }
    chosen.sort_unstable();
    chosen
}
