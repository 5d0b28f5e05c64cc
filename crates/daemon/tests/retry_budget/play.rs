//! Processes under an even load, whose failing servers count the retries.

use std::{
    collections::HashMap,
    env, fs,
    io::{self, Write},
    net::SocketAddr,
    ops::Range,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{task::JoinHandle, time::sleep};

use bulrushhall_standin::link::LinkCut;

use crate::harness::{
    ENGINES, Harness, LEDGER, TestServer,
    backend::{Backend, Behavior, ReceivedRequest},
    caller::{get_status, post, post_if_open, prompt_if_open},
    config_change::{ConfigChange, OTHER_LEDGER},
    document::CONFIG_KEY,
    partition::OpenConnections,
    start_server,
    store::Fault,
    store_view::StoreView,
    wait_until,
};

/// The window in which retries are counted.
const WINDOW: Duration = Duration::from_secs(6);
/// The retries that are free in it.
pub const HEADROOM: f64 = 50.0;
/// The retries that each request allows.
const RATIO: f64 = 0.2;
/// The time between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// How long servers fail.
const FAILING_TIME: Duration = Duration::from_secs(10);
const SERVERS: usize = 4;
/// The attempts of each route that is played.
const MAX_ATTEMPTS: usize = 2;
/// By how much the time that a server is given for a repeated request may end after that of the first one.
const TIME_SLACK: Duration = Duration::from_millis(500);

/// A `Signal` is what a process gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Kill,
    Terminate,
    Pause,
    Continue,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Signal::Kill => "-KILL",
            Signal::Terminate => "-TERM",
            Signal::Pause => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// A `Process` is a node.
pub struct Process {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    /// The settings of its successors, which are no first start.
    pub next_settings: PathBuf,
    child: Child,
}

/// The `Worst` window is the one with the most retries beyond those that are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Worst {
    pub retries: f64,
    pub allowed: f64,
}

impl Worst {
    /// Returns the one that is nearer to what is allowed, or further above it.
    fn worse(self, other: Worst) -> Worst {
        if other.allowed - other.retries < self.allowed - self.retries { other } else { self }
    }
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    Calls,
    /// Streams that may be resumed.
    Streams,
}

/// A `Play` is a deployment under load.
pub struct Play {
    asked: Asked,
    pub processes: Vec<Process>,
    pub servers: Vec<Arc<Backend>>,
    harness: Harness,
    sent: Arc<Mutex<Vec<Instant>>>,
    stopped: Arc<AtomicBool>,
    load: Option<JoinHandle<()>>,
    failing_since: Option<Instant>,
    /// The store as the first process sees it, whose ways to the servers can be cut.
    view: Arc<StoreView>,
    /// The version of the configuration.
    version: u64,
    _ports: Vec<TestServer>,
}

impl Process {
    fn start(harness: &Harness, name: &str, store: SocketAddr) -> Process {
        let store_line = |address: SocketAddr| format!("key_value = {address}\n");
        let text = harness.settings_text(name);
        let text = text.replace(&store_line(harness.store_server.address), &store_line(store));
        let address = |key: &str| -> SocketAddr {
            let line = text.lines().find_map(|line| line.strip_prefix(&format!("{key} = ")));
            line.expect("a setting").parse().expect("an address")
        };
        let (callers, readiness) = (address("callers"), address("readiness"));
        let file = format!("bulrush-retries-{}-{}.ini", std::process::id(), callers.port());
        let settings = env::temp_dir().join(file);
        let next_settings = settings.with_extension("next.ini");
        let next = text.replace("first_start = true", "first_start = false");
        fs::write(&settings, text).expect("a written file");
        fs::write(&next_settings, next).expect("a written file");
        let child = spawn(&settings);
        Process { callers, readiness, settings, next_settings, child }
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal.flag(), &pid]).status().expect("a signal");
        assert!(sent.success());
    }

    async fn wait_for_end(&mut self) {
        while self.child.try_wait().expect("a child").is_none() {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_file(&self.next_settings);
    }
}

fn spawn(settings: &Path) -> Child {
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_bulrushd"));
    daemon.arg("--settings").arg(settings).stdout(Stdio::null()).stderr(Stdio::null());
    daemon.spawn().expect("a started daemon")
}

impl Play {
    /// Starts processes and servers and waits until all processes know each other and the servers.
    pub async fn start(count: usize, behavior: Behavior) -> Play {
        Play::start_for(Asked::Calls, count, behavior).await
    }

    /// Starts the same for what is asked for.
    pub async fn start_for(asked: Asked, count: usize, behavior: Behavior) -> Play {
        let service = if asked == Asked::Streams { ENGINES } else { LEDGER };
        let mut harness = Harness::without_node().await;
        harness.first_start = true;
        harness.sections = "retry_window = 6s\nretry_headroom = 50\nretry_ratio = 0.2\n";
        let (mut servers, mut ports) = (Vec::new(), Vec::new());
        for number in 0..SERVERS {
            let server = Backend::new(&format!("b-{number}"), behavior.clone());
            ports.push(harness.add_backend(service, &server).await);
            servers.push(server);
        }
        let view = StoreView::new(&harness.store);
        let view_port = start_server(Arc::<StoreView>::clone(&view));
        let store_of =
            |number| if number == 0 { view_port.address } else { harness.store_server.address };
        let start = |number| Process::start(&harness, &format!("node-{number}"), store_of(number));
        let processes: Vec<Process> = (0..count).map(start).collect();
        ports.push(view_port);
        for process in &processes {
            wait_until(async || get_status(process.readiness, "/readyz").await == Some(200)).await;
        }
        Play {
            asked,
            processes,
            servers,
            harness,
            sent: Arc::default(),
            stopped: Arc::default(),
            load: None,
            failing_since: None,
            view,
            version: 1,
            _ports: ports,
        }
    }

    /// Sends requests to all processes in turn, for as long as it takes until a window before the present one is whole.
    pub async fn warm_up(&mut self) {
        self.begin_load();
        sleep(2 * WINDOW + Duration::from_secs(1)).await;
    }

    /// Sends requests to all processes in turn.
    pub fn begin_load(&mut self) {
        let addresses: Vec<SocketAddr> = self.processes.iter().map(|it| it.callers).collect();
        let (sent, stopped) = (Arc::clone(&self.sent), Arc::clone(&self.stopped));
        let asked = self.asked;
        self.load = Some(tokio::spawn(async move {
            let next = Arc::new(AtomicUsize::new(0));
            while !stopped.load(Ordering::Relaxed) {
                let (addresses, sent) = (addresses.clone(), Arc::clone(&sent));
                let number = next.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move { ask(asked, number, &addresses, &sent).await });
                sleep(PAUSE).await;
            }
        }));
    }

    pub fn set_behavior(&mut self, behavior: &Behavior) {
        for server in &self.servers {
            server.set_behavior(behavior.clone());
        }
        self.failing_since = Some(Instant::now());
    }

    pub fn signal_all(&self, range: Range<usize>, signal: Signal) {
        for process in &self.processes[range] {
            process.signal(signal);
        }
    }

    /// Lets processes stand still for a time.
    pub async fn pause(&self, range: Range<usize>, time: Duration) {
        self.signal_all(range.clone(), Signal::Pause);
        sleep(time).await;
        self.signal_all(range, Signal::Continue);
    }

    /// Ends processes, and starts their successors after a time.
    pub async fn restart(&mut self, range: Range<usize>, signal: Signal, down: Duration) {
        self.signal_all(range.clone(), signal);
        for process in &mut self.processes[range.clone()] {
            process.wait_for_end().await;
        }
        sleep(down).await;
        for process in &mut self.processes[range.clone()] {
            process.child = spawn(&process.next_settings);
        }
        for process in &self.processes[range] {
            wait_until(async || get_status(process.readiness, "/readyz").await == Some(200)).await;
        }
    }

    /// Cuts all ways of the first process to servers, and waits until others carry its requests.
    pub async fn cut_first(&self) {
        self.view.cut(LinkCut::Refusing, OpenConnections::Reset);
        wait_until(async || self.answered_by(&self.processes[0], 3).await == 3).await;
    }

    /// Adds servers of the service to which routes are pointed later.
    pub async fn add_other_servers(&mut self) {
        self.change_config(ConfigChange::Nothing);
        for number in 0..SERVERS {
            let server = Backend::new(&format!("other-{number}"), Behavior::Complete);
            self._ports.push(self.harness.add_backend(OTHER_LEDGER, &server).await);
            self.servers.push(server);
        }
    }

    /// Changes the configuration.
    pub fn change_config(&mut self, change: ConfigChange) {
        self.version += 1;
        self.harness.store.put(CONFIG_KEY, &change.config(self.version).to_string());
    }

    /// Changes a line of the settings of all later processes.
    pub fn change_settings(&self, before: &str, after: &str) {
        for process in &self.processes {
            let text = fs::read_to_string(&process.next_settings).expect("a file");
            assert!(text.contains(before));
            fs::write(&process.next_settings, text.replace(before, after)).expect("a written file");
        }
    }

    pub fn stop_store(&self) {
        self.harness.store.set_fault(Fault::Down);
    }

    /// Returns how many of a number of requests to a process succeed.
    pub async fn answered_by(&self, process: &Process, count: usize) -> usize {
        let mut answered = 0;
        for number in 0..count {
            let response = post(process.callers, &format!("own-{number}"), "/look/1").await;
            answered += usize::from(response.status == 200);
        }
        answered
    }

    /// Ends the load and returns the worst window.
    pub async fn finish(self) -> Worst {
        let since = self.failing_since.expect("servers that fail");
        sleep(FAILING_TIME.saturating_sub(since.elapsed())).await;
        self.stopped.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(300)).await;
        let sent = self.sent.lock().expect("no panic while it is held").clone();
        let requests = self.requests();
        for (id, arrivals) in &requests {
            assert!(arrivals.len() <= MAX_ATTEMPTS, "{id}: {} attempts", arrivals.len());
            check_times(arrivals);
        }
        let (of_other, of_first): (Vec<_>, Vec<_>) =
            requests.into_values().partition(|arrivals| arrivals[0].server.starts_with("other"));
        let first_arrivals = |requests: &[Vec<Arrival>]| -> Vec<Instant> {
            requests.iter().map(|arrivals| arrivals[0].at).collect()
        };
        // The other service has only the requests that reached it.
        let other = worst_window(&first_arrivals(&of_other), &retries(&of_other));
        let sent = if of_other.is_empty() { sent } else { first_arrivals(&of_first) };
        let worst = worst_window(&sent, &retries(&of_first)).worse(other);
        let _ = writeln!(io::stderr(), "{worst:?}");
        worst
    }

    // Returns the arrivals of each request at servers.
    fn requests(&self) -> HashMap<String, Vec<Arrival>> {
        let mut requests: HashMap<String, Vec<Arrival>> = HashMap::new();
        for server in &self.servers {
            for request in server.received() {
                let id = request.header("bulrushhall-attempt-id").to_owned();
                requests.entry(id).or_default().push(Arrival::new(&server.name, &request));
            }
        }
        for arrivals in requests.values_mut() {
            arrivals.sort_unstable_by_key(|arrival| arrival.at);
        }
        requests
    }
}

/// An `Arrival` is a request as a server got it.
#[derive(Clone, Debug)]
struct Arrival {
    server: String,
    at: Instant,
    /// When the time is over that the server was given.
    ends_at: Instant,
}

impl Arrival {
    fn new(server: &str, request: &ReceivedRequest) -> Arrival {
        let given = request.header("bulrushhall-deadline-ms").parse().expect("a time");
        let ends_at = request.at + Duration::from_millis(given);
        Arrival { server: server.to_owned(), at: request.at, ends_at }
    }
}

// Guards against servers that are given more time than is left of a request.
fn check_times(arrivals: &[Arrival]) {
    for arrival in arrivals {
        assert!(arrival.ends_at <= arrivals[0].ends_at + TIME_SLACK, "{arrivals:?}");
    }
}

// Returns when servers got requests that had reached one before.
fn retries(requests: &[Vec<Arrival>]) -> Vec<Instant> {
    let repeated = requests.iter().flat_map(|arrivals| &arrivals[1..]);
    let mut retries: Vec<Instant> = repeated.map(|arrival| arrival.at).collect();
    retries.sort_unstable();
    retries
}

// Returns the requests or retries in the window that ends at a time.
fn count(times: &[Instant], end: Instant) -> f64 {
    times.iter().filter(|at| **at <= end && end.duration_since(**at) < WINDOW).count() as f64
}

// The requests of a window are those in it, in the one before it or in the one half a window before it, whichever are most.
fn worst_window(sent: &[Instant], retries: &[Instant]) -> Worst {
    let mut worst = Worst { retries: 0.0, allowed: f64::INFINITY };
    for end in retries {
        let requests =
            [Duration::ZERO, WINDOW / 2, WINDOW].map(|before| count(sent, *end - before));
        let requests = requests.into_iter().fold(0.0, f64::max);
        let window = Worst { retries: count(retries, *end), allowed: RATIO * requests + HEADROOM };
        worst = worst.worse(window);
    }
    worst
}

// Sends a request to a process, or to the next one that takes it. It counts once, although callers send new ones.
async fn ask(asked: Asked, number: usize, addresses: &[SocketAddr], sent: &Mutex<Vec<Instant>>) {
    sent.lock().expect("no panic while it is held").push(Instant::now());
    for attempt in 0..addresses.len() {
        let address = addresses[(number + attempt) % addresses.len()];
        let id = format!("r-{number}-{attempt}");
        let response = match asked {
            Asked::Calls => post_if_open(address, &id, "/look/1").await,
            Asked::Streams => {
                let parts = format!("{:x}:4200", number + 1);
                prompt_if_open(address, &id, "/survey/1", &parts).await
            }
        };
        if response.is_some() {
            return;
        }
    }
}
