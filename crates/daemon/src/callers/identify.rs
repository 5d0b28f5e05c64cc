//! The first filter: identifies the team that a request comes from.

use bulrushhall_core::{Deployment, TeamName, config::KeyHash};
use hyper::{HeaderMap, header::AUTHORIZATION, http::request::Parts};

use crate::callers::{ApiCode, ApiError};

/// The header that names the team of a request; it is only trusted for teams without keys.
const TEAM_HEADER: &str = "x-team";
/// The prefix of the key in the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";
/// The maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Returns the team that a request comes from.
///
/// A valid key identifies its team by itself; a team that has keys is never identified by the
/// header that names a team.
pub fn identify(deployment: &Deployment, parts: &Parts) -> Result<TeamName, ApiError> {
    if let Some(key) = bearer_key(&parts.headers)? {
        return match team_with_key(deployment, key) {
            Some(team) => check_named_team(team, named_team(&parts.headers)?),
            None => team_without_key(deployment, &parts.headers),
        };
    }
    team_without_key(deployment, &parts.headers)
}

fn team_without_key(deployment: &Deployment, headers: &HeaderMap) -> Result<TeamName, ApiError> {
    let Some(named) = named_team(headers)? else {
        let keyless = deployment.teams.iter().find(|(_, team)| !team.needs_key());
        return keyless.map(|(name, _)| name.clone()).ok_or_else(unknown_team);
    };
    match deployment.teams.get(&named) {
        Some(team) if !team.needs_key() => Ok(named),
        _ => Err(unknown_team()),
    }
}

// If a header occurs twice, a proxy in front of the node may use one value and the node the other,
// and they attribute the request to different teams. Such a request is refused.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        let message = format!("the header {name} stands more than once");
        return Err(ApiError::not_run(ApiCode::InvalidValue, message));
    }
    value.to_str().map(Some).map_err(|_| unknown_team())
}

fn bearer_key(headers: &HeaderMap) -> Result<Option<&str>, ApiError> {
    let Some(value) = single_header(headers, AUTHORIZATION.as_str())? else { return Ok(None) };
    let key = value.strip_prefix(BEARER_PREFIX).map(str::trim).ok_or_else(unknown_team)?;
    if key.is_empty() || MAX_KEY_BYTES < key.len() {
        return Err(unknown_team());
    }
    Ok(Some(key))
}

fn named_team(headers: &HeaderMap) -> Result<Option<TeamName>, ApiError> {
    let Some(named) = single_header(headers, TEAM_HEADER)? else { return Ok(None) };
    TeamName::new(named).map(Some).map_err(|_| unknown_team())
}

// All teams are compared, so that the duration does not reveal which team matches.
fn team_with_key<'a>(deployment: &'a Deployment, key: &str) -> Option<&'a TeamName> {
    let hash = KeyHash::of(key);
    let mut found = None;
    for (name, team) in &deployment.teams {
        if team.accepts(&hash) {
            found = Some(name);
        }
    }
    found
}

fn check_named_team(team: &TeamName, named: Option<TeamName>) -> Result<TeamName, ApiError> {
    match named {
        Some(named) if named != *team => Err(unknown_team()),
        _ => Ok(team.clone()),
    }
}

fn unknown_team() -> ApiError {
    ApiError::not_run(ApiCode::UnknownKey, "the request names no team of this deployment")
}
