//! Prompt parts under which backend servers crash: evidence, decisions, and what is refused because of them.

mod background;
mod block;
mod blocks;
mod evidence;
mod judge;
mod outcomes;
mod part;
mod report;
mod watch;

pub use background::Background;
pub use block::{Block, BlockState, BlockStatus};
pub use blocks::{Blocks, ProbeSchedule, Received};
pub use evidence::{Blame, CrashEvidence, EvidenceOptions};
pub use judge::{CrashCount, Judge, LikelihoodRatio, PartTally};
pub use outcomes::PartOutcomes;
pub use part::{PartId, PartIds};
pub use report::{CrashReport, CrashedRequest, SoundReport};
pub use watch::CrashWatch;
