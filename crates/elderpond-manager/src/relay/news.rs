//! The relay's news of proxies: who is joined, and which marks are applied.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use elderpond::interface::{Event, Joined, ProxyId, ZoneId};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, StatusCode};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

use crate::counters::Counters;
use crate::http::{CallError, Link, MOMENT, end_of, within};
use crate::outage::Outage;
use crate::roster::Names;
use elderpond_wire::lines::Lines;
use elderpond_wire::relay::{self, News};

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

/// A stream of news.
struct Stream {
    /// Held for as long as the news is followed.
    _link: Link,
    body: Incoming,
    lines: Lines,
    /// When it last said something.
    heard: Instant,
}

/// A try to open a stream, after a pause.
type Opening = Pin<Box<dyn Future<Output = Result<Stream, Lost>> + Send>>;

impl Stream {
    fn open(address: SocketAddr, pause: Duration) -> Opening {
        Box::pin(async move {
            sleep(pause).await;
            let mut link = Link::open(address).await?;
            let answer = link.send(Method::GET, relay::EVENTS, Bytes::new());
            let answer = within(HEAD, answer).await??;
            if answer.status() != StatusCode::OK {
                return Err(Lost::Status(answer.status()));
            }
            Ok(Self {
                _link: link,
                body: answer.into_body(),
                lines: Lines::default(),
                heard: Instant::now(),
            })
        })
    }

    /// Waits for further bytes. Nothing is lost if it is not waited for to the end.
    async fn read(&mut self) -> Result<(), Lost> {
        let left = SILENCE.saturating_sub(self.heard.elapsed());
        let frame = within(left, self.body.frame()).await;
        let frame = frame.map_err(|_| Lost::Silent)?.ok_or(Lost::Ended)?;
        let frame = frame.map_err(CallError::from)?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        self.lines.bytes().extend_from_slice(data);
        self.heard = Instant::now();
        Ok(())
    }
}

/// The actor of the news.
pub struct Newsreader {
    /// Where the relay answers. It may move.
    address: watch::Receiver<SocketAddr>,
    names: watch::Receiver<Arc<Names>>,
    /// Proxies are numbered below this.
    proxies: usize,
    /// To the module; never dropped.
    events: mpsc::Sender<Event>,
    counters: Arc<Counters>,
    /// Proxies that the module believes to be joined, and their zones.
    joined: BTreeMap<ProxyId, ZoneId>,
    /// Those of them that the stream has yet to name: a new one opens with all that are joined, and
    /// whoever it has not named by its first sign of life has left. Whether each can be trusted to
    /// be as it was left: streams have told of it without a gap.
    unseen: BTreeMap<ProxyId, bool>,
    outage: Outage,
}

impl Newsreader {
    /// For the relay at `address`, whose proxies are numbered below `proxies`.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
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
            joined: BTreeMap::new(),
            unseen: BTreeMap::new(),
            outage: Outage::none("news"),
        }
    }

    /// Reads the news for as long as the module is there. Where the relay moves, the old stream is
    /// followed until the new one is open.
    pub async fn run(mut self) {
        let address = *self.address.borrow_and_update();
        let mut opening = Some(Stream::open(address, Duration::ZERO));
        let (mut stream, mut opened_at) = (None::<Stream>, Instant::now());
        loop {
            let lost = tokio::select! {
                Ok(()) = self.address.changed() => {
                    let address = *self.address.borrow_and_update();
                    opening = Some(Stream::open(address, Duration::ZERO));
                    continue;
                }
                opened = end_of(&mut opening) => {
                    opening = None;
                    match opened {
                        Ok(opened) => {
                            if self.take_over(stream.take()).await.is_err() {
                                return;
                            }
                            (stream, opened_at) = (Some(opened), Instant::now());
                            continue;
                        }
                        Err(lost) => lost,
                    }
                }
                read = read(&mut stream) => match self.follow(read).await {
                    Ok(()) => continue,
                    Err(Lost::Module) => return,
                    Err(lost) => {
                        stream = None;
                        self.counters.news_lost.one();
                        lost
                    }
                },
            };
            let failures = self.outage.failed(&lost);
            // One that is being opened already, where the relay has moved to, goes on.
            if opening.is_none() {
                let lasted = opened_at.elapsed() >= LASTED;
                let pause = match failures {
                    1 if lasted => Duration::ZERO,
                    _ => AGAIN,
                };
                opening = Some(Stream::open(*self.address.borrow(), pause));
            }
        }
    }

    /// A new stream is open. What the old one had told by then is read still: with that, nobody can
    /// have left and come back unheard.
    async fn take_over(&mut self, mut old: Option<Stream>) -> Result<(), Lost> {
        let mut unbroken = old.is_some();
        let until = Instant::now() + MOMENT;
        while unbroken && let Ok(read) = timeout_at(until, read(&mut old)).await {
            match self.follow(read).await {
                Ok(()) => {}
                Err(Lost::Module) => return Err(Lost::Module),
                // All that it told is read; otherwise something may be lost.
                Err(Lost::Ended) => break,
                Err(_) => unbroken = false,
            }
        }
        self.counters.news_opened.one();
        self.counters.news_moved.add(u64::from(unbroken));
        self.outage.over();
        let before = std::mem::take(&mut self.unseen);
        let trusted = |proxy| unbroken && before.get(proxy) != Some(&false);
        let unseen = self.joined.keys().map(|proxy| (*proxy, trusted(proxy)));
        self.unseen = unseen.collect();
        Ok(())
    }

    /// Takes in what was read of a stream.
    async fn follow(&mut self, read: Result<&mut Stream, Lost>) -> Result<(), Lost> {
        let stream = read?;
        while let Some(line) = stream.lines.next_line() {
            for event in self.take_in(line) {
                // Joins and leaves are never dropped: this waits until the module has room.
                self.events.send(event).await.map_err(|_| Lost::Module)?;
            }
        }
        self.counters.news_joined.set(self.joined.len());
        if stream.lines.begun() > LONGEST_LINE {
            return Err(Lost::Overlong);
        }
        Ok(())
    }

    /// The events of one line.
    fn take_in(&mut self, line: &[u8]) -> Vec<Event> {
        if line.trim_ascii().is_empty() {
            return Vec::new();
        }
        let in_range = |proxy: &ProxyId| usize::from(*proxy) < self.proxies;
        match relay::news(line) {
            Ok(News::Alive) => {
                let vanished = std::mem::take(&mut self.unseen).into_keys();
                let left = vanished.map(|proxy| {
                    self.joined.remove(&proxy);
                    Event::Left { proxy }
                });
                let left: Vec<Event> = left.collect();
                self.counters.news_vanished.add(left.len() as u64);
                left
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
                let known = self.joined.insert(proxy, zone);
                let trusted = self.unseen.remove(&proxy) == Some(true);
                if trusted && !fresh && known == Some(zone) {
                    // It holds what was ordered: to bind it again would only fill the channel.
                    self.counters.news_kept.one();
                    return Vec::new();
                }
                // It may have left and joined anew meanwhile: what it was bound to is lost then.
                let left = known.map(|_| Event::Left { proxy });
                let joined = Event::Joined(Joined {
                    proxy,
                    zone,
                    rate,
                    fresh,
                });
                left.into_iter().chain([joined]).collect()
            }
            Ok(News::Detach { proxy }) if in_range(&proxy) => {
                self.counters.news_detach.one();
                self.unseen.remove(&proxy);
                let left = self.joined.remove(&proxy);
                left.map(|_| Event::Left { proxy }).into_iter().collect()
            }
            Ok(News::Done { proxy, mark, .. }) if in_range(&proxy) => {
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

/// Waits for further bytes of a stream, if there is one, and returns it with them.
async fn read(stream: &mut Option<Stream>) -> Result<&mut Stream, Lost> {
    match stream {
        Some(stream) => stream.read().await.map(|()| stream),
        None => pending().await,
    }
}
