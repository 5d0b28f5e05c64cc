//! The request mixes of both deployments, and the arrivals that a plan generates.

use std::{error, fmt, str::FromStr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::load::{Kind, Phase, Plan};

/// The number of concurrent sessions of each caller.
const SESSIONS: usize = 3;
/// The number of turns after which a session is replaced by a new one.
const TURNS: usize = 6;
/// The number of distinct prefixes that sessions share.
const PREFIXES: u64 = 4;
/// The vocabulary of prompts.
const WORDS: [&str; 16] = [
    "border", "cobalt", "edge", "field", "floral", "glaze", "hall", "kiln", "letter", "member",
    "nave", "ochre", "panel", "reader", "shop", "thread",
];

/// A `Mix` is the distribution of one deployment's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mix {
    /// Glaze consultations, motif surveys, orders and stock lookups.
    #[default]
    Guild,
    /// Comment checks, thread reviews, removals and status lookups.
    Newsroom,
}

/// A `MixError` is returned for an unknown name of a mix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MixError {
    name: String,
}

/// An `Arrival` is one planned request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its number in the plan.
    pub number: usize,
    /// When it arrives, from the start of the run.
    pub at: Duration,
    /// Whether it is included in the results.
    pub phase: Phase,
    /// The kind of request.
    pub kind: Kind,
    /// The caller that sends it.
    pub caller: usize,
    /// The prompt, or the path of a call to a plain service.
    pub text: String,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
}

/// A `Shape` gives the sizes of one kind of request.
#[derive(Clone, Copy)]
struct Shape {
    kind: Kind,
    /// The share in percent.
    share: u32,
    prefix_words: usize,
    turn_words: usize,
    max_tokens: u32,
}

#[derive(Clone, Default)]
struct Conversation {
    text: String,
    turns: usize,
}

impl Mix {
    /// Returns the name used on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Mix::Guild => "guild",
            Mix::Newsroom => "newsroom",
        }
    }

    fn shapes(self) -> [Shape; 4] {
        let plain =
            |kind, share| Shape { kind, share, prefix_words: 0, turn_words: 0, max_tokens: 0 };
        let model = |kind, share, prefix_words, turn_words, max_tokens| Shape {
            kind,
            share,
            prefix_words,
            turn_words,
            max_tokens,
        };
        match self {
            Mix::Guild => [
                model(Kind::Chat, 45, 160, 24, 64),
                model(Kind::Patient, 15, 320, 120, 160),
                plain(Kind::Order, 15),
                plain(Kind::Lookup, 25),
            ],
            Mix::Newsroom => [
                model(Kind::Chat, 55, 240, 32, 24),
                model(Kind::Patient, 10, 240, 400, 120),
                plain(Kind::Order, 10),
                plain(Kind::Lookup, 25),
            ],
        }
    }
}

impl fmt::Display for MixError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no mix has the name {:?}; there are guild and newsroom", self.name)
    }
}

impl error::Error for MixError {}

impl FromStr for Mix {
    type Err = MixError;

    fn from_str(name: &str) -> Result<Mix, MixError> {
        let known = [Mix::Guild, Mix::Newsroom].into_iter().find(|mix| mix.name() == name);
        known.ok_or_else(|| MixError { name: name.to_owned() })
    }
}

/// Returns the arrivals of a plan ordered by time, with exponentially distributed gaps.
pub fn arrivals(plan: &Plan) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed);
    let shapes = plan.mix.shapes();
    let mut conversations = vec![Conversation::default(); plan.callers * SESSIONS];
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while arrivals.len() < plan.requests {
        let unit: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-unit.ln() / plan.rate);
        if plan.length <= at {
            break;
        }
        let shape = pick(&shapes, random.random_range(0..100));
        let caller = random.random_range(0..plan.callers);
        let number = arrivals.len();
        let text = match shape.kind {
            Kind::Order => format!("{}-{number}", plan.seed),
            Kind::Lookup => format!("/stock/{}", random.random_range(0..1_000)),
            Kind::Chat | Kind::Patient => {
                let session = caller * SESSIONS + random.random_range(0..SESSIONS);
                next_turn(&mut conversations[session], shape, &mut random)
            }
        };
        let phase = if at < plan.warm_up { Phase::WarmUp } else { Phase::Measured };
        let max_tokens = shape.max_tokens;
        arrivals.push(Arrival { number, at, phase, kind: shape.kind, caller, text, max_tokens });
    }
    arrivals
}

fn pick(shapes: &[Shape; 4], mut point: u32) -> Shape {
    for shape in shapes {
        if point < shape.share {
            return *shape;
        }
        point -= shape.share;
    }
    shapes[0]
}

// A session's prompt starts with one of a few shared prefixes and grows by one turn per request,
// so an engine that has served the session or the prefix finds most of the prompt in its cache.
fn next_turn(conversation: &mut Conversation, shape: Shape, random: &mut Pcg64Mcg) -> String {
    if conversation.turns == 0 || TURNS <= conversation.turns {
        let prefix = random.random_range(0..PREFIXES);
        let mut fixed = Pcg64Mcg::seed_from_u64(prefix);
        *conversation = Conversation { text: words(shape.prefix_words, &mut fixed), turns: 0 };
    }
    conversation.turns += 1;
    conversation.text.push_str(&words(shape.turn_words, random));
    conversation.text.clone()
}

fn words(count: usize, random: &mut Pcg64Mcg) -> String {
    let mut text = String::new();
    for _ in 0..count {
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text
}
