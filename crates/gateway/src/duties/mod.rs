//! Duties that only one node at a time carries out.

mod fleet;
mod fleet_demand;
mod holder;
mod rollout;
mod usage;

pub use fleet::FleetDuty;
pub use holder::{Holder, keep_lease};
pub use rollout::RolloutDuty;
pub use usage::{REPORTS_KEY, UsageDuty};

use std::{sync::Arc, time::Duration};

use bulrushhall_external::{CallError, CallFault};
use tokio::time::{sleep, timeout};

use crate::gateway::{Gateway, Phase};

/// The interval of checks for due work.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Carries out the duties while this node holds them.
pub async fn run_duties(gateway: Arc<Gateway>, holder: Arc<Holder>) {
    let mut usage = UsageDuty::default();
    let mut fleet = FleetDuty::default();
    let mut rollouts = RolloutDuty::default();
    while gateway.phase() < Phase::Draining {
        sleep(CHECK_INTERVAL).await;
        if holder.authority().is_none() {
            usage = usage.suspended(gateway.era());
            rollouts = RolloutDuty::default();
            fleet.observe(&gateway);
            continue;
        }
        // A bad version has to be reverted within seconds, so it goes before slow calls.
        rollouts.act(&gateway, &holder).await;
        usage.act(&gateway, &holder).await;
        fleet.act(&gateway, &holder).await;
    }
}

// Limits the time of a call. A call that times out may have taken effect, or may still do so.
async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let answered = timeout(limit, call).await;
    answered.unwrap_or_else(|_| Err(CallError::unknown(CallFault::Timeout)))
}
