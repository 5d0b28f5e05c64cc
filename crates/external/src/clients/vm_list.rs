//! The HTTP client of the list of VMs.

use crate::{
    Call,
    clients::json,
    http::Endpoint,
    vm_list::{ListedVm, VmList},
};

/// An `HttpVmList` is a client of the list of VMs.
pub struct HttpVmList {
    endpoint: Endpoint,
}

impl HttpVmList {
    /// Returns a client of the list at `endpoint`.
    pub fn new(endpoint: Endpoint) -> HttpVmList {
        HttpVmList { endpoint }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> Call<'_, Vec<ListedVm>> {
        Box::pin(json::get(&self.endpoint, "/vms"))
    }
}
