//! The requests of five teams: urgent turns of growing conversations, and patient surveys with
//! long prompts.

use std::time::Duration;

use bulrushhall_core::Stamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::policy::{DeploymentSpec, Scenario};

/// The number of words that all prompts of a team share as a prefix.
const TEAM_PREFIX_WORDS: usize = 192;
/// The number of words that a conversation's first prompt adds to the prefix.
const OPENING_WORDS: usize = 80;
/// The number of words that each further turn adds.
const TURN_WORDS: usize = 48;
/// The bound on the words of an urgent prompt; a conversation ends before a turn would reach it.
const MAX_URGENT_WORDS: usize = 768;
/// The number of words of a survey's prompt, the prefix included.
const SURVEY_WORDS: usize = 600;
/// The share of urgent requests that continue a conversation.
const CONTINUATION_SHARE: f64 = 0.6;
/// The maximum number of open conversations of a team.
const MAX_CONVERSATIONS: usize = 40;
/// The largest factor that a scenario's load has on the average rate.
const MAX_LOAD_FACTOR: f64 = 8.0;

/// An `Arrival` is one request of the workload.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub at: Stamp,
    /// The index of its team.
    pub team: usize,
    /// The priority: 0 for urgent and 5 for patient.
    pub priority: u8,
    /// The prompt.
    pub prompt: String,
    /// The number of words of the prompt; the simulated engine counts each as a token.
    pub prompt_tokens: u32,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
}

/// A `Workload` yields the arrivals of one simulation in order of time.
pub struct Workload {
    random: Pcg64Mcg,
    scenario: Scenario,
    streams: Vec<Stream>,
    conversations: Vec<Vec<String>>,
    text_count: u64,
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
            text_count: 0,
        };
        for (team, &rate) in spec.urgent.iter().enumerate() {
            let rate = rate * MAX_LOAD_FACTOR;
            workload.streams.push(Stream { team, priority: 0, rate, next: Stamp(0) });
        }
        for (team, &rate) in spec.patient.iter().enumerate() {
            workload.streams.push(Stream { team, priority: 5, rate, next: Stamp(0) });
        }
        for index in 0..workload.streams.len() {
            workload.streams[index].next = workload.next_arrival_at(index);
        }
        workload
    }

    fn next_arrival_at(&mut self, index: usize) -> Stamp {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        let stream = &self.streams[index];
        stream.next + Duration::from_secs_f64(-uniform.ln() / stream.rate)
    }

    fn urgent_prompt(&mut self, team: usize) -> String {
        let open = self.conversations[team].len();
        if 0 < open && self.random.random_bool(CONTINUATION_SHARE) {
            let index = self.random.random_range(0..open);
            let words = self.unique_words(TURN_WORDS);
            let conversation = &mut self.conversations[team][index];
            conversation.push_str(&words);
            let prompt = conversation.clone();
            if MAX_URGENT_WORDS <= prompt.split_whitespace().count() + TURN_WORDS {
                self.conversations[team].swap_remove(index);
            }
            return prompt;
        }
        let opening = team_prefix(team) + &self.unique_words(OPENING_WORDS);
        if open == MAX_CONVERSATIONS {
            self.conversations[team].swap_remove(0);
        }
        self.conversations[team].push(opening.clone());
        opening
    }

    fn unique_words(&mut self, count: usize) -> String {
        self.text_count += 1;
        (0..count).map(|index| format!("n{}w{index} ", self.text_count)).collect()
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let index = (0..self.streams.len()).min_by_key(|index| self.streams[*index].next)?;
            let Stream { team, priority, next, .. } = self.streams[index];
            self.streams[index].next = self.next_arrival_at(index);
            // Urgent arrivals are generated at the maximum rate and thinned to the present rate.
            let acceptance = self.scenario.load_factor(next, team) / MAX_LOAD_FACTOR;
            if priority == 0 && !self.random.random_bool(acceptance) {
                continue;
            }
            let (prompt, max_tokens) = if priority == 0 {
                (self.urgent_prompt(team), self.random.random_range(64..=192))
            } else {
                let survey =
                    team_prefix(team) + &self.unique_words(SURVEY_WORDS - TEAM_PREFIX_WORDS);
                (survey, self.random.random_range(256..=640))
            };
            let words = prompt.split_whitespace().count();
            let prompt_tokens = u32::try_from(words).unwrap_or(u32::MAX);
            return Some(Arrival { at: next, team, priority, prompt, prompt_tokens, max_tokens });
        }
    }
}

fn team_prefix(team: usize) -> String {
    (0..TEAM_PREFIX_WORDS).map(|index| format!("t{team}w{index} ")).collect()
}
