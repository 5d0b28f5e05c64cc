//! The filter that holds teams to their limits.

use std::sync::Arc;

use bulrushhall_core::TeamName;
use bulrushhall_policy::team_limits::{LimitExceeded, TeamLimit, TeamLimiter};

use crate::{
    callers::{ApiCode, ApiError, classify::Classified},
    context::Context,
};

/// A `Place` is what a request takes of its team's limits, until it is dropped.
pub struct Place {
    cx: Arc<Context>,
    team: TeamName,
    tokens: u32,
    accepted: bool,
}

impl Place {
    /// Takes a request of a team into account, or refuses it.
    pub fn take(
        cx: &Arc<Context>,
        team: &TeamName,
        request: &Classified,
    ) -> Result<Place, ApiError> {
        let in_force = cx.in_force();
        let tokens = request.prompt_tokens.saturating_add(request.max_tokens);
        // A team that was taken out of the configuration meanwhile has no limits to be held to.
        if let Some(limits) = in_force.deployment.teams.get(team) {
            let members = cx.members.current();
            let nodes = members.iter().filter(|member| !member.leaving).count() + 1;
            let now = cx.clock.now();
            let entered =
                with_limiter(cx, |limiter| limiter.admit(now, team, limits, nodes, tokens));
            entered.map_err(refused)?;
        }
        Ok(Place { cx: Arc::clone(cx), team: team.clone(), tokens, accepted: false })
    }

    /// Notes that the request is accepted; what it took over time stays taken.
    pub fn accept(&mut self) {
        self.accepted = true;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        with_limiter(&self.cx, |limiter| match self.accepted {
            true => limiter.release(&self.team),
            false => limiter.refund(&self.team, self.tokens),
        });
    }
}

fn with_limiter<T>(cx: &Context, act: impl FnOnce(&mut TeamLimiter) -> T) -> T {
    act(&mut cx.team_limiter.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
}

fn refused(limited: LimitExceeded) -> ApiError {
    let what = match limited.limit {
        TeamLimit::Concurrency => "the team has too many requests at once",
        TeamLimit::Requests => "the team has sent too many requests",
        TeamLimit::Tokens => "the team has asked for too many tokens",
    };
    ApiError::not_run(ApiCode::TeamLimit, what).retry_after(limited.retry_after)
}
