//! The walk, again and again: a source's words, for the merge.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use elderpond_sources::{Service, Word, listed};
use hickory_proto::rr::{Name, Record};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::ask::{Counts, Limits, ask};
use crate::cache::{Cache, Lifetimes};
use crate::found::{Failure, Found};
use crate::message::Question;
use crate::servers::Servers;
use crate::transport::Transport;
use crate::walk::{Outcome, Walk};

/// Sets that the cache keeps: both families of this many targets, and some.
const SETS_A_RECORD: usize = 4;

/// An answer that lacks somebody who was known so lately is doubted.
const DOUBT_MS: f64 = 600_000.0;

/// What a source of service records is.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The service name, as in `_lab._tcp.example.org`.
    pub name: Name,
    /// Its servers.
    pub servers: Vec<SocketAddr>,
    /// Bounds of lifetimes.
    pub lifetimes: Lifetimes,
    /// How long an answer is waited for.
    pub wait: Duration,
    /// After this a second server is asked as well.
    pub hedge: Duration,
    /// Queries under way at the most.
    pub queries: usize,
    /// Service records at the most.
    pub records: usize,
    /// Weight of a record that stands for a listed weight of 1.
    pub weight_unit: f64,
    /// Zone of its workers.
    pub zone: Arc<str>,
}

/// A source of service records under way.
pub struct Watch<T: Transport> {
    settings: Arc<Settings>,
    transport: Arc<T>,
    counts: Arc<Counts>,
    servers: Servers,
    cache: Cache,
    /// Whoever an answer had of late: one that lacks some is doubted, and every server is asked.
    known: BTreeMap<SocketAddr, f64>,
    begun: Instant,
}

type Answered = (Question, usize, Result<(Found, Vec<Record>), Failure>);

impl<T: Transport> Watch<T> {
    /// A watch that has asked nobody yet.
    pub fn new(settings: Settings, transport: Arc<T>) -> Self {
        let cache = Cache::new(
            settings.lifetimes,
            settings.records.saturating_mul(SETS_A_RECORD),
        );
        Self {
            servers: Servers::new(settings.servers.len()),
            settings: Arc::new(settings),
            transport,
            counts: Arc::default(),
            cache,
            known: BTreeMap::new(),
            begun: Instant::now(),
        }
    }

    /// What it counts.
    pub fn counts(&self) -> Arc<Counts> {
        self.counts.clone()
    }

    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// Says what it finds until nobody hears it. Refreshes go ahead of the end of the lifetime, by a
    /// part that chance spreads; a failing name service is asked no sooner than its servers' rest.
    pub async fn run(mut self, words: mpsc::Sender<Word>) {
        loop {
            let (said, lifetime_ms) = self.round().await;
            for word in said {
                if words.send(word).await.is_err() {
                    return;
                }
            }
            let ahead = 0.75 + 0.15 * rand::random::<f64>();
            let rest = self.servers.awake_at() - self.now();
            let pause = (lifetime_ms * ahead).max(rest);
            let pause = Duration::from_secs_f64(pause.clamp(10.0, 3_600_000.0) / 1000.0);
            tokio::select! {
                () = sleep(pause) => {}
                () = words.closed() => return,
            }
        }
    }

    /// One refresh: words for the merge, and how long they hold. Whoever an answer lacks is asked for
    /// at every other server too.
    pub async fn round(&mut self) -> (Vec<Word>, f64) {
        let now = self.now();
        let mut order: VecDeque<usize> = self.servers.order(now).into();
        let floor_ms = self.settings.lifetimes.floor_ms;
        let (mut said, mut holds_ms, mut asked) = (Vec::new(), f64::INFINITY, BTreeSet::new());
        let mut doubt = false;
        while let Some(first) = order.pop_front() {
            if !asked.insert(first) {
                continue;
            }
            let second = order.front().copied().filter(|_| !doubt);
            let (server, outcome) = self.walk(first, second).await;
            asked.insert(server);
            let word = match outcome {
                Outcome::Failed(failure) => {
                    log::debug!("dns: {}: {failure}", self.settings.name);
                    continue;
                }
                Outcome::Nothing { lifetime_ms } => {
                    self.word(server, Vec::new(), lifetime_ms, true)
                }
                Outcome::Services {
                    services,
                    lifetime_ms,
                    whole,
                } => self.word(server, services, lifetime_ms, whole),
            };
            let (word, lacks) = word;
            if let Word::Answer { lifetime_ms, .. } = &word {
                holds_ms = holds_ms.min(*lifetime_ms);
            }
            said.push(word);
            doubt |= lacks;
            if !doubt {
                break;
            }
        }
        if said.is_empty() {
            return (vec![Word::Failed], floor_ms);
        }
        (said, holds_ms)
    }

    /// The word for an answer, and whether it lacks somebody who was known.
    fn word(
        &mut self,
        server: usize,
        services: Vec<Service>,
        lifetime_ms: f64,
        whole: bool,
    ) -> (Word, bool) {
        let now = self.now();
        let settings = &self.settings;
        let members = listed(&services, settings.weight_unit, &settings.zone);
        let present: BTreeSet<SocketAddr> =
            members.iter().filter_map(|member| member.address).collect();
        self.known
            .extend(present.iter().map(|address| (*address, now)));
        self.known.retain(|_, seen| now - *seen <= DOUBT_MS);
        let lacks = whole && self.known.len() > present.len();
        let lifetime_ms = settings.lifetimes.bound(lifetime_ms);
        let server = server as u16;
        (
            Word::Answer {
                server,
                members,
                lifetime_ms,
                whole,
            },
            lacks,
        )
    }

    /// One walk, its service records from one server, or from a second one if that is slow. Who gave
    /// them, and what it comes to.
    async fn walk(&mut self, first: usize, second: Option<usize>) -> (usize, Outcome) {
        let mut walk = Walk::new(&self.settings.name, self.settings.records);
        let mut under: JoinSet<Answered> = JoinSet::new();
        let mut gave = first;
        loop {
            while under.len() < self.settings.queries.max(1) {
                let now = self.now();
                let Some(question) = walk.next(now, &self.cache) else {
                    break;
                };
                let (plain, other) = (
                    self.servers.edns(first),
                    second.map(|s| (s, self.servers.edns(s))),
                );
                let (settings, transport) = (self.settings.clone(), self.transport.clone());
                let counts = self.counts.clone();
                under.spawn(async move {
                    hedged(
                        &*transport,
                        &settings,
                        (first, plain),
                        other,
                        question,
                        &counts,
                    )
                    .await
                });
            }
            let Some(answered) = under.join_next().await else {
                let outcome = walk.outcome().unwrap_or(Outcome::Failed(Failure::Silent));
                return (gave, outcome);
            };
            let Ok((question, server, answer)) = answered else {
                continue;
            };
            let now = self.now();
            match &answer {
                Ok(_) => self.servers.answered(server),
                Err(failure) => drop(self.servers.failed(now, server, *failure)),
            }
            if question.kind == hickory_proto::rr::RecordType::SRV {
                gave = server;
            }
            walk.answered(now, &question, answer, &mut self.cache);
        }
    }
}

/// Asks a server, and a second one too if the first is slow; the first good answer counts. One that
/// cannot read the query is asked once more without EDNS.
async fn hedged<T: Transport>(
    transport: &T,
    settings: &Settings,
    (first, edns): (usize, bool),
    second: Option<(usize, bool)>,
    question: Question,
    counts: &Counts,
) -> Answered {
    let limits = Limits {
        wait: settings.wait,
        least_ms: settings.lifetimes.floor_ms,
    };
    let one = |server: usize, edns: bool| {
        let (question, limits) = (&question, &limits);
        async move {
            let address = settings.servers[server];
            let answer = ask(transport, address, (question, edns), limits, counts).await;
            match answer {
                Err(Failure::Unread) if edns => {
                    ask(transport, address, (question, false), limits, counts).await
                }
                answer => answer,
            }
        }
    };
    let asked = one(first, edns);
    tokio::pin!(asked);
    let early = timeout(settings.hedge, &mut asked).await;
    if let Ok(answer @ Ok(_)) = early {
        return (question.clone(), first, answer);
    }
    let Some((other, edns)) = second else {
        let answer = match early {
            Ok(answer) => answer,
            Err(_) => asked.await,
        };
        return (question.clone(), first, answer);
    };
    counts.hedged.fetch_add(1, Ordering::Relaxed);
    if early.is_ok() {
        return (question.clone(), other, one(other, edns).await);
    }
    let hedge = one(other, edns);
    tokio::pin!(hedge);
    let (server, answer) = tokio::select! {
        answer = &mut asked => match answer {
            Ok(answer) => (first, Ok(answer)),
            Err(_) => (other, hedge.await),
        },
        answer = &mut hedge => match answer {
            Ok(answer) => (other, Ok(answer)),
            Err(_) => (first, asked.await),
        },
    };
    (question.clone(), server, answer)
}
