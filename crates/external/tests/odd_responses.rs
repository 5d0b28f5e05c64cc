//! Responses of the platform's services and of engines that are drawn by a seed, most of which are of another form.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_core::{Incarnation, RequestId};
use bulrushhall_external::{
    BoxFuture,
    clients::{HttpCloud, HttpEngine, HttpVmList, HttpWeightStore},
    cloud::Cloud,
    engine::{Engine, Generate},
    http::{Body, Endpoint, EndpointOptions, Handler, ServerOptions, full, listen, serve},
    vm_list::VmList,
    weights::WeightStore,
};
use bulrushhall_standin::loopback::unused_address;
use futures_util::StreamExt;
use hyper::{Request, Response, body::Incoming};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::sync::watch;

const ROUNDS: usize = 300;
const BODIES: [&str; 7] = [
    r#"[{"vm":"vm-1","zone":"a","service":"s","address":"127.0.0.1:1","leaving":false}]"#,
    r#"[{"zone":"a","class":"c","market":"on-demand","price":1}]"#,
    r#"[{"vm":"vm-1","left_ms":1000}]"#,
    r#"{"running":1,"waiting":0,"prefill_backlog":0,"cached_tokens":0,"step_micros":1}"#,
    r#"[{"sequence":1,"block":2,"held":true}]"#,
    "data: {\"token\":\"a\"}\n\ndata: {\"done\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\n",
    "\"vm-1\"",
];

/// A server that responds with the same body to all requests.
#[derive(Default)]
struct OddServer {
    body: Mutex<Vec<u8>>,
}

impl Handler for OddServer {
    fn handle(self: Arc<Self>, _req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        let body = self.body.lock().expect("no panic while it is held").clone();
        Box::pin(async move { Response::new(full(body)) })
    }
}

fn changed(rng: &mut Pcg64) -> Vec<u8> {
    let mut body = BODIES[rng.random_range(0..BODIES.len())].as_bytes().to_vec();
    for _ in 0..rng.random_range(0..5) {
        let at = rng.random_range(0..=body.len());
        match rng.random_range(0..4) {
            0 => body.truncate(at),
            1 => body.insert(at, rng.random()),
            2 => drop(body.splice(at..at, b"99999999999999999999".iter().copied())),
            _ => drop(body.splice(at..at, b"[[[[{\"a\":".iter().copied())),
        }
    }
    body
}

// Guards against clients that panic or hang at a response of another form.
#[tokio::test]
async fn typed_errors() {
    let listener = listen(unused_address()).expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = Arc::new(OddServer::default());
    let handler: Arc<dyn Handler> = Arc::<OddServer>::clone(&server);
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, handler, ServerOptions::default(), stopped));
    let endpoint = || Endpoint::new(address, EndpointOptions::default());
    let (cloud, vms) = (HttpCloud::new(endpoint()), HttpVmList::new(endpoint()));
    let weights = HttpWeightStore::new(endpoint());
    let engine = HttpEngine::new(endpoint(), Duration::from_secs(1));
    let request = RequestId { origin: Incarnation(1), sequence: 1 };
    let (mut failed, mut read) = (0, 0);
    let mut rng = Pcg64::seed_from_u64(72);
    for _ in 0..ROUNDS {
        *server.body.lock().expect("no panic while it is held") = changed(&mut rng);
        let mut note = |is_read: bool| if is_read { read += 1 } else { failed += 1 };
        note(vms.list().await.is_ok());
        note(cloud.offers().await.is_ok());
        note(cloud.notices().await.is_ok());
        note(weights.fetch(&"m".parse().expect("a name"), "v1").await.is_ok());
        note(engine.load().await.is_ok());
        note(engine.cache_events(0).await.is_ok());
        let generate = Generate {
            request,
            attempt: 1,
            model: "m".parse().expect("a name"),
            prompt: String::new(),
            emitted: Vec::new(),
            max_tokens: 4,
            priority: 0,
            fence: Default::default(),
        };
        let mut frames = engine.generate(generate).await.expect("a head");
        while let Some(frame) = frames.next().await {
            note(frame.is_ok());
        }
    }
    assert!(ROUNDS < failed && 0 < read, "{failed} failed, {read} read");
}
