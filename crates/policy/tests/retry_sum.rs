//! The sum of the retries of all nodes, while processes end and start, callers move, and nodes are seen late.

use std::{ops::Range, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    headroom_share::{HeadroomShare, MemberView},
    windowed_retry_budget::{RetryLimit, WindowedRetryBudget},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, headroom: 52.0, window: Duration::from_secs(10) };
/// The length of a run in milliseconds.
const END: u64 = 90_000;
/// When servers begin to fail.
const FAILING_FROM: u64 = 30_000;
/// The time between two rounds of gossip.
const ROUND: u64 = 250;
/// After this time the others know that a node has ended or is there.
const SEEN_AFTER: u64 = 1_500;
/// After this time an isolated node knows that it may not be counted, and after the other one the others have dropped it.
const UNCOUNTED_AFTER: u64 = 2_000;
const DROPPED_AFTER: u64 = 4_000;
/// The part of what is allowed that has to be used in the worst window in calm.
const MIN_USED: f64 = 0.85;

struct Node {
    budget: WindowedRetryBudget,
    share: HeadroomShare,
    /// Whether its process runs.
    runs: bool,
    /// Since when it has run, or not.
    since: u64,
}

impl Node {
    fn new(is_first: bool) -> Node {
        let share = HeadroomShare::new(LIMIT.window, is_first);
        Node { budget: WindowedRetryBudget::default(), share, runs: true, since: 0 }
    }

    fn is_known(&self, at: u64) -> bool {
        let is_settled = SEEN_AFTER <= at - self.since;
        if is_settled { self.runs } else { !self.runs || self.since == 0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Calm,
    /// Processes are killed, and start again.
    Kills,
    /// All are killed at once, again and again.
    All,
    /// Callers move from some nodes to others.
    Moves,
}

struct Run {
    nodes: Vec<Node>,
    weights: Vec<f64>,
    requests: Vec<u64>,
    retries: Vec<u64>,
    /// When the first node is cut off from the others and from the key-value service.
    isolated: Range<u64>,
}

impl Run {
    fn play(count: usize, per_second: u64, trouble: Trouble, seed: u64) -> Run {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut run = Run::new(count);
        let mut trouble_at = FAILING_FROM + random.random_range(0..3_000);
        for at in 0..END {
            if at.is_multiple_of(ROUND) {
                run.gossip(at);
            }
            if at == trouble_at {
                run.disturb(at, trouble, &mut random);
                trouble_at += random.random_range(1_000..15_000);
            }
            run.restart(at, &mut random);
            if random.random_bool(per_second as f64 / 1_000.0) {
                run.request(at, &mut random);
            }
        }
        run
    }

    fn new(count: usize) -> Run {
        let nodes = (0..count).map(|_| Node::new(true)).collect();
        Run {
            nodes,
            weights: vec![1.0; count],
            requests: Vec::new(),
            retries: Vec::new(),
            isolated: 0..0,
        }
    }

    fn gossip(&mut self, at: u64) {
        let known: Vec<bool> = self.nodes.iter().map(|node| node.is_known(at)).collect();
        for own in 0..self.nodes.len() {
            let is_other = |other: &usize| known[*other] || *other == own;
            let rank = (0..own).filter(is_other).count() as u32;
            let nodes = (0..self.nodes.len()).filter(is_other).count() as u32;
            let view = MemberView { nodes, rank, is_counted: true };
            let view = self.isolated_view(own, at, view);
            let node = &mut self.nodes[own];
            if node.runs {
                node.share.note(Stamp::from_millis(at), view);
            }
        }
    }

    fn disturb(&mut self, at: u64, trouble: Trouble, random: &mut Pcg64) {
        for number in 0..self.nodes.len() {
            let is_hit = match trouble {
                Trouble::Calm => false,
                Trouble::Kills => random.random_bool(0.4),
                Trouble::All => true,
                Trouble::Moves => {
                    self.weights[number] = if random.random_bool(0.5) { 1.0 } else { 0.02 };
                    false
                }
            };
            if is_hit && self.nodes[number].runs {
                self.nodes[number].runs = false;
                self.nodes[number].since = at;
            }
        }
    }

    fn restart(&mut self, at: u64, random: &mut Pcg64) {
        for node in self.nodes.iter_mut().filter(|node| !node.runs) {
            if 500 <= at - node.since && random.random_bool(0.001) {
                *node = Node { since: at, ..Node::new(false) };
            }
        }
    }

    // The first node reaches neither the others nor the key-value service: it knows that after a while, and the others drop it when
    // its record has expired.
    fn isolated_view(&self, own: usize, at: u64, view: MemberView) -> MemberView {
        if !self.isolated.contains(&at) {
            return view;
        }
        let time = at - self.isolated.start;
        match own {
            0 => MemberView { is_counted: time < UNCOUNTED_AFTER, ..view },
            _ if DROPPED_AFTER <= time => {
                MemberView { nodes: view.nodes - 1, rank: view.rank - 1, ..view }
            }
            _ => view,
        }
    }

    // A request at each running node in turn.
    fn request_in_turn(&mut self, at: u64) {
        let running: Vec<usize> =
            (0..self.nodes.len()).filter(|number| self.nodes[*number].runs).collect();
        let number = running[self.requests.len() % running.len()];
        self.requests.push(at);
        self.ask(number, at);
    }

    fn ask(&mut self, number: usize, at: u64) {
        let (now, node) = (Stamp::from_millis(at), &mut self.nodes[number]);
        node.budget.note_first(now, LIMIT);
        let share = node.share.get(now);
        if FAILING_FROM <= at && node.budget.take(now, LIMIT, share) {
            self.retries.push(at);
        }
    }

    fn request(&mut self, at: u64, random: &mut Pcg64) {
        self.requests.push(at);
        let running: Vec<usize> =
            (0..self.nodes.len()).filter(|number| self.nodes[*number].runs).collect();
        let sum: f64 = running.iter().map(|number| self.weights[*number]).sum();
        let mut drawn = random.random_range(0.0..1.0) * sum;
        for number in running {
            drawn -= self.weights[number];
            if 0.0 < drawn {
                continue;
            }
            return self.ask(number, at);
        }
    }

    /// Returns the retries in the worst window and what is allowed there.
    fn worst(&self) -> (f64, f64) {
        let count = |times: &[u64], from: u64, to: u64| {
            times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
        };
        let window = LIMIT.window.as_millis() as u64;
        let mut worst = (0.0, f64::INFINITY);
        for to in self.retries.iter().map(|at| at + 1) {
            let requests = [0, window / 2, window]
                .map(|before| count(&self.requests, to - window - before, to - before) as f64);
            let allowed = LIMIT.ratio * requests.into_iter().fold(0.0, f64::max) + LIMIT.headroom;
            let retries = count(&self.retries, to - window, to) as f64;
            if worst.1 - worst.0 > allowed - retries {
                worst = (retries, allowed);
            }
        }
        worst
    }
}

// Guards against nodes that together send more retries than a service may get, though each keeps to its own part.
#[rstest]
fn sum_is_kept(
    #[values((2, 25), (5, 25), (5, 50), (60, 200))] (nodes, per_second): (usize, u64),
    #[values(Trouble::Calm, Trouble::Kills, Trouble::All, Trouble::Moves)] trouble: Trouble,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let (retries, allowed) = Run::play(nodes, per_second, trouble, seed).worst();
    assert!(retries <= allowed, "{retries} of {allowed}");
    if trouble == Trouble::Calm {
        assert!(MIN_USED * allowed <= retries, "{retries} of {allowed}");
    }
}

// Guards against parts of the headroom that are given twice when the nodes with the first names end: those after them move up
// in the order by which whole retries are divided.
#[rstest]
#[case::small(5, 25, 1)]
#[case::large(60, 300, 24)]
fn first_nodes_end(#[case] nodes: usize, #[case] per_second: u64, #[case] ended: usize) {
    let mut run = Run::new(nodes);
    let pause = 1_000.0 / per_second as f64;
    let mut next = 0.0;
    for at in 0..END {
        if at.is_multiple_of(ROUND) {
            run.gossip(at);
        }
        if at == FAILING_FROM + 4_000 {
            for node in &mut run.nodes[..ended] {
                (node.runs, node.since) = (false, at);
            }
        }
        while next <= at as f64 {
            run.request_in_turn(at);
            next += pause;
        }
    }
    let (retries, allowed) = run.worst();
    assert!(retries <= allowed, "{retries} of {allowed}");
}

// Guards against a node that the others don't count any more, and that goes on using its part while they use it.
#[rstest]
fn dropped_node(
    #[values(2, 5, 10)] nodes: usize,
    #[values(2_000, 6_000, 9_000)] before: u64,
    #[values(3_000, 8_000, 15_000, 60_000)] lasts: u64,
) {
    let mut run = Run::new(nodes);
    run.isolated = FAILING_FROM - before..FAILING_FROM - before + lasts;
    for at in 0..END {
        if at.is_multiple_of(ROUND) {
            run.gossip(at);
        }
        if at.is_multiple_of(20) {
            run.request_in_turn(at);
        }
    }
    let (retries, allowed) = run.worst();
    assert!(retries <= allowed, "{retries} of {allowed}");
}

// Guards against requests that are rounded up at each of many nodes: a retry is asked for when a request has just arrived, and
// the windows that end then hold more of them than others.
#[rstest]
fn few_requests_each(
    #[values(5, 60, 340)] nodes: usize,
    #[values(4.2, 4.73, 5.0, 9.6, 14.5, 29.9)] requests_in_window: f64,
) {
    let mut run = Run::new(nodes);
    let pause = LIMIT.window.as_millis() as f64 / (requests_in_window * nodes as f64);
    let mut next = 0.0;
    for at in 0..END {
        if at.is_multiple_of(ROUND) {
            run.gossip(at);
        }
        while next <= at as f64 {
            run.request_in_turn(at);
            next += pause;
        }
    }
    let (retries, allowed) = run.worst();
    assert!(retries <= allowed, "{retries} of {allowed}");
}
