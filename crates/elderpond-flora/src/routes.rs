//! The routes of one version, laid out for look-up.

use std::sync::Arc;

use hashbrown::HashMap;

use crate::document::{Cluster, Configuration, Limits, Rule, Version};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may.
    Safe,
    /// Once per try at the most.
    Unsafe,
}

/// A route, ready for use.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it is for, in small letters.
    pub host: Arc<str>,
    /// Whether its requests may run more than once.
    pub kind: Kind,
    /// Milliseconds within which an answer earns its full worth; 0 where not told.
    pub aim_ms: f64,
    /// Milliseconds that a request may be held.
    pub timeout_ms: f64,
    /// Workers that one try may be sent to, at most.
    pub attempts: u32,
    /// Rank, 0 being highest.
    pub priority: u32,
    /// Its services, each with the upper end of its part of 0 to 1.
    split: Vec<(Arc<str>, f64)>,
}

impl Route {
    fn new(host: &Arc<str>, rule: &Rule, names: &HashMap<&str, Arc<str>>) -> Self {
        let act = &rule.route_action;
        let name = |service: &str| {
            names
                .get(service)
                .cloned()
                .unwrap_or_else(|| service.into())
        };
        let sum: f64 = act.weighted_split.iter().map(|part| part.weight).sum();
        let mut upto = 0.0;
        let mut split: Vec<(Arc<str>, f64)> = (act.weighted_split.iter())
            .filter(|part| part.weight > 0.0)
            .map(|part| {
                upto += part.weight / sum;
                (name(&part.service), upto)
            })
            .collect();
        if let (true, Some(service)) = (split.is_empty(), &act.service) {
            split.push((name(service), 1.0));
        }
        Self {
            name: rule.name.clone(),
            host: host.clone(),
            kind: if rule.kind == "safe" {
                Kind::Safe
            } else {
                Kind::Unsafe
            },
            aim_ms: rule.target_latency_s * 1000.0,
            timeout_ms: act.timeout_s * 1000.0,
            attempts: act.attempts,
            priority: rule.priority,
            split,
        }
    }

    /// The service for a request, by a number drawn evenly from 0 to 1.
    pub fn service(&self, drawn: f64) -> Option<&Arc<str>> {
        let part = self.split.iter().find(|(_, upto)| drawn < *upto);
        part.or(self.split.last()).map(|(service, _)| service)
    }

    /// Its services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.split.iter().map(|(service, _)| service)
    }
}

/// All routes of a version.
#[derive(Debug)]
pub struct Routes {
    /// Which version.
    pub version: Version,
    /// Bounds on clients.
    pub limits: Limits,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<Arc<str>, Cluster>,
}

impl Routes {
    /// Lays out a configuration that was read and checked.
    pub fn new(configuration: &Configuration) -> Self {
        let names: HashMap<&str, Arc<str>> = (configuration.cluster_list.iter())
            .map(|cluster| (cluster.name.as_str(), Arc::from(cluster.name.as_str())))
            .collect();
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for listener in &configuration.listener_list {
            let name: Arc<str> = Arc::from(listener.host.to_ascii_lowercase());
            let host = hosts.entry(name.to_string()).or_default();
            for rule in &listener.rule_set {
                let prefix = rule.match_condition.path_prefix.clone();
                host.entry(prefix)
                    .or_insert_with(|| Arc::new(Route::new(&name, rule, &names)));
            }
        }
        let services = (configuration.cluster_list.iter())
            .map(|cluster| (names[cluster.name.as_str()].clone(), cluster.clone()))
            .collect();
        Self {
            version: configuration.version_number,
            limits: configuration.limits,
            hosts,
            services,
        }
    }

    /// The route of a request: of those for its host, the one whose prefix is the longest that
    /// begins the path. `host` may carry a port, `path` a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Cluster> {
        self.services.get(name)
    }

    /// Every route.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = &Cluster> {
        self.services.values()
    }
}
