//! One answer: the tokens that came so far, and readers that follow at their own speed.

use std::sync::{Arc, Mutex, MutexGuard};

use bulrushhall_core::{ClassName, ModelName, Ran, RequestId, TeamName};
use bulrushhall_platform::engine::Usage;
use tokio::sync::watch;

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
}

/// An `AnswerEnd` is how an answer ended.
#[derive(Clone, Debug)]
pub enum AnswerEnd {
    /// The answer is whole.
    Whole(Usage),
    /// The answer will never be whole.
    Failed(ApiError),
}

/// A `Part` is what a reader gets next.
#[derive(Clone, Debug)]
pub enum Part {
    /// A token and its number; the first has 0.
    Token(usize, String),
    /// The end; nothing follows.
    End(AnswerEnd),
}

#[derive(Default)]
struct State {
    tokens: Vec<String>,
    end: Option<AnswerEnd>,
}

impl Answer {
    /// Returns an answer without tokens.
    pub fn new(id: RequestId, team: TeamName, model: ModelName, class: ClassName) -> Answer {
        let length = watch::Sender::new(0);
        Answer { id, team, model, class, state: Mutex::default(), length }
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

    /// Adds a token.
    pub fn push(&self, token: String) {
        let mut state = self.lock();
        if state.end.is_some() {
            return;
        }
        state.tokens.push(token);
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

    /// Returns whether the request has certainly not been run yet.
    pub fn ran(&self) -> Ran {
        if self.is_empty() { Ran::Unknown } else { Ran::Yes }
    }

    /// Returns a reader that starts at token number `next`.
    pub fn read_from(self: &Arc<Self>, next: usize) -> Reader {
        Reader { answer: Arc::clone(self), next, length: self.length.subscribe(), done: false }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A `Reader` follows one answer.
pub struct Reader {
    answer: Arc<Answer>,
    next: usize,
    length: watch::Receiver<usize>,
    done: bool,
}

impl Reader {
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

    fn ready(&mut self) -> Vec<Part> {
        let state = self.answer.lock();
        let mut parts = Vec::new();
        for (number, token) in state.tokens.iter().enumerate().skip(self.next) {
            parts.push(Part::Token(number, token.clone()));
        }
        self.next = self.next.max(state.tokens.len());
        if let Some(end) = &state.end {
            parts.push(Part::End(end.clone()));
            self.done = true;
        }
        parts
    }
}
