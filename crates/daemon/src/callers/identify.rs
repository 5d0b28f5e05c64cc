//! The first filter: which team a request comes from.

use bulrushhall_core::{Deployment, TeamName, config::KeyHash};
use hyper::{HeaderMap, header::AUTHORIZATION, http::request::Parts};

use crate::callers::{ApiCode, ApiError};

/// The header that names the team where teams have no keys.
const TEAM_HEADER: &str = "x-team";
/// What stands before the key in the authorization header.
const BEARER: &str = "Bearer ";
/// The longest key, in bytes.
const KEY_MAX: usize = 512;

/// Returns the team that a request comes from.
///
/// A key decides alone; a team that has keys is never taken from the header that names one.
pub fn identify(deployment: &Deployment, parts: &Parts) -> Result<TeamName, ApiError> {
    if let Some(key) = key_of(&parts.headers)? {
        return match team_of(deployment, key) {
            Some(team) => agreed(team, named_team(&parts.headers)?),
            None => without_key(deployment, &parts.headers),
        };
    }
    without_key(deployment, &parts.headers)
}

fn without_key(deployment: &Deployment, headers: &HeaderMap) -> Result<TeamName, ApiError> {
    let Some(named) = named_team(headers)? else {
        let open = deployment.teams.iter().find(|(_, team)| !team.needs_key());
        return open.map(|(name, _)| name.clone()).ok_or_else(unknown);
    };
    match deployment.teams.get(&named) {
        Some(team) if !team.needs_key() => Ok(named),
        _ => Err(unknown()),
    }
}

// A request with two of these headers may be read as one team's by us and as another's by a
// proxy before us, so it is refused.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        let message = format!("the header {name} stands more than once");
        return Err(ApiError::not_run(ApiCode::InvalidValue, message));
    }
    value.to_str().map(Some).map_err(|_| unknown())
}

fn key_of(headers: &HeaderMap) -> Result<Option<&str>, ApiError> {
    let Some(value) = single(headers, AUTHORIZATION.as_str())? else { return Ok(None) };
    let key = value.strip_prefix(BEARER).map(str::trim).ok_or_else(unknown)?;
    if key.is_empty() || KEY_MAX < key.len() {
        return Err(unknown());
    }
    Ok(Some(key))
}

fn named_team(headers: &HeaderMap) -> Result<Option<TeamName>, ApiError> {
    let Some(named) = single(headers, TEAM_HEADER)? else { return Ok(None) };
    TeamName::new(named).map(Some).map_err(|_| unknown())
}

// All teams are compared, so that the time taken does not tell which one fits.
fn team_of<'a>(deployment: &'a Deployment, key: &str) -> Option<&'a TeamName> {
    let hash = KeyHash::of(key);
    let mut found = None;
    for (name, team) in &deployment.teams {
        if team.accepts(&hash) {
            found = Some(name);
        }
    }
    found
}

fn agreed(team: &TeamName, named: Option<TeamName>) -> Result<TeamName, ApiError> {
    match named {
        Some(named) if named != *team => Err(unknown()),
        _ => Ok(team.clone()),
    }
}

fn unknown() -> ApiError {
    ApiError::not_run(ApiCode::UnknownKey, "the request names no team of this deployment")
}
