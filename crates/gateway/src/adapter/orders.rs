//! The cloud API for the duties, which only one node at a time may call.

use std::time::Duration;

use bulrushhall_coord::{TeamCounts, Window};
use bulrushhall_core::{FencingNumber, NodeName, ServiceName};
use bulrushhall_external::{Call, http::SendPermit};
use bulrushhall_policy::fleet_counts::CountOrder;

/// An `Authority` identifies the holder on whose behalf an order is given.
#[derive(Clone, Debug)]
pub struct Authority {
    /// The holder.
    pub holder: NodeName,
    /// Its fencing number.
    pub fence: FencingNumber,
    /// The permit to send the order, which ends with the lease.
    pub permit: SendPermit,
}

/// `Orders` are the calls of the cloud API that only the holder of the duties may make.
///
/// A call that fails or is dropped must not arrive any more, except within `max_delivery_time`.
pub trait Orders: Send + Sync {
    /// Returns the maximum time in which a call may still arrive after the permit to send it has ended,
    /// whatever happens to this process.
    fn max_delivery_time(&self) -> Duration;

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
