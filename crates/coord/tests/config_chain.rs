//! Adding revisions while replies are lost, writes land late and operators race.
#![expect(clippy::print_stdout, reason = "tests tell how many schedules they tried")]

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
    kept: BTreeMap<u64, Bytes>,
    late: Vec<(u64, Bytes)>,
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
                self.kept.entry(revision.0).or_insert(value);
                ChainReply::Written
            }
            ChainCall::Swap(expected, value) => self.swap(expected, value),
        }
    }

    // A fault either keeps the call from the service, loses the reply, or delays the write.
    fn faulty(&mut self, call: ChainCall, random: &mut Pcg64Mcg, share: f64) -> ChainReply {
        if !self.late.is_empty() && random.random_bool(0.5) {
            let (expected, value) = self.late.remove(0);
            self.swap(expected, value);
        }
        if !random.random_bool(share) {
            return self.call(call);
        }
        match (random.random_range(0..3), call) {
            (0, _) => ChainReply::Failed(Ran::No),
            (1, ChainCall::Swap(expected, value)) => {
                self.late.push((expected, value));
                ChainReply::Failed(Ran::Unknown)
            }
            (_, call) => {
                self.call(call);
                ChainReply::Failed(Ran::Unknown)
            }
        }
    }
}

fn run(service: &mut Service, random: &mut Pcg64Mcg, share: f64, mut writer: ChainWriter) -> End {
    let mut step = writer.start();
    for _ in 0..1_000 {
        match step {
            ChainStep::Call(_, call) => {
                let reply = service.faulty(call, random, share);
                step = writer.reply(reply, random);
            }
            ChainStep::Accepted(revision) => return End::Accepted(revision),
            ChainStep::Refused(refusal) => return End::Refused(refusal),
        }
    }
    panic!("no outcome after 1000 calls");
}

#[derive(Debug, PartialEq)]
enum End {
    Accepted(Revision),
    Refused(ChainRefusal),
}

/// Checks that what writers were told is what the chain holds.
fn check(service: &Service, told: &[(String, End)]) -> Result<(), String> {
    let newest = Head::decode(&service.head.1).expect("a head");
    let mut texts: BTreeMap<u64, String> = BTreeMap::new();
    for (revision, value) in &service.kept {
        texts.insert(*revision, Head::decode(value).expect("a copy").text);
    }
    texts.insert(newest.revision.0, newest.text);
    for revision in 1..=newest.revision.0 {
        if !texts.contains_key(&revision) {
            return Err(format!("revision {revision} has no copy"));
        }
    }
    for (text, end) in told {
        match end {
            End::Accepted(revision) if texts.get(&revision.0) != Some(text) => {
                return Err(format!("{text} was told accepted as {revision} but is not there"));
            }
            End::Refused(refusal) if texts.values().any(|kept| kept == text) => {
                return Err(format!("{text} was told refused ({refusal}) but is there"));
            }
            _ => {}
        }
    }
    Ok(())
}

// Replies of the key-value service are lost and some writes land only later, while several
// operators change the configuration. An operator who is told the wrong outcome applies a change
// twice, or believes that one is in force that never will be.
#[rstest]
#[case(0.0)]
#[case(0.2)]
#[case(0.6)]
fn lost_replies(#[case] share: f64) {
    let mut accepted = 0;
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut service = Service::default();
        let mut told = Vec::new();
        for nonce in 1..12 {
            let text = format!("text {nonce}");
            let writer = ChainWriter::new(None, text.clone(), nonce);
            let end = run(&mut service, &mut random, share, writer);
            accepted += u32::from(matches!(end, End::Accepted(_)));
            told.push((text, end));
        }
        // Writes that were on their way all the time must not change what was told.
        for (expected, value) in std::mem::take(&mut service.late) {
            service.swap(expected, value);
        }
        check(&service, &told).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    }
    println!("200 schedules, {accepted} of 2200 changes accepted at fault share {share}");
    assert!(1_000 < accepted);
}

// A reader in place of a writer settles a lost reply: the write lands after the look, and the
// operator who was told no sees the change in force.
#[test]
fn checker_sees_fault() {
    let mut service = Service::default();
    let head = Head::default().next(7, "late".to_owned());
    let told = vec![("late".to_owned(), End::Refused(ChainRefusal::Unreachable))];
    service.swap(0, head.encode());
    assert!(check(&service, &told).is_err());
    let told = vec![("other".to_owned(), End::Accepted(Revision(1)))];
    assert!(check(&service, &told).is_err());
}

// Two operators start from the same revision. The slower one must see both revisions and the
// text that won, or it would silently undo the other's change.
#[test]
fn racing_operators() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut service = Service::default();
    let first = ChainWriter::new(Some(Revision(0)), "first", 1);
    assert_eq!(run(&mut service, &mut random, 0.0, first), End::Accepted(Revision(1)));
    let second = ChainWriter::new(Some(Revision(0)), "second", 2);
    let refused = run(&mut service, &mut random, 0.0, second);
    let conflict = ChainRefusal::Conflict {
        expected: Revision(0),
        found: Revision(1),
        text: "first".to_owned(),
    };
    assert_eq!(refused, End::Refused(conflict));
}

// The reply to the swap is lost, then the winner is replaced by others before the writer hears
// of it. The nonces in the newest value still tell that the change was accepted in between.
#[test]
fn superseded_before_told() {
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

// A document near the service's limit for a value would be refused after part of the work was
// done; it is refused before any call, with both sizes.
#[test]
fn too_long() {
    let writer = ChainWriter::new(None, "x".repeat(1 << 20), 1);
    let ChainStep::Refused(ChainRefusal::TooLong { bytes, limit }) = writer.start() else {
        panic!("taken")
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
