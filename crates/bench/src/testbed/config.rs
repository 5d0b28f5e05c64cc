//! The configuration of a testbed.

use std::{net::SocketAddr, sync::Arc};

use bulrushhall_core::VmName;
use bulrushhall_standin::{engine::EngineServer, service::ServiceServer};

/// The model that a testbed serves.
pub const MODEL: &str = "motif-7b";
/// The service whose engines serve the model.
pub const SERVICE: &str = "pattern-desk";
/// The plain service of a testbed.
pub const LEDGER: &str = "guild-ledger";

/// Returns the configuration's text.
pub fn text(
    zones: &[&str],
    engines: &[Arc<EngineServer>],
    services: &[Arc<ServiceServer>],
) -> String {
    let mut text = String::new();
    for zone in zones {
        text.push_str(&format!("[zone {zone}]\nregion = viti-central\n\n"));
    }
    let engines = engines.iter().map(|engine| (engine.vm(), engine.address()));
    let services = services.iter().map(|service| (service.vm(), service.address()));
    text.push_str(&format!(
        "[service {SERVICE}]\ntype = model\nbackends = {}\n\n\
         [service {LEDGER}]\ntype = plain\nbackends = {}\nnon_repeatable = /orders\n\n\
         [model {MODEL}]\nservice = {SERVICE}\n\n\
         [class urgent]\npriority = 0\n\n\
         [class patient]\npriority = 5\ndeadline = 10m\n\n\
         [team workshop]\nshare = 1\n\n\
         [team archive]\nshare = 1\n",
        backends(zones, engines),
        backends(zones, services),
    ));
    text
}

fn backends<'a>(zones: &[&str], servers: impl Iterator<Item = (&'a VmName, SocketAddr)>) -> String {
    let mut texts = Vec::new();
    for (at, (vm, address)) in servers.enumerate() {
        texts.push(format!("{vm}@{}@{address}", zones[at % zones.len()]));
    }
    texts.join(", ")
}
