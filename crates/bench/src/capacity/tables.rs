//! tables
use crate::capacity::{Slopes, Target};
use std::collections::BTreeMap;
/// todo
pub fn tables(_slopes: &Slopes, _target: &Target) -> BTreeMap<&'static str, String> {
    BTreeMap::new()
}
