//! The configuration chain, as commands read and extend it.

use bulrushhall_coord::{ChainRefusal, Head};
use bulrushhall_core::Revision;
use bulrushhall_daemon::config_chain::{self, ApplyError, ApplyProgress};
use bulrushhall_external::KeyValue;

use crate::{commands::invalid, error::CliError};

/// Gets the newest revision; revision 0 where there is none yet.
pub async fn newest(kv: &dyn KeyValue) -> Result<Head, CliError> {
    config_chain::current(kv).await.map_err(CliError::KeyValue)
}

/// Gets one revision.
pub async fn revision(kv: &dyn KeyValue, revision: Revision) -> Result<Head, CliError> {
    let found = config_chain::revision(kv, revision).await.map_err(CliError::KeyValue)?;
    found.ok_or(CliError::NoRevision(revision))
}

/// Gets the revisions that can be read, oldest first.
pub async fn history(kv: &dyn KeyValue) -> Result<Vec<Revision>, CliError> {
    config_chain::history(kv).await.map_err(CliError::KeyValue)
}

/// Adds a configuration on top of the expected revision, or of whatever is newest.
pub async fn extend(
    kv: &dyn KeyValue,
    expected: Option<Revision>,
    text: &str,
    report: &mut (dyn FnMut(ApplyProgress) + Send),
) -> Result<Revision, CliError> {
    match config_chain::apply_reporting(kv, expected, text, report).await {
        Ok(applied) => Ok(applied.revision),
        Err(ApplyError::Invalid(error)) => Err(invalid(error)),
        Err(ApplyError::Refused(ChainRefusal::Conflict { expected, found, .. })) => {
            Err(CliError::Conflict { expected, found })
        }
        Err(ApplyError::Refused(ChainRefusal::Unreachable)) => Err(CliError::Unreached),
        Err(ApplyError::Refused(refusal)) => Err(CliError::Refused(refusal.to_string())),
    }
}
