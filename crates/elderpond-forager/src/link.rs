//! The connection to the hive that is followed.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use elderpond_control_wire::{Frames, FromForager, FromHive, Hello, Link, encode, unpack};
use elderpond_flora::Routes;
use elderpond_forage::{Millis, Step};
use elderpond_process_settings::ProcessSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::shared::{Phase, Shared};

/// How often it is told what was met.
const REPORT: Millis = 1000;
/// Departed lives told at the start of a link, at most.
const DEPARTED: usize = 256;
/// A time without a control node that vouches which is worth a line in the log, in ms.
const LONG_GAP: Millis = 1500;
/// Nothing is awaited longer than this in one go.
const NAP: Millis = 500;

/// Follows one hive after the other, for ever.
pub async fn follow(shared: Rc<Shared>, process_settings: ProcessSettings) {
    let life = shared.chance.borrow_mut().draw();
    loop {
        let now = shared.now();
        let step = (shared.follow.borrow_mut()).step(now, &mut shared.chance.borrow_mut());
        match step {
            Step::Dial(node) => {
                let hello = Hello {
                    node: process_settings.ip_address,
                    zone: process_settings.zone.clone(),
                    life,
                    version: (shared.routes.borrow().as_ref()).map_or(0, |it| it.version.0),
                    departed: shared.workers.borrow().departed(DEPARTED),
                };
                let dial = TcpStream::connect((node, process_settings.inner_port()));
                let dial = tokio::time::timeout(Duration::from_millis(400), dial).await;
                if let Ok(Ok(stream)) = dial {
                    shared.follow.borrow_mut().joined(shared.now(), node);
                    log::info!("hive {node} is joined");
                    shared.note("joined", u64::from(node.to_bits()));
                    if let Err(error) = stay(&shared, stream, hello).await {
                        log_departure(&shared, node, &error);
                        shared.note("left", u64::from(node.to_bits()));
                        shared.spill("a hive was lost");
                    }
                }
                shared.metrics.control_node_left();
                let now = shared.now();
                (shared.follow.borrow_mut()).lost(now, &mut shared.chance.borrow_mut());
            }
            Step::Stay => {
                let wait = shared
                    .follow
                    .borrow()
                    .due()
                    .saturating_sub(now)
                    .clamp(5, NAP);
                tokio::time::sleep(Duration::from_millis(wait)).await;
            }
        }
    }
}

/// Logs why a control node is left, and what the visit had brought.
fn log_departure(shared: &Shared, node: Ipv4Addr, error: &anyhow::Error) {
    let now = shared.now();
    let visit = shared.follow.borrow().visit();
    let stayed = now.saturating_sub(visit.joined_at);
    let unvouched = visit.unvouched_heartbeats;
    let vouched = match visit.vouched_at {
        Some(at) => format!("it vouched {} ms ago", now.saturating_sub(at)),
        None => "it never vouched".to_owned(),
    };
    log::info!(
        "hive {node} is left after {stayed} ms: {error}; {vouched}, and did not in {unvouched} heartbeats since"
    );
}

/// Takes in what the hive says, until it is to be left; without an error, for one of the own zone.
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
            let report = shared.workers.borrow_mut().report(now);
            let (covers_ms, lines, misplaced) = report.unwrap_or_default();
            let report = encode(&FromForager::Report {
                covers_ms,
                lines,
                misplaced,
            });
            let sent = stream.write_all(&report);
            tokio::time::timeout(Duration::from_millis(NAP), sent).await??;
            let homeward = (shared.follow.borrow()).goes_home(now, &mut shared.chance.borrow_mut());
            if homeward && !stopping {
                return Ok(());
            }
        }
        let due = shared.follow.borrow().due().min(report_at).max(now + 1);
        let wait = Duration::from_millis(due - now);
        tokio::select! {
            read = stream.read_buf(&mut frames.buffer) => {
                anyhow::ensure!(read? > 0, "it closed the connection");
                let now = shared.now();
                // what waited while this process stood still, or the link did, is old
                anyhow::ensure!(!shared.follow.borrow().stale(now), "what it says comes too late");
                shared.follow.borrow_mut().heard(now);
                while let Some(message) = frames.read()? {
                    if let Some(version) = take_in(shared, unpack(message)?) {
                        let taken = encode(&FromForager::Taken { version });
                        let sent = stream.write_all(&taken);
                        tokio::time::timeout(Duration::from_millis(NAP), sent).await??;
                    }
                }
                if let Some(bytes) = frames.partial() {
                    shared.follow.borrow_mut().part(now, bytes);
                }
            }
            _ = phases.changed(), if !stopping => {
                stopping = true;
                stream.write_all(&encode(&FromForager::Leaving)).await?;
            }
            () = tokio::time::sleep(wait) => {}
        }
        let now = shared.now();
        shared.begin(shared.follow.borrow().may_begin(now));
        // the next one is chosen once this one is given up, or it would be taken for the one that failed
        let stale = shared.follow.borrow().stale(now);
        anyhow::ensure!(!stale, "it is silent or reaches no majority");
    }
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
            (shared.follow.borrow_mut()).pulse(now, pulse.majority, &pulse.hives);
        }
        FromHive::Packed(_) => {} // unpacked before
    }
    None
}

/// Logs for how long no control node had vouched for what it told here, if that was long.
fn log_gap(shared: &Shared, now: Millis) {
    let vouched_at = shared.follow.borrow().vouched_at();
    let gap = vouched_at.map_or(0, |at| now.saturating_sub(at));
    if gap >= LONG_GAP {
        log::info!("no hive had vouched for {gap} ms");
    }
}

fn take_version(shared: &Shared, version: u64, body: &[u8]) {
    match elderpond_flora::read(body) {
        Ok(read) if read.version_number.0 == version => shared.told(Routes::new(&read)),
        Ok(read) => log::error!("version r{version} says that it is {}", read.version_number),
        Err(fault) => log::error!("version r{version} can't be used: {fault}"),
    }
}
