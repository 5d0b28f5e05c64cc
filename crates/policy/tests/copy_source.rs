//! The engine that another one copies prompt parts from.

use bulrushhall_policy::{
    copy_source::{MIN_COPIED_TOKENS, SourceView, choose_source},
    placement::WorkerKey,
};
use rstest::rstest;
use slotmap::SlotMap;

const KEPT: u32 = 13_300;

fn sources() -> [SourceView; 3] {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let mut source = || SourceView {
        key: keys.insert(()),
        cached: KEPT,
        same_zone: false,
        requests: 8,
        failure_rate: 0.0,
    };
    [source(), source(), source()]
}

#[rstest]
#[case::keeps_most(|sources: &mut [SourceView; 3]| sources[1].cached = KEPT + 1)]
#[case::nearest(|sources: &mut [SourceView; 3]| sources[1].same_zone = true)]
#[case::idlest(|sources: &mut [SourceView; 3]| sources[1].requests = 7)]
fn best_source(#[case] improve: fn(&mut [SourceView; 3])) {
    let mut sources = sources();
    improve(&mut sources);
    let chosen = choose_source(sources, 0).expect("a source");
    assert_eq!(chosen.key, sources[1].key);
}

#[test]
fn not_worth_it() {
    let cached = KEPT - MIN_COPIED_TOKENS;
    assert!(choose_source(sources(), cached).is_some());
    assert!(choose_source(sources(), cached + 1).is_none());
}

// An engine is up and fails most calls. A copy from it fails too, and the caller has waited for nothing
// before the prompt is read after all.
#[test]
fn failing_source() {
    let mut sources = sources();
    for source in &mut sources {
        source.failure_rate = 0.5;
    }
    assert!(choose_source(sources, 0).is_none());
    sources[2].failure_rate = 0.1;
    assert_eq!(choose_source(sources, 0).expect("a source").key, sources[2].key);
}
