//! The weights of teams, as they are written in the settings.

use std::{fmt, str::FromStr};

use bulrushhall_core::TeamName;
use bulrushhall_policy::waiting::TeamWeights;

/// A `TeamWeightList` is the weights of teams, written as `team:weight` and separated by commas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamWeightList(pub TeamWeights);

/// A `TeamWeightListError` is the entry of a list that is not a team and its weight, or repeats a team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamWeightListError(pub String);

impl fmt::Display for TeamWeightListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a new team and its weight, such as team-a:2", self.0)
    }
}

impl std::error::Error for TeamWeightListError {}

impl FromStr for TeamWeightList {
    type Err = TeamWeightListError;

    fn from_str(text: &str) -> Result<TeamWeightList, TeamWeightListError> {
        let mut weights = TeamWeights::new();
        for entry in text.split(',').map(str::trim).filter(|entry| !entry.is_empty()) {
            let problem = || TeamWeightListError(entry.to_owned());
            let (team, weight) = entry.split_once(':').ok_or_else(problem)?;
            let team = TeamName::new(team.trim()).map_err(|_| problem())?;
            let weight: f64 = weight.trim().parse().map_err(|_| problem())?;
            if weights.insert(team, weight).is_some() {
                return Err(problem());
            }
        }
        Ok(TeamWeightList(weights))
    }
}

impl fmt::Display for TeamWeightList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (team, weight)) in self.0.iter().enumerate() {
            let separator = if at == 0 { "" } else { ", " };
            write!(f, "{separator}{team}:{weight}")?;
        }
        Ok(())
    }
}
