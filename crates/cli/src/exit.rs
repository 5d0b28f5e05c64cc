//! The exit codes of the tool.

use std::process::ExitCode;

/// An `ExitStatus` is the outcome of a command for the calling program; codes are never reassigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The command failed for a reason that has no code of its own.
    Failed,
    /// The arguments are invalid.
    Usage,
    /// The configuration or settings have problems.
    Invalid,
    /// The revision in force is not the expected one; nothing was changed.
    Conflict,
    /// A service or node could not be reached; nothing was changed.
    Unreachable,
    /// The outcome of a change is unknown: it may or may not have been made.
    Unknown,
    /// The request, node or revision does not exist.
    NotFound,
    /// The compared configurations differ.
    Different,
}

impl ExitStatus {
    /// All statuses with the meanings that the help prints, ordered by code.
    pub const ALL: [(ExitStatus, &'static str); 9] = [
        (ExitStatus::Done, "done"),
        (ExitStatus::Failed, "failed for a reason that has no code of its own"),
        (ExitStatus::Usage, "the arguments are invalid"),
        (ExitStatus::Invalid, "the configuration or settings have problems"),
        (ExitStatus::Conflict, "another revision is in force than expected; nothing was changed"),
        (ExitStatus::Unreachable, "a service or node was not reached; nothing was changed"),
        (ExitStatus::Unknown, "the change may or may not have been made"),
        (ExitStatus::NotFound, "the request, node or revision does not exist"),
        (ExitStatus::Different, "the compared configurations differ"),
    ];

    /// Returns the exit code.
    pub fn code(self) -> u8 {
        match self {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::Usage => 2,
            ExitStatus::Invalid => 3,
            ExitStatus::Conflict => 4,
            ExitStatus::Unreachable => 5,
            ExitStatus::Unknown => 6,
            ExitStatus::NotFound => 7,
            ExitStatus::Different => 8,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status.code())
    }
}
