//! A call of a plain service on its way to the backend servers.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::{Attempts, crashes::PartId};
use bulrushhall_core::{Ran, Stamp};
use bulrushhall_external::{
    CallError, CallFault,
    service::{ServiceCall, ServiceResponse},
};
use bulrushhall_policy::WorkerKey;
use hyper::StatusCode;

use crate::{
    backends::{Backend, BackendClient},
    callers::sent::{Repeat, Sent},
    context::Context,
    crashes::{self, SentTo},
};

/// A `Next` is what follows after a call was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// It has ended.
    End,
    /// It may be sent to further servers, or again to those that were silent.
    GoOn,
}

/// A `Sending` is a call that is sent to one server after the other.
pub(crate) struct Sending<'a> {
    cx: &'a Arc<Context>,
    call: &'a ServiceCall,
    repeat: Repeat,
    digest: PartId,
    /// When the time of the call is over.
    until: Stamp,
    attempts: Attempts,
    /// What came of it.
    pub(crate) sent: Sent,
    /// The number of servers to which no connection could be opened.
    pub(crate) unreachable: usize,
    /// The servers that were silent before they got the call.
    pub(crate) silent: Vec<WorkerKey>,
}

impl<'a> Sending<'a> {
    /// Returns a call that was not sent yet.
    pub(crate) fn new(
        cx: &'a Arc<Context>,
        call: &'a ServiceCall,
        repeat: Repeat,
        digest: PartId,
        until: Stamp,
    ) -> Sending<'a> {
        let (attempts, sent) = (Attempts::default(), Sent::default());
        let (unreachable, silent) = (0, Vec::new());
        Sending { cx, call, repeat, digest, until, attempts, sent, unreachable, silent }
    }

    /// Sends the call to each server until one responds.
    pub(crate) async fn send_to_each(&mut self, backends: Vec<(WorkerKey, Backend)>) -> Next {
        self.silent.clear();
        for (key, backend) in backends {
            let is_over = self.send_to(key, &backend).await == Next::End;
            if is_over || self.until <= self.cx.clock.now() {
                return Next::End;
            }
        }
        let is_open = self.sent.response.is_none() && !self.silent.is_empty();
        if is_open { Next::GoOn } else { Next::End }
    }

    async fn send_to(&mut self, key: WorkerKey, backend: &Backend) -> Next {
        let (cx, digest) = (self.cx, self.digest);
        self.attempts.begin();
        let sent_at = cx.clock.now();
        let left = self.until.since(sent_at);
        let ended = forward(cx, key, backend, self.call.clone(), left).await;
        self.attempts.end(ran_of(self.call, &ended));
        self.sent.ran = self.attempts.ran();
        match ended {
            Ok(response) => {
                crashes::note_answered(cx, sent_at, digest);
                let is_turned_away = response.rest().is_some();
                self.sent.response = Some(response);
                if self.repeat == Repeat::Allowed && !is_turned_away {
                    return Next::End;
                }
            }
            Err(error) => {
                self.unreachable += usize::from(error == CallError::not_done(CallFault::Connect));
                if error == CallError::not_done(CallFault::Timeout) {
                    self.silent.push(key);
                }
                let attempt = SentTo { digest, backend, at: sent_at };
                crashes::note_failed(cx, attempt, &error).await;
                let may_repeat = error.ran == Ran::No || crashes::may_repeat(cx, digest, backend);
                self.sent.error = Some(error);
                if !may_repeat {
                    return Next::End;
                }
            }
        }
        let is_over = self.repeat == Repeat::AfterNotRun && !self.attempts.may_retry();
        if is_over { Next::End } else { Next::GoOn }
    }
}

// A backend server that checks fencing numbers refuses the call before it runs anything.
fn ran_of(call: &ServiceCall, ended: &Result<ServiceResponse, CallError>) -> Ran {
    match ended {
        Err(error) => error.ran,
        Ok(response)
            if call.fence.is_some() && response.status == StatusCode::PRECONDITION_FAILED =>
        {
            Ran::No
        }
        Ok(response) if response.status.is_server_error() => Ran::Unknown,
        Ok(_) => Ran::Yes,
    }
}

// Sends a call to one backend server.
async fn forward(
    cx: &Context,
    key: WorkerKey,
    backend: &Backend,
    call: ServiceCall,
    limit: Duration,
) -> Result<ServiceResponse, CallError> {
    let BackendClient::Plain(service) = &backend.client else {
        return Err(CallError::not_done(CallFault::Identity));
    };
    let response = service.call_within(call, limit).await?;
    if let Some(rest) = response.rest() {
        cx.backends.note_rest(key, cx.clock.now() + rest);
    }
    Ok(response)
}
