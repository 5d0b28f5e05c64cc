//! Requests that their sender has given up while a partition holds them up.

use std::{
    env,
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, ChildStdin, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bulrushhall_external::{
    BoxFuture,
    http::{
        Body, Endpoint, EndpointOptions, Handler, SendPermit, ServerOptions, empty, listen, serve,
    },
};
use bulrushhall_standin::partition_link::PartitionLink;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// The variable with the address that the sender process connects to.
const TARGET: &str = "ABANDONED_REQUESTS_TARGET";
/// The line of the sender process after the response to its first request.
const READY: &str = "ready for the request";
/// The path of the request that is sent into the partition.
const HELD_UP: &str = "/held-up";
/// The time for a request to be written.
const WRITE_TIME: Duration = Duration::from_millis(300);
/// The duration of the partition after the request was written.
const PARTITION: Duration = Duration::from_millis(2_500);
/// The time after the partition in which the kernel would have retransmitted the request.
const RETRANSMISSION_TIME: Duration = Duration::from_millis(3_500);

/// A `Recorder` records the paths of requests.
#[derive(Default)]
struct Recorder {
    paths: Mutex<Vec<String>>,
}

impl Recorder {
    fn paths(&self) -> Vec<String> {
        self.paths.lock().expect("no panic while it is held").clone()
    }
}

impl Handler for Recorder {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        let path = req.uri().path().to_owned();
        self.paths.lock().expect("no panic while it is held").push(path);
        Box::pin(async { Response::new(empty()) })
    }
}

struct Server {
    recorder: Arc<Recorder>,
    link: PartitionLink,
    _stop: watch::Sender<bool>,
}

impl Server {
    async fn start() -> Server {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let address = listener.local_addr().expect("an address");
        let recorder = Arc::new(Recorder::default());
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::<Recorder>::clone(&recorder);
        tokio::spawn(serve(listener, handler, ServerOptions::default(), stopped));
        let link = PartitionLink::start(address).await.expect("a link");
        Server { recorder, link, _stop: stop }
    }

    async fn heal_after_partition(&self) {
        sleep(PARTITION).await;
        self.link.heal().expect("a healed link");
        sleep(RETRANSMISSION_TIME).await;
    }
}

fn options() -> EndpointOptions {
    EndpointOptions { response_timeout: Duration::from_millis(500), ..EndpointOptions::default() }
}

fn post(path: &str) -> Request<Full<Bytes>> {
    Request::post(path).body(Full::new(Bytes::from_static(b"{}"))).expect("a request")
}

/// How a sender gives up a request.
#[derive(Clone, Copy)]
enum GivenUp {
    TimedOut,
    Dropped,
}

// Guards against a request that its sender has given up and that the kernel still retransmits.
#[rstest]
#[case(GivenUp::TimedOut)]
#[case(GivenUp::Dropped)]
#[tokio::test]
async fn given_up(#[case] way: GivenUp) {
    let server = Server::start().await;
    let endpoint = Endpoint::new(server.link.address(), options());
    endpoint.send(post("/before")).await.expect("a response");
    server.link.cut().expect("a cut link");
    let sending = endpoint.send(post(HELD_UP));
    match way {
        GivenUp::TimedOut => drop(sending.await.expect_err("no response")),
        GivenUp::Dropped => drop(timeout(WRITE_TIME, sending).await.expect_err("no response")),
    }
    server.heal_after_partition().await;
    assert_eq!(server.recorder.paths(), ["/before"]);
    endpoint.send(post("/after")).await.expect("a response");
    assert_eq!(server.recorder.paths(), ["/before", "/after"]);
}

// Guards against an older request that arrives after a newer one of the same sender.
#[tokio::test]
async fn overtaken() {
    let server = Server::start().await;
    let endpoint = Endpoint::new(server.link.address(), options());
    endpoint.send(post("/before")).await.expect("a response");
    server.link.cut().expect("a cut link");
    endpoint.send(post(HELD_UP)).await.expect_err("no response");
    server.link.heal().expect("a healed link");
    endpoint.send(post("/after")).await.expect("a response");
    sleep(RETRANSMISSION_TIME).await;
    assert_eq!(server.recorder.paths(), ["/before", "/after"]);
}

// Guards against a request that is written after the right to send it has ended, by a process that was paused
// between its check and the write.
#[rstest]
#[case(0)]
#[case(1)]
#[tokio::test]
async fn ended_permit(#[case] checks_before_end: u32) {
    let server = Server::start().await;
    let endpoint = Endpoint::new(server.link.address(), options());
    endpoint.send(post("/before")).await.expect("a response");
    let checks = AtomicU32::new(0);
    let is_valid = move || checks.fetch_add(1, Ordering::Relaxed) < checks_before_end;
    let mut req = post("/without-permit");
    req.extensions_mut().insert(SendPermit::new(is_valid));
    endpoint.send(req).await.expect_err("no response");
    endpoint.send(post("/after")).await.expect("a response");
    assert_eq!(server.recorder.paths(), ["/before", "/after"]);
}

/// What happens to the process of the sender.
#[derive(Clone, Copy)]
enum ProcessFault {
    Killed,
    Terminated,
    Frozen,
}

// Guards against a request of a process that is gone or stopped, and that the kernel still retransmits.
#[rstest]
#[case(ProcessFault::Killed)]
#[case(ProcessFault::Terminated)]
#[case(ProcessFault::Frozen)]
#[tokio::test(flavor = "multi_thread")]
async fn process_fault(#[case] fault: ProcessFault) {
    let server = Server::start().await;
    let mut sender = SenderProcess::start(server.link.address());
    server.link.cut().expect("a cut link");
    sender.send();
    sleep(WRITE_TIME).await;
    sender.signal(match fault {
        ProcessFault::Killed => Signal::KILL,
        ProcessFault::Terminated => Signal::TERM,
        ProcessFault::Frozen => Signal::STOP,
    });
    server.heal_after_partition().await;
    assert_eq!(server.recorder.paths(), ["/before"]);
}

/// A `SenderProcess` runs [`sender_process`] in a process of its own.
struct SenderProcess {
    child: Child,
    input: ChildStdin,
}

impl SenderProcess {
    fn start(target: SocketAddr) -> SenderProcess {
        let mut child = Command::new(env::current_exe().expect("this program"))
            .args(["--exact", "sender_process", "--nocapture"])
            .env(TARGET, target.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let input = child.stdin.take().expect("an input");
        let output = BufReader::new(child.stdout.take().expect("an output"));
        let is_ready = |line: &String| line.contains(READY);
        output.lines().map_while(Result::ok).find(is_ready).expect("a ready process");
        SenderProcess { child, input }
    }

    fn send(&mut self) {
        self.input.write_all(b"send\n").expect("an open input");
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("a running process");
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The program of a [`SenderProcess`].
#[tokio::test(flavor = "multi_thread")]
async fn sender_process() {
    let Ok(target) = env::var(TARGET) else { return };
    let endpoint = Endpoint::new(target.parse().expect("an address"), options());
    endpoint.send(post("/before")).await.expect("a response");
    std::io::stdout().write_all(READY.as_bytes()).expect("an open output");
    std::io::stdout().write_all(b"\n").expect("an open output");
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).expect("an open input");
    let _ = endpoint.send(post(HELD_UP)).await;
}
