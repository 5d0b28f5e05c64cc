//! The part of the free engine capacity that a node may use until the next exchange between nodes.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The work that engines may have queued and running, in exchanges: they work off one until the next grant, and the second
/// keeps them busy while other nodes do not know the grant yet. With 1.0 engines are idle for 27% of the time, with 1.5 for
/// 9% (model in `tests/shortage`).
const ROOM_EXCHANGES: f64 = 2.0;

/// Returns the work that an engine without requests may be sent, in tokens, if it does `tokens_per_ms` in a millisecond.
pub fn room_tokens(exchange: Duration, tokens_per_ms: f64) -> f64 {
    ROOM_EXCHANGES * exchange.as_secs_f64() * 1_000.0 * tokens_per_ms
}

/// A `Credit` is the work that a node may start until the next exchange, in tokens.
///
/// A request is started while the credit is positive, whatever its size, so that long prompts need no more luck than short
/// ones. What it uses beyond the credit is taken from the next exchange; credit that is not used lapses.
///
/// All of it may be started at once. If it became available evenly over the exchange, 3% of the engines' time would be
/// unused, since other nodes learn of it an exchange later.
#[derive(Clone, Copy, Debug, Default)]
pub struct Credit {
    balance: f64,
    granted_at: Option<Stamp>,
}

impl Credit {
    /// Returns whether a grant is due, one exchange after the last one.
    pub fn is_due(&self, now: Stamp, exchange: Duration) -> bool {
        self.granted_at.is_none_or(|at| exchange <= now.since(at))
    }

    /// Grants work for the next exchange, in tokens.
    pub fn grant(&mut self, now: Stamp, work: f64) {
        self.balance = self.balance.min(0.0) + work.max(0.0);
        self.granted_at = Some(now);
    }

    /// Returns whether a request may be started.
    pub fn allows_start(&self) -> bool {
        0.0 < self.balance
    }

    /// Takes the work of a started request.
    pub fn spend(&mut self, work: u32) {
        self.balance -= f64::from(work);
    }

    /// Returns the work of a request that was not started after all.
    pub fn refund(&mut self, work: u32) {
        self.balance += f64::from(work);
    }
}
