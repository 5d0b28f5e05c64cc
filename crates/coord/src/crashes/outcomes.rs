//! What became of the answers of one node.

use std::{collections::HashMap, time::Duration};

use bulrushhall_core::Stamp;

use super::PartId;

/// The maximum number of parts that are remembered; the least recently used of them yield.
const MAX_PARTS: usize = 16_384;
/// The number of parts that are dropped at once when there are too many.
const DROPPED_PARTS: usize = 2_048;
/// The time for which a sound answer speaks for the parts of its prompt, at least: a part may have become bad since, as
/// when servers of another version came.
const SOUND_WINDOW: Duration = Duration::from_secs(30);

/// `PartOutcomes` are the answers that one node has seen, by the parts of their prompts.
#[derive(Debug, Default)]
pub struct PartOutcomes {
    parts: HashMap<PartId, Sound>,
    /// When the last answer to a prompt, and to a request without one, came to its end.
    last_at: Option<Stamp>,
    last_call_at: Option<Stamp>,
}

/// What an answer was made to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answered {
    Prompt,
    Call,
}

#[derive(Clone, Copy, Debug)]
struct Sound {
    current: u32,
    previous: u32,
    window_at: Stamp,
    last_at: Stamp,
    /// When the latest of these answers began.
    last_begun_at: Stamp,
    answered: Answered,
}

impl Sound {
    fn new(now: Stamp, answered: Answered) -> Sound {
        Sound {
            current: 0,
            previous: 0,
            window_at: now,
            last_at: now,
            last_begun_at: Stamp(0),
            answered,
        }
    }

    fn note(&mut self, now: Stamp, begun_at: Stamp) {
        if SOUND_WINDOW <= now.since(self.window_at) {
            let is_next = now.since(self.window_at) < 2 * SOUND_WINDOW;
            self.previous = if is_next { self.current } else { 0 };
            (self.current, self.window_at) = (0, now);
        }
        self.current = self.current.saturating_add(1);
        self.last_at = now;
        self.last_begun_at = self.last_begun_at.max(begun_at);
    }

    fn count(&self, now: Stamp) -> u32 {
        let is_recent = now.since(self.last_at) < SOUND_WINDOW;
        if is_recent { self.current.saturating_add(self.previous) } else { 0 }
    }
}

impl PartOutcomes {
    /// Notes an answer to a prompt that began at a time and came to its end.
    pub fn note_sound(
        &mut self,
        now: Stamp,
        begun_at: Stamp,
        parts: impl IntoIterator<Item = PartId>,
    ) {
        self.last_at = Some(now);
        self.note(now, begun_at, parts, Answered::Prompt);
    }

    /// Notes an answer to a prompt that began at a time and that its server goes on to write.
    pub fn note_progress(
        &mut self,
        now: Stamp,
        begun_at: Stamp,
        parts: impl IntoIterator<Item = PartId>,
    ) {
        self.last_at = Some(now);
        for part in parts {
            let sound = self.parts.entry(part);
            let sound = sound.or_insert_with(|| Sound::new(now, Answered::Prompt));
            sound.last_begun_at = sound.last_begun_at.max(begun_at);
        }
        self.limit_parts();
    }

    /// Notes an answer to a request without a prompt, which tells nothing of the servers of prompts.
    pub fn note_call(&mut self, now: Stamp, begun_at: Stamp, digest: PartId) {
        self.last_call_at = Some(now);
        self.note(now, begun_at, [digest], Answered::Call);
    }

    fn note(
        &mut self,
        now: Stamp,
        begun_at: Stamp,
        ids: impl IntoIterator<Item = PartId>,
        answered: Answered,
    ) {
        for part in ids {
            let sound = self.parts.entry(part).or_insert_with(|| Sound::new(now, answered));
            sound.note(now, begun_at);
        }
        self.limit_parts();
    }

    /// Returns the number of the latest answers to prompts with a part that came to their end.
    pub fn sound(&self, now: Stamp, part: PartId) -> u32 {
        self.parts.get(&part).map_or(0, |sound| sound.count(now))
    }

    /// Returns when the last answer to a prompt with a part came to its end.
    pub fn last_sound(&self, part: PartId) -> Option<Stamp> {
        self.parts.get(&part).map(|sound| sound.last_at)
    }

    /// Returns when the latest sound answer to a prompt with a part began: servers crash when they begin to answer a part, so the
    /// end of the answer says nothing of it.
    pub fn last_begun(&self, part: PartId) -> Option<Stamp> {
        self.parts.get(&part).map(|sound| sound.last_begun_at)
    }

    /// Returns when the last answer to any prompt came to its end.
    pub fn last_answer(&self) -> Option<Stamp> {
        self.last_at
    }

    /// Returns when the last answer came to its end that a server of the same kind may have given as those of a request: to any
    /// prompt, or to any request without one.
    pub fn last_answer_like(&self, digest: PartId) -> Option<Stamp> {
        match self.parts.get(&digest).map(|sound| sound.answered) {
            Some(Answered::Prompt) => self.last_at,
            Some(Answered::Call) => self.last_call_at,
            None => self.last_at.max(self.last_call_at),
        }
    }

    fn limit_parts(&mut self) {
        if self.parts.len() <= MAX_PARTS {
            return;
        }
        let mut used: Vec<Stamp> = self.parts.values().map(|sound| sound.last_at).collect();
        let (_, limit, _) = used.select_nth_unstable(DROPPED_PARTS);
        let limit = *limit;
        self.parts.retain(|_, sound| limit < sound.last_at);
    }
}
