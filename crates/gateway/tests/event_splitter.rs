//! Splitting of streams into complete events, in whatever pieces their bytes arrive.

use bulrushhall_gateway::pipeline::EventSplitter;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;

fn event(number: u64, end: &str) -> String {
    format!("id: {number}{end}data: {}{end}{end}", "x".repeat(number as usize % 30))
}

fn push_all(
    splitter: &mut EventSplitter,
    bytes: &[u8],
    random: &mut SmallRng,
) -> (String, Option<u64>) {
    let (mut whole, mut last) = (Vec::new(), None);
    let mut at = 0;
    while at < bytes.len() {
        let to = (at + random.random_range(1..40)).min(bytes.len());
        if let Some(split) = splitter.push(&bytes[at..to]) {
            whole.extend_from_slice(&split.bytes);
            last = split.last_id.or(last);
        }
        at = to;
    }
    (String::from_utf8(whole).expect("text"), last)
}

// An engine may fail at any byte of a stream, which another engine resumes after the last forwarded event. Guards
// against events that the caller gets twice, incompletely or not at all.
#[rstest]
#[case("\n")]
#[case("\r\n")]
fn resume_after_any_byte(#[case] end: &str) {
    let events: Vec<String> = (1..=12).map(|number| event(number, end)).collect();
    let stream = events.concat();
    for seed in 0..3_000 {
        let mut random = SmallRng::seed_from_u64(seed);
        let cut = random.random_range(0..=stream.len());
        let mut first = EventSplitter::default();
        let (mut read, last) = push_all(&mut first, &stream.as_bytes()[..cut], &mut random);
        // The next engine may repeat events that the first one has already sent.
        let from = last.unwrap_or(0).saturating_sub(random.random_range(0..2)) as usize;
        let mut second = EventSplitter::after(last);
        let rest = events[from..].concat();
        read.push_str(&push_all(&mut second, rest.as_bytes(), &mut random).0);
        assert_eq!(read, stream, "seed {seed}, cut at {cut}");
        assert!(!second.has_partial_event());
    }
}

#[test]
fn event_without_end() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"data: a\n"), None);
    assert!(splitter.has_partial_event() && !splitter.is_event_too_large());
    splitter.push(&vec![b'x'; 2 << 20]);
    assert!(splitter.is_event_too_large());
}
