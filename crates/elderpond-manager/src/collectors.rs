//! The manager's own address: collectors forward reports, and anybody may ask for a sign of life.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use elderpond::interface::{Event, Heard, LoadField};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::counters::{Count, Counters};
use crate::roster::Names;
use elderpond_wire::Malformed;
use elderpond_wire::collector::{self, HEARTBEAT_OK, LONGEST_LINE, Line, REJECT};
use elderpond_wire::lines::Lines;

/// The part of the descriptors that strangers may hold: those who have not joined as collectors.
const STRANGERS_PART: usize = 4;
/// A stranger is not shed for another sooner than this: its first line may still be on its way.
/// Whoever connects meanwhile waits to be taken, so hundreds a second are seen off.
const GRACE: Duration = Duration::from_millis(100);
/// Who has not joined so long after connecting is turned away. It may happen after 1 s and is owed
/// within 3 s; nothing that is said renews it.
const JOIN: Duration = Duration::from_millis(1500);
/// The longest line before joining; it only has to hold the name of a zone.
const LONGEST_GREETING: usize = 4 << 10;
/// Bytes that follow a rejection are read for so long at the most: a connection that is closed with
/// bytes unread is reset, and the rejection lost.
const LINGER: Duration = Duration::from_millis(300);
/// Collectors of a zone at the most: one that vanished without a sign leaves its connection behind.
/// The longest silent goes first; one that reports is never silent for long. Each may hold a line's
/// length of memory.
const COLLECTORS: usize = 4;
/// Bytes read at a time from a collector.
const CHUNK: usize = 16 << 10;
/// An answer to a sign of life that cannot be written by then will not be read.
const WRITE: Duration = Duration::from_secs(1);
/// After a failure to take a connection (descriptors run out), the next try.
const AGAIN: Duration = Duration::from_millis(50);

/// What all connections share.
pub struct Collectors {
    /// Names and ids.
    pub names: watch::Receiver<Arc<Names>>,
    /// The order of a load report's values.
    pub order: Vec<LoadField>,
    /// Proxies are numbered below this.
    pub proxies: usize,
    /// To the module; reports are dropped if it is full.
    pub reports: mpsc::Sender<Event>,
    /// File descriptors of the process.
    pub sockets: usize,
    /// Counts.
    pub counters: Arc<Counters>,
    /// Open connections, by their number.
    pub connections: Mutex<BTreeMap<u64, Connection>>,
}

/// An open connection.
pub struct Connection {
    /// When a stranger connected, or a collector was last heard of.
    heard: Instant,
    /// The zone that it collects for; none for a stranger.
    zone: Option<u16>,
    task: AbortHandle,
}

/// Why a connection ends.
#[derive(Debug, PartialEq, thiserror::Error)]
enum End {
    #[error("it was closed")]
    Closed,
    #[error("it has not joined in time")]
    Late,
    #[error("its first line is too long")]
    Overlong,
    #[error("it says what only a collector may")]
    Stranger,
    #[error("it names a zone that is not known")]
    Nowhere,
    #[error("what it says cannot be read")]
    Unreadable,
}

impl Collectors {
    /// Takes connections for as long as the program runs.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let strangers = (self.sockets / STRANGERS_PART).max(1);
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(cause) => {
                    self.counters.listener_failed.one();
                    log::warn!("cannot take a connection: {cause}");
                    sleep(AGAIN).await;
                    continue;
                }
            };
            self.counters.listener_connections.one();
            while let Some(young) = self.make_room(None, strangers) {
                sleep(young).await;
            }
            let shared = self.clone();
            // Its task runs at the next await at the earliest: it is entered before that.
            let task = tokio::spawn(async move {
                shared.serve(number, stream).await;
                shared.forget(number);
            });
            let connection = Connection {
                heard: Instant::now(),
                zone: None,
                task: task.abort_handle(),
            };
            let mut open = self.open();
            open.insert(number, connection);
            self.counters.listener_open.set(open.len());
        }
    }

    /// A connection has ended, or is about to.
    fn forget(&self, number: u64) -> Option<Connection> {
        let mut open = self.open();
        let connection = open.remove(&number);
        self.counters.listener_open.set(open.len());
        connection
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sheds the longest silent of the connections of one kind, if there are `most` of them. If
    /// that is a stranger who has only just come, tells how long it may still stay.
    fn make_room(&self, zone: Option<u16>, most: usize) -> Option<Duration> {
        let open = self.open();
        let same = open
            .iter()
            .filter(|(_, connection)| connection.zone == zone);
        if same.clone().count() < most {
            return None;
        }
        let (number, silent) = same.min_by_key(|(_, connection)| connection.heard)?;
        let (number, age) = (*number, silent.heard.elapsed());
        if zone.is_none() && age < GRACE {
            return Some(GRACE - age);
        }
        drop(open);
        self.forget(number)?.task.abort();
        self.counters.listener_shed.one();
        None
    }

    /// Notes that a collector has said something.
    fn heard(&self, number: u64, zone: u16) {
        if let Some(connection) = self.open().get_mut(&number) {
            (connection.heard, connection.zone) = (Instant::now(), Some(zone));
        }
    }

    async fn serve(&self, number: u64, mut stream: TcpStream) {
        let (mut lines, until) = (Lines::default(), Instant::now() + JOIN);
        let greeting = self.greeting(&mut stream, &mut lines);
        let end = match timeout_at(until, greeting).await {
            Ok(Ok(zone)) => {
                self.counters.collector_connections.one();
                self.make_room(Some(zone), COLLECTORS);
                self.heard(number, zone);
                let end = self.collect(&mut stream, &mut lines, number, zone).await;
                if end != End::Closed {
                    self.counters.collector_unreadable.one();
                    log::warn!("a collector's connection is closed: {end}");
                }
                return; // nothing is ever written to a collector
            }
            Ok(Err(end)) => end,
            Err(_) => End::Late,
        };
        if end == End::Closed {
            return;
        }
        self.counters.strangers_rejected.seldom(|count| {
            log::warn!("strangers turned away: {count}, the last one because {end}");
        });
        drop(lines);
        let rejection = async {
            stream.write_all(REJECT).await?;
            stream.shutdown().await?;
            let mut rest = [0; 1024];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<(), std::io::Error>(())
        };
        // However this goes, the connection is closed now.
        let _ = timeout(LINGER, rejection).await;
    }

    /// What is said before a collector joins: signs of life are asked for at most. Returns its zone.
    async fn greeting(&self, stream: &mut TcpStream, lines: &mut Lines) -> Result<u16, End> {
        loop {
            read(stream, lines, LONGEST_GREETING).await?;
            while let Some(line) = lines.next_line() {
                match collector::decode(line, &self.order) {
                    Ok(Line::Heartbeat) => self.give_sign(stream).await?,
                    Ok(Line::Collector { zone }) => {
                        return self.names.borrow().zone(&zone).ok_or(End::Nowhere);
                    }
                    Err(Malformed::NotJson) => return Err(End::Unreadable),
                    Ok(_) | Err(_) => return Err(End::Stranger),
                }
            }
            if lines.begun() > LONGEST_GREETING {
                return Err(End::Overlong);
            }
        }
    }

    /// Takes in what a collector says, to its end.
    async fn collect(
        &self,
        stream: &mut TcpStream,
        lines: &mut Lines,
        number: u64,
        zone: u16,
    ) -> End {
        loop {
            while let Some(line) = lines.next_line() {
                let taken = match self.take_in(line) {
                    Ok(true) => self.give_sign(stream).await,
                    taken => taken.map(|_| ()),
                };
                if let Err(end) = taken {
                    return end;
                }
            }
            if lines.begun() > LONGEST_LINE {
                return End::Unreadable;
            }
            self.heard(number, zone);
            if let Err(end) = read(stream, lines, CHUNK).await {
                return end;
            }
        }
    }

    async fn give_sign(&self, stream: &mut TcpStream) -> Result<(), End> {
        self.counters.listener_heartbeats.one();
        match timeout(WRITE, stream.write_all(HEARTBEAT_OK)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(End::Closed),
        }
    }

    /// Takes in a collector's line; tells whether it wants an answer. One that is spoilt costs
    /// itself and nothing else; what is no JSON shows that the lines after it are lost too.
    fn take_in(&self, line: &[u8]) -> Result<bool, End> {
        if line.trim_ascii().is_empty() {
            return Ok(false);
        }
        let names = self.names.borrow();
        match collector::decode(line, &self.order) {
            Ok(Line::Heartbeat) => return Ok(true),
            Ok(Line::Collector { .. }) => {} // it has said so before
            Ok(Line::Upstream(stats)) => match (names.zone(&stats.zone), names.id(&stats.worker)) {
                (Some(zone), Some(worker)) => {
                    self.counters.collector_upstream.one();
                    self.report(Event::Heard(Heard {
                        zone,
                        worker,
                        tries: stats.tries,
                        failed: stats.failed,
                        took_ms: stats.took_ms,
                        covers_ms: stats.covers_ms,
                        load: stats.load,
                    }));
                }
                _ => self.drop_line(&self.counters.collector_unlisted, &"no such zone or worker"),
            },
            Ok(Line::Client(stats)) => match names.class(&stats.class) {
                Some(class) if usize::from(stats.proxy) < self.proxies => {
                    self.counters.collector_client.one();
                    self.report(Event::Demand {
                        source: stats.proxy,
                        class,
                        came: stats.came,
                        unanswered: stats.unanswered,
                        covers_ms: stats.covers_ms,
                    });
                }
                _ => self.drop_line(&self.counters.collector_unlisted, &"no such proxy or class"),
            },
            Ok(Line::Unknown) => {
                self.drop_line(&self.counters.collector_unknown, &"an unknown type")
            }
            Err(Malformed::NotJson) => return Err(End::Unreadable),
            Err(fault) => self.drop_line(&self.counters.collector_spoilt, &fault),
        }
        Ok(false)
    }

    fn drop_line(&self, kind: &Count, why: &dyn Display) {
        kind.seldom(|count| log::warn!("line dropped, {count} of this kind: {why}"));
    }

    /// Reports are what is dropped when the module falls behind: the next ones tell more.
    fn report(&self, event: Event) {
        if self.reports.try_send(event).is_err() {
            self.counters.reports_dropped.one();
        }
    }
}

/// Reads what there is, with room for `room` bytes more.
async fn read(stream: &mut TcpStream, lines: &mut Lines, room: usize) -> Result<(), End> {
    lines.bytes().reserve(room);
    match stream.read_buf(lines.bytes()).await {
        Ok(1..) => Ok(()),
        _ => Err(End::Closed),
    }
}
