//! Which other node a node that is behind reads the configuration from, and when.

use std::time::Duration;

use bulrushhall_coord::CatchUp;
use bulrushhall_core::{Revision, Stamp};

const PATIENCE: Duration = Duration::from_millis(500);
const OWN: Revision = Revision(4);

fn at(millis: u64) -> Stamp {
    Stamp::from_millis(millis)
}

// Guards against many answers with a large configuration that share the link.
#[test]
fn one_at_a_time() {
    let mut catch_up = CatchUp::default();
    for _ in 0..20 {
        catch_up.observe(at(0), OWN, Revision(7));
    }
    let begun = (0..20).filter(|_| catch_up.begin(at(600), OWN, Revision(7), PATIENCE)).count();
    assert_eq!(begun, 1);
    catch_up.end();
    assert!(catch_up.begin(at(700), OWN, Revision(7), PATIENCE));
}

// Guards against reading from other nodes what the key-value service is about to bring.
#[test]
fn service_first() {
    let mut catch_up = CatchUp::default();
    catch_up.observe(at(100), OWN, Revision(7));
    assert!(!catch_up.begin(at(599), OWN, Revision(7), PATIENCE));
    // It came meanwhile.
    assert!(!catch_up.begin(at(600), Revision(7), Revision(7), PATIENCE));
    assert!(catch_up.begin(at(600), OWN, Revision(7), PATIENCE));
}

// Guards against a node that takes itself for up to date, or for behind since the first change ever.
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
