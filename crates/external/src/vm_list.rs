//! The platform's list of live and leaving VMs, which lags behind.

use std::net::SocketAddr;

use bulrushhall_core::{ServiceName, VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Call;

/// A `ListedVm` is one VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service whose backend server it runs; none for an entry VM.
    pub service: Option<ServiceName>,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A `VmList` tells which VMs live; a dead one may still be shown and a new one not yet.
pub trait VmList: Send + Sync {
    /// Gets the list.
    fn list(&self) -> Call<'_, Vec<ListedVm>>;
}
