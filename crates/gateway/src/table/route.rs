//! One route and its name.

use bulrushhall_core::config::RouteConfig;

/// A `Route` matches the requests for a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Its configuration.
    pub cfg: RouteConfig,
}
