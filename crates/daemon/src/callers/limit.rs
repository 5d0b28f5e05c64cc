//! The filter that enforces the limits of teams.

use std::sync::Arc;

use bulrushhall_core::TeamName;
use bulrushhall_policy::team_limits::{LimitExceeded, TeamLimit, TeamLimiter};

use crate::{
    callers::{ApiCode, ApiError, classify::Classified},
    context::Context,
};

/// A `TeamReservation` is the share of its team's limits that a request holds until it is dropped.
pub struct TeamReservation {
    cx: Arc<Context>,
    team: TeamName,
    tokens: u32,
    accepted: bool,
}

impl TeamReservation {
    /// Counts a request against the limits of its team, or refuses it.
    pub fn reserve(
        cx: &Arc<Context>,
        team: &TeamName,
        request: &Classified,
    ) -> Result<TeamReservation, ApiError> {
        let in_force = cx.in_force();
        let tokens = request.prompt_tokens.saturating_add(request.max_tokens);
        // A team that has been removed from the configuration in the meantime has no limits.
        if let Some(limits) = in_force.deployment.teams.get(team) {
            let members = cx.members.current();
            let nodes = members.iter().filter(|member| !member.leaving).count() + 1;
            let now = cx.clock.now();
            let admitted =
                with_limiter(cx, |limiter| limiter.admit(now, team, limits, nodes, tokens));
            admitted.map_err(limit_error)?;
        }
        Ok(TeamReservation { cx: Arc::clone(cx), team: team.clone(), tokens, accepted: false })
    }

    /// Marks the request as accepted; its share of the rate limits is then not refunded.
    pub fn commit(&mut self) {
        self.accepted = true;
    }
}

impl Drop for TeamReservation {
    fn drop(&mut self) {
        with_limiter(&self.cx, |limiter| match self.accepted {
            true => limiter.release(&self.team),
            false => limiter.refund(&self.team, self.tokens),
        });
    }
}

fn with_limiter<T>(cx: &Context, update: impl FnOnce(&mut TeamLimiter) -> T) -> T {
    update(&mut cx.team_limiter.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
}

fn limit_error(exceeded: LimitExceeded) -> ApiError {
    let message = match exceeded.limit {
        TeamLimit::Concurrency => "the team has too many requests at once",
        TeamLimit::Requests => "the team has sent too many requests",
        TeamLimit::Tokens => "the team has asked for too many tokens",
    };
    ApiError::not_run(ApiCode::TeamLimit, message).retry_after(exceeded.retry_after)
}
