//! Which prompt parts the crashes of servers speak against.

use std::time::Duration;

use bulrushhall_coord::crashes::{
    Block, BlockKind, BlockState, Confidence, CrashReport, CrashWatch, CrashedRequest,
    CrashedServer, PartId, PartIds, ServerEnd, SoundReport,
};
use bulrushhall_core::{Incarnation, Stamp};
use rstest::rstest;

const OWN: Incarnation = Incarnation(1);
const SHARED: PartId = PartId(1);
const BAD: PartId = PartId(2);
const OTHER: PartId = PartId(3);
/// The time between two crashes.
const PAUSE: Duration = Duration::from_secs(1);

fn begin() -> Stamp {
    Stamp(0) + Duration::from_secs(100)
}

fn req(request: u64, parts: &[PartId]) -> CrashedRequest {
    CrashedRequest { request, age_ms: 300, begun_ms: Some(60), parts: parts.to_vec(), digest: None }
}

/// A node that sees crashes one after the other.
struct Observer {
    watch: CrashWatch,
    now: Stamp,
    crashes: u64,
    requests: u64,
}

impl Observer {
    fn new() -> Observer {
        Observer { watch: CrashWatch::default(), now: begin(), crashes: 0, requests: 0 }
    }

    fn crash(&mut self, requests: &[&[PartId]]) {
        self.crash_after(PAUSE, requests);
    }

    fn crash_after(&mut self, pause: Duration, requests: &[&[PartId]]) {
        self.now = self.now + pause;
        self.crashes += 1;
        let first = self.requests;
        self.requests += requests.len() as u64;
        let requests = requests.iter().zip(first..).map(|(parts, id)| req(id, parts)).collect();
        let crashed = CrashedServer { server: self.crashes, end: ServerEnd::Seen, at: self.now };
        self.watch.note_crash(self.now, OWN, crashed, requests);
    }

    fn sound(&mut self, parts: &[PartId], count: usize) {
        for _ in 0..count {
            self.watch.outcomes.note_sound(self.now, self.now, parts.iter().copied());
        }
    }

    fn plan(&mut self) -> Vec<String> {
        self.watch.plan(self.now, OWN, 0);
        self.now = self.now + Duration::from_millis(800);
        self.watch.plan(self.now, OWN, 0);
        let blocks = self.watch.blocks.iter();
        let in_force = blocks.filter(|block| block.state() == BlockState::InForce);
        in_force.map(Block::name).collect()
    }
}

// Guards against a part that is blocked too late, or on too little evidence.
#[rstest]
#[case(2, false)]
#[case(5, true)]
fn crashes_add_up(#[case] crashes: usize, #[case] is_blocked: bool) {
    let mut observer = Observer::new();
    observer.sound(&[SHARED], 100);
    for _ in 0..crashes {
        observer.crash(&[&[SHARED, BAD]]);
    }
    assert_eq!(observer.plan(), if is_blocked { vec!["2"] } else { vec![] });
}

// Guards against a judgement that waits for more crashes while others crash too, and servers fall by themselves.
#[test]
fn other_crashes_do_not_delay() {
    let mut observer = Observer::new();
    for other in 10..14 {
        observer.crash(&[&[SHARED, BAD], &[SHARED, PartId(other)]]);
        for fallen in 0..20 {
            observer.crash_after(Duration::from_millis(10), &[&[PartId(100 * other + fallen)]]);
        }
        observer.sound(&[SHARED, OTHER], 1);
    }
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against many parts that are blamed one after the other, so that the last ones wait.
#[test]
fn many_parts_at_once() {
    let mut observer = Observer::new();
    for _ in 0..4 {
        for part in 10..30 {
            observer.crash_after(Duration::from_millis(300), &[&[PartId(part)]]);
        }
    }
    assert_eq!(observer.plan().len(), 20);
}

// Guards against crashes that count nothing because a part that was beside is blocked later.
#[test]
fn later_block_explains_its_own() {
    let mut observer = Observer::new();
    for _ in 0..4 {
        observer.crash(&[&[OTHER]]);
        observer.crash(&[&[BAD], &[OTHER, SHARED]]);
        observer.sound(&[SHARED], 1);
    }
    assert_eq!(observer.plan(), ["2", "3"]);
}

// Guards against parts of different requests that crashed the same servers, and are told apart by no later crash.
#[test]
fn same_servers_are_judged() {
    let mut observer = Observer::new();
    for _ in 0..5 {
        observer.crash(&[&[BAD], &[OTHER]]);
    }
    assert!(observer.plan().contains(&"2".to_owned()));
}

// Guards against servers that crash together under a part, which count as one moment for good.
#[test]
fn waves_are_blamed() {
    let mut observer = Observer::new();
    observer.sound(&[OTHER], 1);
    for _ in 0..6 {
        observer.crash_after(Duration::from_millis(10), &[&[BAD]]);
    }
    observer.now = observer.now + Duration::from_millis(1_000);
    observer.sound(&[OTHER], 1);
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against a loss of many servers for which a part is blamed whose requests are answered by the others.
#[test]
fn answered_elsewhere() {
    let mut observer = Observer::new();
    for _ in 0..6 {
        observer.crash_after(Duration::from_millis(10), &[&[BAD]]);
    }
    observer.now = observer.now + Duration::from_millis(500);
    observer.sound(&[BAD], 1);
    observer.now = observer.now + Duration::from_millis(500);
    assert_eq!(observer.plan(), Vec::<String>::new());
}

// Guards against a part that was sound and is not found once it crashes servers.
#[test]
fn sound_part_turns_bad() {
    let mut observer = Observer::new();
    observer.sound(&[BAD], 10);
    for _ in 0..5 {
        observer.crash(&[&[BAD]]);
        observer.sound(&[OTHER], 1);
    }
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against a part that turned bad, and whose crashes are forgotten since answers that had begun before go on and end.
#[test]
fn earlier_answers_end() {
    let mut observer = Observer::new();
    observer.sound(&[BAD], 3);
    let begun_at = observer.now;
    for _ in 0..5 {
        observer.crash(&[&[BAD]]);
        observer.sound(&[OTHER], 1);
        observer.watch.outcomes.note_sound(observer.now, begun_at, [BAD]);
        observer.watch.plan(observer.now, OWN, 0);
    }
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against a part whose few requests crash three servers each, and that is found only with the third request.
#[test]
fn repeated_requests() {
    let mut observer = Observer::new();
    observer.sound(&[BAD], 3);
    for request in 0..2 {
        observer.now = observer.now + PAUSE;
        for _ in 0..3 {
            observer.now = observer.now + Duration::from_millis(150);
            observer.crashes += 1;
            let digest = Some(PartId(100 + request));
            let mut req = CrashedRequest { digest, ..req(request, &[BAD]) };
            req.age_ms = 100;
            let crashed =
                CrashedServer { server: observer.crashes, end: ServerEnd::Seen, at: observer.now };
            observer.watch.note_crash(observer.now, OWN, crashed, vec![req]);
        }
        observer.sound(&[OTHER], 1);
    }
    assert!(observer.plan().contains(&"2".to_owned()));
}

// Guards against a part that turned bad and is found late, since its requests are sent while others crash servers.
#[test]
fn overlapping_requests() {
    let mut observer = Observer::new();
    observer.sound(&[BAD], 3);
    for pause in [1_000, 100, 500, 100, 100] {
        observer.crash_after(Duration::from_millis(pause), &[&[BAD]]);
    }
    observer.now = observer.now + Duration::from_millis(200);
    observer.sound(&[OTHER], 1);
    assert_eq!(observer.plan(), Vec::<String>::new());
    observer.now = observer.now + Duration::from_millis(800);
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against a sound part that is blamed because its requests ran beside many that crash servers.
#[test]
fn beside_crashes_is_sound() {
    let mut observer = Observer::new();
    observer.sound(&[OTHER], 3);
    for part in 10..16 {
        observer.now = observer.now + PAUSE;
        observer.crashes += 1;
        let mut beside = req(1_000 + part, &[OTHER]);
        beside.begun_ms = Some(300);
        let crashed =
            CrashedServer { server: observer.crashes, end: ServerEnd::Seen, at: observer.now };
        let requests = vec![req(part, &[PartId(part)]), beside];
        observer.watch.note_crash(observer.now, OWN, crashed, requests);
        observer.sound(&[SHARED], 1);
    }
    assert_eq!(observer.plan(), Vec::<String>::new());
}

// Guards against a server that starts again under its name, whose crashes count as one.
#[test]
fn same_name_crashes_again() {
    let mut observer = Observer::new();
    for _ in 0..4 {
        observer.crash(&[&[BAD]]);
        observer.crashes -= 1;
    }
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against a sound part that is blamed because it is in all prompts that crash servers.
#[test]
fn shared_part_is_sound() {
    let mut observer = Observer::new();
    for _ in 0..6 {
        observer.crash(&[&[SHARED, BAD]]);
        observer.sound(&[SHARED, OTHER], 2);
    }
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against parts that are blamed for one loss of many servers.
#[test]
fn one_moment_counts_once() {
    let mut observer = Observer::new();
    for _ in 0..20 {
        observer.crash_after(Duration::from_millis(10), &[&[SHARED, BAD]]);
    }
    assert_eq!(observer.plan(), Vec::<String>::new());
}

// Guards against a sound part that is blamed since its requests ran beside those that crash servers.
#[test]
fn known_part_explains_crashes() {
    let mut observer = Observer::new();
    for _ in 0..4 {
        observer.crash(&[&[SHARED, BAD]]);
        observer.sound(&[SHARED], 3);
    }
    assert_eq!(observer.plan(), ["2"]);
    for _ in 0..4 {
        observer.crash(&[&[SHARED, BAD], &[SHARED, OTHER]]);
    }
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against a sound part that stays blocked because it was at first never seen without the bad one.
#[test]
fn joint_block_is_narrowed() {
    let mut observer = Observer::new();
    for _ in 0..5 {
        observer.crash(&[&[SHARED, BAD]]);
    }
    assert_eq!(observer.plan(), ["1,2"]);
    assert!(observer.watch.blocks.matching(&[SHARED, OTHER]).is_none());
    observer.sound(&[SHARED, OTHER], 3);
    assert_eq!(observer.plan(), ["2"]);
    assert!(observer.watch.blocks.matching(&[OTHER, BAD]).is_some());
}

// Guards against sound answers at other nodes that do not speak for a part.
#[test]
fn sound_elsewhere() {
    let mut observer = Observer::new();
    for _ in 0..5 {
        observer.crash(&[&[BAD]]);
    }
    let report = SoundReport { author: Incarnation(2), part: BAD, answers: 40, age_ms: 0 };
    observer.watch.evidence.receive_sound(observer.now, report);
    assert_eq!(observer.plan(), Vec::<String>::new());
}

// Guards against a block that comes back at once after an operator has lifted it.
#[test]
fn lifted_evidence_is_forgotten() {
    let mut observer = Observer::new();
    for _ in 0..5 {
        observer.crash(&[&[BAD]]);
    }
    assert_eq!(observer.plan(), ["2"]);
    observer.watch.lift(observer.now, &PartIds(vec![BAD])).expect("a block");
    assert_eq!(observer.plan(), Vec::<String>::new());
    for _ in 0..5 {
        observer.crash(&[&[BAD]]);
    }
    assert_eq!(observer.plan(), ["2"]);
}

// Guards against a request that goes from server to server and crashes each.
#[test]
fn suspects_are_not_repeated() {
    let mut observer = Observer::new();
    let other_server = 0;
    let may_repeat =
        |observer: &Observer, server| observer.watch.may_repeat(observer.now, server, &[BAD]);
    assert!(may_repeat(&observer, other_server));
    observer.crash(&[&[SHARED, BAD]]);
    assert!(!may_repeat(&observer, other_server));
    assert!(may_repeat(&observer, observer.crashes), "the only server that crashed");
    observer.sound(&[BAD], 1);
    assert!(may_repeat(&observer, other_server));
}

// Guards against more probes than may reach servers once a part is known.
#[test]
fn probes_end() {
    let mut watch = CrashWatch::default();
    let parts = PartIds(vec![BAD]);
    let kind = BlockKind::Parts;
    let confidence = Confidence::Certain;
    let block =
        Block { parts, kind, confidence, generation: 1, crashes: 5, probes: 0, since_unix_ms: 0 };
    let mut now = begin();
    watch.receive(now, block);
    assert!(watch.blocks.due_probe(now, &[BAD]).is_none());
    let mut probes = 0;
    for _ in 0..100 {
        now = now + Duration::from_secs(1_800);
        if let Some(claim) = watch.blocks.due_probe(now, &[BAD]) {
            probes += 1;
            watch.receive(now, claim);
        }
    }
    assert_eq!(probes, 2);
}

// Guards against an old record that undoes a newer one.
#[test]
fn newest_generation_wins() {
    let mut watch = CrashWatch::default();
    let block = |generation, probes| Block {
        parts: PartIds(vec![BAD]),
        kind: BlockKind::Parts,
        confidence: Confidence::Certain,
        generation,
        crashes: 5,
        probes,
        since_unix_ms: 0,
    };
    let now = begin();
    watch.receive(now, block(2, 0));
    watch.receive(now, block(1, 2));
    assert!(!watch.blocks.is_any_in_force());
    watch.receive(now, block(3, 0));
    assert!(watch.blocks.is_alone(BAD));
}

// Guards against reports of crashes that are explained by a block and go round among nodes without end.
#[test]
fn explained_reports_end() {
    let mut nodes = [Observer::new(), Observer::new(), Observer::new()];
    let mut now = begin();
    let mut last_sent = now;
    for round in 0..400_u64 {
        now = now + Duration::from_millis(50);
        if round < 100 && round.is_multiple_of(20) {
            nodes[0].now = now;
            nodes[0].crash_after(Duration::ZERO, &[&[BAD]]);
        }
        // Nodes send their digests by turns.
        let sender = usize::try_from(round % 3).expect("a node");
        nodes[sender].watch.plan(now, Incarnation(1 + round % 3), 0);
        let reports = nodes[sender].watch.evidence.reports(now);
        if !reports.is_empty() {
            last_sent = now;
        }
        for receiver in (0..3).filter(|receiver| *receiver != sender) {
            for report in reports.clone() {
                nodes[receiver].watch.evidence.receive(now, report);
            }
        }
    }
    assert!(nodes.iter().all(|node| node.watch.blocks.is_alone(BAD)));
    assert!(Duration::from_secs(10) < now.since(last_sent), "{:?}", now.since(last_sent));
}

// Guards against a sound part that stays blocked although a request that was sent before is answered.
#[test]
fn answer_speaks_against_block() {
    let mut observer = Observer::new();
    for _ in 0..5 {
        observer.crash(&[&[BAD]]);
    }
    assert_eq!(observer.plan(), ["2"]);
    assert_eq!(observer.watch.note_sound(observer.now, observer.now, &[OTHER]), None);
    let blocked =
        observer.watch.note_sound(observer.now, observer.now, &[SHARED, BAD]).expect("a block");
    assert_eq!(blocked, PartIds(vec![BAD]));
}

// Guards against reports of nodes of an earlier version that can't be read, or that count as unsure.
#[test]
fn earlier_reports_are_read() {
    #[derive(serde::Serialize)]
    struct EarlierReport {
        author: Incarnation,
        number: u32,
        age_ms: u64,
        server: u64,
        requests: Vec<CrashedRequest>,
    }
    let requests = vec![req(1, &[BAD])];
    let earlier =
        EarlierReport { author: Incarnation(2), number: 1, age_ms: 5, server: 3, requests };
    let bytes = rmp_serde::to_vec_named(&earlier).expect("bytes");
    let report: CrashReport = rmp_serde::from_slice(&bytes).expect("a report");
    assert_eq!((report.end, report.requests.len()), (ServerEnd::Seen, 1));
    let bytes = rmp_serde::to_vec_named(&report).expect("bytes");
    let known: CrashReport = rmp_serde::from_slice(&bytes).expect("a report");
    assert_eq!(known, report);
}

// Guards against a block that ends with an answer that began before it, or before the last crash under its part.
#[test]
fn earlier_answer_keeps_block() {
    let mut observer = Observer::new();
    observer.sound(&[BAD], 3);
    let before = observer.now;
    for _ in 0..5 {
        observer.crash(&[&[BAD]]);
        observer.sound(&[OTHER], 1);
    }
    let before_last = observer.now - Duration::from_millis(1);
    assert_eq!(observer.plan(), ["2"]);
    for begun_at in [before, before_last] {
        assert_eq!(observer.watch.note_sound(observer.now, begun_at, &[BAD]), None);
        assert_eq!(observer.watch.note_progress(observer.now, begun_at, &[BAD]), None);
    }
    let parts = Some(PartIds(vec![BAD]));
    let begun_at = observer.now;
    assert_eq!(observer.watch.note_progress(observer.now, begun_at, &[BAD]), parts);
    observer.crash(&[&[BAD]]);
    assert_eq!(observer.watch.note_sound(observer.now, begun_at, &[BAD]), None);
}

// Guards against a part that was answered often and has to crash more than five servers, since its requests are sent again.
#[test]
fn doubt_is_probed() {
    let mut observer = Observer::new();
    observer.sound(&[BAD], 40);
    for send in 0..5 {
        observer.now = observer.now + Duration::from_millis(60);
        observer.crashes += 1;
        let digest = Some(PartId(100 + send / 4));
        let req = CrashedRequest { age_ms: 40, digest, ..req(send, &[BAD]) };
        let crashed =
            CrashedServer { server: observer.crashes, end: ServerEnd::Seen, at: observer.now };
        observer.watch.note_crash(observer.now, OWN, crashed, vec![req]);
    }
    observer.now = observer.now + Duration::from_millis(1_500);
    assert!(observer.plan().contains(&"2".to_owned()));
    let blocks = &observer.watch.blocks;
    let claim = blocks.due_probe(observer.now, &[BAD]).expect("a probe at once");
    assert_eq!(claim.confidence, Confidence::Doubtful);
    observer.watch.receive(observer.now, claim);
    let due_after = |time| observer.watch.blocks.due_probe(observer.now + time, &[BAD]);
    assert_eq!(due_after(Duration::from_secs(9)), None);
    let claim = due_after(Duration::from_secs(10)).expect("a second probe");
    assert_eq!(claim.probes, 2);
}

// Guards against crashes under a part that don't count since it was answered often, and earlier answers to it still end.
#[test]
fn earlier_answers_hide_none() {
    let mut observer = Observer::new();
    let begun_at = observer.now;
    observer.now = observer.now + Duration::from_secs(5);
    for _ in 0..5 {
        for _ in 0..40 {
            observer.watch.outcomes.note_sound(observer.now, begun_at, [BAD]);
        }
        observer.crash(&[&[OTHER], &[BAD]]);
        observer.sound(&[OTHER], 1);
    }
    let reports = observer.watch.evidence.reports(observer.now);
    assert!(reports.iter().all(|report| report.concerns(BAD)));
}

// Guards against a sound part that stays blocked since the request that shows it has a bad part too.
#[test]
fn probes_have_one_block() {
    let mut watch = CrashWatch::default();
    for part in [SHARED, BAD] {
        let (parts, kind) = (PartIds(vec![part]), BlockKind::Parts);
        let confidence = Confidence::Doubtful;
        let block = Block {
            parts,
            kind,
            confidence,
            generation: 1,
            crashes: 5,
            probes: 0,
            since_unix_ms: 0,
        };
        watch.receive(begin(), block);
    }
    assert_eq!(watch.blocks.due_probe_for(begin(), &[SHARED, BAD]), None);
    let claim = watch.blocks.due_probe_for(begin(), &[SHARED, OTHER]).expect("a probe");
    assert_eq!(claim.parts, PartIds(vec![SHARED]));
    let later = begin() + Duration::from_secs(30);
    assert!(watch.blocks.due_probe_for(later, &[SHARED, BAD]).is_some());
}

// Guards against a part that was answered often and crashes servers before they begin to answer it: beside requests whose answers
// had begun its crashes don't count, or more of them are asked for.
#[test]
fn unbegun_requests_count() {
    let mut observer = Observer::new();
    observer.sound(&[BAD], 40);
    for _ in 0..5 {
        observer.now = observer.now + Duration::from_millis(150);
        observer.crashes += 1;
        let unbegun = CrashedRequest { begun_ms: None, ..req(observer.crashes, &[BAD]) };
        let begun = CrashedRequest { begun_ms: Some(160), ..req(100 + observer.crashes, &[OTHER]) };
        let requests = vec![begun, unbegun];
        let (server, at) = (observer.crashes, observer.now);
        let crashed = CrashedServer { server, end: ServerEnd::Seen, at };
        observer.watch.note_crash(at, OWN, crashed, requests);
        observer.sound(&[OTHER], 1);
    }
    assert_eq!(observer.plan(), Vec::<String>::new());
    observer.now = observer.now + Duration::from_secs(1);
    assert_eq!(observer.plan(), ["2"]);
}
