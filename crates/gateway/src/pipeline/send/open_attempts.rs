//! Attempts whose backend servers have not answered.

use std::{future::pending, pin::Pin};

use bulrushhall_core::Stamp;
use futures_util::future::select_all;

use crate::{
    clock,
    pipeline::{
        attempt::{BackendResponse, note_unanswered},
        identify::IdentifiedRequest,
        placement::Placement,
        send_fault::SendError,
        silence::{SilenceEnd, SilenceStage, log_silence_end},
    },
};

/// An `OpenAttempt` is an attempt that has not ended.
pub struct OpenAttempt<'a> {
    /// Where it was sent.
    pub placement: Placement,
    /// When it began.
    pub began: Stamp,
    /// How it ends.
    pub answer: Pin<Box<dyn Future<Output = Result<BackendResponse, SendError>> + Send + 'a>>,
}

/// `SilentAttempts` are the attempts of a request whose servers have been silent for too long, and may still answer.
#[derive(Default)]
pub struct SilentAttempts<'a> {
    open: Vec<OpenAttempt<'a>>,
}

impl<'a> SilentAttempts<'a> {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds an attempt.
    pub fn push(&mut self, open: OpenAttempt<'a>) {
        self.open.push(open);
    }

    /// Waits until one of them ends, and removes it; forever if there are none.
    pub async fn next(
        &mut self,
        req: &IdentifiedRequest,
    ) -> (Placement, Result<BackendResponse, SendError>) {
        if self.is_empty() {
            return pending().await;
        }
        let answers = self.open.iter_mut().map(|open| open.answer.as_mut());
        let (answer, index, _) = select_all(answers).await;
        let ended = self.open.swap_remove(index);
        let end = if answer.is_ok() { SilenceEnd::WentOn } else { SilenceEnd::Closed };
        let lasted = (SilenceStage::Head, clock::now().since(ended.began));
        log_silence_end(req, &ended.placement, lasted, end);
        (ended.placement, answer)
    }

    /// Resets their connections, so that the servers stop the work.
    pub fn abandon(&mut self, req: &IdentifiedRequest, end: SilenceEnd) {
        for open in self.open.drain(..) {
            let lasted = clock::now().since(open.began);
            log_silence_end(req, &open.placement, (SilenceStage::Head, lasted), end);
            note_unanswered(req, &open.placement, lasted);
        }
    }
}
