//! The requests of five teams: conversations that grow, and long surveys.

use std::time::Duration;

use bulrushhall_core::Stamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::policy::{DeploymentSpec, Scenario};

/// The words that all prompts of a team begin with.
const TEAM_WORDS: usize = 192;
/// The words that a conversation opens with.
const OPENING_WORDS: usize = 80;
/// The words of each further turn.
const TURN_WORDS: usize = 48;
/// The most words of an urgent prompt.
const URGENT_WORDS: usize = 768;
/// The words of a survey.
const SURVEY_WORDS: usize = 600;
/// The part of urgent requests that go on with a conversation.
const CONTINUED: f64 = 0.6;
/// The conversations that a team has open.
const CONVERSATIONS: usize = 40;
/// The highest multiple of the average load.
const LOAD_MAX: f64 = 8.0;

/// An `Arrival` is one request of the workload.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub at: Stamp,
    /// The number of its team.
    pub team: usize,
    /// The priority: 0 for urgent and 5 for patient.
    pub priority: u8,
    /// The prompt.
    pub prompt: String,
    /// The words of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub max_tokens: u32,
}

/// A `Workload` yields the arrivals of one run in their order.
pub struct Workload {
    random: Pcg64Mcg,
    scenario: Scenario,
    streams: Vec<Stream>,
    conversations: Vec<Vec<String>>,
    number: u64,
}

struct Stream {
    team: usize,
    priority: u8,
    rate: f64,
    next: Stamp,
}

impl Workload {
    /// Returns the workload of a deployment under a scenario.
    pub fn new(spec: &DeploymentSpec, scenario: Scenario, seed: u64) -> Workload {
        let mut workload = Workload {
            random: Pcg64Mcg::seed_from_u64(seed),
            scenario,
            streams: Vec::new(),
            conversations: vec![Vec::new(); spec.urgent.len()],
            number: 0,
        };
        for (team, &rate) in spec.urgent.iter().enumerate() {
            let rate = rate * LOAD_MAX;
            workload.streams.push(Stream { team, priority: 0, rate, next: Stamp(0) });
        }
        for (team, &rate) in spec.patient.iter().enumerate() {
            workload.streams.push(Stream { team, priority: 5, rate, next: Stamp(0) });
        }
        for at in 0..workload.streams.len() {
            workload.streams[at].next = workload.draw(at);
        }
        workload
    }

    fn draw(&mut self, at: usize) -> Stamp {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        let stream = &self.streams[at];
        stream.next + Duration::from_secs_f64(-uniform.ln() / stream.rate)
    }

    fn urgent(&mut self, team: usize) -> String {
        let open = self.conversations[team].len();
        if 0 < open && self.random.random_bool(CONTINUED) {
            let at = self.random.random_range(0..open);
            let words = self.words(TURN_WORDS);
            let conversation = &mut self.conversations[team][at];
            conversation.push_str(&words);
            let prompt = conversation.clone();
            if URGENT_WORDS <= prompt.split_whitespace().count() + TURN_WORDS {
                self.conversations[team].swap_remove(at);
            }
            return prompt;
        }
        let opening = team_words(team) + &self.words(OPENING_WORDS);
        if open == CONVERSATIONS {
            self.conversations[team].swap_remove(0);
        }
        self.conversations[team].push(opening.clone());
        opening
    }

    fn words(&mut self, count: usize) -> String {
        self.number += 1;
        (0..count).map(|at| format!("n{}w{at} ", self.number)).collect()
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let at = (0..self.streams.len()).min_by_key(|at| self.streams[*at].next)?;
            let Stream { team, priority, next, .. } = self.streams[at];
            self.streams[at].next = self.draw(at);
            // Urgent arrivals are drawn at the highest rate and thinned out to the present one.
            let kept = self.scenario.load(next, team) / LOAD_MAX;
            if priority == 0 && !self.random.random_bool(kept) {
                continue;
            }
            let (prompt, max_tokens) = if priority == 0 {
                (self.urgent(team), self.random.random_range(64..=192))
            } else {
                let survey = team_words(team) + &self.words(SURVEY_WORDS - TEAM_WORDS);
                (survey, self.random.random_range(256..=640))
            };
            let words = prompt.split_whitespace().count();
            let prompt_tokens = u32::try_from(words).unwrap_or(u32::MAX);
            return Some(Arrival { at: next, team, priority, prompt, prompt_tokens, max_tokens });
        }
    }
}

fn team_words(team: usize) -> String {
    (0..TEAM_WORDS).map(|at| format!("t{team}w{at} ")).collect()
}
