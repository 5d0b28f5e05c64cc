//! Calls of plain services that another node carries, since this one can't reach the servers.

mod messages;

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Event, Ran, ServiceName};
use bulrushhall_external::{CallError, CallFault, service::ServiceCall};
use rand::seq::SliceRandom;
use tokio::time::timeout;

use crate::{
    callers::{ApiError, sent::Sent, services},
    context::Context,
    members::Member,
    peers::PeerPort,
};

pub use crate::callers::sent::Repeat;
pub use messages::{CarriedCall, CarriedReply, CarriedResponse};

/// How many nodes are asked to carry a call.
const MAX_CARRIERS: usize = 2;
/// How long after no server could be reached the next call tries it again.
const LOST_TIME: Duration = Duration::from_millis(500);
/// The time of a carried call in addition to the timeout of its service.
const CARRY_GRACE: Duration = Duration::from_millis(500);

/// Registers the handler of carried calls.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, call: CarriedCall| async move {
        CarriedReply::of(carry(&cx, call).await)
    });
}

/// Sends a call over connections of this node, or over another node if no server can be reached.
pub(crate) async fn send(
    cx: &Arc<Context>,
    service: &ServiceName,
    call: ServiceCall,
    repeat: Repeat,
) -> Result<Sent, ApiError> {
    let mut lost = Sent::lost(CallError::not_done(CallFault::Connect));
    if !cx.backends.is_lost(service, cx.clock.now()) {
        let sent = services::send(cx, service, &call, repeat).await?;
        if !sent.is_lost {
            note_reached(cx, service);
            return Ok(sent);
        }
        note_lost(cx, service);
        lost = sent;
    }
    let carried = CarriedCall::new(service.clone(), repeat, &call);
    for carrier in carriers(cx) {
        let sent = ask(cx, &carrier, &carried).await;
        if !sent.is_lost {
            return Ok(sent);
        }
    }
    Ok(lost)
}

async fn ask(cx: &Context, carrier: &Member, carried: &CarriedCall) -> Sent {
    let in_force = cx.in_force();
    let cfg = in_force.deployment.services.get(&carried.service);
    let limit = cfg.map_or(Duration::ZERO, |cfg| cfg.timeout.into()) + CARRY_GRACE;
    let asking = cx.carriers.send(cx, carrier.peers, Some(carrier.incarnation), carried.clone());
    match timeout(limit, asking).await {
        Ok(Ok(reply)) => reply.into_sent(),
        Ok(Err(error)) if error.ran == Ran::No => Sent::lost(error),
        Ok(Err(error)) => Sent::failed(error),
        Err(_) => Sent::failed(CallError::unknown(CallFault::Timeout)),
    }
}

// A carrying node uses its own connections only, so there is one hop.
async fn carry(cx: &Arc<Context>, call: CarriedCall) -> Sent {
    let not_sent = || Sent::lost(CallError::not_done(CallFault::Connect));
    let service = call.service.clone();
    let repeat = call.repeat;
    let Some(call) = call.into_call() else { return not_sent() };
    if cx.is_leaving() || cx.backends.is_lost(&service, cx.clock.now()) {
        return not_sent();
    }
    let sent = services::send(cx, &service, &call, repeat).await.unwrap_or_else(|_| not_sent());
    if sent.is_lost {
        note_lost(cx, &service);
    }
    sent
}

fn carriers(cx: &Context) -> Vec<Member> {
    let members = cx.members.current();
    let able = members.iter().filter(|member| !member.leaving && !member.suspected);
    let mut able: Vec<Member> = able.cloned().collect();
    able.shuffle(&mut rand::rng());
    able.truncate(MAX_CARRIERS);
    able
}

fn note_lost(cx: &Context, service: &ServiceName) {
    if cx.backends.note_lost(service, cx.clock.now() + LOST_TIME) {
        tracing::warn!(event = Event::ServersLost.number(), service = service.as_str());
    }
}

fn note_reached(cx: &Context, service: &ServiceName) {
    if cx.backends.note_reached(service) {
        tracing::info!(event = Event::ServersReached.number(), service = service.as_str());
    }
}
