//! Compare-and-swap, leases, watches, limits and faults of the simulated key-value service.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::Ran;
use bulrushhall_external::{
    CallFault, KeyValue,
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
    kv::{CasOutcome, MAX_VALUE_BYTES, Version},
};
use bulrushhall_standin::{
    bandwidth::BandwidthLimit,
    kv::{KvOptions, KvServer},
    link::Link,
    switches::Faults,
};
use tokio::time::{Instant, sleep};

async fn start() -> (KvServer, HttpKeyValue) {
    let server = KvServer::start(KvOptions::default()).await.expect("a service");
    let endpoint = Endpoint::new(server.address(), EndpointOptions::default());
    (server, HttpKeyValue::new(endpoint))
}

#[tokio::test]
async fn compare_and_swap() {
    let (_server, kv) = start().await;
    let first = kv.put_if("a", Version(0), "1".into(), None).await.expect("an outcome");
    let CasOutcome::Written(version) = first else { panic!("not written: {first:?}") };
    let second = kv.put_if("a", Version(0), "2".into(), None).await.expect("an outcome");
    let CasOutcome::Conflict(found) = second else { panic!("no conflict: {second:?}") };
    assert_eq!((found.version, &found.value[..]), (version, &b"1"[..]));
    assert!(matches!(kv.remove_if("a", version).await, Ok(CasOutcome::Written(_))));
    assert_eq!(kv.get("a").await.expect("a value").version, Version(0));
}

#[tokio::test]
async fn expired_lease() {
    let (_server, kv) = start().await;
    let lease = kv.grant(Duration::from_millis(150)).await.expect("a lease");
    kv.put_if("held", Version(0), "me".into(), Some(lease)).await.expect("an outcome");
    kv.renew(lease).await.expect("a renewal");
    let version = kv.get("held").await.expect("a value").version;
    let changes = kv.watch("held", version, Duration::from_secs(5)).await.expect("a change");
    assert!(changes.changes[0].removed);
    let late = kv.renew(lease).await.expect_err("the lease has expired");
    assert_eq!(late.fault, CallFault::Refused { status: 404 });
}

#[tokio::test]
async fn watch_returns_on_change() {
    let (_server, kv) = start().await;
    let write = async {
        sleep(Duration::from_millis(50)).await;
        kv.put_if("w/1", Version(0), "x".into(), None).await
    };
    let watch = kv.watch("w/", Version(0), Duration::from_secs(10));
    let (changes, written) = tokio::join!(watch, write);
    written.expect("an outcome");
    assert_eq!(changes.expect("changes").changes[0].key, "w/1");
}

// Guards against an applied write that is reported as not executed: the service applies the write
// and its reply is lost, so the client must report that the outcome is unknown.
#[tokio::test]
async fn lost_reply() {
    let (server, kv) = start().await;
    server.switches().set(Faults { lost_replies: 1.0, ..Faults::default() });
    let error = kv.put_if("a", Version(0), "1".into(), None).await.expect_err("no reply");
    assert_eq!(error.ran, Ran::Unknown);
    server.switches().set(Faults::default());
    assert_eq!(&kv.get("a").await.expect("a value").value[..], b"1");
}

// As above, but the write is applied after a delay: a read right after the failed call returns the
// old value, which is no proof that the write was not applied.
#[tokio::test]
async fn late_write() {
    let (server, kv) = start().await;
    server.switches().set(Faults { lost_replies: 1.0, late_ms: 200, ..Faults::default() });
    kv.put_if("a", Version(0), "1".into(), None).await.expect_err("no reply");
    server.switches().set(Faults::default());
    assert_eq!(kv.get("a").await.expect("a value").version, Version(0));
    let until = Instant::now() + Duration::from_secs(10);
    while kv.get("a").await.expect("a value").version == Version(0) {
        assert!(Instant::now() < until, "the write was never applied");
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn outage() {
    let (server, kv) = start().await;
    server.switches().set(Faults { outage: true, ..Faults::default() });
    let error = kv.get("a").await.expect_err("an outage");
    assert_eq!(error.fault, CallFault::Refused { status: 503 });
    server.switches().set(Faults::default());
    kv.get("a").await.expect("a value");
}

#[tokio::test]
async fn value_limit() {
    let (_server, kv) = start().await;
    let large = vec![b'x'; MAX_VALUE_BYTES + 1];
    let error = kv.put_if("a", Version(0), large.into(), None).await.expect_err("too large");
    assert_eq!((error.fault, error.ran), (CallFault::Refused { status: 413 }, Ran::No));
    let fits = vec![b'x'; MAX_VALUE_BYTES];
    kv.put_if("a", Version(0), fits.into(), None).await.expect("an outcome");
}

#[tokio::test]
async fn rate_limit() {
    let options = KvOptions { reads_per_second: 5, ..KvOptions::default() };
    let server = KvServer::start(options).await.expect("a service");
    let kv = HttpKeyValue::new(Endpoint::new(server.address(), EndpointOptions::default()));
    let mut limited = 0;
    for _ in 0..40 {
        let Err(error) = kv.get("a").await else { continue };
        assert_eq!((error.fault, error.ran), (CallFault::Refused { status: 429 }, Ran::No));
        limited += 1;
    }
    assert_eq!(server.counts().limited, limited);
    assert!(0 < limited);
    assert_eq!(server.counts().reads, 40);
}

// Guards against a value that is never received because its transfer over a slow link takes longer
// than the timeout of a call.
#[tokio::test]
async fn slow_link() {
    let (server, fast) = start().await;
    let value = vec![b'x'; MAX_VALUE_BYTES];
    fast.put_if("large", Version(0), value.into(), None).await.expect("an outcome");
    let bandwidth = Arc::new(BandwidthLimit::new(MAX_VALUE_BYTES as f64 / 6.0));
    let link = Link::start_limited(server.address(), bandwidth).await.expect("a link");
    let slow = HttpKeyValue::new(Endpoint::new(link.address(), EndpointOptions::default()));
    assert_eq!(slow.get("large").await.expect("a value").value.len(), MAX_VALUE_BYTES);
}
