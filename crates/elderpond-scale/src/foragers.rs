//! Hollow foragers: each a connection that speaks the control wire as a forager does, and carries nothing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ahash::RandomState;
use anyhow::{Context, bail};
use bytes::{Buf, BytesMut};
use elderpond_control_wire::{
    Frames, FromForager, FromHive, Hello, LARGEST, Line, Link, encode, unpack,
};
use elderpond_registry::Number;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::seen::Seen;

/// Between two reports.
const REPORT: Duration = Duration::from_secs(1);
/// A hive that says nothing for this long is left.
const SILENCE: Duration = Duration::from_millis(1100);
/// Messages that are remembered by their digest: what a hive says, it says to all.
const REMEMBERED: usize = 512;

/// What the foragers are to be.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many.
    pub count: usize,
    /// The inner addresses of the hives.
    pub hives: Vec<SocketAddrV4>,
    /// Where their connections come from.
    pub from: Ipv4Addr,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Workers that each tells of in a report.
    pub lines: usize,
    /// Workers that there are, by number.
    pub workers: Vec<Number>,
    /// Joins a second at the start.
    pub pace: usize,
}

/// What is asked of them.
#[derive(Debug)]
pub enum Ask {
    /// So many forget all and join anew, spread over that time.
    Restart(usize, Duration),
}

/// Asks the foragers' thread; dropped, all of them end.
#[derive(Debug)]
pub struct Foragers {
    asks: mpsc::Sender<Ask>,
    _ends: oneshot::Sender<()>,
}

impl Foragers {
    /// Starts them on a thread of their own.
    pub fn start(plan: Plan, seen: Arc<Seen>) -> anyhow::Result<Self> {
        let (asks, asked) = mpsc::channel(4);
        let (ends, ended) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let run = move || {
            LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    () = all(plan, seen, asked) => {}
                    _ = ended => {}
                }
            });
        };
        std::thread::Builder::new()
            .name("foragers".into())
            .spawn(run)?;
        Ok(Self { asks, _ends: ends })
    }

    /// Asks for something.
    pub async fn ask(&self, ask: Ask) -> anyhow::Result<()> {
        self.asks.send(ask).await.context("the foragers have ended")
    }
}

async fn all(plan: Plan, seen: Arc<Seen>, mut asked: mpsc::Receiver<Ask>) {
    let plan = Rc::new(plan);
    let known = Rc::new(Known::default());
    let bells: Vec<Rc<Notify>> = (0..plan.count).map(|_| Rc::default()).collect();
    for (at, bell) in bells.iter().enumerate() {
        let one = Forager {
            at,
            plan: plan.clone(),
            known: known.clone(),
            seen: seen.clone(),
            bell: bell.clone(),
        };
        let wait = Duration::from_secs_f64(at as f64 / plan.pace.max(1) as f64);
        spawn_local(one.run(wait));
    }
    while let Some(Ask::Restart(count, over)) = asked.recv().await {
        let gap = over / count.max(1) as u32;
        for _ in 0..count {
            bells[fastrand::usize(..bells.len())].notify_one();
            sleep(gap).await;
        }
    }
}

/// What a message is, by the digest of its frame.
#[derive(Clone, Copy)]
enum Kind {
    Version(u64),
    Table,
    Change,
    Pulse,
}

#[derive(Default)]
struct Known {
    kinds: RefCell<HashMap<u64, Kind, RandomState>>,
    digests: RandomState,
}

impl Known {
    fn of(&self, frame: &[u8], seen: &Seen) -> anyhow::Result<Kind> {
        let digest = self.digests.hash_one(frame);
        if let Some(kind) = self.kinds.borrow().get(&digest) {
            return Ok(*kind);
        }
        let mut frames = Frames::default();
        frames.buffer.extend_from_slice(frame);
        let message = frames.read::<FromHive>()?.context("a part of a frame")?;
        let kind = match unpack(message)? {
            FromHive::Version { version, .. } => Kind::Version(version),
            FromHive::Whole { table, .. } => {
                seen.table(table.lines.len(), frame.len());
                Kind::Table
            }
            FromHive::Change(_) => Kind::Change,
            FromHive::Pulse(_) => Kind::Pulse,
            FromHive::Packed(_) => bail!("packed twice"),
            FromHive::VersionPart(_) | FromHive::Heartbeat(_) | FromHive::Refused { .. } => {
                bail!("a message of a later wire")
            }
        };
        let mut kinds = self.kinds.borrow_mut();
        if kinds.len() >= REMEMBERED {
            kinds.clear();
        }
        kinds.insert(digest, kind);
        Ok(kind)
    }
}

struct Forager {
    at: usize,
    plan: Rc<Plan>,
    known: Rc<Known>,
    seen: Arc<Seen>,
    bell: Rc<Notify>,
}

impl Forager {
    async fn run(self, wait: Duration) {
        sleep(wait).await;
        let mut version = 0;
        let mut hive = self.at;
        loop {
            let to = self.plan.hives[hive % self.plan.hives.len()];
            let dialled = timeout(Duration::from_millis(400), self.dial(to)).await;
            if let Ok(Ok(stream)) = dialled {
                self.seen.linked.fetch_add(1, Ordering::Relaxed);
                let told = tokio::select! {
                    _ = self.stay(stream, &mut version) => false,
                    () = self.bell.notified() => true,
                };
                self.seen.linked.fetch_sub(1, Ordering::Relaxed);
                if told {
                    version = 0; // a new process knows nothing
                    continue;
                }
                self.seen.lost.fetch_add(1, Ordering::Relaxed);
            }
            hive = fastrand::usize(..self.plan.hives.len());
            sleep(Duration::from_millis(fastrand::u64(10..200))).await;
        }
    }

    async fn dial(&self, to: SocketAddrV4) -> anyhow::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((self.plan.from, 0)))?;
        let stream = socket.connect(to.into()).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Takes in what the hive says and reports, until the link ends.
    async fn stay(&self, mut stream: TcpStream, version: &mut u64) -> anyhow::Result<()> {
        let hello = Hello {
            node: Ipv4Addr::from_bits(self.plan.from.to_bits() + self.at as u32),
            zone: self.plan.zones[self.at % self.plan.zones.len()].clone(),
            life: self.at as u64 + 1,
            version: *version,
            departed: Vec::new(),
        };
        let [.., hellos, reports] = &self.seen.kinds;
        let hello = encode(&Link::Forager(hello));
        hellos.add(hello.len());
        stream.write_all(&hello).await?;
        let mut buffer = BytesMut::new();
        let mut report_at = Instant::now() + REPORT.mul_f64(fastrand::f64());
        let mut silent_at = Instant::now() + SILENCE;
        loop {
            tokio::select! {
                read = stream.read_buf(&mut buffer) => {
                    anyhow::ensure!(read? > 0, "it closed the connection");
                    silent_at = Instant::now() + SILENCE;
                    let before = *version;
                    while self.take_in(&mut buffer, version)? {}
                    if *version > before {
                        let taken = encode(&FromForager::Taken { version: *version });
                        stream.write_all(&taken).await?;
                    }
                    if buffer.is_empty() {
                        buffer = BytesMut::new(); // thousands share the memory
                    }
                }
                () = tokio::time::sleep_until(report_at) => {
                    report_at += REPORT;
                    let report = self.report();
                    reports.add(report.len());
                    stream.write_all(&report).await?;
                }
                () = tokio::time::sleep_until(silent_at) => bail!("it is silent"),
            }
        }
    }

    /// Takes in one message; whether there was a whole one.
    fn take_in(&self, buffer: &mut BytesMut, version: &mut u64) -> anyhow::Result<bool> {
        let Some(head) = buffer.first_chunk::<4>() else {
            return Ok(false);
        };
        let length = u32::from_be_bytes(*head) as usize;
        anyhow::ensure!(length <= LARGEST, "a message of {length} bytes");
        let Some(frame) = buffer.get(..4 + length) else {
            buffer.reserve(4 + length - buffer.len());
            return Ok(false);
        };
        let [versions, tables, changes, pulses, ..] = &self.seen.kinds;
        let count = match self.known.of(frame, &self.seen)? {
            Kind::Version(told) => {
                if told > *version {
                    *version = told;
                    self.seen.reach(told);
                }
                versions
            }
            Kind::Table => tables,
            Kind::Change => changes,
            Kind::Pulse => pulses,
        };
        count.add(frame.len());
        buffer.advance(4 + length);
        Ok(true)
    }

    fn report(&self) -> bytes::Bytes {
        let workers = &self.plan.workers;
        let line = |_| Line {
            worker: workers[fastrand::usize(..workers.len())],
            tries: 1,
            failed: 0,
            shed: 0,
            took_ms: 20 + fastrand::u32(..20),
            load: Some((1, 0, 4)),
        };
        let lines = match workers.is_empty() {
            true => Vec::new(),
            false => (0..self.plan.lines).map(line).collect(),
        };
        encode(&FromForager::Report {
            covers_ms: REPORT.as_millis() as u32,
            lines,
            misplaced: Vec::new(),
        })
    }
}
