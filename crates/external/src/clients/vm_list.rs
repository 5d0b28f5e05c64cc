//! The HTTP client of the list of VMs.

use crate::{
    Call,
    clients::json,
    http::Endpoint,
    vm_list::{ListedVm, VmList},
};

/// An `HttpVmList` is the list of VMs reached by HTTP.
pub struct HttpVmList {
    endpoint: Endpoint,
}

impl HttpVmList {
    /// Returns the list at `endpoint`.
    pub fn new(endpoint: Endpoint) -> HttpVmList {
        HttpVmList { endpoint }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> Call<'_, Vec<ListedVm>> {
        Box::pin(json::get(&self.endpoint, "/vms"))
    }
}
