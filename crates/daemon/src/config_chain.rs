//! Writing and reading the chain of configuration revisions in a key-value service.

use std::{error, fmt};

use bulrushhall_coord::{
    ChainCall, ChainRefusal, ChainReply, ChainStep, ChainWriter, Head,
    chain::{HEAD_KEY, HISTORY_PREFIX, history_key},
};
use bulrushhall_core::{CoreError, Ran, Revision, config::parse_deployment};
use bulrushhall_external::{
    CallError, CallFault, KeyValue,
    kv::{CasOutcome, Version},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The number of earlier revisions that remain stored.
pub const KEPT_REVISIONS: u64 = 128;

/// An `Applied` is a configuration that was accepted with certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Its revision.
    pub revision: Revision,
}

/// An `ApplyError` is the reason why a configuration was rejected with certainty.
#[derive(Debug)]
pub enum ApplyError {
    /// The text is not a valid configuration.
    Invalid(CoreError),
    /// The chain refused it.
    Refused(ChainRefusal),
}

/// An `ApplyProgress` is the reason for a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyProgress {
    /// A call failed before anything was written and is retried.
    Retrying,
    /// The reply to the write was lost; the key is read until the outcome is certain.
    Settling,
}

/// Validates `text` and appends it to revision `expected`, or to the newest one.
///
/// Once a write may have happened, this retries until the outcome is certain, however long the service
/// is unavailable. Dropping the future stops the wait and leaves the outcome unknown.
pub async fn apply(
    kv: &dyn KeyValue,
    expected: Option<Revision>,
    text: &str,
) -> Result<Applied, ApplyError> {
    apply_reporting(kv, expected, text, &mut |progress| {
        tracing::warn!(?progress, "the key-value service did not answer");
    })
    .await
}

/// Does the same as [`apply`] and calls `report` before each repeated call.
pub async fn apply_reporting(
    kv: &dyn KeyValue,
    expected: Option<Revision>,
    text: &str,
    report: &mut (dyn FnMut(ApplyProgress) + Send),
) -> Result<Applied, ApplyError> {
    parse_deployment(HEAD_KEY, text).map_err(ApplyError::Invalid)?;
    let mut random = Pcg64Mcg::seed_from_u64(rand::random());
    let mut writer = ChainWriter::new(expected, text, rand::random());
    let mut step = writer.start();
    loop {
        let (pause, call) = match step {
            ChainStep::Call(pause, call) => (pause, call),
            ChainStep::Accepted(revision) => {
                remove_old(kv, revision).await;
                return Ok(Applied { revision });
            }
            ChainStep::Refused(refusal) => return Err(ApplyError::Refused(refusal)),
        };
        if !pause.is_zero() {
            let unsettled = writer.is_unsettled();
            report(if unsettled { ApplyProgress::Settling } else { ApplyProgress::Retrying });
            tokio::time::sleep(pause).await;
        }
        let reply = carry_out(kv, call).await;
        step = writer.reply(reply, &mut random);
    }
}

/// Reads the newest revision; returns revision 0 if there is none yet.
pub async fn current(kv: &dyn KeyValue) -> Result<Head, CallError> {
    let found = kv.get(HEAD_KEY).await?;
    Head::decode(&found.value).map_err(|_| malformed())
}

/// Reads the numbers of all stored revisions, oldest first.
pub async fn history(kv: &dyn KeyValue) -> Result<Vec<Revision>, CallError> {
    let mut revisions: Vec<Revision> = kv
        .list(HISTORY_PREFIX)
        .await?
        .changes
        .iter()
        .filter_map(|kept| revision_of(&kept.key))
        .collect();
    let newest = current(kv).await?.revision;
    if newest != Revision(0) {
        revisions.push(newest);
    }
    revisions.sort();
    revisions.dedup();
    Ok(revisions)
}

/// Reads one revision; returns `None` if it is not stored.
pub async fn revision(kv: &dyn KeyValue, revision: Revision) -> Result<Option<Head>, CallError> {
    let newest = current(kv).await?;
    if newest.revision == revision {
        return Ok(Some(newest));
    }
    let kept = kv.get(&history_key(revision)).await?;
    if kept.value.is_empty() {
        return Ok(None);
    }
    Head::decode(&kept.value).map(Some).map_err(|_| malformed())
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::Invalid(error) => write!(f, "{error}"),
            ApplyError::Refused(refusal) => write!(f, "{refusal}"),
        }
    }
}

impl error::Error for ApplyError {}

async fn carry_out(kv: &dyn KeyValue, call: ChainCall) -> ChainReply {
    let outcome = match call {
        ChainCall::Read => {
            return match kv.get(HEAD_KEY).await {
                Ok(found) => ChainReply::Found(found.version.0, found.value),
                Err(error) => ChainReply::Failed(error.ran),
            };
        }
        ChainCall::Archive(revision, value) => {
            kv.put_if(&history_key(revision), Version(0), value, None).await
        }
        ChainCall::Swap(version, value) => kv.put_if(HEAD_KEY, Version(version), value, None).await,
    };
    match outcome {
        Ok(CasOutcome::Written(_)) => ChainReply::Written,
        Ok(CasOutcome::Conflict(found)) => ChainReply::Conflict(found.version.0, found.value),
        Err(error) => ChainReply::Failed(error.ran),
    }
}

// Best effort: a failure leaves one more old revision in the service, which does no harm.
async fn remove_old(kv: &dyn KeyValue, newest: Revision) {
    let Some(last) = newest.0.checked_sub(KEPT_REVISIONS) else { return };
    let key = history_key(Revision(last));
    let Ok(found) = kv.get(&key).await else { return };
    if found.version == Version(0) {
        return;
    }
    let _ = kv.remove_if(&key, found.version).await;
}

fn revision_of(key: &str) -> Option<Revision> {
    key.strip_prefix(HISTORY_PREFIX)?.parse().ok().map(Revision)
}

fn malformed() -> CallError {
    CallError { fault: CallFault::Malformed, ran: Ran::No }
}
