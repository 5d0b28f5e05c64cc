//! The cloud API for the duties, which only one node at a time may call.

use bulrushhall_coord::{TeamCounts, Window};
use bulrushhall_core::{FencingNumber, NodeName, ServiceName};
use bulrushhall_external::Call;
use bulrushhall_policy::fleet_counts::CountOrder;

/// An `Authority` identifies the holder on whose behalf an order is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The holder.
    pub holder: NodeName,
    /// Its fencing number.
    pub fence: FencingNumber,
}

/// `Orders` are the calls of the cloud API that only the holder of the duties may make.
pub trait Orders: Send + Sync {
    /// Orders the desired number of backend servers of a service.
    fn order<'a>(
        &'a self,
        authority: &'a Authority,
        service: &'a ServiceName,
        order: &'a CountOrder,
    ) -> Call<'a, ()>;

    /// Reports the number of requests that each team started in a window.
    fn report<'a>(
        &'a self,
        authority: &'a Authority,
        window: Window,
        counts: &'a TeamCounts,
    ) -> Call<'a, ()>;
}
