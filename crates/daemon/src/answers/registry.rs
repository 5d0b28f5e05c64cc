//! The answers that a node holds, finished ones for a bounded time.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bulrushhall_core::{RequestId, Stamp};

use crate::answers::Answer;

/// How long a finished answer is kept for late readers.
const KEPT_FOR: Duration = Duration::from_secs(300);
/// The most finished answers that are kept.
const KEPT: usize = 20_000;

/// `Answers` are the answers that a node holds, by request.
#[derive(Default)]
pub struct Answers {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    by_id: HashMap<RequestId, Arc<Answer>>,
    finished: VecDeque<(Stamp, RequestId)>,
}

impl Answers {
    /// Takes an answer in.
    pub fn insert(&self, answer: Arc<Answer>) {
        self.lock().by_id.insert(answer.id(), answer);
    }

    /// Gets an answer.
    pub fn get(&self, id: RequestId) -> Option<Arc<Answer>> {
        self.lock().by_id.get(&id).cloned()
    }

    /// Notes that an answer has ended and lets go of the oldest ended ones.
    pub fn finished(&self, now: Stamp, id: RequestId) {
        let mut state = self.lock();
        state.finished.push_back((now, id));
        while let Some(&(at, oldest)) = state.finished.front() {
            if now.since(at) < KEPT_FOR && state.finished.len() <= KEPT {
                break;
            }
            state.finished.pop_front();
            state.by_id.remove(&oldest);
        }
    }

    /// Returns how many answers have not ended.
    pub fn unfinished(&self) -> usize {
        self.lock().by_id.values().filter(|answer| answer.ended().is_none()).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
