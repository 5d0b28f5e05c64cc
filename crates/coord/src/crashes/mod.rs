//! Prompt parts under which backend servers crash: evidence, decisions, and what is refused because of them.

mod blame;
mod block;
mod block_status;
mod blocks;
mod confidence;
mod evidence;
mod evidence_options;
mod judge;
mod outcomes;
mod part;
mod probe_schedule;
mod received;
mod report;
mod run;
mod suspect;
mod suspected_part;
mod tally;
mod watch;

use suspect::{KnownReport, Suspect, tally};

pub use blame::Blame;
pub use block::{Block, BlockKind, BlockState};
pub use block_status::BlockStatus;
pub use blocks::Blocks;
pub use confidence::Confidence;
pub use evidence::CrashEvidence;
pub use evidence_options::EvidenceOptions;
pub use judge::Judge;
pub use outcomes::PartOutcomes;
pub use part::{PartId, PartIds};
pub use probe_schedule::ProbeSchedule;
pub use received::Received;
pub use report::{CrashReport, CrashedRequest, CrashedServer, ServerEnd, SoundReport};
pub use run::CrashRun;
pub use suspected_part::SuspectedPart;
pub use tally::PartTally;
pub use watch::CrashWatch;
