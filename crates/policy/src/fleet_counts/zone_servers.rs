//! The present servers of one zone.

/// `ZoneServers` are the numbers of servers in one zone that accept work, and of those that are
/// leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneServers {
    /// The reclaimable servers.
    pub reclaimable: u32,
    /// The on-demand servers.
    pub on_demand: u32,
    /// The reclaimable servers that are leaving and accept no new work; the platform still counts
    /// them.
    pub leaving: u32,
}
