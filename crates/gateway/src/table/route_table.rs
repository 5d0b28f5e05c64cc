//! The configuration at one revision.

use std::{collections::HashMap, sync::Arc};

use bulrushhall_core::{Revision, ServiceName};
use bytes::Bytes;

use crate::table::{CallerLimits, Route, ServiceEntry, TeamEntry};

/// A `RouteTable` is the configuration at one revision.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The revision.
    pub revision: Revision,
    /// The services by name.
    pub services: HashMap<ServiceName, ServiceEntry>,
    /// The limits of callers' connections.
    pub limits: CallerLimits,
    /// The document from which it was parsed, for nodes with an older configuration.
    pub document: Bytes,
    routes: HashMap<String, Vec<Arc<Route>>>,
    keys: HashMap<String, Arc<TeamEntry>>,
    keyed: bool,
}

impl RouteTable {
    /// Returns this table with its routes replaced.
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> RouteTable {
        self.routes.clear();
        for route in routes {
            self.routes.entry(route.cfg.host.clone()).or_default().push(Arc::new(route));
        }
        for host_routes in self.routes.values_mut() {
            // The first match is then the one with the longest prefix.
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.cfg.prefix.len()));
        }
        self
    }

    /// Returns this table with its teams and their keys replaced; callers need keys from then on, also if there are no
    /// teams.
    pub fn with_teams(
        mut self,
        teams: impl IntoIterator<Item = (TeamEntry, Vec<String>)>,
    ) -> RouteTable {
        self.keys.clear();
        self.keyed = true;
        for (team, keys) in teams {
            let team = Arc::new(team);
            for key in keys {
                self.keys.insert(key, Arc::clone(&team));
            }
        }
        self
    }

    /// Returns the route of a host with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = match self.routes.get(host) {
            Some(host_routes) => host_routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        host_routes.iter().find(|route| path.starts_with(&route.cfg.prefix))
    }

    /// Returns the team of a key.
    pub fn team(&self, key: &str) -> Option<&Arc<TeamEntry>> {
        self.keys.get(key)
    }

    /// Returns whether callers need keys.
    pub fn is_keyed(&self) -> bool {
        self.keyed
    }

    /// Returns the teams.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<TeamEntry>> {
        self.keys.values()
    }
}
