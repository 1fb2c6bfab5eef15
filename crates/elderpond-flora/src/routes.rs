//! The routes of one version, laid out for look-up.

use std::sync::Arc;

use hashbrown::HashMap;

use crate::difference::{Difference, DifferenceError, HostRule, VersionDigest};
use crate::digest;
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
    /// The digest of the operator's text of it.
    digest: u64,
}

impl Route {
    /// `name` gives the shared name of a service.
    fn new(host: &Arc<str>, rule: &Rule, name: impl Fn(&str) -> Arc<str>) -> Self {
        let act = &rule.route_action;
        let services = act.weighted_services();
        let sum: f64 = services.iter().map(|(_, weight)| weight).sum();
        let mut upto = 0.0;
        let split = (services.into_iter())
            .map(|(service, weight)| {
                upto += weight / sum;
                (name(service), upto)
            })
            .collect();
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
            digest: digest::of_route(host, rule),
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

/// The routes of a host by their prefixes.
type Prefixes = HashMap<String, Arc<Route>>;

/// All routes of a version.
#[derive(Clone, Debug)]
pub struct Routes {
    /// Which version.
    pub version: Version,
    /// Bounds on clients.
    pub limits: Limits,
    hosts: HashMap<Arc<str>, Prefixes>,
    services: HashMap<Arc<str>, Cluster>,
    /// The sum of the digests of routes and services.
    digest: u64,
}

impl Routes {
    /// Lays out a configuration that was read and checked.
    pub fn new(configuration: &Configuration) -> Self {
        let services: HashMap<Arc<str>, Cluster> = (configuration.cluster_list.iter())
            .map(|cluster| (Arc::from(cluster.name.as_str()), cluster.clone()))
            .collect();
        let mut hosts: HashMap<Arc<str>, Prefixes> = HashMap::new();
        for listener in &configuration.listener_list {
            let name: Arc<str> = Arc::from(listener.host.to_ascii_lowercase());
            let host = hosts.entry(name.clone()).or_default();
            for rule in &listener.rule_set {
                let prefix = rule.match_condition.path_prefix.clone();
                host.entry(prefix).or_insert_with(|| {
                    Arc::new(Route::new(&name, rule, |name| shared_name(&services, name)))
                });
            }
        }
        let of_routes = (hosts.values())
            .flat_map(HashMap::values)
            .map(|route| route.digest);
        let of_services = services.values().map(digest::of_service);
        Self {
            version: configuration.version_number,
            limits: configuration.limits,
            digest: of_routes.chain(of_services).fold(0, u64::wrapping_add),
            hosts,
            services,
        }
    }

    /// Which version this is, and the digest of its content.
    #[must_use]
    pub fn version_digest(&self) -> VersionDigest {
        VersionDigest {
            version: self.version,
            digest: self.digest,
        }
    }

    /// Goes on to a later version. Where that fails, nothing has changed.
    ///
    /// # Errors
    ///
    /// The difference leads from another version, or to something else than it says.
    pub fn apply(&mut self, difference: &Difference) -> Result<(), DifferenceError> {
        if difference.from != self.version_digest() {
            return Err(DifferenceError::OtherBase {
                from: difference.from.version,
                held: self.version,
            });
        }
        if self.digest_after(difference) != difference.to.digest {
            return Err(DifferenceError::OtherResult(difference.to.version));
        }
        self.change_services(difference);
        self.change_routes(difference);
        self.version = difference.to.version;
        self.digest = difference.to.digest;
        self.limits = difference.limits;
        Ok(())
    }

    /// The digest that a difference leads to.
    fn digest_after(&self, difference: &Difference) -> u64 {
        let route = |host: &str, prefix: &str| {
            let held = self.hosts.get(host).and_then(|host| host.get(prefix));
            held.map_or(0, |route| route.digest)
        };
        let service = |name: &str| self.services.get(name).map_or(0, digest::of_service);
        let mut digest = self.digest;
        for key in &difference.removed_routes {
            digest = digest.wrapping_sub(route(&key.host, &key.path_prefix));
        }
        for HostRule { host, rule } in &difference.routes {
            digest = digest.wrapping_sub(route(host, &rule.match_condition.path_prefix));
            digest = digest.wrapping_add(digest::of_route(host, rule));
        }
        for name in &difference.removed_services {
            digest = digest.wrapping_sub(service(name));
        }
        for cluster in &difference.services {
            digest = digest.wrapping_sub(service(&cluster.name));
            digest = digest.wrapping_add(digest::of_service(cluster));
        }
        digest
    }

    fn change_services(&mut self, difference: &Difference) {
        for name in &difference.removed_services {
            self.services.remove(name.as_str());
        }
        for cluster in &difference.services {
            let name = shared_name(&self.services, &cluster.name);
            self.services.insert(name, cluster.clone());
        }
    }

    fn change_routes(&mut self, difference: &Difference) {
        for key in &difference.removed_routes {
            if let Some(host) = self.hosts.get_mut(key.host.as_str()) {
                host.remove(&key.path_prefix);
                if host.is_empty() {
                    self.hosts.remove(key.host.as_str());
                }
            }
        }
        for HostRule { host, rule } in &difference.routes {
            let known = self.hosts.get_key_value(host.as_str());
            let name = known.map_or_else(|| Arc::from(host.as_str()), |(name, _)| name.clone());
            let route = Route::new(&name, rule, |name| shared_name(&self.services, name));
            let prefix = rule.match_condition.path_prefix.clone();
            let host = self.hosts.entry(name).or_default();
            host.insert(prefix, Arc::new(route));
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

/// The name of a service, as its routes share it.
fn shared_name(services: &HashMap<Arc<str>, Cluster>, name: &str) -> Arc<str> {
    let known = services.get_key_value(name);
    known.map_or_else(|| Arc::from(name), |(name, _)| name.clone())
}
