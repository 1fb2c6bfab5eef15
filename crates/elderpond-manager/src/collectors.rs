//! The manager's own address: collectors forward reports, and anybody may ask for a sign of life.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use elderpond::interface::{Event, Heard, LoadField};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::counters::Counters;
use crate::roster::Names;
use crate::wire::collector::{self, HEARTBEAT_OK, LONGEST_LINE, Line};
use crate::wire::lines::Lines;

/// Strangers at a time at the most, and the part of the descriptors that they may hold: each may
/// also hold a line's length of memory. The longest silent goes first.
const STRANGERS: usize = 48;
const STRANGERS_PART: usize = 8;
/// Collectors of a zone at the most: one that vanished without a sign leaves its connection behind.
/// The longest silent goes first; one that reports is never silent for long.
const COLLECTORS: usize = 8;
/// A stranger that completes no line for so long is shed.
const IDLE: Duration = Duration::from_secs(30);
/// Bytes read at a time.
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
    /// When it was last heard of.
    heard: Instant,
    /// The zone that it collects for; none for a stranger.
    zone: Option<u16>,
    task: AbortHandle,
}

impl Collectors {
    /// Takes connections for as long as the program runs.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
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
            let strangers = STRANGERS.min(self.sockets / STRANGERS_PART).max(1);
            self.make_room(None, strangers);
            let shared = self.clone();
            // Its task runs at the next await at the earliest: it is entered before that.
            let task = tokio::spawn(async move {
                shared.serve(number, stream).await;
                shared.open().remove(&number);
            });
            let connection = Connection {
                heard: Instant::now(),
                zone: None,
                task: task.abort_handle(),
            };
            self.open().insert(number, connection);
        }
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sheds the longest silent of the connections of one kind, if there are `most` of them.
    fn make_room(&self, zone: Option<u16>, most: usize) {
        let mut open = self.open();
        let same = open
            .iter()
            .filter(|(_, connection)| connection.zone == zone);
        let same: Vec<(Instant, u64)> =
            same.map(|(number, other)| (other.heard, *number)).collect();
        if same.len() < most {
            return;
        }
        let silent = same
            .iter()
            .min()
            .and_then(|(_, number)| open.remove(number));
        if let Some(connection) = silent {
            connection.task.abort();
            self.counters.listener_shed.one();
        }
    }

    /// Notes that a connection has said something; from then on it may be a collector's.
    fn heard(&self, number: u64, zone: Option<u16>) {
        if let Some(connection) = self.open().get_mut(&number) {
            connection.heard = Instant::now();
            connection.zone = connection.zone.or(zone);
        }
    }

    async fn serve(&self, number: u64, mut stream: TcpStream) {
        let mut lines = Lines::default();
        let mut collector = false;
        let mut line_at = Instant::now();
        loop {
            lines.bytes().reserve(CHUNK);
            let read = stream.read_buf(lines.bytes());
            let read = if collector {
                read.await
            } else {
                let left = IDLE.saturating_sub(line_at.elapsed());
                match timeout(left, read).await {
                    Ok(read) => read,
                    Err(_) => {
                        self.counters.listener_shed.one();
                        return;
                    }
                }
            };
            if !matches!(read, Ok(1..)) {
                return;
            }
            let mut said = false;
            while let Some(line) = lines.next() {
                let answer = self.take_in(line, number, &mut collector);
                (said, line_at) = (true, Instant::now());
                if answer {
                    self.counters.listener_heartbeats.one();
                    let written = timeout(WRITE, stream.write_all(HEARTBEAT_OK)).await;
                    if !matches!(written, Ok(Ok(()))) {
                        return;
                    }
                }
            }
            if said {
                self.heard(number, None);
            }
            if lines.begun() > LONGEST_LINE {
                self.counters.collector_overlong.one();
                log::warn!("a line is over {LONGEST_LINE} bytes: connection dropped");
                return;
            }
        }
    }

    /// Takes in a line; tells whether it wants an answer.
    fn take_in(&self, line: &[u8], number: u64, collector: &mut bool) -> bool {
        if line.trim_ascii().is_empty() {
            return false;
        }
        let names = self.names.borrow();
        match collector::decode(line, &self.order) {
            Ok(Line::Heartbeat) => return true,
            Ok(Line::Collector { zone }) => {
                let Some(zone) = names.zone(&zone) else {
                    self.drop_line("a collector of a zone that is not known");
                    return false;
                };
                if !std::mem::replace(collector, true) {
                    self.counters.collector_connections.one();
                    self.make_room(Some(zone), COLLECTORS);
                    self.heard(number, Some(zone));
                }
            }
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
                _ => self.drop_line("a report of a zone or worker that is not known"),
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
                _ => self.drop_line("a report of a proxy or class that is not known"),
            },
            Ok(Line::Unknown) => self.counters.collector_unknown.one(),
            Err(fault) => self.drop_line(&fault.to_string()),
        }
        false
    }

    fn drop_line(&self, why: &str) {
        self.counters.collector_bad_lines.one();
        log::warn!("line dropped: {why}");
    }

    /// Reports are what is dropped when the module falls behind: the next ones tell more.
    fn report(&self, event: Event) {
        if self.reports.try_send(event).is_err() {
            self.counters.reports_dropped.one();
        }
    }
}
