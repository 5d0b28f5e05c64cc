//! What is compared: how requests are placed, VMs bought and reclaims survived.

/// A `Fleet` tells which VMs the engines run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fleet {
    /// Those that the planner buys.
    Planned,
    /// The needed number, all on demand.
    OnDemand,
}

/// A `Recovery` tells how requests of an engine that is taken back go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// KV cache is moved where it pays; the rest resumes behind its emitted tokens.
    Move,
    /// All resume behind their emitted tokens.
    Resume,
    /// All start again from the prompt.
    Restart,
}

/// A `Setup` is one way of running a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The name of the placement.
    pub placement: &'static str,
    /// The VMs.
    pub fleet: Fleet,
    /// What follows a reclaim.
    pub recovery: Recovery,
}

impl Default for Setup {
    fn default() -> Self {
        Setup { placement: "predicted", fleet: Fleet::Planned, recovery: Recovery::Move }
    }
}
