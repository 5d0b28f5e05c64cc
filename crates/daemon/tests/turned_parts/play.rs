//! Processes of nodes before engines that crash under a part from some moment on.

use std::{
    env,
    fs::{self, File},
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushhall_standin::link::LinkCut;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, sleep_until, timeout},
};

use crate::{
    harness::{
        ENGINES, Harness, TestServer,
        caller::get_status,
        document::{CONFIG_KEY, HOST, KEY, default_config},
        engines::Registry,
        partition::OpenConnections,
        raw_engines::{Ending, Faults, Framing, Moment, RawEngines},
        start_server,
        store::Fault,
        store_view::StoreView,
        wait_until,
    },
    route_daemon::{Process, address_of, start},
};

/// The part that turns bad.
pub const PART: &str = "bad0";
const NODES: usize = 5;
const ENGINE_COUNT: usize = 12;
/// The moment of a kill of a node is up to this long after the part has turned bad, and it is down for this long.
const KILLS_WITHIN: f64 = 6.0;
const KILLED_TIME: Duration = Duration::from_millis(800);
/// The crashes after which nodes have to know the part, and the time in which all of them learn of it.
const KNOWN_AFTER: usize = 5;
const CONTACT: Duration = Duration::from_millis(3_000);
/// The retries that the service may get.
const RETRY_SETTINGS: &str = "retry_window = 6s\nretry_headroom = 50\nretry_ratio = 0.2\n";
/// The time limit of requests, in milliseconds.
const TIMEOUT_MS: u64 = 15_000;
/// How long callers wait, if nothing else is said.
const PATIENCE: Duration = Duration::from_millis(TIMEOUT_MS);
/// The number of the first request that is another one than all before.
const NEW_FROM: usize = 0x1000;
/// The time for which the nodes answer requests before the part turns bad.
const WARM_UP: Duration = Duration::from_secs(4);
/// The pause between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(25);
/// The pause before a caller sends a request again.
const REPEAT_PAUSE: Duration = Duration::from_millis(60);

/// The plays that this program has begun: their processes have names of their own.
static PLAYS: AtomicUsize = AtomicUsize::new(0);

/// What is asked for, and when.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The route of requests with the part.
    pub path: &'static str,
    /// The pause between requests with the part before it turns bad; none if there are none.
    pub asked_before: Option<Duration>,
    /// The same from then on.
    pub asked_after: Duration,
    /// How often a caller sends a request that fails.
    pub sends: usize,
    /// How long it waits for each answer.
    pub patience: Duration,
    /// Whether the requests after the turn are other ones than those before.
    pub are_new: bool,
    /// Whether all requests with the part are the same one.
    pub is_one: bool,
    /// The streams with the part that begin before it turns bad, and when the first and the last one end after that.
    pub streams: (usize, Duration, Duration),
    /// The engines.
    pub engines: usize,
    /// The engines that end by themselves, a second.
    pub falls: f64,
    /// The nodes that are killed and started again, one after the other.
    pub kills: usize,
    /// Whether the first node is cut off from all engines shortly before the part turns bad.
    pub is_cut: bool,
    /// Whether the key-value service is away from the turn on.
    pub is_store_away: bool,
    /// How long the play goes on after the part has turned bad.
    pub time: Duration,
    pub faults: Faults,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            path: "/survey/1",
            asked_before: None,
            asked_after: Duration::from_millis(700),
            sends: 1,
            patience: PATIENCE,
            are_new: false,
            is_one: false,
            streams: (0, Duration::ZERO, Duration::ZERO),
            engines: ENGINE_COUNT,
            falls: 0.0,
            kills: 0,
            is_cut: false,
            is_store_away: false,
            time: Duration::from_secs(14),
            faults: Faults::default(),
        }
    }
}

impl Plan {
    /// Returns a plan drawn from a seed.
    pub fn random(seed: u64) -> Plan {
        let rng = &mut Pcg64::seed_from_u64(seed);
        let millis = |rng: &mut Pcg64, from: f64, to: f64| {
            Duration::from_secs_f64(from * (to / from).powf(rng.random()) / 1_000.0)
        };
        let paths = ["/survey/1", "/consult/1", "/catalogue/1"];
        let moments =
            [Moment::BeforeHead, Moment::FirstEvent, Moment::FirstEvent, Moment::EarlyHead];
        let endings = [
            Ending::Refuses,
            Ending::Refuses,
            Ending::Hangs,
            Ending::ReturnsAtOnce,
            Ending::TakesInSilence,
        ];
        let framings = [Framing::Chunks, Framing::Chunks, Framing::Undelimited];
        let first = Duration::from_secs_f64(rng.random_range(0.0..6.0));
        let last = first + Duration::from_secs_f64(rng.random_range(0.0..6.0));
        let streams = if rng.random_bool(0.5) { rng.random_range(2..30) } else { 0 };
        Plan {
            path: paths[rng.random_range(0..paths.len())],
            asked_before: rng.random_bool(0.8).then(|| millis(rng, 15.0, 1_500.0)),
            asked_after: millis(rng, 150.0, 4_000.0),
            sends: rng.random_range(1..5),
            patience: if rng.random_bool(0.7) { PATIENCE } else { millis(rng, 200.0, 3_000.0) },
            are_new: rng.random(),
            is_one: rng.random_bool(0.2),
            streams: (streams, first, last),
            engines: rng.random_range(3..=ENGINE_COUNT),
            falls: if rng.random_bool(0.3) { rng.random_range(0.3..2.0) } else { 0.0 },
            kills: if rng.random_bool(0.25) { rng.random_range(1..3) } else { 0 },
            is_cut: rng.random_bool(0.25),
            is_store_away: rng.random_bool(0.15),
            time: Duration::from_secs(20),
            faults: Faults {
                framing: framings[rng.random_range(0..framings.len())],
                ending: endings[rng.random_range(0..endings.len())],
                moment: moments[rng.random_range(0..moments.len())],
                broken_of: rng.random_bool(0.2).then(|| rng.random_range(20..200)),
            },
        }
    }
}

impl Plan {
    fn with_part(&self, kind: &'static str, number: usize) -> Asked {
        let asked = with_part(kind, self.path, number);
        if !self.is_one {
            return asked;
        }
        Asked { parts: with_part(kind, self.path, 0).parts, ..asked }
    }
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// The requests with the part that reached engines later than allowed.
    pub late: usize,
    /// The engines that crashed under it.
    pub crashes: usize,
    /// The sound requests from the turn on, and those of them that were refused because of a block.
    pub sound: usize,
    pub refused: usize,
    /// The sound requests once the part has to be known, and those of them that were answered to their end.
    pub sound_known: usize,
    pub answered: usize,
}

/// One request and its answer.
#[derive(Clone, Debug)]
struct Answer {
    at: Instant,
    status: u16,
    body: String,
    is_whole: bool,
}

impl Answer {
    fn is_sound(&self) -> bool {
        self.status == 200 && self.is_whole
    }

    fn is_refused(&self) -> bool {
        self.status == 503 && self.body.contains("a part of this prompt")
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Asked {
    id: String,
    path: &'static str,
    parts: String,
    /// Its events and the pause before each, if they are not the usual ones.
    pace: Option<(u64, Duration)>,
    /// How long the caller waits.
    patience: Duration,
}

/// A deployment with the routes of a guild of tile makers.
struct Deployment {
    harness: Harness,
    /// The key-value service as the first node sees it, whose ways to the engines can be cut.
    view: (Arc<StoreView>, TestServer),
    processes: Vec<Process>,
    settings: Vec<String>,
    callers: Vec<SocketAddr>,
    engines: Arc<RawEngines>,
    directory: PathBuf,
}

fn config() -> Value {
    let mut config = default_config(1);
    let mut catalogue = config["routes"][0].clone();
    catalogue["name"] = json!("catalogue");
    catalogue["prefix"] = json!("/catalogue/");
    config["routes"].as_array_mut().expect("a list").push(catalogue);
    for route in config["routes"].as_array_mut().expect("a list") {
        route["timeout_ms"] = json!(TIMEOUT_MS);
    }
    config
}

impl Deployment {
    async fn start(plan: &Plan) -> Deployment {
        let mut harness = Harness::without_node().await;
        harness.first_start = true;
        harness.sections = RETRY_SETTINGS;
        harness.store.put(CONFIG_KEY, &config().to_string());
        let store: Arc<dyn Registry> = harness.store.clone();
        let engines = RawEngines::start(store, ENGINES, plan.engines, &[], plan.faults);
        let view = StoreView::new(&harness.store);
        let view_port = start_server(Arc::<StoreView>::clone(&view));
        let tag = PLAYS.fetch_add(1, Ordering::Relaxed);
        let unique = format!("bulrush-turned-{}-{tag}", std::process::id());
        let directory = env::temp_dir().join(unique);
        fs::create_dir_all(&directory).expect("a directory");
        let (mut processes, mut callers, mut settings) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..NODES {
            let name = format!("play-{tag}-node-{number}");
            let mut text = harness.settings_text(&name);
            if number == 0 {
                let line = |store: &TestServer| format!("key_value = {}\n", store.address);
                text = text.replace(&line(&harness.store_server), &line(&view_port));
            }
            let log = File::create(directory.join(format!("{name}.log"))).expect("a file");
            callers.push(address_of(&text, "callers"));
            let readiness = address_of(&text, "readiness");
            processes.push(start(&text, log.into()));
            wait_until(async || get_status(readiness, "/readyz").await == Some(200)).await;
            settings.push(text);
        }
        let view = (view, view_port);
        Deployment { harness, view, processes, settings, callers, engines, directory }
    }

    // Kills a node and starts it again.
    async fn restart(&mut self, node: usize) {
        self.processes[node].kill();
        self.processes[node].wait();
        sleep(KILLED_TIME).await;
        let log = File::create(self.directory.join(format!("restarted-{node}.log")));
        self.processes[node] = start(&self.settings[node], log.expect("a file").into());
    }

    fn ask_every(
        &self,
        pause: Duration,
        until: Instant,
        sends: usize,
        asked: impl Fn(usize) -> Asked + Send + 'static,
    ) -> JoinHandle<Vec<Answer>> {
        let callers = self.callers.clone();
        tokio::spawn(async move {
            let mut asking = Vec::new();
            for number in 0.. {
                if until <= Instant::now() {
                    break;
                }
                asking.push(tokio::spawn(ask(callers.clone(), number, sends, asked(number))));
                sleep(pause).await;
            }
            let mut answers = Vec::new();
            for asking in asking {
                answers.extend(asking.await.expect("no panic"));
            }
            answers
        })
    }
}

// Sends a request until it is answered, up to a number of times, each time to the next node; returns its last answer.
async fn ask(
    callers: Vec<SocketAddr>,
    number: usize,
    sends: usize,
    asked: Asked,
) -> Option<Answer> {
    let mut answer = None;
    for send in 0..sends {
        if 0 < send {
            sleep(REPEAT_PAUSE).await;
        }
        answer = send_to(callers[(number + send) % callers.len()], &asked, send).await;
        if answer.as_ref().is_some_and(Answer::is_sound) {
            break;
        }
    }
    answer
}

#[expect(clippy::disallowed_methods, reason = "a caller reads what it gets")]
async fn send_to(caller: SocketAddr, asked: &Asked, send: usize) -> Option<Answer> {
    let Asked { id, path, parts, pace, patience } = asked;
    let mut req = Request::post(*path)
        .header("host", HOST)
        .header("authorization", format!("Bearer {KEY}"))
        .header("bulrushhall-attempt-id", format!("{id}-{send}"))
        .header("bulrushhall-model", "m")
        .header("bulrushhall-token-usage", "1400,64")
        .header("bulrushhall-prefix-hash", parts);
    if let Some((events, pause)) = pace {
        req = req.header("x-events", *events);
        req = req.header("x-pause-ms", pause.as_millis().to_string());
    }
    let req = req.body(Full::new(Bytes::from_static(b"asked"))).expect("a request");
    let at = Instant::now();
    let received = async {
        let stream = TcpStream::connect(caller).await.ok()?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        let response = sender.send_request(req).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let is_whole = body.is_ok();
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(Answer { at, status, body, is_whole })
    };
    timeout(*patience, received).await.ok().flatten()
}

// Returns a request without the part: of each route, with the parts that its prompts share.
fn sound(number: usize) -> Asked {
    let own = format!("{:x}:200", 0xabc_0000 + number);
    let (path, parts) = match number % 3 {
        0 => ("/survey/1", format!("5a{:x}:1200,{own}", number % 69)),
        1 => ("/consult/1", format!("5b{:x}:500,5c{:x}:700,{own}", number % 4, number * 7 % 124)),
        _ => {
            ("/catalogue/1", format!("5d{:x}:210,5e{:x}:140,{own}", number % 40, number * 7 % 268))
        }
    };
    Asked { id: format!("sound-{number}"), path, parts, pace: None, patience: PATIENCE }
}

// Returns a request with the part.
fn with_part(kind: &'static str, path: &'static str, number: usize) -> Asked {
    let own = format!("{:x}:200", 0xbcd_0000 + number);
    let parts = match path {
        "/consult/1" => format!("5b{:x}:500,{PART}:700,{own}", number % 4),
        _ => format!("{PART}:1200,{own}"),
    };
    Asked { id: format!("{kind}-{number}"), path, parts, pace: None, patience: PATIENCE }
}

/// Plays a plan on five processes.
pub async fn play(plan: Plan) -> Seen {
    let mut deployment = Deployment::start(&plan).await;
    let turns_at = Instant::now() + WARM_UP;
    let end = turns_at + plan.time;
    let sounds = deployment.ask_every(SOUND_PAUSE, end, 1, sound);
    let before = plan.asked_before.map(|pause| {
        let asked = move |number| plan.with_part("before", number);
        deployment.ask_every(pause, turns_at, 1, asked)
    });
    let (count, first_end, last_end) = plan.streams;
    let lead = Duration::from_millis(500);
    sleep_until((turns_at - lead).into()).await;
    if plan.is_cut {
        deployment.view.0.cut(LinkCut::Refusing, OpenConnections::Reset);
    }
    for number in 0..count {
        let pause = Duration::from_millis(100);
        let lasts = lead + first_end + (last_end - first_end).mul_f64(number as f64 / count as f64);
        let events = u64::try_from(lasts.as_millis() / pause.as_millis());
        let pace = Some((events.expect("few"), pause));
        let asked = Asked { pace, ..with_part("earlier", "/consult/1", number) };
        tokio::spawn(ask(deployment.callers.clone(), number, 1, asked));
    }
    sleep_until(turns_at.into()).await;
    deployment.engines.turn_bad(PART);
    if plan.is_store_away {
        deployment.harness.store.set_fault(Fault::Down);
    }
    let first = if plan.are_new { NEW_FROM } else { 0 };
    let asked =
        move |number| Asked { patience: plan.patience, ..plan.with_part("after", first + number) };
    let after = deployment.ask_every(plan.asked_after, end, plan.sends, asked);
    let engines = Arc::clone(&deployment.engines);
    let falls = tokio::spawn(async move {
        while 0.0 < plan.falls && Instant::now() < end {
            sleep(Duration::from_secs_f64(1.0 / plan.falls)).await;
            engines.lose_one();
        }
    });
    for node in 0..plan.kills {
        sleep(Duration::from_secs_f64(KILLS_WITHIN / plan.kills as f64)).await;
        deployment.restart(node).await;
    }
    let sounds = sounds.await.expect("answers");
    after.await.expect("answers");
    falls.await.expect("no panic");
    if let Some(before) = before {
        before.await.expect("answers");
    }
    seen(deployment, &sounds, turns_at).await
}

async fn seen(deployment: Deployment, sounds: &[Answer], turns_at: Instant) -> Seen {
    let Deployment { engines, processes, directory, harness, view, .. } = deployment;
    let crashes = engines.crashes(PART);
    let known = crashes.get(KNOWN_AFTER - 1).map(|at| *at + CONTACT);
    let late = engines.received(PART).into_iter().filter(|at| known.is_some_and(|it| it <= *at));
    let later = |since: Instant| sounds.iter().filter(move |answer| since <= answer.at);
    let known = known.unwrap_or(turns_at);
    let seen = Seen {
        late: late.count(),
        crashes: crashes.len(),
        sound: later(turns_at).count(),
        refused: later(turns_at).filter(|answer| answer.is_refused()).count(),
        sound_known: later(known).count(),
        answered: later(known).filter(|answer| answer.is_sound()).count(),
    };
    let after = |at: &Instant| at.duration_since(turns_at).as_millis();
    let crashed: Vec<u128> = crashes.iter().map(after).collect();
    let received = engines.received(PART);
    let received: Vec<u128> = received.iter().filter(|at| turns_at <= **at).map(after).collect();
    let logs = directory.display();
    let text = format!("{seen:?}\ncrashes {crashed:?} ms\nsent {received:?} ms\nlogs in {logs}\n");
    let _ = io::stderr().write_all(text.as_bytes());
    drop((processes, harness, view));
    seen
}
