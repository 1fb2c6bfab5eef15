//! The connection to the control node that is followed.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::ensure;
use bytes::Bytes;
use elderpond_control_wire::{Frames, FromForager, FromHive, Hello, Link, encode, unpack};
use elderpond_flora::Routes;
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
                let hello = hello(&shared, &process_settings, life);
                let port = process_settings.inner_port();
                visit(&shared, (node, port), hello).await;
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
async fn visit(shared: &Shared, (node, port): (Ipv4Addr, u16), hello: Hello) {
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
        if let Err(error) = stay(shared, stream, hello).await {
            log_departure(shared, node, &error);
            shared.note("left", u64::from(node.to_bits()));
            shared.spill("a control node was lost");
        }
    }
    shared.metrics.control_node_left();
    let now = shared.now();
    (shared.control_node.borrow_mut()).disconnected(now, &mut shared.chance.borrow_mut());
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
async fn stay(shared: &Shared, mut stream: TcpStream, hello: Hello) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(&encode(&Link::Forager(hello))).await?;
    let mut frames = Frames::default();
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
        tokio::select! {
            read = stream.read_buf(&mut frames.buffer) => {
                ensure!(read? > 0, "it closed the connection");
                take_in_all(shared, &mut stream, &mut frames).await?;
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

/// Takes in the messages that have come whole, and says which versions were among them.
async fn take_in_all(
    shared: &Shared,
    stream: &mut TcpStream,
    frames: &mut Frames,
) -> anyhow::Result<()> {
    let now = shared.now();
    // what waited while this process stood still, or the link did, is old
    let stale = shared.control_node.borrow().is_stale(now);
    ensure!(!stale, "what it says comes too late");
    shared.control_node.borrow_mut().heard(now);
    while let Some(message) = frames.read()? {
        if let Some(version) = take_in(shared, unpack(message)?) {
            send(stream, encode(&FromForager::Taken { version })).await?;
        }
    }
    if let Some(bytes) = frames.partial() {
        shared.control_node.borrow_mut().message_part(now, bytes);
    }
    Ok(())
}

/// Takes in one message; the number of the version, if it was one.
fn take_in(shared: &Shared, message: FromHive) -> Option<u64> {
    let now = shared.now();
    match message {
        FromHive::Version { version, body } => {
            take_version(shared, version, &body);
            return Some(version);
        }
        FromHive::Whole { settled, table } => {
            shared.workers.borrow_mut().replace(now, settled, &table);
            shared.table.set(true);
        }
        FromHive::Change(change) => shared.workers.borrow_mut().change(now, &change),
        FromHive::Pulse(pulse) => {
            shared.proxies_counted(usize::from(pulse.foragers), pulse.majority);
            match pulse.majority {
                true => log_gap(shared, now),
                false => shared.metrics.unvouched_heartbeat(),
            }
            (shared.control_node.borrow_mut()).heartbeat(now, pulse.majority, &pulse.hives);
        }
        FromHive::Packed(_) => {} // unpacked before
    }
    None
}

/// Logs for how long no control node had vouched for what it told here, if that was long.
fn log_gap(shared: &Shared, now: Millis) {
    let vouched_at = shared.control_node.borrow().vouched_at();
    let gap = vouched_at.map_or(0, |at| now.saturating_sub(at));
    if gap >= LONG_GAP {
        log::info!("no control node had vouched for {gap} ms");
    }
}

fn take_version(shared: &Shared, version: u64, body: &[u8]) {
    match elderpond_flora::read(body) {
        Ok(read) if read.version_number.0 == version => shared.told(Routes::new(&read)),
        Ok(read) => log::error!("version r{version} says that it is {}", read.version_number),
        Err(fault) => log::error!("version r{version} can't be used: {fault}"),
    }
}
