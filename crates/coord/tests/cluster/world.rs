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
    plan::{Mutant, Plan, TroubleKind},
    reader::{Reader, Shown},
    trace::Event,
};

const SWEEP: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(10);
const TOKEN: Duration = Duration::from_millis(150);
const LEAVE_TIME: Duration = Duration::from_secs(6);
const QUIET_AFTER: Duration = Duration::from_secs(9);
const LENGTH: usize = 8;

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
    view: Vec<bool>,
    ticking: bool,
    shown: Option<Shown>,
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
    Trouble(usize),
    Leave(usize),
    Exit(usize),
    Read,
}

impl World {
    /// Plays a schedule through and returns what happened.
    pub fn play(plan: Plan) -> Vec<Event> {
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
        let mut mail: Vec<Option<Message>> = Vec::new();
        for at in 0..self.nodes.len() {
            self.tell_members(at, &mut mail);
            let first = Duration::from_millis(self.random.random_range(1..300));
            self.after(first, Step::Sweep(at));
        }
        for at in 0..self.plan.troubles.len() {
            self.after(self.plan.troubles[at].at, Step::Trouble(at));
        }
        self.after(Duration::from_millis(120), Step::Read);
        let last = self.plan.troubles.iter().map(|trouble| match trouble.kind {
            TroubleKind::Pause(time) => trouble.at + time,
            TroubleKind::Leave => trouble.at + LEAVE_TIME,
            TroubleKind::Crash => trouble.at,
        });
        let end = self.now + last.max().unwrap_or_default() + QUIET_AFTER;

        let accepted = self.nodes[0].machine.accept(self.now, id(), Bytes::from_static(b"survey"));
        self.start_run(0, Version { epoch: 1, generation: 0, owner: incarnation(0) });
        self.nodes[0].shown = Some(Shown::default());
        self.carry_out(0, accepted, &mut mail);
        while let Some(Reverse((at, _, step))) = self.queue.pop() {
            if end < at {
                break;
            }
            self.now = at;
            self.step(step, &mut mail);
            if self.is_over() {
                break;
            }
        }
        let whole = self
            .nodes
            .iter()
            .any(|node| node.alive && node.shown.as_ref().is_some_and(|shown| shown.ended));
        self.trace.push(Event::Quiet { whole });
    }

    // Nothing can change any more once all readers have the whole answer.
    fn is_over(&self) -> bool {
        self.readers.iter().all(|reader| reader.done)
    }

    fn step(&mut self, step: Step, mail: &mut Vec<Option<Message>>) {
        if let Some(node) = step.node()
            && self.now < self.nodes[node].awake_at
        {
            let wakes = self.nodes[node].awake_at;
            self.push(wakes, step);
            return;
        }
        match step {
            Step::Deliver(from, to, letter) => {
                if !self.nodes[to].alive {
                    return;
                }
                let Some(message) = mail[letter as usize].clone() else { return };
                let from = incarnation(from);
                let forgets = self.plan.mutant == Some(Mutant::ForgetsCopies);
                let copied = forgets && matches!(message, Message::Copy { .. });
                let actions = self.nodes[to].machine.receive(self.now, from, message.clone());
                if copied {
                    let version = Version { epoch: u32::MAX, generation: 0, owner: from };
                    let drop = Message::Drop { id: message.id(), version };
                    self.nodes[to].machine.receive(self.now, from, drop);
                }
                self.carry_out(to, actions, mail);
            }
            Step::Sweep(at) => {
                if !self.nodes[at].alive {
                    return;
                }
                self.after(SWEEP, Step::Sweep(at));
                let idle = self.plan.mutant == Some(Mutant::NeverTakesOver)
                    && self.nodes[at].machine.held_body(id()).is_some();
                if !idle {
                    let actions = self.nodes[at].machine.sweep(self.now);
                    self.carry_out(at, actions, mail);
                }
                if self.nodes[at].leaving {
                    self.hand_over(at, mail);
                }
            }
            Step::Tick(at) => {
                self.nodes[at].ticking = false;
                if self.nodes[at].alive {
                    let actions = self.nodes[at].machine.tick(self.now);
                    self.carry_out(at, actions, mail);
                }
            }
            Step::Write(at, number) => self.write(at, number),
            Step::View(at, whom, present) => {
                self.nodes[at].view[whom] = present && self.nodes[whom].alive;
                self.tell_members(at, mail);
            }
            Step::Trouble(at) => self.trouble(at),
            Step::Leave(at) => {
                self.nodes[at].machine.leave(self.now);
                for other in 0..self.nodes.len() {
                    self.tell_members(other, mail);
                }
                self.hand_over(at, mail);
            }
            Step::Exit(at) => self.crash(at),
            Step::Read => {
                self.read();
                self.after(Duration::from_millis(120), Step::Read);
            }
        }
    }

    fn trouble(&mut self, at: usize) {
        let trouble = self.plan.troubles[at];
        if !self.nodes[trouble.node].alive {
            return;
        }
        let living = self.nodes.iter().filter(|node| node.alive && !node.leaving).count();
        match trouble.kind {
            TroubleKind::Crash if living <= 2 => {}
            TroubleKind::Crash => self.crash(trouble.node),
            TroubleKind::Pause(time) => self.pause(trouble.node, time),
            TroubleKind::Leave if living <= 2 => {}
            TroubleKind::Leave => {
                self.nodes[trouble.node].leaving = true;
                self.after(Duration::ZERO, Step::Leave(trouble.node));
                self.after(LEAVE_TIME, Step::Exit(trouble.node));
            }
        }
    }

    fn crash(&mut self, at: usize) {
        self.nodes[at].alive = false;
        self.nodes[at].shown = None;
        for other in 0..self.nodes.len() {
            let noticed = Duration::from_millis(self.random.random_range(200..900));
            self.after(noticed, Step::View(other, at, false));
        }
    }

    fn pause(&mut self, at: usize, time: Duration) {
        let wakes = self.now + time;
        self.nodes[at].awake_at = wakes;
        for other in 0..self.nodes.len() {
            if other == at {
                continue;
            }
            let noticed = Duration::from_millis(self.random.random_range(200..900));
            if noticed < time {
                self.after(noticed, Step::View(other, at, false));
                self.after(time + noticed, Step::View(other, at, true));
                // A node that wakes has not heard of anybody for a while.
                self.push(wakes, Step::View(at, other, false));
                let back = Duration::from_millis(self.random.random_range(50..400));
                self.push(wakes + back, Step::View(at, other, true));
            }
        }
    }

    fn hand_over(&mut self, at: usize, mail: &mut Vec<Option<Message>>) {
        let actions = self.nodes[at].machine.hand_over(self.now, id());
        self.carry_out(at, actions, mail);
    }

    fn tell_members(&mut self, at: usize, mail: &mut Vec<Option<Message>>) {
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
        self.carry_out(at, actions, mail);
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>, mail: &mut Vec<Option<Message>>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(at, to, message, mail),
                Action::Accepted(_, copied) => {
                    let really = match copied {
                        CopyLocation::At(peer) => self.has_copy(peer),
                        CopyLocation::Nowhere => false,
                    };
                    self.trace.push(Event::Accepted { copied, really });
                }
                Action::Start { version, .. } => {
                    self.trace.push(Event::Resumed);
                    self.nodes[at].shown = Some(Shown::default());
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
                    self.nodes[at].shown = Some(Shown { tokens, ended: true, moved: false });
                }
            }
        }
    }

    fn has_copy(&self, peer: Incarnation) -> bool {
        let node = &self.nodes[number(peer)];
        let kept = node.shown.as_ref().is_some_and(|shown| shown.ended);
        // A peer that died after its answer had it.
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
        mail: &mut Vec<Option<Message>>,
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
        let letter = mail.len() as u64;
        mail.push(Some(message));
        let mut copies = 1;
        if self.random.random_bool(self.plan.lost) {
            copies = 0;
        } else if self.random.random_bool(self.plan.doubled) {
            copies = 2;
        }
        for _ in 0..copies {
            let mut time = Duration::from_micros(self.random.random_range(200..8_000));
            if self.random.random_bool(self.plan.late) {
                time = Duration::from_millis(self.random.random_range(10..2_500));
            }
            self.after(time, Step::Deliver(from, number(to), letter));
        }
    }

    fn start_run(&mut self, at: usize, version: Version) {
        self.runs += 1;
        let number = self.runs;
        self.nodes[at].run = Some(Run { number, version });
        self.after(TOKEN, Step::Write(at, number));
    }

    // An engine writes other words on each resume, as one that samples does.
    fn write(&mut self, at: usize, number: u64) {
        let node = &mut self.nodes[at];
        let Some(run) = node.run.filter(|run| run.number == number && node.alive) else { return };
        let written = node.machine.tokens(id()).map_or(0, <[String]>::len);
        let goes_on = match written < LENGTH {
            true => node.machine.token(id(), run.version, format!("{number}.{written}")),
            false => {
                let text = node.machine.tokens(id()).unwrap_or_default().to_vec();
                let ended = node.machine.finish(id(), run.version, Bytes::from_static(b"end"));
                if ended {
                    self.trace.push(Event::Written { text });
                }
                false
            }
        };
        if self.plan.mutant == Some(Mutant::ShowsEarly)
            && let (Some(tokens), Some(shown)) = (node.machine.tokens(id()), &mut node.shown)
        {
            let tokens = tokens.to_vec();
            shown.push(0, tokens);
        }
        if !std::mem::replace(&mut self.nodes[at].ticking, true) {
            self.after(TICK, Step::Tick(at));
        }
        if goes_on {
            self.after(TOKEN, Step::Write(at, number));
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
            let blind = self.plan.mutant == Some(Mutant::ReadsBlindly);
            match shown.begins_with(&reader.seen) {
                None => continue,
                Some(false) if !blind => {
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
                self.trace.push(Event::Whole { reader: at });
            }
        }
    }

    fn serves(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        let awake = node.awake_at <= self.now;
        node.alive && awake && node.shown.as_ref().is_some_and(|shown| !shown.moved)
    }

    // Any node that shows the answer may be found, whichever answers first.
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
            Step::Trouble(_) | Step::Exit(_) | Step::Read => None,
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
        ticking: false,
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

fn number(incarnation: Incarnation) -> usize {
    incarnation.0 as usize - 1
}

fn zone(at: usize) -> ZoneName {
    ZoneName::new(["suva-a", "suva-b", "nausori", "suva-a"][at % 4]).expect("a name")
}
