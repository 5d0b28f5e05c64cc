//! The actor that feeds the claims machine and makes its calls to the key-value service.

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
/// The longest time that one call to the key-value service may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

type Answer = Result<Incarnation, ClaimRefusal>;

/// A `Claimer` learns the homes of keys.
pub struct Claimer {
    clock: Clock,
    machine: Claims,
    key_value: Option<Arc<dyn KeyValue>>,
    waiting: HashMap<KeyHash, Vec<oneshot::Sender<Answer>>>,
}

/// A `Bind` asks for the home of a key, which is claimed if it has none.
pub struct Bind {
    /// The key.
    pub key: KeyHash,
    /// The life that becomes its home if it has none.
    pub wanted: Incarnation,
    /// Gets the home.
    pub home: oneshot::Sender<Answer>,
}

/// A `ReadBack` brings what a read found.
pub struct ReadBack(Shard, Option<(u64, Bytes)>);

/// A `SwapBack` brings how a compare-and-swap ended.
pub struct SwapBack(Shard, SwapResult);

/// A `ClaimerTick` lets time pass.
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
                ClaimsAction::Bound(key, home) => self.answer(key, Ok(home)),
                ClaimsAction::Refused(key, why) => self.answer(key, Err(why)),
                ClaimsAction::Read(shard) => {
                    let (claimer, key_value) = (cx.mailbox().address(), self.key_value.clone());
                    tokio::spawn(async move {
                        let found = read(key_value, shard).await;
                        let _ = claimer.send(ReadBack(shard, found)).await;
                    });
                }
                ClaimsAction::Write(shard, version, record) => {
                    let (claimer, key_value) = (cx.mailbox().address(), self.key_value.clone());
                    tokio::spawn(async move {
                        let swapped = write(key_value, shard, version, record).await;
                        let _ = claimer.send(SwapBack(shard, swapped)).await;
                    });
                }
            }
        }
    }

    fn answer(&mut self, key: KeyHash, answer: Answer) {
        for tx in self.waiting.remove(&key).unwrap_or_default() {
            let _ = tx.send(answer);
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
        let actions = self.machine.bind(self.clock.now(), wall(), bind.key, bind.wanted);
        self.carry_out(actions, cx);
    }
}

impl Handler<ReadBack> for Claimer {
    type Return = ();

    async fn handle(&mut self, back: ReadBack, cx: &mut Context<Self>) {
        let actions = self.machine.read(self.clock.now(), wall(), back.0, back.1);
        self.carry_out(actions, cx);
    }
}

impl Handler<SwapBack> for Claimer {
    type Return = ();

    async fn handle(&mut self, back: SwapBack, cx: &mut Context<Self>) {
        let actions = self.machine.swapped(self.clock.now(), wall(), back.0, back.1);
        self.carry_out(actions, cx);
    }
}

impl Handler<ClaimerTick> for Claimer {
    type Return = ();

    async fn handle(&mut self, _tick: ClaimerTick, cx: &mut Context<Self>) {
        let actions = self.machine.tick(self.clock.now(), wall());
        self.carry_out(actions, cx);
    }
}

/// Lets the claimer's time pass.
pub async fn run_timer(claimer: xtra::Address<Claimer>) {
    loop {
        sleep(TICK_PAUSE).await;
        let _ = claimer.send(ClaimerTick).await;
    }
}

async fn read(key_value: Option<Arc<dyn KeyValue>>, shard: Shard) -> Option<(u64, Bytes)> {
    let key_value = key_value?;
    let key = key_of(shard);
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
    let key = key_of(shard);
    let write = key_value.put_if(&key, Version(version), record, None);
    match tokio::time::timeout(CALL_TIMEOUT, write).await {
        Ok(Ok(CasOutcome::Written(version))) => SwapResult::Written(version.0),
        Ok(Ok(CasOutcome::Conflict(found))) => SwapResult::Conflict(found.version.0, found.value),
        Ok(Err(_)) | Err(_) => SwapResult::Failed,
    }
}

fn key_of(shard: Shard) -> String {
    format!("claims/{}", shard.0)
}

fn wall() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
