//! The registry of a node's answers; finished ones are kept for a limited time.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bulrushhall_core::{RequestId, Stamp};

use crate::answers::Answer;

/// How long a finished answer is kept for late readers.
const FINISHED_RETENTION: Duration = Duration::from_secs(300);
/// The maximum number of finished answers that are kept.
const MAX_FINISHED: usize = 20_000;
/// The maximum memory of the tokens of finished answers that are kept, in bytes.
const MAX_FINISHED_BYTES: usize = 16 << 20;

/// An `Answers` is the registry of a node's answers, by request.
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
    /// Adds an answer.
    pub fn insert(&self, answer: Arc<Answer>) {
        self.lock().by_id.insert(answer.id(), answer);
    }

    /// Returns the answer to a request.
    pub fn get(&self, id: RequestId) -> Option<Arc<Answer>> {
        self.lock().by_id.get(&id).cloned()
    }

    /// Records that an answer has ended and evicts the oldest finished ones over the limits.
    pub fn finished(&self, now: Stamp, id: RequestId) {
        let mut state = self.lock();
        let Some(answer) = state.by_id.get(&id) else { return };
        let bytes = answer.memory();
        state.bytes += bytes;
        state.finished.push_back((now, id, bytes));
        while let Some(&(at, oldest, bytes)) = state.finished.front() {
            let fits = state.finished.len() <= MAX_FINISHED && state.bytes <= MAX_FINISHED_BYTES;
            if now.since(at) < FINISHED_RETENTION && fits {
                break;
            }
            state.finished.pop_front();
            state.bytes -= bytes;
            // The request may have been handed back to this node in the meantime and run again.
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

    /// Removes an answer.
    pub fn remove(&self, id: RequestId) {
        self.lock().by_id.remove(&id);
    }

    /// Returns the number of answers that have not ended.
    pub fn unfinished(&self) -> usize {
        self.lock().by_id.values().filter(|answer| answer.ended().is_none()).count()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
