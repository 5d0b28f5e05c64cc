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
/// The most bytes of finished answers that are kept.
const KEPT_BYTES: usize = 16 << 20;

/// `Answers` are the answers that a node holds, by request.
#[derive(Default)]
pub struct Answers {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    by_id: HashMap<RequestId, Arc<Answer>>,
    finished: VecDeque<(Stamp, RequestId, usize)>,
    bytes: usize,
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
        let Some(answer) = state.by_id.get(&id) else { return };
        let bytes = answer.tokens().iter().map(String::len).sum();
        state.bytes += bytes;
        state.finished.push_back((now, id, bytes));
        while let Some(&(at, oldest, bytes)) = state.finished.front() {
            let fits = state.finished.len() <= KEPT && state.bytes <= KEPT_BYTES;
            if now.since(at) < KEPT_FOR && fits {
                break;
            }
            state.finished.pop_front();
            state.bytes -= bytes;
            // The request may have come back in the meantime and run again.
            if state.by_id.get(&oldest).is_some_and(|answer| answer.ended().is_some()) {
                state.by_id.remove(&oldest);
            }
        }
    }

    /// Returns the answers that have not ended.
    pub fn open(&self) -> Vec<Arc<Answer>> {
        let state = self.lock();
        state.by_id.values().filter(|answer| answer.ended().is_none()).cloned().collect()
    }

    /// Lets go of an answer.
    pub fn remove(&self, id: RequestId) {
        self.lock().by_id.remove(&id);
    }

    /// Returns how many answers have not ended.
    pub fn unfinished(&self) -> usize {
        self.lock().by_id.values().filter(|answer| answer.ended().is_none()).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
