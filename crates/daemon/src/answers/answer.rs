//! One answer: the tokens that came so far, and readers that follow at their own speed.

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

use crate::callers::ApiError;

/// An `Answer` collects one request's tokens; an engine writes it and any number of readers read.
///
/// A reader that is slow or gone holds nobody else up: it only reads later.
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
    attended: AtomicBool,
    prompt_tokens: AtomicUsize,
    place: Mutex<Option<WorkerKey>>,
    evacuation: watch::Sender<Evacuate>,
}

/// An `Evacuate` tells a run whether it has to leave its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evacuate {
    /// It stays.
    #[default]
    Stay,
    /// Its KV cache is to be moved, and it goes on elsewhere.
    Move,
    /// It goes on elsewhere at once.
    Resume,
}

/// An `AnswerEnd` is how an answer ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEnd {
    /// The answer is whole.
    Whole(Usage),
    /// The answer will never be whole.
    Failed(ApiError),
    /// The answer goes on at another node, where its readers may follow it.
    Moved(SocketAddr),
}

/// A `Part` is what a reader gets next.
#[derive(Clone, Debug)]
pub enum Part {
    /// A token and its place in the answer.
    Token(Place, String),
    /// What the reader saw before is not the beginning of this answer; nothing follows.
    Diverged,
    /// The end; nothing follows.
    End(AnswerEnd),
}

/// A `Place` is a token's number and a check over the text up to it.
///
/// An answer that was resumed from an older state may go on with other words. Readers show the
/// check of the last token that they saw, so that they are never given two halves of two texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The number of the token; the first has 0.
    pub number: usize,
    /// The check over all tokens up to this one.
    pub check: u32,
}

#[derive(Default)]
struct State {
    tokens: Vec<String>,
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
            attended: AtomicBool::new(false),
            prompt_tokens: AtomicUsize::new(0),
            place: Mutex::default(),
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

    /// Adds tokens of which the first has number `first`; those that are known already are
    /// skipped.
    pub fn push(&self, first: usize, tokens: impl IntoIterator<Item = String>) {
        let mut state = self.lock();
        if state.end.is_some() || state.tokens.len() < first {
            return;
        }
        let known = state.tokens.len() - first;
        for token in tokens.into_iter().skip(known) {
            let before = state.checks.last().copied().unwrap_or(0);
            state.checks.push(check_after(before, &token));
            state.tokens.push(token);
        }
        let length = state.tokens.len();
        drop(state);
        self.length.send_replace(length);
    }

    /// Ends the answer; a second end changes nothing.
    pub fn end(&self, end: AnswerEnd) {
        let mut state = self.lock();
        if state.end.is_some() {
            return;
        }
        state.end = Some(end);
        drop(state);
        self.length.send_modify(|_| ());
    }

    /// Returns the tokens so far.
    pub fn tokens(&self) -> Vec<String> {
        self.lock().tokens.clone()
    }

    /// Returns the tokens from number `first` on and how the answer ended, if it did.
    pub fn since(&self, first: usize) -> (Vec<String>, Option<AnswerEnd>) {
        let state = self.lock();
        (state.tokens.iter().skip(first).cloned().collect(), state.end.clone())
    }

    /// Returns the place of the last token.
    pub fn last(&self) -> Option<Place> {
        let state = self.lock();
        let check = *state.checks.last()?;
        Some(Place { number: state.tokens.len() - 1, check })
    }

    /// Returns whether a place is one of this answer's; unknown while it is not written so far.
    pub fn has(&self, place: Place) -> Option<bool> {
        self.lock().checks.get(place.number).map(|check| *check == place.check)
    }

    /// Makes the run of this answer stop.
    pub fn halt(&self) {
        self.halted.send_replace(true);
    }

    /// Waits until the run of this answer is to stop.
    pub async fn halted(&self) {
        let mut halted = self.halted.subscribe();
        let _ = halted.wait_for(|halted| *halted).await;
    }

    /// Returns whether the run of this answer is to stop.
    pub fn is_halted(&self) -> bool {
        *self.halted.borrow()
    }

    /// Notes that no other node has a copy of the request.
    pub fn set_uncopied(&self) {
        self.uncopied.store(true, Ordering::Relaxed);
    }

    /// Returns whether no other node had a copy when the request was accepted.
    pub fn is_uncopied(&self) -> bool {
        self.uncopied.load(Ordering::Relaxed)
    }

    /// Notes that an earlier owner may have written the request to a backend server.
    pub fn set_may_have_run(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }

    /// Notes that an engine was given the request.
    pub fn set_started(&self) {
        self.started.store(true, Ordering::Relaxed);
    }

    /// Returns whether an engine was given the request.
    pub fn is_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// Notes that the answer is of use only while somebody reads it.
    pub fn set_attended(&self) {
        self.attended.store(true, Ordering::Relaxed);
    }

    /// Returns whether the answer is of use only while somebody reads it.
    pub fn is_attended(&self) -> bool {
        self.attended.load(Ordering::Relaxed)
    }

    /// Notes the estimated tokens of the prompt.
    pub fn set_prompt_tokens(&self, tokens: u32) {
        self.prompt_tokens.store(usize::try_from(tokens).unwrap_or(0), Ordering::Relaxed);
    }

    /// Returns the estimated tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt_tokens.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// Notes the engine that the request runs on; an order to leave an earlier one is done.
    pub fn set_place(&self, place: Option<WorkerKey>) {
        *self.place.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = place;
        self.evacuation.send_replace(Evacuate::Stay);
    }

    /// Returns the engine that the request runs on.
    pub fn place(&self) -> Option<WorkerKey> {
        *self.place.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Tells the run to leave its engine.
    pub fn evacuate(&self, how: Evacuate) {
        self.evacuation.send_replace(how);
    }

    /// Returns a receiver that sees whether the run has to leave its engine.
    pub fn evacuation(&self) -> watch::Receiver<Evacuate> {
        self.evacuation.subscribe()
    }

    /// Returns how many readers follow the answer.
    pub fn readers(&self) -> usize {
        self.readers.load(Ordering::Relaxed)
    }

    /// Returns how many tokens there are so far.
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
        // What an earlier owner has written to an engine is not known here.
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
    seen: Option<Place>,
    length: watch::Receiver<usize>,
    done: bool,
}

impl Reader {
    /// Returns this reader, which saw the text up to `seen` elsewhere.
    pub fn after(mut self, seen: Option<Place>) -> Reader {
        self.seen = seen;
        self
    }

    /// Returns the answer that is read.
    pub fn answer(&self) -> &Arc<Answer> {
        &self.answer
    }

    /// Waits until something is there and returns all of it; empty once the end was returned.
    pub async fn next(&mut self) -> Vec<Part> {
        while !self.done {
            self.length.borrow_and_update();
            let parts = self.ready();
            if !parts.is_empty() {
                return parts;
            }
            if self.length.changed().await.is_err() {
                break;
            }
        }
        Vec::new()
    }

    /// Waits until the next token or the end is there, without taking it.
    pub async fn ready_or_ended(&mut self) {
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

    fn ready(&mut self) -> Vec<Part> {
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
        for (number, token) in state.tokens.iter().enumerate().skip(self.next) {
            let place = Place { number, check: state.checks[number] };
            parts.push(Part::Token(place, token.clone()));
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

/// Returns the check over a text that goes on with `token`.
pub fn check_after(before: u32, token: &str) -> u32 {
    xxh3_64_with_seed(token.as_bytes(), u64::from(before)) as u32
}
