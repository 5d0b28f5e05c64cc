//! Usage of teams over nodes that tell, repeat and die.

use std::time::Duration;

use bulrushhall_coord::{
    FixedReports, TeamCounts, UsageCounts, Window,
    usage::{UsageScope, WindowSelection, clock_correction},
};
use bulrushhall_core::{Incarnation, TeamName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const ALL: WindowSelection = WindowSelection::All;

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a name")
}

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a name")
}

#[test]
fn windows_of_time() {
    let five = Duration::from_secs(5);
    assert_eq!(Window::at(Duration::from_millis(14_999), five), Window(2));
    assert_eq!(Window::at(Duration::from_secs(15), five), Window(3));
}

// A node dies after it told its counts. They are still part of the total, and what it told twice or in
// the wrong order counts once; a team would otherwise be billed wrongly.
#[test]
fn told_twice() {
    let mut counts = UsageCounts::default();
    let dead = Incarnation(1);
    let (here, own) = (zone("z"), Incarnation(2));
    let of_dead = UsageScope::Incarnation(dead, &here);
    counts.count(Window(7), own, &here, &team("a"));
    counts.merge(Window(7), of_dead, &TeamCounts::from([(team("a"), 5)]));
    counts.merge(Window(7), of_dead, &TeamCounts::from([(team("a"), 3)]));
    counts.merge(Window(7), of_dead, &TeamCounts::from([(team("a"), 5)]));
    assert_eq!(counts.total(Window(7), own), TeamCounts::from([(team("a"), 6)]));
    assert!(counts.total(Window(6), own).is_empty());
}

#[test]
fn old_windows_go() {
    let mut counts = UsageCounts::default();
    for window in 0..100 {
        counts.count(Window(window), Incarnation(1), &zone("z"), &team("a"));
    }
    assert!(counts.of(Incarnation(1), ALL).len() < 20);
    assert!(counts.total(Window(5), Incarnation(1)).is_empty());
}

#[test]
fn windows_follow() {
    let fixed = FixedReports::default();
    assert_eq!(fixed.next(Window(9)), Some(Window(9)));
    let fixed = fixed.with(Window(9), TeamCounts::new());
    assert_eq!(fixed.next(Window(9)), None);
    assert_eq!(fixed.next(Window(11)), Some(Window(10)));
    // After a long outage the oldest are given up.
    assert_eq!(fixed.next(Window(100)), Some(Window(94)));
}

// Nodes tell their counts through a network that loses, repeats and reorders. Whatever arrives, no node
// may believe more than what was counted, and once all was told the total is exact.
#[test]
fn any_order() {
    for seed in 0..2_000 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut nodes: Vec<UsageCounts> = vec![UsageCounts::default(); 3];
        let mut told = Vec::new();
        let mut begun = 0;
        for _ in 0..30 {
            let at = random.random_range(0..3);
            let life = Incarnation(at as u64);
            if random.random_bool(0.5) {
                nodes[at].count(Window(1), life, &zone("z"), &team("a"));
                begun += 1;
                continue;
            }
            told.extend(
                nodes[at].of(life, ALL).into_iter().map(|(window, counts)| (life, window, counts)),
            );
            if let Some((life, window, counts)) =
                told.get(random.random_range(0..told.len().max(1)))
            {
                let to = random.random_range(0..3);
                nodes[to].merge(*window, UsageScope::Incarnation(*life, &zone("z")), counts);
                let own = Incarnation(to as u64);
                let known: u64 = nodes[to].total(Window(1), own).values().sum();
                assert!(known <= begun, "seed {seed}");
            }
        }
        let last: Vec<_> = (0..3)
            .flat_map(|at| {
                let life = Incarnation(at as u64);
                nodes[at]
                    .of(life, ALL)
                    .into_iter()
                    .map(move |(window, counts)| (life, window, counts))
            })
            .collect();
        for (life, window, counts) in &last {
            nodes[0].merge(*window, UsageScope::Incarnation(*life, &zone("z")), counts);
        }
        assert_eq!(
            nodes[0].total(Window(1), Incarnation(0)).values().sum::<u64>(),
            begun,
            "seed {seed}"
        );
    }
}

// One node of five started while its time of day was minutes wrong. It must count like the others, and
// the others must not follow it.
#[test]
fn wrong_time_of_day() {
    assert_eq!(clock_correction([-240_000, -240_003, -239_998, -240_001]), -240_000);
    assert_eq!(clock_correction([240_000, 2, -3, 1]), 1);
    assert_eq!(clock_correction([]), 0);
    // Of two nodes nobody knows which is right; both take the earlier, and end no window too soon.
    assert_eq!(clock_correction([5_000]), 0);
    assert_eq!(clock_correction([-5_000]), -5_000);
}
