//! The newest version, and what changed with each of those before it.

use std::collections::{BTreeSet, VecDeque};

use ahash::RandomState;
use hashbrown::HashMap;

use crate::difference::{Difference, HostRule, RouteKey, VersionDigest};
use crate::digest;
use crate::document::{Cluster, Configuration, Limits, Rule, Version};

/// Changes that are remembered, at most.
const MOST_STEPS: usize = 64;
/// Names of routes and services that they hold together, at most.
const MOST_NAMES: usize = 16_384;

type Map<K, V> = HashMap<K, V, RandomState>;

/// A route, and its digest.
#[derive(Clone, Debug)]
struct DigestedRule {
    digest: u64,
    rule: Rule,
}

/// A version's routes and services by their names.
#[derive(Clone, Debug)]
struct Snapshot {
    version: Version,
    digest: u64,
    limits: Limits,
    routes: Map<RouteKey, DigestedRule>,
    services: Map<String, Cluster>,
}

impl Snapshot {
    /// Where a name comes twice, the first route and the last service count, as in [`crate::Routes`].
    fn new(configuration: Configuration) -> Self {
        let mut routes: Map<RouteKey, DigestedRule> = Map::default();
        for listener in configuration.listener_list {
            let host = listener.host.to_ascii_lowercase();
            for rule in listener.rule_set {
                let key = RouteKey {
                    host: host.clone(),
                    path_prefix: rule.match_condition.path_prefix.clone(),
                };
                let digest = digest::of_route(&host, &rule);
                routes.entry(key).or_insert(DigestedRule { digest, rule });
            }
        }
        let services: Map<String, Cluster> = (configuration.cluster_list.into_iter())
            .map(|cluster| (cluster.name.clone(), cluster))
            .collect();
        let of_routes = routes.values().map(|route| route.digest);
        let of_services = services.values().map(digest::of_service);
        Self {
            version: configuration.version_number,
            digest: of_routes.chain(of_services).fold(0, u64::wrapping_add),
            limits: configuration.limits,
            routes,
            services,
        }
    }

    fn version_digest(&self) -> VersionDigest {
        VersionDigest {
            version: self.version,
            digest: self.digest,
        }
    }

    /// The names of what differs in `next`.
    fn changes(&self, next: &Self) -> Step {
        let changed = |(key, route): &(&RouteKey, &DigestedRule)| {
            self.routes.get(*key).map(|before| before.digest) != Some(route.digest)
        };
        let removed = |key: &&RouteKey| !next.routes.contains_key(*key);
        let put = next.routes.iter().filter(changed).map(|(key, _)| key);
        let routes = put.chain(self.routes.keys().filter(removed)).cloned();
        let changed =
            |(name, cluster): &(&String, &Cluster)| self.services.get(*name) != Some(*cluster);
        let removed = |name: &&String| !next.services.contains_key(*name);
        let put = next.services.iter().filter(changed).map(|(name, _)| name);
        let services = put.chain(self.services.keys().filter(removed)).cloned();
        Step {
            from: self.version_digest(),
            routes: routes.collect(),
            services: services.collect(),
        }
    }
}

/// The names of what changed with one version.
#[derive(Clone, Debug)]
struct Step {
    /// The version before it.
    from: VersionDigest,
    routes: Vec<RouteKey>,
    services: Vec<String>,
}

impl Step {
    fn names(&self) -> usize {
        self.routes.len() + self.services.len()
    }
}

/// The newest version, and what leads to it from those that were the newest before.
#[derive(Clone, Debug)]
pub struct History {
    newest: Snapshot,
    steps: VecDeque<Step>,
    /// Names that the steps hold together.
    names: usize,
}

impl History {
    /// Begins with a version.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        Self {
            newest: Snapshot::new(configuration),
            steps: VecDeque::new(),
            names: 0,
        }
    }

    /// Goes on to a later version.
    pub fn advance(&mut self, configuration: Configuration) {
        let next = Snapshot::new(configuration);
        let step = self.newest.changes(&next);
        self.newest = next;
        self.names += step.names();
        self.steps.push_back(step);
        while self.steps.len() > MOST_STEPS || self.names > MOST_NAMES {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.names -= oldest.names();
        }
    }

    /// Every route of the newest version.
    pub fn rules(&self) -> impl Iterator<Item = &Rule> {
        self.newest.routes.values().map(|route| &route.rule)
    }

    /// Every service of the newest version.
    pub fn services(&self) -> impl Iterator<Item = &Cluster> {
        self.newest.services.values()
    }

    /// What leads from an earlier version to the newest, if that is known and less than the whole.
    #[must_use]
    pub fn since(&self, base: Version) -> Option<Difference> {
        let first = self
            .steps
            .iter()
            .position(|step| step.from.version == base)?;
        let steps = || self.steps.iter().skip(first);
        let routes: BTreeSet<&RouteKey> = steps().flat_map(|step| &step.routes).collect();
        let services: BTreeSet<&String> = steps().flat_map(|step| &step.services).collect();
        let all = self.newest.routes.len() + self.newest.services.len();
        if routes.len() + services.len() > all / 2 {
            return None;
        }
        let mut difference = Difference {
            from: self.steps.get(first)?.from,
            to: self.newest.version_digest(),
            limits: self.newest.limits,
            removed_routes: Vec::new(),
            routes: Vec::new(),
            removed_services: Vec::new(),
            services: Vec::new(),
        };
        for key in routes {
            match self.newest.routes.get(key) {
                Some(route) => difference.routes.push(HostRule {
                    host: key.host.clone(),
                    rule: route.rule.clone(),
                }),
                None => difference.removed_routes.push(key.clone()),
            }
        }
        for name in services {
            match self.newest.services.get(name) {
                Some(cluster) => difference.services.push(cluster.clone()),
                None => difference.removed_services.push(name.clone()),
            }
        }
        Some(difference)
    }
}
