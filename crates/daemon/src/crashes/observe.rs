//! Observation of attempts: those that were answered, and those under which a backend server crashed.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::crashes::{CrashedRequest, CrashedServer, PartId, PartIds, ServerEnd};
use bulrushhall_core::{Event, Ran, ServiceName, Stamp};
use bulrushhall_external::{CallError, CallFault, service::ServiceCall};
use bulrushhall_gateway::backends::{ListenerState, listener_state};
use tokio::time::sleep;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use crate::{
    backends::Backend,
    callers::classify::Classified,
    context::Context,
    crashes::{
        CrashNews,
        news::{judge, log, send},
    },
};

/// The time after which the listener of a process that ends is closed too.
const CLOSING_TIME: Duration = Duration::from_millis(40);

/// A `SentTo` is one attempt at a request.
pub struct SentTo<'a> {
    /// The digest of the request.
    pub digest: PartId,
    /// The backend server.
    pub backend: &'a Backend,
    /// When it was sent.
    pub at: Stamp,
}

/// Returns the digest of a model request, which is equal in all attempts at it.
pub fn request_digest(request: &Classified) -> PartId {
    digest([request.service.as_str(), request.model.as_str(), &request.prompt], &[])
}

/// Returns the digest of a call of a plain service.
pub fn call_digest(service: &ServiceName, call: &ServiceCall) -> PartId {
    digest([service.as_str(), call.method.as_str(), &call.path], &call.body)
}

/// Returns the hash that tells a backend server from others.
pub(super) fn server_hash(backend: &Backend) -> u64 {
    xxh3_64(format!("{} {} {}", backend.vm, backend.address, backend.version).as_bytes())
}

/// Notes that an attempt that was sent at a time was answered to its end.
pub fn note_answered(cx: &Arc<Context>, sent_at: Stamp, digest: PartId) {
    let now = cx.clock.now();
    let lifted = cx.with_crashes(|watch| {
        let ids = watch.note_sound(now, sent_at, &[digest])?;
        watch.lift(now, &ids)
    });
    if let Some(block) = lifted {
        log(&block);
        send(cx, CrashNews { blocks: vec![block], ..CrashNews::default() });
    }
}

/// Notes that an attempt failed: if its server has ended, it has crashed under the request.
pub async fn note_failed(cx: &Arc<Context>, sent: SentTo<'_>, error: &CallError) {
    let may_have_crashed = matches!(error.fault, CallFault::Closed | CallFault::Timeout);
    if error.ran == Ran::No || !may_have_crashed {
        return;
    }
    let failed_at = cx.clock.now();
    sleep(CLOSING_TIME).await;
    if listener_state(sent.backend.address).await != ListenerState::Refusing {
        return;
    }
    let age = failed_at.since(sent.at);
    let req = CrashedRequest {
        request: sent.digest.0 ^ sent.at.0,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        begun_ms: None,
        parts: Vec::new(),
        digest: Some(sent.digest),
    };
    let (backend, digests) = (sent.backend.vm.as_str(), PartIds(vec![sent.digest]));
    tracing::warn!(event = Event::ServerCrashed.number(), backend, answers = 1, %digests);
    let server = server_hash(sent.backend);
    let crashed = CrashedServer { server, end: ServerEnd::Seen, at: failed_at };
    let news = cx.with_crashes(|watch| {
        watch.note_crash(cx.clock.now(), cx.incarnation, crashed, vec![req]);
        let blocks = judge(cx, watch);
        let crashes = watch.evidence.reports(cx.clock.now());
        CrashNews { crashes, blocks, ..CrashNews::default() }
    });
    news.blocks.iter().for_each(log);
    send(cx, news);
}

// Hashes the lengths too, so that the end of one text is not taken for the beginning of the next one.
fn digest(texts: [&str; 3], body: &[u8]) -> PartId {
    let mut hasher = Xxh3Default::new();
    for bytes in texts.map(str::as_bytes).into_iter().chain([body]) {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    }
    PartId(hasher.digest())
}
