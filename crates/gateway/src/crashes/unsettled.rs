//! Prompts whose answers nobody waits for any more.

use std::{collections::VecDeque, time::Duration};

use bulrushhall_coord::crashes::CrashedRequest;
use bulrushhall_core::Stamp;
use bulrushhall_policy::placement::WorkerKey;

use crate::cluster::as_millis;

/// The maximum number of prompts that are remembered.
const MAX_PROMPTS: usize = 1_024;
/// How long a server that ends may have crashed under a prompt whose caller has left: its record remains for some seconds.
const REMEMBERED_FOR: Duration = Duration::from_secs(6);

/// An `UnsettledPrompt` is a prompt at a server whose answer nobody waits for.
#[derive(Clone, Debug)]
pub struct UnsettledPrompt {
    /// The server.
    pub key: WorkerKey,
    /// A hash of its name and start time.
    pub server: u64,
    /// The request, as of the moment at which its caller left.
    pub req: CrashedRequest,
    /// This moment.
    pub at: Stamp,
    /// What is known of the answer.
    pub answer: UnsettledAnswer,
}

/// An `UnsettledAnswer` is what is known of the answer to an [`UnsettledPrompt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsettledAnswer {
    /// It was not awaited.
    Abandoned,
    /// It ended with its connection, without a mark of its end.
    Unmarked,
}

/// `UnsettledPrompts` are the prompts of the last seconds whose callers have left before the end of the answer.
#[derive(Debug, Default)]
pub struct UnsettledPrompts {
    prompts: VecDeque<UnsettledPrompt>,
}

impl UnsettledPrompts {
    /// Notes a prompt.
    pub fn note(&mut self, prompt: UnsettledPrompt) {
        let oldest = prompt.at;
        self.prompts.retain(|known| oldest.since(known.at) < REMEMBERED_FOR);
        if self.prompts.len() < MAX_PROMPTS {
            self.prompts.push_back(prompt);
        }
    }

    /// Returns whether a server has such prompts.
    pub fn has(&self, now: Stamp, key: WorkerKey) -> bool {
        self.prompts.iter().any(|it| it.key == key && now.since(it.at) < REMEMBERED_FOR)
    }

    /// Returns the servers that have such prompts.
    pub fn servers(&self) -> impl Iterator<Item = (WorkerKey, u64)> {
        self.prompts.iter().map(|prompt| (prompt.key, prompt.server))
    }

    /// Removes the prompts whose answers ended before a server got a request that it has answered, and returns them: it did
    /// not crash under them.
    pub fn take_answered(&mut self, key: WorkerKey, sent_at: Stamp) -> Vec<CrashedRequest> {
        let mut taken = Vec::new();
        self.prompts.retain(|prompt| {
            let is_answered = prompt.key == key
                && prompt.at < sent_at
                && prompt.answer == UnsettledAnswer::Unmarked;
            if is_answered {
                taken.push(prompt.req.clone());
            }
            !is_answered
        });
        taken
    }

    /// Removes the prompts of a server that has ended, and returns them as of that moment.
    pub fn take(&mut self, at: Stamp, server: u64) -> Vec<CrashedRequest> {
        let mut taken = Vec::new();
        self.prompts.retain(|prompt| {
            if prompt.server != server {
                return true;
            }
            let passed = at.since(prompt.at);
            if passed < REMEMBERED_FOR {
                let mut req = prompt.req.clone();
                req.age_ms += as_millis(passed);
                taken.push(req);
            }
            false
        });
        taken
    }
}
