//! The actor that runs the claims state machine and makes its calls to the key-value service.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bulrushhall_coord::{
    ClaimRefusal, Claims, ClaimsAction, ClaimsOptions, KeyHash, Shard, SwapResult, budget::Purpose,
};
use bulrushhall_core::Incarnation;
use bulrushhall_external::{
    KeyValue,
    kv::{CasOutcome, Version},
};
use bytes::Bytes;
use tokio::{sync::oneshot, time::sleep};
use xtra::{Actor, Context, Handler, Mailbox};

use crate::clock::Clock;

/// The pause between two ticks.
const TICK_PAUSE: Duration = Duration::from_millis(50);
/// The timeout of one call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

type BindResult = Result<Incarnation, ClaimRefusal>;

/// A `Claimer` looks up the home nodes of idempotency keys and claims the keys that have none.
pub struct Claimer {
    clock: Clock,
    machine: Claims,
    key_value: Option<Arc<dyn KeyValue>>,
    waiting: HashMap<KeyHash, Vec<oneshot::Sender<BindResult>>>,
}

/// A `Bind` asks for the home of a key and claims the key if it has none.
pub struct Bind {
    /// The key.
    pub key: KeyHash,
    /// The node incarnation that becomes its home if it has none.
    pub proposed_home: Incarnation,
    /// Receives the home.
    pub home: oneshot::Sender<BindResult>,
}

/// A `ReadDone` is the result of a read.
pub struct ReadDone(Shard, Option<(u64, Bytes)>);

/// A `SwapDone` is the result of a compare-and-swap.
pub struct SwapDone(Shard, SwapResult);

/// A `ClaimerTick` advances the time of the claims state machine.
pub struct ClaimerTick;

impl Claimer {
    /// Returns the claimer of a node.
    pub fn new(cx: &crate::context::Context) -> Claimer {
        let machine = Claims::new(ClaimsOptions::default());
        let key_value = cx.key_value_for(Purpose::Claim);
        Claimer { clock: cx.clock, machine, key_value, waiting: HashMap::new() }
    }

    fn carry_out(&mut self, actions: Vec<ClaimsAction>, cx: &Context<Self>) {
        for action in actions {
            match action {
                ClaimsAction::Bound(key, home) => self.resolve(key, Ok(home)),
                ClaimsAction::Refused(key, why) => self.resolve(key, Err(why)),
                ClaimsAction::Read(shard) => {
                    let (claimer, key_value) = (cx.mailbox().address(), self.key_value.clone());
                    tokio::spawn(async move {
                        let found = read(key_value, shard).await;
                        let _ = claimer.send(ReadDone(shard, found)).await;
                    });
                }
                ClaimsAction::Write(shard, version, record) => {
                    let (claimer, key_value) = (cx.mailbox().address(), self.key_value.clone());
                    tokio::spawn(async move {
                        let swapped = write(key_value, shard, version, record).await;
                        let _ = claimer.send(SwapDone(shard, swapped)).await;
                    });
                }
            }
        }
    }

    fn resolve(&mut self, key: KeyHash, home: BindResult) {
        for tx in self.waiting.remove(&key).unwrap_or_default() {
            let _ = tx.send(home);
        }
    }
}

impl Actor for Claimer {
    type Stop = ();

    async fn started(&mut self, _mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<Bind> for Claimer {
    type Return = ();

    async fn handle(&mut self, bind: Bind, cx: &mut Context<Self>) {
        if self.key_value.is_none() {
            let _ = bind.home.send(Err(ClaimRefusal::Outage));
            return;
        }
        self.waiting.entry(bind.key).or_default().push(bind.home);
        let actions =
            self.machine.bind(self.clock.now(), wall_clock_ms(), bind.key, bind.proposed_home);
        self.carry_out(actions, cx);
    }
}

impl Handler<ReadDone> for Claimer {
    type Return = ();

    async fn handle(&mut self, done: ReadDone, cx: &mut Context<Self>) {
        let actions = self.machine.read(self.clock.now(), wall_clock_ms(), done.0, done.1);
        self.carry_out(actions, cx);
    }
}

impl Handler<SwapDone> for Claimer {
    type Return = ();

    async fn handle(&mut self, done: SwapDone, cx: &mut Context<Self>) {
        let actions = self.machine.swapped(self.clock.now(), wall_clock_ms(), done.0, done.1);
        self.carry_out(actions, cx);
    }
}

impl Handler<ClaimerTick> for Claimer {
    type Return = ();

    async fn handle(&mut self, _tick: ClaimerTick, cx: &mut Context<Self>) {
        let actions = self.machine.tick(self.clock.now(), wall_clock_ms());
        self.carry_out(actions, cx);
    }
}

/// Sends ticks to the claimer.
pub async fn run_timer(claimer: xtra::Address<Claimer>) {
    loop {
        sleep(TICK_PAUSE).await;
        let _ = claimer.send(ClaimerTick).await;
    }
}

async fn read(key_value: Option<Arc<dyn KeyValue>>, shard: Shard) -> Option<(u64, Bytes)> {
    let key_value = key_value?;
    let key = record_key(shard);
    let read = tokio::time::timeout(CALL_TIMEOUT, key_value.get(&key)).await;
    let found = read.ok()?.ok()?;
    Some((found.version.0, found.value))
}

async fn write(
    key_value: Option<Arc<dyn KeyValue>>,
    shard: Shard,
    version: u64,
    record: Bytes,
) -> SwapResult {
    let Some(key_value) = key_value else { return SwapResult::Failed };
    let key = record_key(shard);
    let write = key_value.put_if(&key, Version(version), record, None);
    match tokio::time::timeout(CALL_TIMEOUT, write).await {
        Ok(Ok(CasOutcome::Written(version))) => SwapResult::Written(version.0),
        Ok(Ok(CasOutcome::Conflict(found))) => SwapResult::Conflict(found.version.0, found.value),
        Ok(Err(_)) | Err(_) => SwapResult::Failed,
    }
}

fn record_key(shard: Shard) -> String {
    format!("claims/{}", shard.0)
}

fn wall_clock_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
