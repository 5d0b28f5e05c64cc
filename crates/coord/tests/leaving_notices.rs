//! Which VMs are known to leave, whichever source reports first.

use bulrushhall_coord::{Departure, Notices, Source};
use bulrushhall_core::{Stamp, VmName};

fn vm(name: &str) -> VmName {
    VmName::new(name).expect("a name")
}

// The list of VMs lags: it still shows a VM as staying after its notice. A node that relied on the
// list would send work to a VM that ends within seconds.
#[test]
fn lagging_list() {
    let mut notices = Notices::default();
    assert_eq!(notices.take(Stamp(1), Source::Notice, [vm("a")]), [vm("a")]);
    assert!(notices.take(Stamp(2), Source::List, []).is_empty());
    assert!(notices.is_leaving(&vm("a")));
    assert!(notices.take(Stamp(3), Source::List, [vm("a")]).is_empty());
    let first = Departure { at: Stamp(1), source: Source::Notice };
    assert_eq!(notices.departure(&vm("a")), Some(first));
    assert!(!notices.is_leaving(&vm("b")));
}

#[test]
fn same_hash_in_any_order() {
    let (mut some, mut others) = (Notices::default(), Notices::default());
    some.take(Stamp(1), Source::Notice, [vm("a"), vm("b")]);
    others.take(Stamp(1), Source::Peer, [vm("b")]);
    assert_ne!(some.hash(), others.hash());
    others.take(Stamp(2), Source::List, [vm("a")]);
    assert_eq!(some.hash(), others.hash());
}

// Guards against memory that grows with the number of VMs that have ever left.
#[test]
fn bounded_memory() {
    let mut notices = Notices::default();
    for at in 0..20_100 {
        notices.take(Stamp(at), Source::Peer, [vm(&format!("vm-{at}"))]);
    }
    assert_eq!(notices.leaving().count(), 20_000);
    assert!(!notices.is_leaving(&vm("vm-0")));
    assert!(notices.is_leaving(&vm("vm-20099")));
}
