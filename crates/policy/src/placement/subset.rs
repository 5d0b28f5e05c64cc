//! The part of the engines that one node routes to.

use std::collections::BTreeMap;

use crate::placement::rendezvous::mix;

/// Returns the positions of the `size` engines that a node routes to, in rising order.
///
/// Each engine is given as the hash of its name and the number of its availability zone. A node
/// takes the engines that score highest for it, zone by zone in turn, so that its part lies in as
/// many zones as the whole. An engine that comes or goes changes one place of few nodes' parts.
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
