//! Duties: work that one node at a time does, elected by a lease of the key-value service.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_coord::{
    Hold, Holder, Lease, LeaseCall, LeaseOptions, LeaseReply, Purpose, Wanted, lease::is_candidate,
};
use bulrushhall_core::{FencingNumber, Incarnation, ZoneName};
use bulrushhall_external::{
    CallError, KeyValue,
    http::SendPermit,
    kv::{CasOutcome, LeaseId, Version},
};
use bytes::Bytes;
use tokio::{task::JoinHandle, time::sleep};

use crate::context::Context;

/// The pause between two checks of whether a lease call is due.
const PAUSE: Duration = Duration::from_millis(100);
/// The number of nodes that compete for a duty.
const CANDIDATES: usize = 2;
/// The key prefix of duties.
const PREFIX: &str = "duty/";

/// A `Duty` is one duty that this node holds or competes for.
pub struct Duty {
    cx: Arc<Context>,
    key: String,
    zone: Option<ZoneName>,
    lease: Mutex<Lease>,
}

/// A `DutyTask` keeps the lease of a duty until it is dropped.
pub struct DutyTask {
    duty: Arc<Duty>,
    task: JoinHandle<()>,
}

impl Duty {
    /// Starts to compete for the duty `name`, or for one zone's part of it if a zone is given.
    ///
    /// Without a key-value service the duty is never held.
    pub fn start(
        cx: &Arc<Context>,
        name: &str,
        zone: Option<ZoneName>,
        options: LeaseOptions,
    ) -> DutyTask {
        let key = match &zone {
            Some(zone) => format!("{PREFIX}{name}/{zone}"),
            None => format!("{PREFIX}{name}"),
        };
        let lease = Mutex::new(Lease::new(cx.clock.now(), cx.incarnation, options));
        let duty = Arc::new(Duty { cx: Arc::clone(cx), key, zone, lease });
        let task = tokio::spawn(run_lease(Arc::clone(&duty)));
        DutyTask { duty, task }
    }

    /// Returns the right to act now, if this node has it; to be checked before each action.
    pub fn hold(&self) -> Option<Hold> {
        let now = self.cx.clock.now();
        self.lock(|lease| lease.hold(now)).filter(|hold| hold.from <= now)
    }

    /// Returns the permit to send orders under a hold, which ends with it.
    pub fn permit(self: &Arc<Self>, hold: Hold) -> SendPermit {
        let duty = Arc::clone(self);
        SendPermit::new(move || duty.hold().is_some_and(|held| held.fence == hold.fence))
    }

    fn wanted(&self) -> Wanted {
        if self.cx.is_leaving() || self.cx.is_isolated() {
            return Wanted::No;
        }
        let members = self.cx.members.current();
        let others = members.iter().filter(|member| {
            let of_zone = self.zone.as_ref().is_none_or(|zone| member.zone == *zone);
            of_zone && !member.leaving && !member.suspected
        });
        let others = others.map(|member| member.incarnation);
        let zone = &self.cx.settings.node.zone;
        // Nodes of other zones do the part of a zone without nodes.
        let mut own_zone = self.zone.as_ref().is_none_or(|of| of == zone);
        own_zone |= others.clone().next().is_none();
        if own_zone && is_candidate(&self.key, self.cx.incarnation, others, CANDIDATES) {
            Wanted::Yes
        } else {
            Wanted::No
        }
    }

    async fn carry_out(&self, kv: &dyn KeyValue, call: LeaseCall) -> LeaseReply {
        match call {
            LeaseCall::Grant(ttl) => {
                kv.grant(ttl).await.map_or_else(failed, |lease| LeaseReply::Granted(lease.0))
            }
            LeaseCall::Renew(lease) => {
                kv.renew(LeaseId(lease)).await.map_or_else(failed, |()| LeaseReply::Done)
            }
            LeaseCall::Release(fence) => {
                let removed = kv.remove_if(&self.key, Version(fence.0)).await;
                removed.map_or_else(failed, |_| LeaseReply::Done)
            }
            LeaseCall::Claim(lease) => {
                let own = Holder { incarnation: self.cx.incarnation, lease }.encode();
                let lease = Some(LeaseId(lease));
                match kv.put_if(&self.key, Version(0), Bytes::from(own), lease).await {
                    Ok(CasOutcome::Written(version)) => {
                        LeaseReply::Claimed(FencingNumber(version.0))
                    }
                    Ok(CasOutcome::Conflict(found)) => {
                        LeaseReply::Taken(FencingNumber(found.version.0), holder_of(&found.value))
                    }
                    Err(error) => failed(error),
                }
            }
        }
    }

    fn lock<T>(&self, act: impl FnOnce(&mut Lease) -> T) -> T {
        let mut lease = self.lease.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        act(&mut lease)
    }
}

impl DutyTask {
    /// Returns the duty.
    pub fn duty(&self) -> &Arc<Duty> {
        &self.duty
    }
}

impl Drop for DutyTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run_lease(duty: Arc<Duty>) {
    let Some(kv) = duty.cx.key_value_for(Purpose::Lease) else { return };
    loop {
        let wanted = duty.wanted();
        let now = duty.cx.clock.now();
        let Some(call) = duty.lock(|lease| lease.tick(now, wanted)) else {
            sleep(PAUSE).await;
            continue;
        };
        let reply = duty.carry_out(kv.as_ref(), call).await;
        let now = duty.cx.clock.now();
        duty.lock(|lease| lease.reply(now, reply, &mut rand::rng()));
    }
}

fn failed(error: CallError) -> LeaseReply {
    LeaseReply::Failed(error.ran)
}

// A malformed value counts as another holder's, so that the duty stays taken until the key expires.
fn holder_of(value: &Bytes) -> Holder {
    let held = std::str::from_utf8(value).ok().and_then(Holder::decode);
    held.unwrap_or(Holder { incarnation: Incarnation(0), lease: 0 })
}
