//! The relay's news of proxies: who is joined, and which marks are applied.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use elderpond::interface::{Event, Joined, ProxyId};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, StatusCode};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use crate::counters::Counters;
use crate::http::{CallError, Link, within};
use crate::outage::Outage;
use crate::roster::Names;
use crate::wire::lines::Lines;
use crate::wire::relay::{self, News};

/// A sign of life comes each second: two that are missing are a connection that is dead.
const SILENCE: Duration = Duration::from_millis(2500);
/// The head of the answer comes at once.
const HEAD: Duration = Duration::from_millis(500);
/// Pace of tries to open the news, where the last one did not last for a while: a relay that takes
/// connections and drops them again must not be called without a pause.
const AGAIN: Duration = Duration::from_millis(100);
const LASTED: Duration = Duration::from_secs(1);
/// Bytes of a line at the most; an object of news is short.
const LONGEST_LINE: usize = 64 << 10;

#[derive(Debug, thiserror::Error)]
enum Lost {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("it ended")]
    Ended,
    #[error("it fell silent")]
    Silent,
    #[error("a line is too long")]
    Overlong,
    #[error("the module is gone")]
    Module,
}

/// The actor of the news.
pub struct Newsreader {
    address: SocketAddr,
    names: watch::Receiver<Arc<Names>>,
    /// Proxies are numbered below this.
    proxies: usize,
    /// To the module; never dropped.
    events: mpsc::Sender<Event>,
    counters: Arc<Counters>,
    /// Proxies that the module believes to be joined.
    joined: BTreeSet<ProxyId>,
    outage: Outage,
}

impl Newsreader {
    /// For the relay at `address`, whose proxies are numbered below `proxies`.
    pub fn new(
        address: SocketAddr,
        names: watch::Receiver<Arc<Names>>,
        proxies: usize,
        events: mpsc::Sender<Event>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            address,
            names,
            proxies,
            events,
            counters,
            joined: BTreeSet::new(),
            outage: Outage::none("news"),
        }
    }

    /// Reads the news for as long as the module is there.
    pub async fn run(mut self) {
        loop {
            let begun = Instant::now();
            let lost = match self.read().await {
                Err(Lost::Module) => return,
                Err(lost) => lost,
                Ok(()) => Lost::Ended,
            };
            self.outage.failed(&lost);
            if begun.elapsed() < LASTED {
                sleep(AGAIN).await;
            }
        }
    }

    /// One stream of news, to its end.
    async fn read(&mut self) -> Result<(), Lost> {
        let mut link = Link::open(self.address).await?;
        let answer = link.send(Method::GET, relay::EVENTS, Bytes::new());
        let answer = within(HEAD, answer).await??;
        if answer.status() != StatusCode::OK {
            return Err(Lost::Status(answer.status()));
        }
        self.counters.news_opened.one();
        self.outage.over();
        let outcome = self.follow(answer.into_body()).await;
        self.counters.news_lost.one();
        outcome
    }

    async fn follow(&mut self, mut body: Incoming) -> Result<(), Lost> {
        // Who stands, until the first sign of life: then whoever is not among them has left.
        let mut standing = Some(BTreeSet::new());
        let mut lines = Lines::default();
        loop {
            let frame = within(SILENCE, body.frame()).await;
            let frame = frame.map_err(|_| Lost::Silent)?;
            let Some(frame) = frame else {
                return Ok(());
            };
            let frame = frame.map_err(CallError::from)?;
            let data = frame.data_ref().map_or(&[][..], |data| data);
            lines.bytes().extend_from_slice(data);
            while let Some(line) = lines.next() {
                for event in self.take_in(line, &mut standing) {
                    // Joins and leaves are never dropped: this waits until the module has room.
                    self.events.send(event).await.map_err(|_| Lost::Module)?;
                }
            }
            if lines.begun() > LONGEST_LINE {
                return Err(Lost::Overlong);
            }
        }
    }

    /// The events of one line.
    fn take_in(&mut self, line: &[u8], standing: &mut Option<BTreeSet<ProxyId>>) -> Vec<Event> {
        if line.trim_ascii().is_empty() {
            return Vec::new();
        }
        let in_range = |proxy: &ProxyId| usize::from(*proxy) < self.proxies;
        match relay::news(line) {
            Ok(News::Alive) => {
                let Some(standing) = standing.take() else {
                    return Vec::new();
                };
                let vanished: Vec<ProxyId> = self.joined.difference(&standing).copied().collect();
                self.counters.news_vanished.add(vanished.len() as u64);
                self.joined = standing;
                let left = vanished.into_iter().map(|proxy| Event::Left { proxy });
                left.collect()
            }
            Ok(News::Attach {
                proxy,
                zone,
                rate,
                fresh,
            }) if in_range(&proxy) => {
                let Some(zone) = self.names.borrow().zone(&zone) else {
                    return self.drop_line("a proxy of a zone that is not known");
                };
                self.counters.news_attach.one();
                let mut events = Vec::new();
                // It may have left and joined anew meanwhile: what it was bound to is lost then.
                if !self.joined.insert(proxy) {
                    events.push(Event::Left { proxy });
                }
                if let Some(standing) = standing {
                    standing.insert(proxy);
                }
                events.push(Event::Joined(Joined {
                    proxy,
                    zone,
                    rate,
                    fresh,
                }));
                events
            }
            Ok(News::Detach { proxy }) if in_range(&proxy) => {
                self.counters.news_detach.one();
                if let Some(standing) = standing {
                    standing.remove(&proxy);
                }
                if self.joined.remove(&proxy) {
                    vec![Event::Left { proxy }]
                } else {
                    Vec::new()
                }
            }
            Ok(News::Done { proxy, mark }) if in_range(&proxy) => {
                self.counters.news_done.one();
                vec![Event::Applied { mark, proxy }]
            }
            Ok(News::Attach { .. } | News::Detach { .. } | News::Done { .. }) => {
                self.drop_line("a proxy's number is out of range")
            }
            Ok(News::Unknown) => self.drop_line("an unknown type"),
            Err(fault) => self.drop_line(&fault.to_string()),
        }
    }

    fn drop_line(&self, why: &str) -> Vec<Event> {
        self.counters.news_bad_lines.one();
        log::warn!("news dropped: {why}");
        Vec::new()
    }
}
