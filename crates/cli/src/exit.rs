//! The exit codes of the tool.

use std::process::ExitCode;

/// An `ExitStatus` tells a calling program how a command ended; a number never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// The command did what it was asked for.
    Done,
    /// Something failed that none of the other codes tells.
    Failed,
    /// The arguments were not understood.
    Usage,
    /// The configuration or settings have problems.
    Invalid,
    /// The revision in force is another one than expected; nothing was changed.
    Conflict,
    /// A service or node could not be reached; nothing was changed.
    Unreachable,
    /// A change may or may not have been made.
    Unknown,
    /// What was asked for does not exist.
    NotFound,
    /// The compared configurations differ.
    Different,
}

impl ExitStatus {
    /// Every status with its meaning, in the order of the codes.
    pub const ALL: [(ExitStatus, &'static str); 9] = [
        (ExitStatus::Done, "done"),
        (ExitStatus::Failed, "failed for a reason that no other code tells"),
        (ExitStatus::Usage, "the arguments were not understood"),
        (ExitStatus::Invalid, "the configuration or settings have problems"),
        (ExitStatus::Conflict, "another revision is in force than expected; nothing was changed"),
        (ExitStatus::Unreachable, "a service or node was not reached; nothing was changed"),
        (ExitStatus::Unknown, "the change may or may not have been made"),
        (ExitStatus::NotFound, "what was asked for does not exist"),
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
