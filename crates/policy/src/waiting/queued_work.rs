//! The amounts of queued work of a node, or of all nodes.

use crate::waiting::RANKS;

/// `QueuedWork` is the queued work by urgency, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuedWork(pub [f64; RANKS]);

impl QueuedWork {
    /// The number of numbers that nodes exchange, as many as a fact has.
    pub const NUMBERS: usize = 8;

    /// Adds the work of a request.
    pub fn add(&mut self, rank: u8, work: u32) {
        self.0[usize::from(rank).min(RANKS - 1)] += f64::from(work);
    }

    /// Removes the work of a request.
    pub fn remove(&mut self, rank: u8, work: u32) {
        let sum = &mut self.0[usize::from(rank).min(RANKS - 1)];
        *sum = (*sum - f64::from(work)).max(0.0);
    }

    /// Returns the sum with the work of other nodes.
    pub fn plus(self, other: QueuedWork) -> QueuedWork {
        let mut sum = self;
        for (sum, more) in sum.0.iter_mut().zip(other.0) {
            *sum += more;
        }
        sum
    }

    /// Returns the same work of each of `nodes` nodes.
    pub fn of_nodes(self, nodes: usize) -> QueuedWork {
        QueuedWork(self.0.map(|work| work * nodes as f64))
    }

    /// Returns the work with that of the least urgent classes summed up, as nodes exchange it.
    pub fn folded(self) -> QueuedWork {
        QueuedWork::from_numbers(&self.to_numbers())
    }

    /// Returns the numbers that nodes exchange.
    pub fn to_numbers(self) -> [f64; QueuedWork::NUMBERS] {
        let mut numbers = [0.0; QueuedWork::NUMBERS];
        for (rank, work) in self.0.into_iter().enumerate() {
            numbers[rank.min(QueuedWork::NUMBERS - 1)] += work;
        }
        numbers
    }

    /// Returns the work that another node sent; negative numbers count as 0.
    pub fn from_numbers(numbers: &[f64; QueuedWork::NUMBERS]) -> QueuedWork {
        let mut work = QueuedWork::default();
        for (sum, number) in work.0.iter_mut().zip(numbers) {
            *sum = number.max(0.0);
        }
        work
    }

    /// Returns the work of all urgencies.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Returns the work that is at least as urgent as `rank`.
    pub fn at_least_as_urgent(&self, rank: u8) -> f64 {
        self.0.iter().take(usize::from(rank) + 1).sum()
    }

    /// Returns the part of the free capacity `free`, in tokens, that no queued work needs.
    pub fn unclaimed(&self, free: f64) -> f64 {
        (free - self.total()).max(0.0)
    }

    /// Returns the part of the free capacity `free`, in tokens, that a node with this work may use while all nodes
    /// together have `all`.
    ///
    /// Work of a more urgent class at any node goes before that of the less urgent classes at all nodes. Within a class
    /// the nodes share in proportion to their work.
    pub fn share_of(&self, free: f64, all: &QueuedWork) -> f64 {
        let mut left = free.max(0.0);
        let mut share = 0.0;
        for (own, all) in self.0.iter().zip(all.0) {
            // Reports of other nodes are older than this node's own count.
            let all = all.max(*own);
            if all <= 0.0 {
                continue;
            }
            let granted = left.min(all);
            share += granted * own / all;
            left -= granted;
        }
        share
    }
}
