//! The random numbers of a node's choices.

use std::cell::RefCell;

use rand::{SeedableRng, rngs::StdRng};

thread_local! {
    static SEEDED: RefCell<Option<StdRng>> = const { RefCell::new(None) };
}

/// Makes the choices of this thread repeatable, for tests under simulated time.
pub fn seed(seed: u64) {
    SEEDED.set(Some(StdRng::seed_from_u64(seed)));
}

/// Returns a source of random numbers for one choice: repeatable where the thread was seeded.
pub fn rng() -> StdRng {
    SEEDED.with_borrow_mut(|seeded| match seeded {
        Some(seeded) => StdRng::from_rng(seeded),
        None => StdRng::from_rng(&mut rand::rng()),
    })
}
