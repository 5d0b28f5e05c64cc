//! Why a command failed and what to do next.

use std::{error, fmt, io, net::SocketAddr, path::PathBuf};

use bulrushhall_core::{Revision, config::Problem};
use bulrushhall_external::{CallError, http::TlsError};

use crate::exit::ExitStatus;

/// A `CliError` is a failed command.
#[derive(Debug)]
pub enum CliError {
    /// A file could not be read.
    Read {
        /// The file.
        file: PathBuf,
        /// What the system said.
        cause: io::Error,
    },
    /// The result could not be written.
    Write(io::Error),
    /// The runtime could not be started.
    Start(io::Error),
    /// The certificates could not be used.
    Tls(TlsError),
    /// A text has problems, which have been printed.
    Invalid(Vec<Problem>),
    /// No address of the key-value service was given.
    NoKeyValue,
    /// No address of a node was given.
    NoNodes,
    /// The key-value service did not answer as it should.
    KeyValue(CallError),
    /// The key-value service was not reached; nothing was written.
    Unreached,
    /// The outcome of a change was not known when the wait for it ended.
    Open,
    /// A node did not answer as it should.
    Node {
        /// The address of its operators' port.
        address: SocketAddr,
        /// What went wrong.
        cause: CallError,
    },
    /// Another revision is in force than was expected.
    Conflict {
        /// The expected revision.
        expected: Revision,
        /// The revision in force.
        found: Revision,
    },
    /// The change was refused for a reason of its own.
    Refused(String),
    /// No node knows a request.
    NoRequest(String),
    /// No node has a name.
    NoNode(String),
    /// A revision is not kept any more, or was never accepted.
    NoRevision(Revision),
    /// Not all nodes took a revision in time.
    Late {
        /// The revision.
        revision: Revision,
        /// The addresses of the nodes that have not.
        behind: Vec<SocketAddr>,
    },
}

impl CliError {
    /// Returns the exit status.
    pub fn status(&self) -> ExitStatus {
        match self {
            CliError::Read { .. } | CliError::Write(_) | CliError::Start(_) | CliError::Tls(_) => {
                ExitStatus::Failed
            }
            CliError::Refused(_) | CliError::Late { .. } => ExitStatus::Failed,
            CliError::Invalid(_) => ExitStatus::Invalid,
            CliError::NoKeyValue | CliError::NoNodes => ExitStatus::Usage,
            CliError::KeyValue(_) | CliError::Node { .. } | CliError::Unreached => {
                ExitStatus::Unreachable
            }
            CliError::Open => ExitStatus::Unknown,
            CliError::Conflict { .. } => ExitStatus::Conflict,
            CliError::NoRequest(_) | CliError::NoNode(_) | CliError::NoRevision(_) => {
                ExitStatus::NotFound
            }
        }
    }

    /// Returns what the operator can do next.
    pub fn next_step(&self) -> String {
        match self {
            CliError::Read { .. } => {
                "check the path, or write - to read from standard input".into()
            }
            CliError::Write(_) => "check where the output goes".into(),
            CliError::Start(_) => "check the limits of processes and files".into(),
            CliError::Tls(_) => "check --certificate, --key and --authority".into(),
            CliError::Invalid(problems) => {
                format!("mend the {} problem(s) above and run it again", problems.len())
            }
            CliError::NoKeyValue => {
                "give --key-value ADDRESS, or set BULRUSH_KEY_VALUE in the environment".into()
            }
            CliError::NoNodes => {
                "give --node ADDRESS for each operators' port, or set BULRUSH_NODES".into()
            }
            CliError::Open => {
                "run `bulrush show` later: a newer revision with your text means it was accepted"
                    .into()
            }
            CliError::KeyValue(_) | CliError::Unreached => {
                "nodes go on with the configuration in force; try again when the service is back"
                    .into()
            }
            CliError::Node { address, .. } => {
                format!("check that the node runs and that {address} is its operators' port")
            }
            CliError::Conflict { found, .. } => format!(
                "someone else changed it: look at `bulrush diff FILE`, put their change into your \
                 file and run it again with --expect-revision {found}"
            ),
            CliError::Refused(_) => "nothing was changed; mend it and run it again".into(),
            CliError::NoRequest(_) => {
                "finished requests are kept for five minutes; give every node with --node".into()
            }
            CliError::NoNode(_) => "run `bulrush status` to see the names of the nodes".into(),
            CliError::NoRevision(_) => "run `bulrush show --history` to see what is kept".into(),
            CliError::Late { .. } => {
                "the change is accepted and stays so; run `bulrush status` to see who is behind"
                    .into()
            }
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Read { file, cause } => {
                write!(f, "{} could not be read: {cause}", file.display())
            }
            CliError::Write(cause) => write!(f, "the result could not be written: {cause}"),
            CliError::Start(cause) => write!(f, "the runtime could not be started: {cause}"),
            CliError::Tls(cause) => write!(f, "{cause}"),
            CliError::Invalid(problems) => {
                for problem in problems {
                    writeln!(f, "{problem}")?;
                }
                write!(f, "the text has {} problem(s)", problems.len())
            }
            CliError::NoKeyValue => f.write_str("no address of the key-value service was given"),
            CliError::NoNodes => f.write_str("no node was given"),
            CliError::KeyValue(cause) => write!(f, "the key-value service: {cause}"),
            CliError::Unreached => f.write_str("the key-value service was not reached"),
            CliError::Open => f.write_str("the change may or may not have been accepted"),
            CliError::Node { address, cause } => write!(f, "the node at {address}: {cause}"),
            CliError::Conflict { expected, found } => {
                write!(f, "revision {found} is in force and not {expected}; nothing was changed")
            }
            CliError::Refused(why) => write!(f, "the change was refused: {why}"),
            CliError::NoRequest(id) => write!(f, "no node knows the request {id}"),
            CliError::NoNode(name) => write!(f, "no node has the name {name}"),
            CliError::NoRevision(revision) => write!(f, "revision {revision} is not to be had"),
            CliError::Late { revision, behind } => {
                write!(f, "revision {revision} is not in force yet at")?;
                for address in behind {
                    write!(f, " {address}")?;
                }
                Ok(())
            }
        }
    }
}

impl error::Error for CliError {}
