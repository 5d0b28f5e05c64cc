//! Coordination between nodes as state machines: time and events in, actions out.
//!
//! Nothing here reads a clock, opens a socket or spawns a task, so every run can be replayed.

pub mod attempts;
pub mod budget;
pub mod catch_up;
pub mod chain;
pub mod claims;
pub mod crashes;
pub mod entries;
pub mod eras;
pub mod evacuation;
pub mod facts;
pub mod freshness;
pub mod gossip;
pub mod head;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod membership_options;
pub mod node_counts;
pub mod notices;
pub mod ownership;
pub mod relays;
pub mod rollouts;
mod roster;
pub mod streams;
pub mod update_sources;
pub mod usage;

pub use attempts::Attempts;
pub use budget::{CallBudget, Outcomes, Purpose};
pub use catch_up::CatchUp;
pub use chain::{ChainCall, ChainRefusal, ChainReply, ChainStep, ChainWriter};
pub use claims::{ClaimRefusal, Claims, ClaimsAction, ClaimsOptions, KeyHash, Shard, SwapResult};
pub use entries::{Candidate, Headroom};
pub use eras::Eras;
pub use evacuation::{Evacuation, EvacuationOptions, Movable};
pub use facts::{FactBatch, FactKind, FactKindId, FactScope, FactValue, Facts, MergeRule, Merged};
pub use freshness::Freshness;
pub use gossip::{Condition, Gossip, Heartbeat, Record, ZoneSummary};
pub use head::{Head, HeadError};
pub use lease::{Hold, Holder, Lease, LeaseCall, LeaseOptions, LeaseReply, Wanted};
pub use ledger::{Claim, Ledger, LedgerOptions};
pub use membership::{Membership, Outgoing, View};
pub use membership_options::MembershipOptions;
pub use node_counts::{Count, CountScope, NodeCounts};
pub use notices::{Departure, Notices, Source};
pub use ownership::{Action, CopyLocation, Message, Ownership, OwnershipOptions, Peer, Version};
pub use relays::{RelayOptions, RelayPeer, RelayPlan, RelayRequested, Role};
pub use update_sources::{SourceChoice, UpdateScope, UpdateSources};
pub use usage::{FixedReports, TeamCounts, UsageCounts, Window};
