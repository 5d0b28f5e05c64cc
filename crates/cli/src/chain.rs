//! The chain of configuration revisions, as commands read and extend it.

use bulrushhall_coord::{ChainRefusal, Head};
use bulrushhall_core::Revision;
use bulrushhall_daemon::config_chain::{self, ApplyError, ApplyProgress};
use bulrushhall_external::KeyValue;

use crate::{commands::invalid, error::CliError};

/// Returns the newest revision, or revision 0 if none has been accepted yet.
pub async fn newest(kv: &dyn KeyValue) -> Result<Head, CliError> {
    config_chain::current(kv).await.map_err(CliError::KeyValue)
}

/// Returns one revision.
pub async fn revision(kv: &dyn KeyValue, revision: Revision) -> Result<Head, CliError> {
    let head = config_chain::revision(kv, revision).await.map_err(CliError::KeyValue)?;
    head.ok_or(CliError::RevisionNotFound(revision))
}

/// Returns the revisions that are still stored, oldest first.
pub async fn history(kv: &dyn KeyValue) -> Result<Vec<Revision>, CliError> {
    config_chain::history(kv).await.map_err(CliError::KeyValue)
}

/// Appends a configuration to the expected revision, or to the newest one if none is expected.
pub async fn extend(
    kv: &dyn KeyValue,
    expected: Option<Revision>,
    text: &str,
    on_progress: &mut (dyn FnMut(ApplyProgress) + Send),
) -> Result<Revision, CliError> {
    match config_chain::apply_reporting(kv, expected, text, on_progress).await {
        Ok(applied) => Ok(applied.revision),
        Err(ApplyError::Invalid(error)) => Err(invalid(error)),
        Err(ApplyError::Refused(ChainRefusal::Conflict { expected, found, .. })) => {
            Err(CliError::Conflict { expected, found })
        }
        Err(ApplyError::Refused(ChainRefusal::Unreachable)) => Err(CliError::KeyValueUnreachable),
        Err(ApplyError::Refused(refusal)) => Err(CliError::Refused(refusal.to_string())),
    }
}
