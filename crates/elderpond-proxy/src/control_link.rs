//! The connection to the control node that is followed.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, ensure};
use bytes::Bytes;
use elderpond_control_wire::{
    AssembledVersion, Assembly, COMMON, Frames, FromForager, FromHive, Heartbeat, Hello, Link,
    VERSION, VersionForm, VersionPart, Vouch, encode, encode_as, unpack,
};
use elderpond_flora::{Difference, Routes};
use elderpond_forage::{DIAL, Millis, Step};
use elderpond_process_settings::ProcessSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::shared::{Phase, Shared};

/// How often the control node is told what was met at workers (ms).
const REPORT: Millis = 1000;
/// Departed lives told at the start of a connection, at most.
const DEPARTED: usize = 256;
/// Nothing is awaited longer than this in one go (ms).
const NAP: Millis = 500;
/// The least time between two looks at whether there is something to do (ms).
const SHORTEST_NAP: Millis = 5;
/// Room for what is read at a time, in bytes.
const READ: usize = 16 << 10;
/// The first version of the wire that has heartbeats by that name.
const HEARTBEATS_SINCE: u8 = 6;
/// A time without a control node that vouches which is worth a line in the log (ms).
const LONG_GAP: Millis = 1500;

/// Follows one control node after the other, for ever.
pub async fn follow(shared: Rc<Shared>, process_settings: ProcessSettings) {
    let life = shared.chance.borrow_mut().draw();
    loop {
        let now = shared.now();
        let step = (shared.control_node.borrow_mut()).step(now, &mut shared.chance.borrow_mut());
        match step {
            Step::Dial(node) => {
                let hello = Link::Forager(hello(&shared, &process_settings, life));
                let address = (node, process_settings.inner_port());
                visit(&shared, address, encode_as(VERSION, &hello)).await;
            }
            Step::Stay => {
                let due_at = shared.control_node.borrow().due_at();
                let wait = due_at.saturating_sub(now).clamp(SHORTEST_NAP, NAP);
                sleep(Duration::from_millis(wait)).await;
            }
        }
    }
}

/// What this process says of itself.
fn hello(shared: &Shared, process_settings: &ProcessSettings, life: u64) -> Hello {
    Hello {
        node: process_settings.ip_address,
        zone: process_settings.zone.clone(),
        life,
        version: (shared.routes.borrow().as_ref()).map_or(0, |routes| routes.version.0),
        departed: shared.workers.borrow().departed(DEPARTED),
    }
}

/// Dials a control node and follows it until it is to be left.
async fn visit(shared: &Shared, (node, port): (Ipv4Addr, u16), hello: Bytes) {
    let mut session = Session::default();
    let dial = timeout(
        Duration::from_millis(DIAL),
        TcpStream::connect((node, port)),
    );
    if let Ok(Ok(stream)) = dial.await {
        shared
            .control_node
            .borrow_mut()
            .connected(shared.now(), node);
        log::info!("control node {node} is joined");
        shared.note("joined", u64::from(node.to_bits()));
        if let Err(error) = stay(shared, &mut session, stream, hello).await {
            log_departure(shared, node, &error);
            shared.note("left", u64::from(node.to_bits()));
            shared.spill("a control node was lost");
        }
    }
    shared.metrics.control_node_left();
    shared.metrics.control_link_version(0);
    let now = shared.now();
    (shared.control_node.borrow_mut()).disconnected(now, &mut shared.chance.borrow_mut());
}

/// What one connection to a control node has brought so far.
#[derive(Default)]
struct Session {
    frames: Frames,
    assembly: Assembly,
    /// Messages with departures.
    departures: u64,
    /// The version of the wire that the control node speaks; 0 before its first heartbeat.
    wire: u8,
}

impl Session {
    /// Notes which version of the wire the control node speaks, as its heartbeats say.
    fn note_version(&mut self, shared: &Shared, message: &FromHive) {
        let wire = match message {
            // their frames bore the version before at first
            FromHive::Heartbeat(_) => self.frames.version().max(HEARTBEATS_SINCE),
            FromHive::Pulse(_) => self.frames.version(),
            _ => return,
        };
        if wire == self.wire {
            return;
        }
        self.wire = wire;
        shared.metrics.control_link_version(wire);
        if wire < VERSION {
            log::warn!(
                "this control node speaks version {wire} of the wire, and this proxy {VERSION}"
            );
        }
    }
}

/// Logs why a control node is left, and what the visit had brought.
fn log_departure(shared: &Shared, node: Ipv4Addr, error: &anyhow::Error) {
    let now = shared.now();
    let visit = shared.control_node.borrow().visit();
    let stayed = now.saturating_sub(visit.connected_at);
    let unvouched = visit.unvouched_heartbeats;
    let vouched = match visit.vouched_at {
        Some(at) => format!("it vouched {} ms ago", now.saturating_sub(at)),
        None => "it never vouched".to_owned(),
    };
    log::info!(
        "control node {node} is left after {stayed} ms: {error}; {vouched}, and did not in {unvouched} \
         heartbeats since"
    );
}

/// Takes in what the control node says, until it is to be left; without an error, for one of the own zone.
async fn stay(
    shared: &Shared,
    session: &mut Session,
    mut stream: TcpStream,
    hello: Bytes,
) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(&hello).await?;
    let mut phases = shared.phases();
    let mut report_at = shared.now() + REPORT;
    let mut stopping = shared.phase() >= Phase::Stopping;
    loop {
        let now = shared.now();
        if now >= report_at {
            report_at = now + REPORT;
            send(&mut stream, report(shared, now)).await?;
            if !stopping && returns_to_zone(shared, now) {
                return Ok(());
            }
        }
        let due_at = shared.control_node.borrow().due_at();
        let wait = due_at.min(report_at).max(now + 1) - now;
        session.frames.buffer.reserve(READ);
        tokio::select! {
            read = stream.read_buf(&mut session.frames.buffer) => {
                ensure!(read? > 0, "it closed the connection");
                take_in_all(shared, &mut stream, session).await?;
            }
            _ = phases.changed(), if !stopping => {
                stopping = true;
                stream.write_all(&encode(&FromForager::Leaving)).await?;
            }
            () = sleep(Duration::from_millis(wait)) => {}
        }
        let now = shared.now();
        shared.begin(shared.control_node.borrow().may_start(now));
        // the next one is chosen once this one is given up, or it would be taken for the one that failed
        let stale = shared.control_node.borrow().is_stale(now);
        ensure!(!stale, "it is silent or does not vouch");
    }
}

fn returns_to_zone(shared: &Shared, now: Millis) -> bool {
    (shared.control_node.borrow()).returns_to_zone(now, &mut shared.chance.borrow_mut())
}

/// What was met at workers since the last report.
fn report(shared: &Shared, now: Millis) -> Bytes {
    let report = shared.workers.borrow_mut().report(now);
    let (covers_ms, lines, misplaced) = report.unwrap_or_default();
    encode(&FromForager::Report {
        covers_ms,
        lines,
        misplaced,
    })
}

async fn send(stream: &mut TcpStream, frame: Bytes) -> anyhow::Result<()> {
    timeout(Duration::from_millis(NAP), stream.write_all(&frame)).await??;
    Ok(())
}

/// Takes in the messages that have come whole, and answers them.
async fn take_in_all(
    shared: &Shared,
    stream: &mut TcpStream,
    session: &mut Session,
) -> anyhow::Result<()> {
    let now = shared.now();
    // what waited while this process stood still, or the link did, is old
    let stale = shared.control_node.borrow().is_stale(now);
    ensure!(!stale, "what it says comes too late");
    shared.control_node.borrow_mut().heard(now);
    let departures = session.departures;
    while let Some(message) = session.frames.read()? {
        let message = unpack(message)?;
        if let FromHive::Refused { spoken, read } = message {
            bail!("it does not read version {spoken} of the wire, but {read}");
        }
        session.note_version(shared, &message);
        if let Some(answer) = take_in(shared, session, message) {
            send(stream, encode(&answer)).await?;
        }
    }
    let count = session.departures;
    if count > departures && session.wire > COMMON {
        send(stream, encode(&FromForager::DeparturesTaken { count })).await?;
    }
    if let Some(bytes) = session.frames.partial() {
        shared.control_node.borrow_mut().message_part(now, bytes);
    }
    Ok(())
}

/// Takes in one message; what is to be answered.
fn take_in(shared: &Shared, session: &mut Session, message: FromHive) -> Option<FromForager> {
    let now = shared.now();
    match message {
        FromHive::Version { version, body } => {
            take_whole(shared, version, &body);
            return Some(FromForager::Taken { version });
        }
        FromHive::VersionPart(part) => return take_part(shared, &mut session.assembly, part),
        FromHive::Whole { settled, table } => {
            shared.workers.borrow_mut().replace(now, settled, &table);
            shared.table.set(true);
        }
        FromHive::Change(change) => {
            session.departures += u64::from(!change.departed.is_empty());
            shared.workers.borrow_mut().change(now, &change);
        }
        FromHive::Pulse(pulse) => take_heartbeat(shared, &pulse.into()),
        FromHive::Heartbeat(heartbeat) => take_heartbeat(shared, &heartbeat),
        // unpacked, or the end of the link, before
        FromHive::Packed(_) | FromHive::Refused { .. } => {}
    }
    None
}

/// Takes in a heartbeat.
fn take_heartbeat(shared: &Shared, heartbeat: &Heartbeat) {
    let now = shared.now();
    let (vouch, nodes) = (heartbeat.vouch, &heartbeat.control_nodes);
    shared.proxies_counted(usize::from(heartbeat.proxies), vouch != Vouch::No);
    match vouch {
        Vouch::Current => log_gap(shared, now),
        Vouch::Behind | Vouch::No => shared.metrics.unvouched_heartbeat(),
    }
    let mut choice = shared.control_node.borrow_mut();
    match vouch {
        Vouch::Current => choice.heartbeat(now, true, nodes),
        Vouch::Behind => choice.catching_up(now, nodes),
        Vouch::No => choice.heartbeat(now, false, nodes),
    }
}

/// Takes in a part of a version; the version, once it is whole.
fn take_part(shared: &Shared, assembly: &mut Assembly, part: VersionPart) -> Option<FromForager> {
    let length = part.length as usize;
    (shared.control_node.borrow_mut()).message_part(shared.now(), length);
    let assembled = match assembly.take_in(part) {
        Ok(assembled) => assembled?,
        Err(misplaced) => {
            log::warn!("{misplaced}; the whole version is asked for");
            return Some(FromForager::AskWhole);
        }
    };
    let AssembledVersion {
        version,
        form,
        bytes,
    } = assembled;
    let taken = match form {
        VersionForm::Whole => {
            take_whole(shared, version, &bytes);
            Ok(())
        }
        VersionForm::Difference => {
            Difference::decode(&bytes).and_then(|difference| shared.told_difference(&difference))
        }
    };
    match taken {
        Ok(()) => Some(FromForager::Taken { version }),
        Err(error) => {
            log::warn!(
                "the difference to r{version} can't be used: {error}; the whole is asked for"
            );
            Some(FromForager::AskWhole)
        }
    }
}

/// Logs for how long no control node had vouched for what it told here, if that was long.
fn log_gap(shared: &Shared, now: Millis) {
    let vouched_at = shared.control_node.borrow().vouched_at();
    let gap = vouched_at.map_or(0, |at| now.saturating_sub(at));
    if gap >= LONG_GAP {
        log::info!("no control node had vouched for {gap} ms");
    }
}

/// Takes in a version whole.
fn take_whole(shared: &Shared, version: u64, body: &[u8]) {
    match elderpond_flora::read(body) {
        Ok(read) if read.version_number.0 == version => shared.told(Routes::new(&read)),
        Ok(read) => log::error!("version r{version} says that it is {}", read.version_number),
        Err(fault) => log::error!("version r{version} can't be used: {fault}"),
    }
}
