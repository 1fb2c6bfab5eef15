//! The hive on sockets: the one task that owns it, and what goes in and out.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ahash::RandomState;
use anyhow::Context;
use bytes::Bytes;
use elderpond_consensus::{Record, Stored};
use elderpond_control_wire::Hello;
use elderpond_process_settings::{Followed, ProcessSettings};
use elderpond_storage::{Keeper, Storage};
use hashbrown::HashMap;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout_at};

use crate::core::{Action, Event, Hive, LinkId, Place, Ticket};
use crate::links::{self, Outlet};
use crate::serve::{self, Serving};
use crate::{Answer, Command, Millis, probe};

/// What the owner of the hive is told.
pub(crate) enum Input {
    Event(Event),
    Call {
        command: Command,
        reply: oneshot::Sender<Answer>,
    },
    Joined {
        link: LinkId,
        hello: Hello,
        /// The version of the wire that it speaks.
        wire: u8,
        outlet: Outlet,
    },
}

pub(crate) type Inputs = mpsc::Sender<Input>;

/// Inputs that wait at most.
const INPUTS: usize = 1024;
/// Probes at once.
const PROBES: usize = 32;
const TICK: Duration = Duration::from_millis(50);
/// The settings file is looked at each so many ticks.
const SETTINGS: u32 = 40;

/// Runs a hive until it is told to end.
///
/// # Errors
///
/// What kept it from starting.
pub fn run(settings: Followed, process_settings: ProcessSettings) -> anyhow::Result<()> {
    let disk = process_settings.data_directory.as_deref().map(open);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(host(settings, process_settings, disk))
}

struct Disk {
    cell: Storage,
    stored: Option<Stored>,
    /// Whether what was there could not be read, now or at an earlier start.
    damaged: bool,
}

/// Opens the disk, however long it refuses.
fn open(dir: &Path) -> Disk {
    let mut told = false;
    loop {
        match Storage::open(dir) {
            Ok((cell, stored)) => {
                let damaged = cell.lost();
                if let Some(note) = cell.note() {
                    log::warn!("{note}");
                }
                return Disk {
                    cell,
                    stored,
                    damaged,
                };
            }
            Err(error) if !told => {
                log::error!("{error}; trying on");
                told = true;
            }
            Err(_) => {}
        }
        std::thread::sleep(Duration::from_millis(300));
    }
}

async fn host(
    settings: Followed,
    process_settings: ProcessSettings,
    disk: Option<Disk>,
) -> anyhow::Result<()> {
    let me = process_settings.ip_address;
    let inner = SocketAddrV4::new(me, process_settings.inner_port());
    let control = process_settings.listen_addresses.control;
    let control = control.context("listen-addresses.control is missing, and a hive needs it")?;
    let (inputs, mut input) = mpsc::channel(INPUTS);
    let packets = UdpSocket::bind(inner).await;
    let packets = Arc::new(packets.with_context(|| format!("{inner}/udp"))?);
    let listener = TcpListener::bind(inner).await;
    tokio::spawn(links::accept(
        listener.with_context(|| format!("{inner}/tcp"))?,
        inputs.clone(),
    ));
    tokio::spawn(hear_packets(packets.clone(), inputs.clone()));
    let (wrote, mut written) = mpsc::unbounded_channel();
    let (damaged, stored, keeper) = match disk {
        Some(disk) => {
            let done = Box::new(move |write, ok| {
                let _ = wrote.send((write, ok));
            });
            let keeper = Keeper::spawn(disk.cell, done)?;
            (disk.damaged, disk.stored, Some(keeper))
        }
        None => {
            log::info!("no data-directory: this hive watches and keeps nothing");
            (true, None, None)
        }
    };
    let place = place(&process_settings, control.port(), damaged);
    let clock = Instant::now();
    let now = move || clock.elapsed().as_millis() as Millis + 1;
    let mut out = Vec::new();
    let hive = Hive::new(now(), place, stored, &mut out);
    let listener = TcpListener::bind(control).await;
    let server = serve::serve(listener.with_context(|| control.to_string())?, &inputs)?;
    log::info!(
        "{} is up: control {control}, inner {inner}",
        process_settings.node_name
    );
    let mut host = Host {
        me,
        port: process_settings.inner_port(),
        random: now() ^ u64::from(u32::from(me)),
        settings,
        server,
        packets,
        inputs,
        keeper,
        replies: HashMap::default(),
        next: 1,
        foragers: HashMap::default(),
        hives: HashMap::default(),
        probes: Arc::new(Semaphore::new(PROBES)),
        unkept: Vec::new(),
        grace: Duration::from_secs_f64(process_settings.bounds.grace_period_s),
        ends: None,
        hive,
    };
    host.carry_out(&mut out);
    let mut stop = signal(SignalKind::terminate())?;
    let mut read_again = signal(SignalKind::hangup())?;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u32;
    loop {
        let event = tokio::select! {
            biased;
            _ = stop.recv() => {
                host.stop();
                Event::Stop
            }
            _ = read_again.recv() => match host.seeds(true) {
                Some(event) => event,
                None => continue,
            },
            _ = ticks.tick() => {
                count = count.wrapping_add(1);
                if count.is_multiple_of(SETTINGS)
                    && let Some(event) = host.seeds(false)
                {
                    host.hive.handle(now(), event, &mut out);
                }
                for write in std::mem::take(&mut host.unkept) {
                    host.hive.handle(now(), Event::Written { write, ok: false }, &mut out);
                }
                Event::Tick
            }
            Some((write, ok)) = written.recv() => Event::Written { write, ok },
            Some(input) = input.recv() => host.take(input),
        };
        host.hive.handle(now(), event, &mut out);
        let stopped = host.carry_out(&mut out);
        if stopped || host.ends.is_some_and(|ends| Instant::now() >= ends) {
            // whose call is not answered by now is told so, and answers that were given are written
            drop(input);
            host.replies.clear();
            let until = host.ends.unwrap_or_else(Instant::now);
            let _ = timeout_at(until.into(), host.server.ended()).await;
            log::info!("told to end; ended");
            return Ok(());
        }
    }
}

fn place(process_settings: &ProcessSettings, control_port: u16, damaged: bool) -> Place {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let time = time.unwrap_or_default().as_nanos() as u64;
    let spread = RandomState::new().hash_one(time);
    let millis = |seconds: f64| (seconds * 1000.0) as Millis;
    Place {
        me: process_settings.ip_address,
        name: process_settings.node_name.clone(),
        zone: process_settings.zone.clone(),
        control_port,
        seeds: process_settings.seeds(),
        first_start: process_settings.first_start && !damaged,
        losses: process_settings.tolerated_losses.machines,
        beat: millis(process_settings.heartbeat_interval_s).max(100),
        reuse: millis(process_settings.bounds.address_reuse_s),
        grace: millis(process_settings.bounds.grace_period_s),
        apply: millis(process_settings.bounds.configuration_apply_s),
        drain: millis(process_settings.bounds.drain_s),
        incarnation: time / 1_000_000,
        random: time ^ spread,
    }
}

async fn hear_packets(socket: Arc<UdpSocket>, inputs: Inputs) {
    let mut buffer = vec![0; 2048];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, SocketAddr::V4(from))) => {
                let datagram = Bytes::copy_from_slice(&buffer[..length]);
                let from = *from.ip();
                // one that finds no room is lost, as on the way
                let _ = inputs.try_send(Input::Event(Event::Packet { from, datagram }));
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

struct Host {
    me: Ipv4Addr,
    port: u16,
    random: u64,
    settings: Followed,
    server: Serving,
    packets: Arc<UdpSocket>,
    inputs: Inputs,
    keeper: Option<Keeper>,
    replies: HashMap<Ticket, oneshot::Sender<Answer>, RandomState>,
    next: Ticket,
    foragers: HashMap<LinkId, Outlet, RandomState>,
    hives: HashMap<Ipv4Addr, Outlet, RandomState>,
    probes: Arc<Semaphore>,
    /// Writes asked for where there is no disk.
    unkept: Vec<u64>,
    grace: Duration,
    ends: Option<Instant>,
    hive: Hive,
}

impl Host {
    /// What an input means to the hive.
    fn take(&mut self, input: Input) -> Event {
        match input {
            Input::Event(event) => {
                match &event {
                    Event::ForagerLost { link } => drop(self.foragers.remove(link)),
                    Event::FromHive { from, .. } => {
                        if let Some(outlet) = self.hives.get(from) {
                            outlet.is_there();
                        }
                    }
                    _ => {}
                }
                event
            }
            Input::Call { command, reply } => {
                let ticket = self.next;
                self.next += 1;
                self.replies.insert(ticket, reply);
                Event::Call { ticket, command }
            }
            Input::Joined {
                link,
                hello,
                wire,
                outlet,
            } => {
                self.foragers.insert(link, outlet);
                Event::ForagerJoined { link, hello, wire }
            }
        }
    }

    /// The settings' seeds, if the file has changed.
    fn seeds(&mut self, always: bool) -> Option<Event> {
        match self.settings.changed(always) {
            Ok(Some(process_settings)) => Some(Event::Seeds(process_settings.seeds())),
            Ok(None) => None,
            Err(error) => {
                log::warn!("{error}; the settings before go on");
                None
            }
        }
    }

    fn stop(&mut self) {
        self.ends = Some(Instant::now() + self.grace.mul_f64(0.9));
        self.server.stop(self.grace / 2);
    }

    /// Does what the hive wants; whether it has stopped.
    fn carry_out(&mut self, out: &mut Vec<Action>) -> bool {
        let mut stopped = false;
        for action in out.drain(..) {
            match action {
                Action::Answer { ticket, answer } => {
                    if let Some(reply) = self.replies.remove(&ticket) {
                        let _ = reply.send(answer);
                    }
                }
                Action::Packet { to, datagram } => {
                    let to = SocketAddr::new(IpAddr::V4(to), self.port);
                    let _ = self.packets.try_send_to(&datagram, to);
                }
                Action::Dial(node) => {
                    self.random = self
                        .random
                        .wrapping_mul(0x5851_f42d_4c95_7f2d)
                        .wrapping_add(1);
                    let to = SocketAddrV4::new(node, self.port);
                    let outlet = links::keep(self.me, to, self.inputs.clone(), self.random | 1);
                    self.hives.insert(node, outlet);
                }
                Action::Hang(node) => {
                    self.hives.remove(&node);
                }
                Action::ToHive { to, frame } => {
                    if let Some(outlet) = self.hives.get(&to) {
                        outlet.push(frame);
                    }
                }
                Action::ToForager { link, frame } => {
                    let whole = self.foragers.get(&link).is_none_or(|it| it.push(frame));
                    if !whole {
                        self.close(link); // it does not read: it is to begin anew
                    }
                }
                Action::VersionToForager {
                    link,
                    version,
                    frames,
                } => {
                    if let Some(outlet) = self.foragers.get(&link) {
                        outlet.push_version(version, frames);
                    }
                }
                Action::CloseLink { link } => self.close(link),
                Action::Write { write, record } => self.keep(write, *record),
                Action::Probe {
                    worker,
                    id,
                    address,
                    path,
                } => {
                    let inputs = self.inputs.clone();
                    let Ok(turn) = self.probes.clone().try_acquire_owned() else {
                        continue;
                    };
                    tokio::spawn(async move {
                        let probed = probe::probe(&id, address, &path).await;
                        drop(turn);
                        if let Some(probed) = probed {
                            let event = Event::Probed {
                                worker,
                                ok: probed.ok,
                                took_ms: probed.took_ms,
                                load: probed.load,
                            };
                            let _ = inputs.send(Input::Event(event)).await;
                        }
                    });
                }
                Action::Log(text) => log::info!("{text}"),
                Action::Stopped => stopped = true,
            }
        }
        stopped
    }

    fn keep(&mut self, write: u64, record: Record) {
        match &self.keeper {
            Some(keeper) => keeper.send(write, record),
            None => self.unkept.push(write),
        }
    }

    fn close(&mut self, link: LinkId) {
        self.foragers.remove(&link); // its task then says that it is lost
    }
}
