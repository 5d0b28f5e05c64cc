//! The choice of home engines by rendezvous hashing, weighted by speed.

use crate::{engine_choice::EngineView, placement::rendezvous_score};

/// The time to first token, as a multiple of the model's, up to which an engine has the full weight.
const FULL_WEIGHT_SLOWNESS: f64 = 0.8;
/// The exponent of an engine's speed in its weight. Proportional weights would leave a third of the usual chance to
/// an engine that is half as fast, and callers of a hot prefix would wait there; this leaves a sixteenth.
const SPEED_EXPONENT: i32 = 4;

/// The number of homes from which sorting all engines takes less time than inserting into a sorted list.
const MAX_INSERTED: usize = 16;

/// Returns the positions of the `count` home engines of a prefix.
///
/// All nodes that know the same engines and speeds get the same homes, and a smaller number of homes is a part of a
/// larger one. Without `by_speed` all engines have the same weight.
pub fn rank_homes(prefix: u64, engines: &[EngineView], count: usize, by_speed: bool) -> Vec<usize> {
    let usable = engines.iter().enumerate().filter(|(_, engine)| !engine.circuit_open);
    let costs = usable.map(|(at, engine)| {
        let cost = distance(rendezvous_score(prefix, engine.identity));
        (if by_speed { cost * inverse_weight(engine.slowness) } else { cost }, at)
    });
    let mut best: Vec<(f64, usize)>;
    if MAX_INSERTED < count {
        best = costs.collect();
        if count < best.len() {
            best.select_nth_unstable_by(count, |one, other| one.0.total_cmp(&other.0));
            best.truncate(count);
        }
    } else {
        best = Vec::with_capacity(count + 1);
        for (cost, at) in costs {
            if best.len() == count && best.last().is_none_or(|(last, _)| *last <= cost) {
                continue;
            }
            let place = best.partition_point(|(other, _)| *other <= cost);
            best.insert(place, (cost, at));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, at)| at).collect()
}

fn inverse_weight(slowness: f64) -> f64 {
    (slowness / FULL_WEIGHT_SLOWNESS).max(1.0).powi(SPEED_EXPONENT)
}

// Returns the distance of a hash from the greatest one, between 0 and 1. For the few highest hashes it is the negative
// logarithm of weighted rendezvous hashing, which takes longer.
fn distance(hash: u64) -> f64 {
    1.0 - (hash >> 11) as f64 / (1_u64 << 53) as f64
}
