//! Adding revisions while replies are lost, writes are applied late and operators race.
#![expect(clippy::print_stdout, reason = "tests print how many schedules they tried")]

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_coord::{ChainCall, ChainRefusal, ChainReply, ChainStep, ChainWriter, Head};
use bulrushhall_core::{Ran, Revision};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

#[derive(Default)]
struct Service {
    version: u64,
    head: (u64, Bytes),
    archived: BTreeMap<u64, Bytes>,
    late_writes: Vec<(u64, Bytes)>,
}

impl Service {
    fn swap(&mut self, expected: u64, value: Bytes) -> ChainReply {
        if self.head.0 != expected {
            return ChainReply::Conflict(self.head.0, self.head.1.clone());
        }
        self.version += 1;
        self.head = (self.version, value);
        ChainReply::Written
    }

    fn call(&mut self, call: ChainCall) -> ChainReply {
        match call {
            ChainCall::Read => ChainReply::Found(self.head.0, self.head.1.clone()),
            ChainCall::Archive(revision, value) => {
                self.archived.entry(revision.0).or_insert(value);
                ChainReply::Written
            }
            ChainCall::Swap(expected, value) => self.swap(expected, value),
        }
    }

    // A fault prevents the call from reaching the service, loses the reply, or delays the write.
    fn call_with_faults(
        &mut self,
        call: ChainCall,
        random: &mut Pcg64Mcg,
        fault_share: f64,
    ) -> ChainReply {
        if !self.late_writes.is_empty() && random.random_bool(0.5) {
            let (expected, value) = self.late_writes.remove(0);
            self.swap(expected, value);
        }
        if !random.random_bool(fault_share) {
            return self.call(call);
        }
        match (random.random_range(0..3), call) {
            (0, _) => ChainReply::Failed(Ran::No),
            (1, ChainCall::Swap(expected, value)) => {
                self.late_writes.push((expected, value));
                ChainReply::Failed(Ran::Unknown)
            }
            (_, call) => {
                self.call(call);
                ChainReply::Failed(Ran::Unknown)
            }
        }
    }
}

fn run(
    service: &mut Service,
    random: &mut Pcg64Mcg,
    fault_share: f64,
    mut writer: ChainWriter,
) -> Outcome {
    let mut step = writer.start();
    for _ in 0..1_000 {
        match step {
            ChainStep::Call(_, call) => {
                let reply = service.call_with_faults(call, random, fault_share);
                step = writer.reply(reply, random);
            }
            ChainStep::Accepted(revision) => return Outcome::Accepted(revision),
            ChainStep::Refused(refusal) => return Outcome::Refused(refusal),
        }
    }
    panic!("no outcome after 1000 calls");
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Accepted(Revision),
    Refused(ChainRefusal),
}

/// Checks that the outcomes that writers received agree with the content of the chain.
fn check(service: &Service, outcomes: &[(String, Outcome)]) -> Result<(), String> {
    let newest = Head::decode(&service.head.1).expect("a head");
    let mut texts: BTreeMap<u64, String> = BTreeMap::new();
    for (revision, value) in &service.archived {
        texts.insert(*revision, Head::decode(value).expect("a copy").text);
    }
    texts.insert(newest.revision.0, newest.text);
    for revision in 1..=newest.revision.0 {
        if !texts.contains_key(&revision) {
            return Err(format!("revision {revision} has no copy"));
        }
    }
    for (text, outcome) in outcomes {
        match outcome {
            Outcome::Accepted(revision) if texts.get(&revision.0) != Some(text) => {
                return Err(format!("{text} was reported accepted as {revision} but is not there"));
            }
            Outcome::Refused(refusal) if texts.values().any(|archived| archived == text) => {
                return Err(format!("{text} was reported refused ({refusal}) but is there"));
            }
            _ => {}
        }
    }
    Ok(())
}

// Guards against an operator who receives the wrong outcome, and applies a change twice or relies
// on one that is not in force, while replies of the key-value service are lost and writes are
// applied late.
#[rstest]
#[case(0.0)]
#[case(0.2)]
#[case(0.6)]
fn lost_replies(#[case] fault_share: f64) {
    let mut accepted = 0;
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut service = Service::default();
        let mut outcomes = Vec::new();
        for nonce in 1..12 {
            let text = format!("text {nonce}");
            let writer = ChainWriter::new(None, text.clone(), nonce);
            let outcome = run(&mut service, &mut random, fault_share, writer);
            accepted += u32::from(matches!(outcome, Outcome::Accepted(_)));
            outcomes.push((text, outcome));
        }
        // Delayed writes that are applied now must not change the reported outcomes.
        for (expected, value) in std::mem::take(&mut service.late_writes) {
            service.swap(expected, value);
        }
        check(&service, &outcomes).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    }
    println!("200 schedules, {accepted} of 2200 changes accepted at fault share {fault_share}");
    assert!(1_000 < accepted);
}

// The check has to detect a writer that resolves a lost reply by reading the key: the write is
// applied after the read, so a change that was reported refused is in force.
#[test]
fn check_detects_wrong_outcomes() {
    let mut service = Service::default();
    let head = Head::default().next(7, "late".to_owned());
    let outcomes = vec![("late".to_owned(), Outcome::Refused(ChainRefusal::Unreachable))];
    service.swap(0, head.encode());
    assert!(check(&service, &outcomes).is_err());
    let outcomes = vec![("other".to_owned(), Outcome::Accepted(Revision(1)))];
    assert!(check(&service, &outcomes).is_err());
}

// Two operators start from the same revision. The slower one must receive both revisions and the
// accepted text, or it would silently overwrite the other's change.
#[test]
fn racing_operators() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut service = Service::default();
    let first = ChainWriter::new(Some(Revision(0)), "first", 1);
    assert_eq!(run(&mut service, &mut random, 0.0, first), Outcome::Accepted(Revision(1)));
    let second = ChainWriter::new(Some(Revision(0)), "second", 2);
    let refused = run(&mut service, &mut random, 0.0, second);
    let conflict = ChainRefusal::Conflict {
        expected: Revision(0),
        found: Revision(1),
        text: "first".to_owned(),
    };
    assert_eq!(refused, Outcome::Refused(conflict));
}

// The reply to the swap is lost, and other writers replace the revision before the writer retries.
// The nonces in the newest value still show that the change was accepted.
#[test]
fn superseded_before_reply() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut service = Service::default();
    let mut writer = ChainWriter::new(None, "ours", 1);
    let ChainStep::Call(_, read) = writer.start() else { panic!("no call") };
    let reply = service.call(read);
    let ChainStep::Call(_, swap) = writer.reply(reply, &mut random) else { panic!("no call") };
    service.call(swap);
    let ChainStep::Call(pause, again) = writer.reply(ChainReply::Failed(Ran::Unknown), &mut random)
    else {
        panic!("no call")
    };
    assert!(Duration::ZERO < pause);
    for nonce in 2..20 {
        let other = ChainWriter::new(None, format!("text {nonce}"), nonce);
        run(&mut service, &mut random, 0.0, other);
    }
    let reply = service.call(again);
    assert_eq!(writer.reply(reply, &mut random), ChainStep::Accepted(Revision(1)));
}

// A text above the service's limit for a value must be refused before any call, with both sizes,
// and not after part of the calls was made.
#[test]
fn too_long() {
    let writer = ChainWriter::new(None, "x".repeat(1 << 20), 1);
    let ChainStep::Refused(ChainRefusal::TooLong { bytes, limit }) = writer.start() else {
        panic!("not refused")
    };
    assert_eq!(bytes, 1 << 20);
    assert!(limit < bytes);
    let longest = Head::default().next(u64::MAX, "x".repeat(limit));
    let mut full = longest;
    for _ in 0..300 {
        full = full.next(u64::MAX, full.text.clone());
    }
    assert!(full.encode().len() <= 1 << 20);
}

#[rstest]
#[case(b"\xff\xfe\n")]
#[case(b"no first line")]
#[case(b"# bulrushhall revision x by 1\n")]
#[case(b"# bulrushhall revision 1 by zz\n")]
fn malformed_head(#[case] value: &[u8]) {
    assert!(Head::decode(value).is_err());
}
