//! When a node that is behind reads the configuration from another node.

use std::time::Duration;

use bulrushhall_coord::CatchUp;
use bulrushhall_core::{Revision, Stamp};

const SERVICE_TIMEOUT: Duration = Duration::from_millis(500);
const OWN: Revision = Revision(4);

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(millis)
}

// Guards against many concurrent responses with a large configuration that saturate the link.
#[test]
fn one_at_a_time() {
    let mut catch_up = CatchUp::default();
    for _ in 0..20 {
        catch_up.observe(at(0), OWN, Revision(7));
    }
    let begun_reads =
        (0..20).filter(|_| catch_up.begin(at(600), OWN, Revision(7), SERVICE_TIMEOUT)).count();
    assert_eq!(begun_reads, 1);
    catch_up.end();
    assert!(catch_up.begin(at(700), OWN, Revision(7), SERVICE_TIMEOUT));
}

// Guards against reading from other nodes what the key-value service is about to deliver.
#[test]
fn service_first() {
    let mut catch_up = CatchUp::default();
    catch_up.observe(at(100), OWN, Revision(7));
    assert!(!catch_up.begin(at(599), OWN, Revision(7), SERVICE_TIMEOUT));
    // The service delivered the revision in the meantime.
    assert!(!catch_up.begin(at(600), Revision(7), Revision(7), SERVICE_TIMEOUT));
    assert!(catch_up.begin(at(600), OWN, Revision(7), SERVICE_TIMEOUT));
}

// Guards against a node that is behind but considers itself up to date, or behind since the first
// change.
#[test]
fn behind_since() {
    let mut catch_up = CatchUp::default();
    catch_up.observe(at(100), OWN, OWN);
    assert_eq!(catch_up.behind_since(OWN), None);
    catch_up.observe(at(200), OWN, Revision(7));
    catch_up.observe(at(300), OWN, Revision(9));
    catch_up.observe(at(400), OWN, Revision(7));
    assert_eq!(catch_up.behind_since(OWN), Some(at(200)));
    assert_eq!(catch_up.behind_since(Revision(7)), Some(at(300)));
    assert_eq!(catch_up.behind_since(Revision(9)), None);
}

// Guards against nodes that count as outdated for good by the report of a revision that there is not.
#[test]
fn refuted_revision() {
    let mut catch_up = CatchUp::default();
    catch_up.observe(at(1_000), OWN, Revision(u64::MAX));
    catch_up.refute(at(999));
    assert_eq!(catch_up.behind_since(OWN), Some(at(1_000)));
    catch_up.refute(at(1_000));
    assert_eq!(catch_up.behind_since(OWN), None);
}
