//! The simulation of one schedule.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use bulrushhall_coord::{
    Action, CopyLocation, Message, Ownership, OwnershipOptions, Peer, Version,
};
use bulrushhall_core::{Incarnation, RequestId, Stamp, ZoneName};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    plan::{DisruptionKind, Mutant, Plan},
    reader::{NodeOutput, Reader},
    trace::Event,
};

const SWEEP_INTERVAL: Duration = Duration::from_millis(300);
const TICK_DELAY: Duration = Duration::from_millis(10);
const TOKEN_INTERVAL: Duration = Duration::from_millis(150);
const LEAVE_TIME: Duration = Duration::from_secs(6);
const SETTLE_TIME: Duration = Duration::from_secs(9);
const RESPONSE_TOKENS: usize = 8;

/// A `World` is the simulation of one schedule.
pub struct World {
    plan: Plan,
    random: Pcg64Mcg,
    now: Stamp,
    queue: BinaryHeap<Reverse<(Stamp, u64, Step)>>,
    steps: u64,
    nodes: Vec<Node>,
    readers: [Reader; 2],
    runs: u64,
    trace: Vec<Event>,
}

struct Node {
    machine: Ownership,
    alive: bool,
    leaving: bool,
    awake_at: Stamp,
    /// Which other nodes this one considers alive.
    view: Vec<bool>,
    is_tick_due: bool,
    shown: Option<NodeOutput>,
    run: Option<Run>,
    offers: Vec<Incarnation>,
}

#[derive(Clone, Copy)]
struct Run {
    number: u64,
    version: Version,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Deliver(usize, usize, u64),
    Sweep(usize),
    Tick(usize),
    Write(usize, u64),
    View(usize, usize, bool),
    Disruption(usize),
    Leave(usize),
    Exit(usize),
    Read,
}

impl World {
    /// Simulates a schedule and returns its events.
    pub fn simulate(plan: Plan) -> Vec<Event> {
        let random = Pcg64Mcg::seed_from_u64(plan.seed ^ 0x9e37_79b9);
        let mut world = World {
            random,
            now: Stamp::from_millis(1),
            queue: BinaryHeap::new(),
            steps: 0,
            nodes: (0..plan.nodes).map(|at| node(at, plan.nodes)).collect(),
            readers: Default::default(),
            runs: 0,
            trace: Vec::new(),
            plan,
        };
        world.run();
        world.trace
    }

    fn run(&mut self) {
        let mut messages: Vec<Option<Message>> = Vec::new();
        for at in 0..self.nodes.len() {
            self.update_members(at, &mut messages);
            let first = Duration::from_millis(self.random.random_range(1..300));
            self.after(first, Step::Sweep(at));
        }
        for at in 0..self.plan.disruptions.len() {
            self.after(self.plan.disruptions[at].at, Step::Disruption(at));
        }
        self.after(Duration::from_millis(120), Step::Read);
        let last = self.plan.disruptions.iter().map(|disruption| match disruption.kind {
            DisruptionKind::Pause(time) => disruption.at + time,
            DisruptionKind::Leave => disruption.at + LEAVE_TIME,
            DisruptionKind::Crash => disruption.at,
        });
        let end = self.now + last.max().unwrap_or_default() + SETTLE_TIME;

        let accepted = self.nodes[0].machine.accept(self.now, id(), Bytes::from_static(b"survey"));
        self.start_run(0, Version { epoch: 1, generation: 0, owner: incarnation(0) });
        self.nodes[0].shown = Some(NodeOutput::default());
        self.carry_out(0, accepted, &mut messages);
        while let Some(Reverse((at, _, step))) = self.queue.pop() {
            if end < at {
                break;
            }
            self.now = at;
            self.step(step, &mut messages);
            if self.is_over() {
                break;
            }
        }
        let complete = self
            .nodes
            .iter()
            .any(|node| node.alive && node.shown.as_ref().is_some_and(|shown| shown.ended));
        self.trace.push(Event::Settled { complete });
    }

    // Nothing changes once all readers have the complete response.
    fn is_over(&self) -> bool {
        self.readers.iter().all(|reader| reader.done)
    }

    fn step(&mut self, step: Step, messages: &mut Vec<Option<Message>>) {
        if let Some(node) = step.node()
            && self.now < self.nodes[node].awake_at
        {
            let awake_at = self.nodes[node].awake_at;
            self.push(awake_at, step);
            return;
        }
        match step {
            Step::Deliver(from, to, index) => {
                if !self.nodes[to].alive {
                    return;
                }
                let Some(message) = messages[index as usize].clone() else { return };
                let from = incarnation(from);
                let drops_copies = self.plan.mutant == Some(Mutant::DropsCopies);
                let is_dropped = drops_copies && matches!(message, Message::Copy { .. });
                let actions = self.nodes[to].machine.receive(self.now, from, message.clone());
                if is_dropped {
                    let version = Version { epoch: u32::MAX, generation: 0, owner: from };
                    let drop = Message::Drop { id: message.id(), version };
                    self.nodes[to].machine.receive(self.now, from, drop);
                }
                self.carry_out(to, actions, messages);
            }
            Step::Sweep(at) => {
                if !self.nodes[at].alive {
                    return;
                }
                self.after(SWEEP_INTERVAL, Step::Sweep(at));
                let is_disabled = self.plan.mutant == Some(Mutant::NeverTakesOver)
                    && self.nodes[at].machine.held_body(id()).is_some();
                if !is_disabled {
                    let actions = self.nodes[at].machine.sweep(self.now);
                    self.carry_out(at, actions, messages);
                }
                if self.nodes[at].leaving {
                    self.hand_over(at, messages);
                }
            }
            Step::Tick(at) => {
                self.nodes[at].is_tick_due = false;
                if self.nodes[at].alive {
                    let actions = self.nodes[at].machine.tick(self.now);
                    self.carry_out(at, actions, messages);
                }
            }
            Step::Write(at, number) => self.write(at, number),
            Step::View(at, other, is_live) => {
                self.nodes[at].view[other] = is_live && self.nodes[other].alive;
                self.update_members(at, messages);
            }
            Step::Disruption(at) => self.disrupt(at),
            Step::Leave(at) => {
                self.nodes[at].machine.leave(self.now);
                for other in 0..self.nodes.len() {
                    self.update_members(other, messages);
                }
                self.hand_over(at, messages);
            }
            Step::Exit(at) => self.crash(at),
            Step::Read => {
                self.read();
                self.after(Duration::from_millis(120), Step::Read);
            }
        }
    }

    fn disrupt(&mut self, at: usize) {
        let disruption = self.plan.disruptions[at];
        if !self.nodes[disruption.node].alive {
            return;
        }
        let live = self.nodes.iter().filter(|node| node.alive && !node.leaving).count();
        match disruption.kind {
            DisruptionKind::Crash if live <= 2 => {}
            DisruptionKind::Crash => self.crash(disruption.node),
            DisruptionKind::Pause(time) => self.pause(disruption.node, time),
            DisruptionKind::Leave if live <= 2 => {}
            DisruptionKind::Leave => {
                self.nodes[disruption.node].leaving = true;
                self.after(Duration::ZERO, Step::Leave(disruption.node));
                self.after(LEAVE_TIME, Step::Exit(disruption.node));
            }
        }
    }

    fn crash(&mut self, at: usize) {
        self.nodes[at].alive = false;
        self.nodes[at].shown = None;
        for other in 0..self.nodes.len() {
            let detected = Duration::from_millis(self.random.random_range(200..900));
            self.after(detected, Step::View(other, at, false));
        }
    }

    fn pause(&mut self, at: usize, time: Duration) {
        let awake_at = self.now + time;
        self.nodes[at].awake_at = awake_at;
        for other in 0..self.nodes.len() {
            if other == at {
                continue;
            }
            let detected = Duration::from_millis(self.random.random_range(200..900));
            if detected < time {
                self.after(detected, Step::View(other, at, false));
                self.after(time + detected, Step::View(other, at, true));
                // A node that resumes has not received heartbeats for a while.
                self.push(awake_at, Step::View(at, other, false));
                let back = Duration::from_millis(self.random.random_range(50..400));
                self.push(awake_at + back, Step::View(at, other, true));
            }
        }
    }

    fn hand_over(&mut self, at: usize, messages: &mut Vec<Option<Message>>) {
        let actions = self.nodes[at].machine.hand_over(self.now, id());
        self.carry_out(at, actions, messages);
    }

    fn update_members(&mut self, at: usize, messages: &mut Vec<Option<Message>>) {
        if !self.nodes[at].alive {
            return;
        }
        let mut peers = Vec::new();
        for other in 0..self.nodes.len() {
            if other == at || !self.nodes[at].view[other] {
                continue;
            }
            let leaving = self.nodes[other].leaving;
            peers.push(Peer { incarnation: incarnation(other), zone: zone(other), leaving });
        }
        let actions = self.nodes[at].machine.set_members(self.now, peers);
        self.carry_out(at, actions, messages);
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>, messages: &mut Vec<Option<Message>>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(at, to, message, messages),
                Action::Accepted(_, copied) => {
                    let has_copy = match copied {
                        CopyLocation::At(peer) => self.has_copy(peer),
                        CopyLocation::NoCopy => false,
                    };
                    self.trace.push(Event::Accepted { copied, has_copy });
                }
                Action::Start { version, .. } => {
                    self.trace.push(Event::Resumed);
                    self.nodes[at].shown = Some(NodeOutput::default());
                    self.start_run(at, version);
                }
                Action::Stop(_) => self.nodes[at].run = None,
                Action::Moved(..) => {
                    if let Some(shown) = &mut self.nodes[at].shown {
                        shown.moved = true;
                    }
                }
                Action::Release(_, first, tokens) => {
                    let Some(shown) = &mut self.nodes[at].shown else { continue };
                    shown.push(first, tokens);
                }
                Action::End(..) => {
                    let Some(shown) = &mut self.nodes[at].shown else { continue };
                    shown.ended = true;
                }
                Action::Keep { tokens, .. } => {
                    self.nodes[at].shown = Some(NodeOutput { tokens, ended: true, moved: false });
                }
            }
        }
    }

    fn has_copy(&self, peer: Incarnation) -> bool {
        let node = &self.nodes[index_of(peer)];
        let kept = node.shown.as_ref().is_some_and(|shown| shown.ended);
        // A dead peer counts as having had the copy that it acknowledged.
        !node.alive
            || kept
            || node.machine.held_body(id()).is_some()
            || node.machine.version(id()).is_some()
            || node.machine.moved_to(id()).is_some()
    }

    fn send(
        &mut self,
        from: usize,
        to: Incarnation,
        message: Message,
        messages: &mut Vec<Option<Message>>,
    ) {
        if let Message::Offer { .. } = &message {
            let offers = &mut self.nodes[from].offers;
            if !offers.contains(&to) {
                offers.push(to);
            }
            if 1 < offers.len() {
                self.trace.push(Event::Replaced);
            }
        }
        if let Message::Drop { version, .. } = &message
            && version.owner == incarnation(from)
        {
            self.trace.push(Event::Replaced);
        }
        let index = messages.len() as u64;
        messages.push(Some(message));
        let mut copies = 1;
        if self.random.random_bool(self.plan.loss) {
            copies = 0;
        } else if self.random.random_bool(self.plan.duplication) {
            copies = 2;
        }
        for _ in 0..copies {
            let mut time = Duration::from_micros(self.random.random_range(200..8_000));
            if self.random.random_bool(self.plan.delay) {
                time = Duration::from_millis(self.random.random_range(10..2_500));
            }
            self.after(time, Step::Deliver(from, index_of(to), index));
        }
    }

    fn start_run(&mut self, at: usize, version: Version) {
        self.runs += 1;
        let number = self.runs;
        self.nodes[at].run = Some(Run { number, version });
        self.after(TOKEN_INTERVAL, Step::Write(at, number));
    }

    // Each run produces different tokens, as an engine with sampling does.
    fn write(&mut self, at: usize, number: u64) {
        let node = &mut self.nodes[at];
        let Some(run) = node.run.filter(|run| run.number == number && node.alive) else { return };
        let written = node.machine.tokens(id()).map_or(0, <[String]>::len);
        let continues = match written < RESPONSE_TOKENS {
            true => node.machine.token(id(), run.version, format!("{number}.{written}")),
            false => {
                let text = node.machine.tokens(id()).unwrap_or_default().to_vec();
                let ended = node.machine.finish(id(), run.version, Bytes::from_static(b"end"));
                if ended {
                    self.trace.push(Event::RunEnded { text });
                }
                false
            }
        };
        if self.plan.mutant == Some(Mutant::ReleasesEarly)
            && let (Some(tokens), Some(shown)) = (node.machine.tokens(id()), &mut node.shown)
        {
            let tokens = tokens.to_vec();
            shown.push(0, tokens);
        }
        if !std::mem::replace(&mut self.nodes[at].is_tick_due, true) {
            self.after(TICK_DELAY, Step::Tick(at));
        }
        if continues {
            self.after(TOKEN_INTERVAL, Step::Write(at, number));
        }
    }

    fn read(&mut self) {
        for at in 0..self.readers.len() {
            if self.readers[at].done {
                continue;
            }
            let node = self.readers[at].at.filter(|node| self.serves(*node));
            let Some(node) = node.or_else(|| self.find()) else { continue };
            self.readers[at].at = Some(node);
            let Some(shown) = self.nodes[node].shown.clone() else { continue };
            let reader = &mut self.readers[at];
            let skips_check = self.plan.mutant == Some(Mutant::SkipsPrefixCheck);
            match shown.begins_with(&reader.seen) {
                None => continue,
                Some(false) if !skips_check => {
                    reader.seen.clear();
                    self.trace.push(Event::Diverged { reader: at });
                }
                Some(_) => {}
            }
            let first = reader.seen.len();
            for (number, text) in shown.tokens.iter().enumerate().skip(first) {
                reader.seen.push(text.clone());
                self.trace.push(Event::Shown { reader: at, number, text: text.clone() });
            }
            if shown.ended {
                reader.done = true;
                self.trace.push(Event::ReaderDone { reader: at });
            }
        }
    }

    fn serves(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        let awake = node.awake_at <= self.now;
        node.alive && awake && node.shown.as_ref().is_some_and(|shown| !shown.moved)
    }

    // Readers may reach any node that shows the response.
    fn find(&mut self) -> Option<usize> {
        let first = self.random.random_range(0..self.nodes.len());
        let mut order = (0..self.nodes.len()).map(|at| (first + at) % self.nodes.len());
        order.find(|at| self.serves(*at))
    }

    fn after(&mut self, time: Duration, step: Step) {
        self.push(self.now + time, step);
    }

    fn push(&mut self, at: Stamp, step: Step) {
        self.steps += 1;
        self.queue.push(Reverse((at, self.steps, step)));
    }
}

impl Step {
    // Returns the node that has to be awake for the step.
    fn node(&self) -> Option<usize> {
        match self {
            Step::Deliver(_, at, _) | Step::Sweep(at) | Step::Tick(at) | Step::Write(at, _) => {
                Some(*at)
            }
            Step::View(at, _, _) | Step::Leave(at) => Some(*at),
            Step::Disruption(_) | Step::Exit(_) | Step::Read => None,
        }
    }
}

fn node(at: usize, nodes: usize) -> Node {
    let options = OwnershipOptions::default();
    Node {
        machine: Ownership::new(incarnation(at), zone(at), options),
        alive: true,
        leaving: false,
        awake_at: Stamp(0),
        view: vec![true; nodes],
        is_tick_due: false,
        shown: None,
        run: None,
        offers: Vec::new(),
    }
}

fn id() -> RequestId {
    RequestId { origin: incarnation(0), sequence: 7 }
}

fn incarnation(at: usize) -> Incarnation {
    Incarnation(at as u64 + 1)
}

fn index_of(incarnation: Incarnation) -> usize {
    incarnation.0 as usize - 1
}

fn zone(at: usize) -> ZoneName {
    ZoneName::new(["suva-a", "suva-b", "nausori", "suva-a"][at % 4]).expect("a name")
}
