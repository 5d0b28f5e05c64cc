//! What is read of a body before its head is passed on.

use std::time::Duration;

use tokio::time::timeout;

use crate::{
    adapter::ResponseHead,
    body_budget::BodyBudget,
    pipeline::{
        identify::IdentifiedRequest,
        response_body::{Ahead, ResponseBody},
        send_fault::SendFault,
    },
};

/// The most that is read ahead of an answer that is no stream while several servers may answer, in bytes.
const MAX_AHEAD_BYTES: usize = 64 << 10;
/// How much of an answer that is no stream is checked before its head is passed on, in bytes.
const MAX_SHORT_BYTES: usize = 16 << 10;
/// How long a head waits for that.
const SHORT_ANSWER_WAIT: Duration = Duration::from_millis(20);

/// Reads as much of a body as shows that its server goes on with it; `is_marked` is whether its end proves that it is whole.
pub async fn read_ahead(
    req: &IdentifiedRequest,
    head: &ResponseHead,
    body: &mut ResponseBody,
    (after, is_marked): (Option<u64>, bool),
    budget: &BodyBudget,
) -> Result<(), SendFault> {
    let is_stream = req.route.cfg.kind.is_stream() && head.status.is_success();
    let read = if is_stream {
        body.read_event_ahead(after, budget).await
    } else {
        body.read_ahead_to(MAX_AHEAD_BYTES).await
    };
    match read {
        Ok(Ahead::Part) => Ok(()),
        // The forwarder judges a plain answer without a mark of its end.
        Ok(Ahead::End) if is_marked || !is_stream => Ok(()),
        Err(error) if error.is_fault() => Err(SendFault::Foreign),
        Ok(Ahead::End | Ahead::Cut) | Err(_) => Err(SendFault::Closed),
    }
}

/// Checks an answer that is no stream before its head is passed on.
///
/// The bodies of most have arrived with their heads. Longer or later ones are checked as they are forwarded.
pub async fn check_short(
    req: &IdentifiedRequest,
    head: &ResponseHead,
    body: &mut ResponseBody,
) -> Result<(), SendFault> {
    if req.route.cfg.kind.is_stream() && head.status.is_success() {
        return Ok(());
    }
    match timeout(SHORT_ANSWER_WAIT, body.read_ahead_to(MAX_SHORT_BYTES)).await {
        Ok(Err(error)) if error.is_fault() => Err(SendFault::Foreign),
        Ok(Err(_)) => Err(SendFault::Closed),
        Ok(Ok(_)) | Err(_) => Ok(()),
    }
}
