//! Orders for fewer servers while several software versions serve.

use bulrushhall_core::ZoneName;
use bulrushhall_policy::fleet_counts::{CountMarket, CountOrder, VersionReserve};
use rstest::rstest;

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a name")
}

fn reserve(present: &[(&str, &str, u32)]) -> VersionReserve {
    let mut reserve = VersionReserve::default();
    for (place, version, count) in present {
        for _ in 0..*count {
            reserve.add(&zone(place), CountMarket::Reclaimable, version);
        }
    }
    reserve
}

fn order(place: &str, count: u32) -> CountOrder {
    CountOrder { zone: zone(place), market: CountMarket::Reclaimable, count }
}

// Guards against an order that may take all servers of a version away, whose streams then go on nowhere.
#[rstest]
#[case::in_one_zone(&[("a", "v1", 3), ("a", "v2", 3)], 2, 5)]
#[case::in_two_zones(&[("a", "v1", 3), ("a", "v2", 3), ("b", "v1", 2), ("b", "v2", 2)], 2, 2)]
#[case::last_ones(&[("a", "v1", 1), ("a", "v2", 5)], 2, 6)]
#[case::one_version(&[("a", "v1", 6)], 1, 1)]
#[case::more_servers(&[("a", "v1", 1), ("a", "v2", 1)], 4, 4)]
#[case::of_other_zone(&[("a", "v2", 4), ("b", "v1", 1), ("b", "v2", 2)], 1, 1)]
fn each_version_is_kept(
    #[case] present: &[(&str, &str, u32)],
    #[case] wanted: u32,
    #[case] allowed: u32,
) {
    assert_eq!(reserve(present).limited(order("a", wanted)).count, allowed);
}

// Guards against two orders, each of which leaves a version servers in the other zone.
#[test]
fn orders_add_up() {
    let mut reserve = reserve(&[("a", "v1", 2), ("a", "v2", 4), ("b", "v1", 2), ("b", "v2", 4)]);
    let first = reserve.limited(order("a", 2));
    assert_eq!(first.count, 2);
    reserve.note_ordered(&first);
    assert_eq!(reserve.limited(order("b", 2)).count, 6);
}
