//! One answer: the tokens generated so far, and readers that follow at their own speed.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use bulrushhall_core::{ClassName, ModelName, Ran, RequestId, TeamName};
use bulrushhall_external::engine::Usage;
use bulrushhall_policy::WorkerKey;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{answers::tokens::Tokens, callers::ApiError};

/// An `Answer` collects the tokens of one request, which any number of readers follow.
///
/// A reader that is slow or has disconnected delays neither the run nor other readers.
pub struct Answer {
    id: RequestId,
    team: TeamName,
    model: ModelName,
    class: ClassName,
    state: Mutex<State>,
    length: watch::Sender<usize>,
    halted: watch::Sender<bool>,
    readers: AtomicUsize,
    uncopied: AtomicBool,
    started: AtomicBool,
    may_have_run: AtomicBool,
    needs_reader: AtomicBool,
    prompt_tokens: AtomicUsize,
    worker: Mutex<Option<WorkerKey>>,
    evacuation: watch::Sender<EvacuationState>,
}

/// An `EvacuationState` tells a run whether it has to leave its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvacuationState {
    /// The run stays on its engine.
    #[default]
    Stay,
    /// The run exports its KV cache and resumes on another engine.
    Move,
    /// The run resumes on another engine at once, without its KV cache.
    Resume,
}

/// An `AnswerEnd` is how an answer ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEnd {
    /// The answer is complete.
    Whole(Usage),
    /// The answer failed and will not be completed.
    Failed(ApiError),
    /// The answer is continued by another node, where its readers may follow it.
    Moved(SocketAddr),
}

/// A `Part` is an item that a reader receives.
#[derive(Clone, Debug)]
pub enum Part {
    /// A token and its position in the answer.
    Token(TokenPosition, String),
    /// The part that the reader has seen is not the beginning of this answer; nothing follows.
    Diverged,
    /// The end; nothing follows.
    End(AnswerEnd),
}

/// A `TokenPosition` is the number of a token and a checksum of the text up to it.
///
/// An answer that was resumed from an older state may continue with a different text. Readers send
/// the checksum of the last token that they received, so that they never receive parts of two
/// texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenPosition {
    /// The number of the token; the first has 0.
    pub number: usize,
    /// The checksum of all tokens up to this one.
    pub check: u32,
}

#[derive(Default)]
struct State {
    tokens: Tokens,
    checks: Vec<u32>,
    end: Option<AnswerEnd>,
}

impl Answer {
    /// Returns an answer without tokens.
    pub fn new(id: RequestId, team: TeamName, model: ModelName, class: ClassName) -> Answer {
        Answer {
            id,
            team,
            model,
            class,
            state: Mutex::default(),
            length: watch::Sender::new(0),
            halted: watch::Sender::new(false),
            readers: AtomicUsize::new(0),
            uncopied: AtomicBool::new(false),
            started: AtomicBool::new(false),
            may_have_run: AtomicBool::new(false),
            needs_reader: AtomicBool::new(false),
            prompt_tokens: AtomicUsize::new(0),
            worker: Mutex::default(),
            evacuation: watch::Sender::default(),
        }
    }

    /// Returns the request that is answered.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the team that the request came from.
    pub fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the model that answers.
    pub fn model(&self) -> &ModelName {
        &self.model
    }

    /// Returns the class of the request.
    pub fn class(&self) -> &ClassName {
        &self.class
    }

    /// Adds tokens, the first of which has number `first`; tokens that are already known are
    /// skipped.
    pub fn push(&self, first: usize, tokens: impl IntoIterator<Item = String>) {
        let mut state = self.lock();
        if state.end.is_some() || state.tokens.len() < first {
            return;
        }
        let known = state.tokens.len() - first;
        for token in tokens.into_iter().skip(known) {
            let before = state.checks.last().copied().unwrap_or(0);
            state.checks.push(next_check(before, &token));
            state.tokens.push(&token);
        }
        let length = state.tokens.len();
        drop(state);
        self.length.send_replace(length);
    }

    /// Ends the answer; does nothing if it has ended already.
    pub fn end(&self, end: AnswerEnd) {
        let mut state = self.lock();
        if state.end.is_some() {
            return;
        }
        state.end = Some(end);
        state.tokens.shrink();
        state.checks.shrink_to_fit();
        drop(state);
        self.length.send_modify(|_| ());
    }

    /// Returns the tokens so far.
    pub fn tokens(&self) -> Vec<String> {
        self.tokens_from(0).0
    }

    /// Returns the memory that its tokens take, in bytes.
    pub fn memory(&self) -> usize {
        let state = self.lock();
        state.tokens.memory() + state.checks.capacity() * size_of::<u32>()
    }

    /// Returns the tokens from number `first` on, and how the answer ended if it did.
    pub fn tokens_from(&self, first: usize) -> (Vec<String>, Option<AnswerEnd>) {
        let state = self.lock();
        let tokens = state.tokens.from(first).map(|(_, token)| token.to_owned());
        (tokens.collect(), state.end.clone())
    }

    /// Returns the position of the last token.
    pub fn last_position(&self) -> Option<TokenPosition> {
        let state = self.lock();
        let check = *state.checks.last()?;
        Some(TokenPosition { number: state.tokens.len() - 1, check })
    }

    /// Returns whether a position belongs to this answer; none if the answer has not reached it
    /// yet.
    pub fn contains(&self, position: TokenPosition) -> Option<bool> {
        self.lock().checks.get(position.number).map(|check| *check == position.check)
    }

    /// Requests the run of this answer to stop.
    pub fn halt(&self) {
        self.halted.send_replace(true);
    }

    /// Waits until the run of this answer is requested to stop.
    pub async fn halted(&self) {
        let mut halted = self.halted.subscribe();
        let _ = halted.wait_for(|halted| *halted).await;
    }

    /// Returns whether the run of this answer is requested to stop.
    pub fn is_halted(&self) -> bool {
        *self.halted.borrow()
    }

    /// Records that no other node has a copy of the request.
    pub fn set_uncopied(&self) {
        self.uncopied.store(true, Ordering::Relaxed);
    }

    /// Returns whether no other node had a copy when the request was accepted.
    pub fn is_uncopied(&self) -> bool {
        self.uncopied.load(Ordering::Relaxed)
    }

    /// Records that an earlier owner may have sent the request to a backend server.
    pub fn set_may_have_run(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }

    /// Records that the request is being sent to an engine.
    pub fn set_started(&self) {
        self.started.store(true, Ordering::Relaxed);
    }

    /// Returns whether this node has sent the request to an engine.
    pub fn is_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// Records that the answer is only useful while it has a reader.
    pub fn set_needs_reader(&self) {
        self.needs_reader.store(true, Ordering::Relaxed);
    }

    /// Returns whether the answer is only useful while it has a reader.
    pub fn needs_reader(&self) -> bool {
        self.needs_reader.load(Ordering::Relaxed)
    }

    /// Sets the estimated number of prompt tokens.
    pub fn set_prompt_tokens(&self, tokens: u32) {
        self.prompt_tokens.store(usize::try_from(tokens).unwrap_or(0), Ordering::Relaxed);
    }

    /// Returns the estimated number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt_tokens.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// Sets the engine that the request runs on, and resets the evacuation of the previous engine.
    pub fn set_worker(&self, worker: Option<WorkerKey>) {
        *self.worker.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = worker;
        self.evacuation.send_replace(EvacuationState::Stay);
    }

    /// Returns the engine that the request runs on.
    pub fn worker(&self) -> Option<WorkerKey> {
        *self.worker.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sets whether the run has to leave its engine.
    pub fn evacuate(&self, state: EvacuationState) {
        self.evacuation.send_replace(state);
    }

    /// Returns a receiver of the evacuation state.
    pub fn evacuation(&self) -> watch::Receiver<EvacuationState> {
        self.evacuation.subscribe()
    }

    /// Returns the number of readers of the answer.
    pub fn readers(&self) -> usize {
        self.readers.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens so far.
    pub fn len(&self) -> usize {
        self.lock().tokens.len()
    }

    /// Returns whether there are no tokens yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how the answer ended, if it did.
    pub fn ended(&self) -> Option<AnswerEnd> {
        self.lock().end.clone()
    }

    /// Returns whether a backend server may have run the request.
    pub fn ran(&self) -> Ran {
        if !self.is_empty() {
            return Ran::Yes;
        }
        // This node does not know what an earlier owner has sent to an engine.
        let may_have_run = self.is_started() || self.may_have_run.load(Ordering::Relaxed);
        if may_have_run { Ran::Unknown } else { Ran::No }
    }

    /// Returns a reader that starts at token number `next`.
    pub fn read_from(self: &Arc<Self>, next: usize) -> Reader {
        self.readers.fetch_add(1, Ordering::Relaxed);
        let (answer, length) = (Arc::clone(self), self.length.subscribe());
        Reader { answer, next, seen: None, length, done: false }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A `Reader` follows one answer.
pub struct Reader {
    answer: Arc<Answer>,
    next: usize,
    seen: Option<TokenPosition>,
    length: watch::Receiver<usize>,
    done: bool,
}

impl Reader {
    /// Sets the position up to which the reader has already received the text.
    pub fn after(mut self, seen: Option<TokenPosition>) -> Reader {
        self.seen = seen;
        self
    }

    /// Returns the answer that is read.
    pub fn answer(&self) -> &Arc<Answer> {
        &self.answer
    }

    /// Waits for new parts and returns all of them; returns none after the end has been returned.
    pub async fn next(&mut self) -> Vec<Part> {
        while !self.done {
            self.length.borrow_and_update();
            let parts = self.take_ready();
            if !parts.is_empty() {
                return parts;
            }
            if self.length.changed().await.is_err() {
                break;
            }
        }
        Vec::new()
    }

    /// Waits until the next token or the end is available, without consuming it.
    pub async fn wait_ready(&mut self) {
        loop {
            self.length.borrow_and_update();
            if self.next < self.answer.len() || self.answer.ended().is_some() {
                return;
            }
            if self.length.changed().await.is_err() {
                return;
            }
        }
    }

    fn take_ready(&mut self) -> Vec<Part> {
        let state = self.answer.lock();
        let mut parts = Vec::new();
        if let Some(seen) = self.seen {
            match state.checks.get(seen.number) {
                Some(check) if *check == seen.check => self.seen = None,
                None if state.end.is_none() => return parts,
                _ => {
                    self.done = true;
                    parts.push(Part::Diverged);
                    return parts;
                }
            }
        }
        for (number, token) in state.tokens.from(self.next) {
            let position = TokenPosition { number, check: state.checks[number] };
            parts.push(Part::Token(position, token.to_owned()));
        }
        self.next = self.next.max(state.tokens.len());
        if let Some(end) = &state.end {
            parts.push(Part::End(end.clone()));
            self.done = true;
        }
        parts
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.readers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the checksum of a text with checksum `before` that continues with `token`.
pub fn next_check(before: u32, token: &str) -> u32 {
    xxh3_64_with_seed(token.as_bytes(), u64::from(before)) as u32
}
