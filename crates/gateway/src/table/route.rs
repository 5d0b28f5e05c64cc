//! One route with its name.

use bulrushhall_core::config::RouteConfig;

/// A `Route` takes the requests of a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// What its configuration says.
    pub cfg: RouteConfig,
}
