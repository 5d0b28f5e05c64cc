//! The first filter: which team a request comes from.

use bulrushhall_core::{Deployment, TeamName};
use hyper::http::request::Parts;

use crate::callers::{ApiCode, ApiError};

/// The header that names the team where teams have no keys.
const TEAM_HEADER: &str = "x-team";

/// Returns the team that a request comes from.
pub fn identify(deployment: &Deployment, parts: &Parts) -> Result<TeamName, ApiError> {
    let unknown =
        || ApiError::not_run(ApiCode::UnknownKey, "the request names no team of this deployment");
    let named = parts.headers.get(TEAM_HEADER).and_then(|name| name.to_str().ok());
    let Some(named) = named else {
        let open = deployment.teams.iter().find(|(_, team)| team.key_hash.is_none());
        return open.map(|(name, _)| name.clone()).ok_or_else(unknown);
    };
    let named = TeamName::new(named).map_err(|_| unknown())?;
    match deployment.teams.get(&named) {
        Some(team) if team.key_hash.is_none() => Ok(named),
        _ => Err(unknown()),
    }
}
