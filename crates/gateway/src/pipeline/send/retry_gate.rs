//! What has to be checked and paid before a request is sent again.

use std::sync::Arc;

use bulrushhall_coord::Attempts;
use bulrushhall_core::{Event, ServiceName};

use crate::{
    clock,
    crashes::{may_repeat, server_hash},
    gateway::Gateway,
    meters,
    pipeline::{
        identify::IdentifiedRequest, placement::Placement, send::NotSent, silence::NoTakeover,
    },
    retries::{RetryCheck, note_members},
};

/// A `RetryContext` is the request that may be sent again.
#[derive(Clone, Copy)]
pub struct RetryContext<'a> {
    /// The node.
    pub gateway: &'a Arc<Gateway>,
    /// The request.
    pub req: &'a IdentifiedRequest,
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// Whether it has run.
    pub attempts: Attempts,
    /// How often it was sent.
    pub sends: u32,
}

/// A `RetryGate` decides whether a request may be sent again.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryGate {
    /// Whether the next attempt is a retry that is not paid for yet.
    is_due: bool,
    /// The hash of the server that broke off the last attempt or is silent.
    suspect: Option<u64>,
    /// The number of such servers.
    breaks: u32,
    is_refusal_logged: bool,
}

impl RetryGate {
    /// Returns the gate after a server has broken off an answer, or is silent in it.
    pub fn after_break(server: u64, breaks: u32) -> RetryGate {
        RetryGate { is_due: true, suspect: Some(server), breaks, is_refusal_logged: false }
    }

    /// Notes that the next attempt is a retry.
    pub fn note_retry(&mut self) {
        (self.is_due, self.suspect) = (true, None);
    }

    /// Notes that the next attempt is a retry after a server that may have crashed.
    pub fn note_suspect(&mut self, placement: &Placement) {
        self.breaks += 1;
        (self.is_due, self.suspect) = (true, Some(server_hash(&placement.name, placement.born)));
    }

    /// Checks whether the request may be sent again, if the next attempt is a retry.
    pub async fn check(&mut self, cx: RetryContext<'_>) -> Result<(), NotSent> {
        if !self.is_due {
            return Ok(());
        }
        let cfg = &cx.req.route.cfg;
        if !cx.attempts.may_retry() && !cfg.kind.may_run_again() {
            return Err(NotSent::rejected(NoTakeover::NotRepeatable));
        }
        if cfg.attempts <= cx.sends {
            return Err(NotSent::rejected(NoTakeover::Attempts));
        }
        if let Some(server) = self.suspect
            && !may_repeat(cx.gateway, cx.req, server, self.breaks).await
        {
            return Err(NotSent::rejected(NoTakeover::Blocked));
        }
        let checked = cx.gateway.with(|state| {
            let now = clock::now();
            note_members(cx.gateway, state, now);
            state.retries.check(now, cx.service)
        });
        if checked.is_allowed { Ok(()) } else { Err(self.refuse(cx, checked)) }
    }

    /// Takes a due retry from the budget, once there is a server for it.
    pub fn pay(&mut self, cx: RetryContext<'_>, placement: &Placement) -> Result<(), NotSent> {
        if !self.is_due {
            return Ok(());
        }
        let checked = cx.gateway.with(|state| {
            let now = clock::now();
            note_members(cx.gateway, state, now);
            let checked = state.retries.pay(now, cx.service);
            if let (false, Some(backend)) =
                (checked.is_allowed, state.backends.get_mut(placement.key))
            {
                backend.announced.refund_request();
            }
            checked
        });
        if !checked.is_allowed {
            return Err(self.refuse(cx, checked));
        }
        meters::retry(cx.service, checked);
        self.is_due = false;
        Ok(())
    }

    fn refuse(&mut self, cx: RetryContext<'_>, checked: RetryCheck) -> NotSent {
        if !std::mem::replace(&mut self.is_refusal_logged, true) {
            meters::retry(cx.service, checked);
            let RetryCheck { allowance, nodes, .. } = checked;
            tracing::info!(
                event = Event::RepeatRefused.number(),
                id = cx.req.call.id.as_str(),
                service = cx.service.as_str(),
                sends = cx.sends,
                earned = allowance.earned,
                headroom = allowance.headroom,
                spent = allowance.spent,
                nodes
            );
        }
        NotSent::rejected(NoTakeover::Budget)
    }
}
