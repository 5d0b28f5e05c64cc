//! The platform's list of live and leaving VMs, which may be outdated.

use std::net::SocketAddr;

use bulrushhall_core::{ServiceName, VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Call;

/// A `ListedVm` is one VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The service whose backend server runs on the VM; `None` for an entry VM.
    pub service: Option<ServiceName>,
    /// The address that the backend server listens on.
    pub address: SocketAddr,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// The version of the backend server's software; empty if the list names none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

/// A `VmList` lists the live VMs; it may still contain a dead one or not yet contain a new one.
pub trait VmList: Send + Sync {
    /// Gets the list.
    fn list(&self) -> Call<'_, Vec<ListedVm>>;
}
