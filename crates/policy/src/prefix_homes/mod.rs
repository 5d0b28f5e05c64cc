//! The home engines of prompt prefixes: how many a prefix has, which, and when a copy between engines is worth it.

mod cached_share;
mod count;
mod demand_homes;
mod prefixes;
mod ranking;
mod uses;

pub use cached_share::{AssumedCache, CachedShare};
pub use count::{HomeCount, PrefixLoad};
pub use demand_homes::{DemandHomes, HomeQuery};
pub use prefixes::{HottestPrefix, PrefixHomes};
pub use ranking::rank_homes;
pub use uses::{MAX_NODE_RATE, PrefixUses, UseReport};
