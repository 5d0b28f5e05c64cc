//! The servers of one zone as a plan finds them.

/// `ZoneServers` are the servers of one zone that take work now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneServers {
    /// The reclaimable ones.
    pub reclaimable: u32,
    /// The on-demand ones.
    pub on_demand: u32,
    /// The reclaimable ones that are leaving and take no new work; the platform counts them still.
    pub leaving: u32,
}
