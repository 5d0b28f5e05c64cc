//! Orders to the cloud that one node at a time may give.

use bulrushhall_coord::{TeamCounts, Window};
use bulrushhall_core::{FencingNumber, NodeName, ServiceName};
use bulrushhall_external::Call;
use bulrushhall_policy::fleet_counts::CountOrder;

/// An `Authority` is the right under which an order is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The holder.
    pub holder: NodeName,
    /// Its fencing number.
    pub fence: FencingNumber,
}

/// `Orders` are the calls to the cloud that one node at a time may make.
pub trait Orders: Send + Sync {
    /// Orders a number of backend servers of a service.
    fn order<'a>(
        &'a self,
        authority: &'a Authority,
        service: &'a ServiceName,
        order: &'a CountOrder,
    ) -> Call<'a, ()>;

    /// Reports how many requests each team began in a window.
    fn report<'a>(
        &'a self,
        authority: &'a Authority,
        window: Window,
        counts: &'a TeamCounts,
    ) -> Call<'a, ()>;
}
