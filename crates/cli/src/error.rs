//! The errors of commands, each with its exit status and a next step for the operator.

use std::{error, fmt, io, net::SocketAddr, path::PathBuf};

use bulrushhall_core::{Revision, config::Problem};
use bulrushhall_external::{CallError, http::TlsError};

use crate::exit::ExitStatus;

/// A `CliError` is the reason why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// A file could not be read.
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The output could not be written.
    Write(io::Error),
    /// The async runtime could not be started.
    Start(io::Error),
    /// The TLS files could not be loaded.
    Tls(TlsError),
    /// A configuration or settings file has problems.
    Invalid(Vec<Problem>),
    /// No address of the key-value service was given.
    NoKeyValueAddress,
    /// No address of a node was given.
    NoNodeAddress,
    /// A call to the key-value service failed.
    KeyValue(CallError),
    /// The key-value service could not be reached; nothing was written.
    KeyValueUnreachable,
    /// It was still unknown at the timeout whether a change was accepted.
    OutcomeUnknown,
    /// A call to a node failed.
    Node {
        /// The address of its operators' port.
        address: SocketAddr,
        /// The error of the call.
        cause: CallError,
    },
    /// The revision in force is not the expected one.
    Conflict {
        /// The expected revision.
        expected: Revision,
        /// The revision in force.
        found: Revision,
    },
    /// The change was refused; holds the reason.
    Refused(String),
    /// No given node knows the request.
    RequestNotFound(String),
    /// The given logs hold no ended requests.
    NoRequests,
    /// No given node has this name.
    NodeNotFound(String),
    /// No block of these prompt parts is in force.
    BlockNotFound(String),
    /// The configuration has no such service.
    ServiceNotFound(String),
    /// There is no order for a roll-out of the service.
    RolloutNotFound(String),
    /// A roll-out of the service is in progress.
    RolloutInProgress {
        /// The service.
        service: String,
        /// The target version.
        target: String,
    },
    /// The order for the service was changed by someone else meanwhile.
    RolloutChanged(String),
    /// The revision was never accepted or has been removed from the history.
    RevisionNotFound(Revision),
    /// Some nodes did not have an accepted revision in force at the timeout.
    NotInForce {
        /// The revision.
        revision: Revision,
        /// The addresses of the nodes without it.
        behind: Vec<SocketAddr>,
    },
}

impl CliError {
    /// Returns the exit status.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            CliError::Read { .. } | CliError::Write(_) | CliError::Start(_) | CliError::Tls(_) => {
                ExitStatus::Failed
            }
            CliError::Refused(_) | CliError::NotInForce { .. } | CliError::NoRequests => {
                ExitStatus::Failed
            }
            CliError::Invalid(_) => ExitStatus::Invalid,
            CliError::NoKeyValueAddress | CliError::NoNodeAddress => ExitStatus::Usage,
            CliError::KeyValue(_) | CliError::Node { .. } | CliError::KeyValueUnreachable => {
                ExitStatus::Unreachable
            }
            CliError::OutcomeUnknown => ExitStatus::Unknown,
            CliError::Conflict { .. }
            | CliError::RolloutInProgress { .. }
            | CliError::RolloutChanged(_) => ExitStatus::Conflict,
            CliError::RequestNotFound(_)
            | CliError::NodeNotFound(_)
            | CliError::BlockNotFound(_)
            | CliError::ServiceNotFound(_)
            | CliError::RolloutNotFound(_)
            | CliError::RevisionNotFound(_) => ExitStatus::NotFound,
        }
    }

    /// Returns a suggestion of what to do next.
    pub fn next_step(&self) -> String {
        match self {
            CliError::Read { .. } => {
                "check the path, or use `-` to read from standard input".into()
            }
            CliError::Write(_) => "check the destination of the output".into(),
            CliError::Start(_) => "check the limits on processes and open files".into(),
            CliError::Tls(_) => "check --certificate, --key and --authority".into(),
            CliError::Invalid(problems) => {
                format!("fix the {} problem(s) above and run the command again", problems.len())
            }
            CliError::NoKeyValueAddress => {
                "give --key-value ADDRESS, or set BULRUSH_KEY_VALUE in the environment".into()
            }
            CliError::NoNodeAddress => {
                "give --node ADDRESS for each operators' port, or set BULRUSH_NODES".into()
            }
            CliError::OutcomeUnknown => {
                "run `bulrush show` later: a newer revision with your text means it was accepted"
                    .into()
            }
            CliError::KeyValue(_) | CliError::KeyValueUnreachable => {
                "nodes go on with the configuration in force; retry when the service is available"
                    .into()
            }
            CliError::Node { address, .. } => {
                format!("check that the node is running and that {address} is its operators' port")
            }
            CliError::Conflict { found, .. } => format!(
                "someone else changed the configuration: run `bulrush diff FILE`, merge their \
                 change into your file and apply it with --expect-revision {found}"
            ),
            CliError::Refused(_) => "nothing was changed; fix the configuration and retry".into(),
            CliError::RequestNotFound(_) => {
                "finished requests are kept for five minutes; give --node for every node".into()
            }
            CliError::NoRequests => {
                "give the logs of nodes that serve routes, with lines of event 220".into()
            }
            CliError::NodeNotFound(_) => "run `bulrush status` to list the nodes".into(),
            CliError::BlockNotFound(_) => "`bulrush parts` lists the blocks in force".into(),
            CliError::ServiceNotFound(_) => "name a service of the configuration in force".into(),
            CliError::RolloutNotFound(_) => "`bulrush rollout list` lists the orders".into(),
            CliError::RolloutInProgress { .. } => {
                "wait for its end, run `bulrush rollout abort`, or give --replace".into()
            }
            CliError::RolloutChanged(service) => {
                format!("run `bulrush rollout show {service}` and decide again")
            }
            CliError::RevisionNotFound(_) => "`bulrush show --history` lists the revisions".into(),
            CliError::NotInForce { .. } => {
                "the change stays accepted; run `bulrush status` to see the revision of each node"
                    .into()
            }
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Read { file, cause } => {
                write!(f, "could not read {}: {cause}", file.display())
            }
            CliError::Write(cause) => write!(f, "could not write the output: {cause}"),
            CliError::Start(cause) => write!(f, "could not start the runtime: {cause}"),
            CliError::Tls(cause) => write!(f, "{cause}"),
            CliError::Invalid(problems) => {
                for problem in problems {
                    writeln!(f, "{problem}")?;
                }
                write!(f, "found {} problem(s)", problems.len())
            }
            CliError::NoKeyValueAddress => f.write_str("no key-value service address given"),
            CliError::NoNodeAddress => f.write_str("no node address given"),
            CliError::KeyValue(cause) => write!(f, "call to the key-value service failed: {cause}"),
            CliError::KeyValueUnreachable => f.write_str("the key-value service is unreachable"),
            CliError::OutcomeUnknown => f.write_str("the change may or may not have been accepted"),
            CliError::Node { address, cause } => write!(f, "node {address}: {cause}"),
            CliError::Conflict { expected, found } => {
                write!(f, "expected revision {expected}, found {found}; nothing was changed")
            }
            CliError::Refused(why) => write!(f, "the change was refused: {why}"),
            CliError::RequestNotFound(id) => write!(f, "no node knows request {id}"),
            CliError::NoRequests => f.write_str("the logs hold no ended requests"),
            CliError::NodeNotFound(name) => write!(f, "no node is named {name}"),
            CliError::BlockNotFound(parts) => {
                write!(f, "no block of the prompt parts {parts} is in force")
            }
            CliError::ServiceNotFound(name) => write!(f, "no service is named {name}"),
            CliError::RolloutNotFound(name) => write!(f, "no roll-out of {name} is ordered"),
            CliError::RolloutInProgress { service, target } => {
                write!(f, "a roll-out of {service} to {target} is in progress; nothing was changed")
            }
            CliError::RolloutChanged(service) => {
                write!(f, "the order for {service} has changed meanwhile; nothing was changed")
            }
            CliError::RevisionNotFound(revision) => write!(f, "revision {revision} is not stored"),
            CliError::NotInForce { revision, behind } => {
                write!(f, "revision {revision} is not yet in force at")?;
                for address in behind {
                    write!(f, " {address}")?;
                }
                Ok(())
            }
        }
    }
}

impl error::Error for CliError {}
