//! Errors of facts.

use std::fmt;

/// A `FactError` is the reason why a call of the registry was rejected; the registry is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactError {
    /// The kind's id is registered already.
    DuplicateKind,
    /// The kind is not registered.
    UnknownKind,
    /// The subject is longer than [`MAX_SUBJECT_BYTES`](super::MAX_SUBJECT_BYTES).
    SubjectTooLong,
    /// The value has more than [`MAX_NUMBERS`](super::MAX_NUMBERS) numbers.
    TooManyNumbers,
    /// A number is infinite or not a number.
    NotFinite,
    /// The kind has its maximum number of subjects already.
    TooManySubjects,
}

impl fmt::Display for FactError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FactError::DuplicateKind => "the kind of fact is registered already",
            FactError::UnknownKind => "the kind of fact is not registered",
            FactError::SubjectTooLong => "the subject is too long",
            FactError::TooManyNumbers => "the value has too many numbers",
            FactError::NotFinite => "a number is not finite",
            FactError::TooManySubjects => "the kind of fact has too many subjects",
        })
    }
}

impl std::error::Error for FactError {}

/// A `FactRefusal` is the reason why a received batch was refused; the registry is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactRefusal {
    /// It is not decodable: it ends early or has values of other types.
    Malformed,
    /// It has more bytes than a batch may have.
    TooLarge,
    /// Its values are older than their maximum age.
    TooOld,
    /// A value has too many numbers.
    TooManyNumbers,
    /// A number is infinite or not a number.
    NotFinite,
    /// A subject is too long.
    SubjectTooLong,
    /// A kind has more subjects than its maximum.
    TooManySubjects,
    /// The sender is not a known node.
    UnknownSender,
}

impl FactRefusal {
    /// All reasons.
    pub const ALL: [FactRefusal; 8] = [
        FactRefusal::Malformed,
        FactRefusal::TooLarge,
        FactRefusal::TooOld,
        FactRefusal::TooManyNumbers,
        FactRefusal::NotFinite,
        FactRefusal::SubjectTooLong,
        FactRefusal::TooManySubjects,
        FactRefusal::UnknownSender,
    ];

    /// Returns its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FactRefusal::Malformed => "malformed",
            FactRefusal::TooLarge => "too_large",
            FactRefusal::TooOld => "too_old",
            FactRefusal::TooManyNumbers => "too_many_numbers",
            FactRefusal::NotFinite => "not_finite",
            FactRefusal::SubjectTooLong => "subject_too_long",
            FactRefusal::TooManySubjects => "too_many_subjects",
            FactRefusal::UnknownSender => "unknown_sender",
        }
    }
}

impl fmt::Display for FactRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for FactRefusal {}
