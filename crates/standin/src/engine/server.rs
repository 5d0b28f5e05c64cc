//! The HTTP server of a simulated engine, which runs the model in real or accelerated time.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bulrushhall_core::{FencingNumber, ModelName, RequestId, Stamp, VmName};
use bulrushhall_external::{
    BoxFuture,
    engine::{CacheEvent, EngineLoad, EngineOrder, Frame, Generate},
    http::{Body, Handler, streamed},
};
use bytes::Bytes;
use futures_util::{Stream, stream};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    engine::{EngineModel, EngineOptions, Output},
    loopback::unused_address,
    reply,
    running_server::RunningServer,
    switches::Switches,
};

/// The comment line that an engine repeats which answers without end, and the lines that it sends at once.
const COMMENT: &str = ": a\n";
const COMMENTS: usize = 1_024;

/// `EngineCounts` count what an engine has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// The accepted requests; each attempt counts.
    pub generates: u64,
    /// The computed tokens of prompts and responses.
    pub computed_tokens: u64,
    /// The tokens that were recomputed because of a resume.
    pub recomputed_tokens: u64,
    /// The exported bytes of KV cache.
    pub exported_bytes: u64,
    /// The crashes.
    pub crashes: u64,
    /// The orders that were refused because of an outdated fencing number.
    pub fenced_orders: u64,
}

/// An `EngineServer` is a simulated engine on a loopback port.
pub struct EngineServer {
    shared: Arc<Shared>,
    running: RunningServer,
    model_task: JoinHandle<()>,
}

struct Shared {
    vm: VmName,
    options: EngineOptions,
    started: Instant,
    state: Mutex<State>,
    wake: Notify,
    crashed: Notify,
    switches: Switches,
}

struct State {
    model: EngineModel,
    streams: HashMap<RequestId, (u32, mpsc::UnboundedSender<Frame>)>,
    counts: EngineCounts,
    reports: VecDeque<(Stamp, EngineLoad)>,
    events: VecDeque<(Stamp, CacheEvent)>,
    next_event: u64,
    highest_fence: FencingNumber,
    generation: u64,
    loaded_model: ModelName,
    versions: HashMap<ModelName, String>,
}

/// The maximum number of cache events that are kept for readers.
const MAX_EVENTS: usize = 4_096;

impl EngineServer {
    /// Starts an engine for `model` on an unused loopback address.
    pub async fn start(
        vm: VmName,
        model: ModelName,
        options: EngineOptions,
    ) -> io::Result<EngineServer> {
        EngineServer::start_at(unused_address(), vm, model, options).await
    }

    /// Starts an engine for `model` on `address`.
    pub async fn start_at(
        address: SocketAddr,
        vm: VmName,
        model: ModelName,
        options: EngineOptions,
    ) -> io::Result<EngineServer> {
        let state = State {
            model: EngineModel::new(options.clone()),
            streams: HashMap::new(),
            counts: EngineCounts::default(),
            reports: VecDeque::new(),
            events: VecDeque::new(),
            next_event: 0,
            highest_fence: FencingNumber(0),
            generation: 0,
            loaded_model: model,
            versions: HashMap::new(),
        };
        let seed = xxhash_rust::xxh3::xxh3_64(vm.as_str().as_bytes());
        let shared = Arc::new(Shared {
            vm,
            options,
            started: Instant::now(),
            state: Mutex::new(state),
            wake: Notify::new(),
            crashed: Notify::new(),
            switches: Switches::new(seed),
        });
        let running =
            RunningServer::start_at(address, Arc::clone(&shared) as Arc<dyn Handler>).await?;
        let model_task = tokio::spawn(run_model(Arc::clone(&shared)));
        let (kill, crashed) = (running.kill_handle(), Arc::clone(&shared));
        tokio::spawn(async move {
            crashed.crashed.notified().await;
            kill.abort();
        });
        Ok(EngineServer { shared, running, model_task })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Returns the VM that the engine runs on.
    pub fn vm(&self) -> &VmName {
        &self.shared.vm
    }

    /// Returns the version of its software.
    pub fn version(&self) -> &str {
        &self.shared.options.version
    }

    /// Returns the fault switches.
    pub fn switches(&self) -> &Switches {
        &self.shared.switches
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> EngineCounts {
        let state = self.shared.lock();
        let (computed_tokens, recomputed_tokens) = state.model.totals();
        EngineCounts { computed_tokens, recomputed_tokens, ..state.counts }
    }

    /// Stops the engine and closes its connections, as the failure of its VM would.
    pub fn kill(&self) {
        self.running.kill();
        self.model_task.abort();
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Stamp {
        let micros = self.started.elapsed().as_secs_f64() * self.options.speed * 1e6;
        Stamp(micros as u64)
    }

    fn real_time(&self, stamp: Stamp) -> Instant {
        self.started + Duration::from_secs_f64(stamp.0 as f64 / 1e6 / self.options.speed)
    }

    fn generate(self: &Arc<Self>, req: Generate) -> Response<Body> {
        if self.switches.faults().endless {
            let comments = Bytes::from(COMMENT.repeat(COMMENTS));
            return Response::new(streamed(stream::repeat(comments)));
        }
        let now = self.now();
        let (tx, rx) = mpsc::unbounded_channel();
        let (request, attempt) = (req.request, req.attempt);
        let mut state = self.lock();
        if req.model != state.loaded_model {
            return reply::status(StatusCode::NOT_FOUND);
        }
        state.counts.generates += 1;
        let crash_text = self.options.crash_text.as_deref();
        if crash_text.is_some_and(|text| req.prompt.contains(text)) {
            state.counts.crashes += 1;
            self.crashed.notify_one();
        }
        state.streams.insert(request, (attempt, tx));
        state.model.submit(now, req);
        drop(state);
        self.wake.notify_one();

        let guard = CancelGuard { shared: Arc::clone(self), request, attempt };
        Response::new(streamed(frame_stream(rx, guard)))
    }

    fn cancel(&self, request: RequestId) {
        let mut state = self.lock();
        state.streams.remove(&request);
        state.model.cancel(request);
    }

    fn order(&self, order: EngineOrder) -> Response<Body> {
        let mut state = self.lock();
        if self.options.checks_fence && order.fence < state.highest_fence {
            state.counts.fenced_orders += 1;
            return reply::status(StatusCode::CONFLICT);
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        if order.generation < state.generation && self.options.checks_fence {
            return reply::status(StatusCode::OK);
        }
        state.generation = order.generation;
        state.versions.insert(order.model.clone(), order.version);
        state.loaded_model = order.model;
        reply::status(StatusCode::OK)
    }

    fn delayed_load(&self) -> EngineLoad {
        let now = self.now();
        let mut state = self.lock();
        let current = state.model.load();
        state.reports.push_back((now, current));
        let due = now - self.options.report_lag;
        while let Some((_, next)) = state.reports.get(1).copied() {
            if due < state.reports[1].0 {
                break;
            }
            let _ = next;
            state.reports.pop_front();
        }
        state.reports.front().map_or(current, |(_, report)| *report)
    }

    fn events_from(&self, first: u64) -> Vec<CacheEvent> {
        let due = self.now() - self.options.event_lag;
        let state = self.lock();
        let ready = state.events.iter().filter(|(at, event)| *at <= due && first <= event.sequence);
        ready.map(|(_, event)| *event).collect()
    }

    fn record_cache_changes(&self, state: &mut State, now: Stamp) {
        for (block, held) in state.model.take_cache_changes() {
            let event = CacheEvent { sequence: state.next_event, block, held };
            state.next_event += 1;
            let lost =
                (self.switches.random_below(1_000) as f64) < self.options.event_loss * 1_000.0;
            if lost {
                continue;
            }
            state.events.push_back((now, event));
            if MAX_EVENTS < state.events.len() {
                state.events.pop_front();
            }
        }
    }

    async fn export(&self, request: RequestId) -> Response<Body> {
        let blocks = self.lock().model.export(request);
        let tokens = (blocks.len() * crate::engine::BLOCK_TOKENS) as u64;
        let bytes = tokens * self.options.bytes_per_token;
        let seconds = bytes as f64 / self.options.move_per_second as f64 / self.options.speed;
        sleep(Duration::from_secs_f64(seconds)).await;
        self.lock().counts.exported_bytes += bytes;
        reply::json(&blocks)
    }

    async fn respond(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        if path == "/identity" {
            self.switches.wait_while_silent().await;
            return reply::identity(&self.vm, &self.options.version);
        }
        let faults = self.switches.delay_call().await;
        if faults.outage {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let Ok(body) = reply::read(req.into_body()).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let (operation, argument) =
            path.trim_start_matches('/').split_once('/').unwrap_or((&path[1..], ""));
        match operation {
            "generate" => with_json(&body, |req| self.generate(req)),
            "order" => with_json(&body, |order| self.order(order)),
            "load" => reply::json(&self.delayed_load()),
            "events" => reply::json(&self.events_from(argument.parse().unwrap_or(0))),
            "import" => with_json(&body, |blocks: Vec<u64>| {
                self.lock().model.import(&blocks);
                reply::status(StatusCode::OK)
            }),
            "cancel" | "export" => {
                let Ok(request) = argument.parse() else {
                    return reply::status(StatusCode::BAD_REQUEST);
                };
                if operation == "export" {
                    return self.export(request).await;
                }
                self.cancel(request);
                reply::status(StatusCode::OK)
            }
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(self.respond(req))
    }
}

/// A `CancelGuard` cancels a request when the reader of its response disconnects.
struct CancelGuard {
    shared: Arc<Shared>,
    request: RequestId,
    attempt: u32,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        let current = state.streams.get(&self.request).map(|(attempt, _)| *attempt);
        if current != Some(self.attempt) {
            return;
        }
        state.streams.remove(&self.request);
        state.model.cancel(self.request);
    }
}

async fn run_model(shared: Arc<Shared>) {
    loop {
        let next = shared.lock().model.next_wake();
        match next {
            None => shared.wake.notified().await,
            Some(stamp) => sleep_until(shared.real_time(stamp)).await,
        }
        let now = shared.now();
        let mut state = shared.lock();
        let outputs = state.model.advance(now);
        for output in outputs {
            deliver(&mut state, output);
        }
        shared.record_cache_changes(&mut state, now);
    }
}

fn deliver(state: &mut State, output: Output) {
    let Some((attempt, tx)) = state.streams.get(&output.request) else { return };
    if *attempt != output.attempt {
        return;
    }
    let last = matches!(output.frame, Frame::Done(_));
    let _ = tx.send(output.frame);
    if last {
        state.streams.remove(&output.request);
    }
}

fn frame_stream(
    rx: mpsc::UnboundedReceiver<Frame>,
    guard: CancelGuard,
) -> impl Stream<Item = Bytes> + Send {
    stream::unfold((rx, guard), |(mut rx, guard)| async move {
        // Frames that are ready at the same time are sent in one chunk.
        let mut chunk = encode(&rx.recv().await?);
        while let Ok(frame) = rx.try_recv() {
            chunk.extend_from_slice(&encode(&frame));
        }
        // A frozen engine sends no more data, although its connections stay open.
        guard.shared.switches.delay_call().await;
        Some((Bytes::from(chunk), (rx, guard)))
    })
}

fn encode(frame: &Frame) -> Vec<u8> {
    let mut chunk = b"data: ".to_vec();
    // A frame contains only text and numbers, so serialization cannot fail.
    let _ = serde_json::to_writer(&mut chunk, frame);
    chunk.extend_from_slice(b"\n\n");
    chunk
}

fn with_json<T: DeserializeOwned>(
    body: &[u8],
    handle: impl FnOnce(T) -> Response<Body>,
) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(value) => handle(value),
        Err(_) => reply::status(StatusCode::BAD_REQUEST),
    }
}
