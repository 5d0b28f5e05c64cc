//! A team's limit where relays sum up what nodes took.

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

// Guards against a node that is told of its own takings as if others had taken them, which would leave the team
// half of its limit, and against takings of another zone that are not subtracted.
#[test]
fn own_left_out() {
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
    // The member and the zone beyond took 300 each at most once.
    assert!(take(&mut far, 31, 300.0));
    exchange(40, &mut relay, &mut member, &mut far);
    assert!(!take(&mut member, 41, 450.0), "600 of 1,000 are taken");
    assert!(take(&mut member, 41, 350.0));
    exchange(50, &mut relay, &mut member, &mut far);
    assert!(!take(&mut far, 51, 100.0), "950 of 1,000 are taken");
}

// Guards against a limit of which all but one node's part is kept back, since only one relay is heard.
#[test]
fn nodes_of_relay() {
    let (mut relay, mut member) = (Quota::default(), Quota::default());
    for step in 0..40 {
        let now = at(step * 100);
        member.receive_sum(now, RELAY, relay.report_excluding(now, MEMBER), 3);
        relay.receive(now, MEMBER, member.report(now));
        assert!(take(&mut member, step * 100, 9.0));
        let _ = take(&mut relay, step * 100, 0.5);
    }
}
