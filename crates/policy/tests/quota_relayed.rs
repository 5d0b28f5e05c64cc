//! Quotas with relays that sum up the usage of several nodes.

use bulrushhall_core::{Incarnation, Stamp};
use bulrushhall_policy::quota::{Quota, QuotaLimit};

const LIMIT: QuotaLimit = QuotaLimit { per_second: 100.0, burst: 1_000.0 };
const NODES: usize = 4;
const RELAY: Incarnation = Incarnation(1);
const MEMBER: Incarnation = Incarnation(2);
const FAR: Incarnation = Incarnation(3);

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(millis)
}

fn take(quota: &mut Quota, millis: u64, amount: f64) -> bool {
    quota.take(at(millis), LIMIT, NODES, amount).is_ok()
}

// A node must not receive its own usage as if it were that of others, which would halve the limit
// of the team, and the usage of other zones must be subtracted.
#[test]
fn own_usage_excluded() {
    let (mut relay, mut member, mut far) = (Quota::default(), Quota::default(), Quota::default());
    let exchange = |millis: u64, relay: &mut Quota, member: &mut Quota, far: &mut Quota| {
        relay.receive(at(millis), MEMBER, member.report(at(millis)));
        relay.receive_sum(at(millis), FAR, far.zone_report(at(millis)), 2);
        member.receive_sum(at(millis), RELAY, relay.report_excluding(at(millis), MEMBER), 3);
        far.receive_sum(at(millis), RELAY, relay.zone_report(at(millis)), 2);
    };
    assert!(take(&mut relay, 1, 1.0) && take(&mut member, 1, 1.0) && take(&mut far, 1, 1.0));
    exchange(10, &mut relay, &mut member, &mut far);
    assert!(take(&mut member, 11, 300.0));
    exchange(20, &mut relay, &mut member, &mut far);
    exchange(30, &mut relay, &mut member, &mut far);
    // The 300 that the member took must be subtracted only once.
    assert!(take(&mut far, 31, 300.0));
    exchange(40, &mut relay, &mut member, &mut far);
    assert!(!take(&mut member, 41, 450.0), "600 of 1,000 are taken");
    assert!(take(&mut member, 41, 350.0));
    exchange(50, &mut relay, &mut member, &mut far);
    assert!(!take(&mut far, 51, 100.0), "950 of 1,000 are taken");
}

// A relay's report must count for all of its nodes. If it counted as one, the parts of the other
// nodes would be withheld as if these were silent.
#[test]
fn relay_counts_for_nodes() {
    let (mut relay, mut member) = (Quota::default(), Quota::default());
    for step in 0..40 {
        let now = at(step * 100);
        member.receive_sum(now, RELAY, relay.report_excluding(now, MEMBER), 3);
        relay.receive(now, MEMBER, member.report(now));
        assert!(take(&mut member, step * 100, 9.0));
        let _ = take(&mut relay, step * 100, 0.5);
    }
}
