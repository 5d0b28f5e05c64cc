//! The choice of an engine to copy cached prompt tokens from.

use bulrushhall_policy::{
    copy_source::{MIN_COPIED_TOKENS, SourceView, choose_source},
    placement::WorkerKey,
};
use rstest::rstest;
use slotmap::SlotMap;

const CACHED: u32 = 13_300;

fn sources() -> [SourceView; 3] {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let mut source = || SourceView {
        key: keys.insert(()),
        cached: CACHED,
        same_zone: false,
        requests: 8,
        failure_rate: 0.0,
    };
    [source(), source(), source()]
}

#[rstest]
#[case::most_cached(|sources: &mut [SourceView; 3]| sources[1].cached = CACHED + 1)]
#[case::same_zone(|sources: &mut [SourceView; 3]| sources[1].same_zone = true)]
#[case::least_loaded(|sources: &mut [SourceView; 3]| sources[1].requests = 7)]
fn best_source(#[case] improve: fn(&mut [SourceView; 3])) {
    let mut sources = sources();
    improve(&mut sources);
    let chosen = choose_source(sources, 0).expect("a source");
    assert_eq!(chosen.key, sources[1].key);
}

#[test]
fn too_few_tokens() {
    let cached = CACHED - MIN_COPIED_TOKENS;
    assert!(choose_source(sources(), cached).is_some());
    assert!(choose_source(sources(), cached + 1).is_none());
}

// An engine is up but fails most calls. A copy from it would fail too, and the caller would wait in
// vain before the prompt is computed after all.
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
