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

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use serde_json::{Value, json};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, sleep_until, timeout},
};

use crate::{
    harness::{
        ENGINES, Harness,
        caller::get_status,
        document::{CONFIG_KEY, HOST, KEY, default_config},
        engines::Registry,
        raw_engines::{Faults, RawEngines},
        wait_until,
    },
    route_daemon::{Process, address_of, start},
};

/// The part that turns bad.
pub const PART: &str = "bad0";
const NODES: usize = 5;
const ENGINE_COUNT: usize = 12;
/// The crashes after which nodes have to know the part, and the time in which all of them learn of it.
const KNOWN_AFTER: usize = 5;
const CONTACT: Duration = Duration::from_millis(3_000);
/// The retries that the service may get.
const RETRY_SETTINGS: &str = "retry_window = 6s\nretry_headroom = 50\nretry_ratio = 0.2\n";
/// The time limit of requests, in milliseconds.
const TIMEOUT_MS: u64 = 15_000;
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
    /// The streams with the part that begin before it turns bad, and when the first and the last one end after that.
    pub streams: (usize, Duration, Duration),
    /// The engines that end by themselves, a second.
    pub falls: f64,
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
            streams: (0, Duration::ZERO, Duration::ZERO),
            falls: 0.0,
            time: Duration::from_secs(14),
            faults: Faults::default(),
        }
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
}

/// A deployment with the routes of a guild of tile makers.
struct Deployment {
    harness: Harness,
    processes: Vec<Process>,
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
    async fn start(faults: Faults) -> Deployment {
        let mut harness = Harness::without_node().await;
        harness.first_start = true;
        harness.sections = RETRY_SETTINGS;
        harness.store.put(CONFIG_KEY, &config().to_string());
        let store: Arc<dyn Registry> = harness.store.clone();
        let engines = RawEngines::start(store, ENGINES, ENGINE_COUNT, &[], faults);
        let tag = PLAYS.fetch_add(1, Ordering::Relaxed);
        let unique = format!("bulrush-turned-{}-{tag}", std::process::id());
        let directory = env::temp_dir().join(unique);
        fs::create_dir_all(&directory).expect("a directory");
        let (mut processes, mut callers) = (Vec::new(), Vec::new());
        for number in 0..NODES {
            let name = format!("play-{tag}-node-{number}");
            let text = harness.settings_text(&name);
            let log = File::create(directory.join(format!("{name}.log"))).expect("a file");
            callers.push(address_of(&text, "callers"));
            let readiness = address_of(&text, "readiness");
            processes.push(start(&text, log.into()));
            wait_until(async || get_status(readiness, "/readyz").await == Some(200)).await;
        }
        Deployment { harness, processes, callers, engines, directory }
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
    let Asked { id, path, parts, pace } = asked;
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
    timeout(Duration::from_millis(TIMEOUT_MS), received).await.ok().flatten()
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
    Asked { id: format!("sound-{number}"), path, parts, pace: None }
}

// Returns a request with the part.
fn with_part(kind: &'static str, path: &'static str, number: usize) -> Asked {
    let own = format!("{:x}:200", 0xbcd_0000 + number);
    let parts = match path {
        "/consult/1" => format!("5b{:x}:500,{PART}:700,{own}", number % 4),
        _ => format!("{PART}:1200,{own}"),
    };
    Asked { id: format!("{kind}-{number}"), path, parts, pace: None }
}

/// Plays a plan on five processes.
pub async fn play(plan: Plan) -> Seen {
    let deployment = Deployment::start(plan.faults).await;
    let turns_at = Instant::now() + WARM_UP;
    let end = turns_at + plan.time;
    let sounds = deployment.ask_every(SOUND_PAUSE, end, 1, sound);
    let before = plan.asked_before.map(|pause| {
        let asked = move |number| with_part("before", plan.path, number);
        deployment.ask_every(pause, turns_at, 1, asked)
    });
    let (count, first, last) = plan.streams;
    let lead = Duration::from_millis(500);
    sleep_until((turns_at - lead).into()).await;
    for number in 0..count {
        let pause = Duration::from_millis(100);
        let lasts = lead + first + (last - first).mul_f64(number as f64 / count as f64);
        let events = u64::try_from(lasts.as_millis() / pause.as_millis());
        let pace = Some((events.expect("few"), pause));
        let asked = Asked { pace, ..with_part("earlier", "/consult/1", number) };
        tokio::spawn(ask(deployment.callers.clone(), number, 1, asked));
    }
    sleep_until(turns_at.into()).await;
    deployment.engines.turn_bad(PART);
    let asked = move |number| with_part("after", plan.path, number);
    let after = deployment.ask_every(plan.asked_after, end, plan.sends, asked);
    while 0.0 < plan.falls && Instant::now() < end {
        sleep(Duration::from_secs_f64(1.0 / plan.falls)).await;
        deployment.engines.lose_one();
    }
    let sounds = sounds.await.expect("answers");
    after.await.expect("answers");
    if let Some(before) = before {
        before.await.expect("answers");
    }
    seen(deployment, &sounds, turns_at).await
}

async fn seen(deployment: Deployment, sounds: &[Answer], turns_at: Instant) -> Seen {
    let Deployment { engines, processes, directory, harness, .. } = deployment;
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
    drop((processes, harness));
    seen
}
