//! The walk from a service name to addresses, one question at a time; no socket, no clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};

use elderpond_sources::Service;
use hickory_proto::rr::{Name, RData, Record, RecordType};

use crate::cache::Cache;
use crate::found::{ALIASES, Failure, Found};
use crate::message::Question;

/// What a walk comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Service records with addresses.
    Services {
        /// One for each address of each target.
        services: Vec<Service>,
        /// The least lifetime of all that was relied on, in milliseconds.
        lifetime_ms: f64,
        /// Whether every target's addresses were found, and no bound cut the records off: whoever is
        /// not in it is then truly not listed.
        whole: bool,
    },
    /// The name, or records of it, do not exist.
    Nothing {
        /// How long that holds, in milliseconds.
        lifetime_ms: f64,
    },
    /// No service records were to be had.
    Failed(Failure),
}

struct Target {
    priority: u16,
    weight: u16,
    port: u16,
    name: Name,
}

/// A walk under way.
pub struct Walk {
    service: Question,
    targets: Vec<Target>,
    addresses: BTreeMap<Name, BTreeSet<IpAddr>>,
    /// Questions not asked yet, with the target that each is for and its aliases so far.
    waiting: VecDeque<(Question, Name, usize)>,
    out: Vec<(Question, Name, usize)>,
    lifetime_ms: f64,
    most: usize,
    whole: bool,
    ended: Option<Outcome>,
}

impl Walk {
    /// A walk from a service name; more than `most` records are cut off.
    pub fn new(name: &Name, most: usize) -> Self {
        let service = Question::new(name, RecordType::SRV);
        let waiting = VecDeque::from([(service.clone(), service.name.clone(), 0)]);
        Self {
            service,
            targets: Vec::new(),
            addresses: BTreeMap::new(),
            waiting,
            out: Vec::new(),
            lifetime_ms: f64::INFINITY,
            most,
            whole: true,
            ended: None,
        }
    }

    /// The next question to ask; what the cache relies on still is not asked, but for the service
    /// records themselves, which are what is refreshed.
    pub fn next(&mut self, now: f64, cache: &Cache) -> Option<Question> {
        while let Some((question, target, aliases)) = self.waiting.pop_front() {
            let kept = cache
                .get(now, &question)
                .filter(|_| question.kind != RecordType::SRV);
            let kept = kept.map(|(found, left)| (found.clone(), left));
            self.out.push((question.clone(), target, aliases));
            match kept {
                Some((found, left)) => {
                    let denied = matches!(found, Found::Nothing { .. });
                    self.lifetime_ms = if denied {
                        self.lifetime_ms
                    } else {
                        self.lifetime_ms.min(left)
                    };
                    self.takes(&question, Ok(found));
                }
                None => return Some(question),
            }
        }
        None
    }

    /// Takes in what came of a question. Addresses that cannot be had are taken from the cache, past
    /// their end within its bound. `more` is the additional section: addresses of the targets there
    /// are relied on where they lie in the bailiwick of the service name.
    pub fn answered(
        &mut self,
        now: f64,
        question: &Question,
        answer: Result<(Found, Vec<Record>), Failure>,
        cache: &mut Cache,
    ) {
        match answer {
            Ok((found, more)) => {
                cache.put(now, question.clone(), found.clone());
                if question.kind == RecordType::SRV {
                    self.keep_additional(now, &more, cache);
                }
                self.lives(question, &found);
                self.takes(question, Ok(found));
            }
            Err(failure) => {
                let stale = cache.stale(now, question).cloned();
                let stale = stale.filter(|_| question.kind != RecordType::SRV);
                self.takes(question, stale.ok_or(failure));
            }
        }
    }

    /// The least lifetime counts. That a target has no addresses of one family does not: those of the
    /// other are what is relied on.
    fn lives(&mut self, question: &Question, found: &Found) {
        let lifetime_ms = match found {
            Found::Records(_, ms) | Found::Alias(_, ms) => *ms,
            Found::Nothing { lifetime_ms, .. } if question.kind == RecordType::SRV => *lifetime_ms,
            Found::Nothing { .. } => return,
        };
        self.lifetime_ms = self.lifetime_ms.min(lifetime_ms);
    }

    fn keep_additional(&mut self, now: f64, more: &[Record], cache: &mut Cache) {
        let base = self.service.name.base_name().base_name();
        let mut sets: BTreeMap<Question, (Vec<RData>, f64)> = BTreeMap::new();
        for record in more.iter().filter(|record| base.zone_of(&record.name)) {
            let kind = record.record_type();
            if matches!(kind, RecordType::A | RecordType::AAAA) {
                let set = sets.entry(Question::new(&record.name, kind));
                let (data, ttl_ms) = set.or_insert((Vec::new(), f64::INFINITY));
                data.push(record.data.clone());
                *ttl_ms = ttl_ms.min(f64::from(record.ttl) * 1000.0);
            }
        }
        for (question, (data, ttl_ms)) in sets {
            cache.put(now, question, Found::Records(data, ttl_ms));
        }
    }

    fn takes(&mut self, question: &Question, found: Result<Found, Failure>) {
        let place = self.out.iter().position(|(asked, ..)| asked == question);
        let Some(place) = place else {
            return;
        };
        let (_, target, aliases) = self.out.swap_remove(place);
        let service = question.kind == RecordType::SRV;
        match found {
            Ok(Found::Alias(next, _)) if aliases < ALIASES => {
                let next = Question::new(&next, question.kind);
                self.waiting.push_back((next, target, aliases + 1));
            }
            Ok(Found::Alias(..)) if service => self.ended = Some(Outcome::Failed(Failure::Loop)),
            Ok(Found::Alias(..)) => self.whole = false,
            Ok(Found::Records(data, _)) if service => self.take_services(&data),
            Ok(Found::Records(data, _)) => {
                let addresses = self.addresses.entry(target).or_default();
                addresses.extend(data.iter().filter_map(|data| match data {
                    RData::A(address) => Some(IpAddr::V4(address.0)),
                    RData::AAAA(address) => Some(IpAddr::V6(address.0)),
                    _ => None,
                }));
            }
            Ok(Found::Nothing { lifetime_ms, .. }) if service => {
                self.ended = Some(Outcome::Nothing { lifetime_ms });
            }
            // A target without addresses of one family may have those of the other.
            Ok(Found::Nothing { .. }) => {}
            Err(failure) if service => self.ended = Some(Outcome::Failed(failure)),
            Err(_) => self.whole = false,
        }
    }

    fn take_services(&mut self, data: &[RData]) {
        let mut seen = BTreeSet::new();
        for record in data {
            let RData::SRV(record) = record else {
                continue;
            };
            // "." says that the service is not to be had (RFC 2782).
            if record.target.is_root() {
                continue;
            }
            if self.targets.len() >= self.most {
                self.whole = false;
                break;
            }
            let name = record.target.to_lowercase();
            if seen.insert(name.clone()) {
                for kind in [RecordType::A, RecordType::AAAA] {
                    self.waiting
                        .push_back((Question::new(&name, kind), name.clone(), 0));
                }
            }
            let (priority, weight, port) = (record.priority, record.weight, record.port);
            self.targets.push(Target {
                priority,
                weight,
                port,
                name,
            });
        }
        if self.targets.is_empty() {
            let lifetime_ms = self.lifetime_ms;
            self.ended = Some(Outcome::Nothing { lifetime_ms });
        }
    }

    /// What it comes to, once every question is answered.
    pub fn outcome(&self) -> Option<Outcome> {
        if self.ended.is_some() {
            return self.ended.clone();
        }
        if !(self.waiting.is_empty() && self.out.is_empty()) {
            return None;
        }
        let mut services = Vec::new();
        let mut whole = self.whole;
        for target in &self.targets {
            let addresses = self.addresses.get(&target.name);
            // Nobody can be sent to a target without an address; that it is gone is not said either.
            whole &= addresses.is_some_and(|addresses| !addresses.is_empty());
            services.extend(addresses.into_iter().flatten().map(|address| Service {
                priority: target.priority,
                weight: target.weight,
                target: target.name.to_ascii().into(),
                address: SocketAddr::new(*address, target.port),
            }));
        }
        Some(Outcome::Services {
            services,
            lifetime_ms: self.lifetime_ms,
            whole,
        })
    }
}
