//! Lookup of routes by host and path, and of accounts by key.

use std::collections::HashMap;
use std::sync::Arc;

use crate::AccountId;
use crate::ClassRank;

use super::RouteConfig;
use super::RouteSpec;

/// Account that an API key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountGrant {
    /// Account that the key belongs to.
    pub account: AccountId,
    /// Rank that overrides that of the route.
    pub rank: Option<ClassRank>,
}

/// Routes and keys of one configuration, indexed for lookup.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteSpec>>>,
    keys: Option<HashMap<String, AccountGrant>>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(config: &RouteConfig) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteSpec>>> = HashMap::new();
        for route in &config.routes {
            let routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            hosts,
            keys: config.accounts.as_ref().map(|_| collect_keys(config)),
        }
    }

    /// Returns the route with the longest prefix for a host and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whether requests need a key.
    pub fn requires_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the account that a key belongs to.
    pub fn grant(&self, key: &str) -> Option<&AccountGrant> {
        self.keys.as_ref()?.get(key)
    }
}

fn collect_keys(config: &RouteConfig) -> HashMap<String, AccountGrant> {
    let mut keys = HashMap::new();
    for account in config.accounts.iter().flatten() {
        for key in &account.keys {
            let grant = AccountGrant {
                account: account.name.clone(),
                rank: account.rank,
            };
            keys.insert(key.clone(), grant);
        }
    }
    keys
}
