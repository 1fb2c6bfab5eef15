//! The fleet: real programs on loopback addresses of their own, their settings, their ends.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use anyhow::{Context, bail};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The zones.
pub const ZONES: [&str; 2] = ["sali-a", "sali-b"];
/// By what the third byte of workers' addresses differs from that of machines.
const WORKERS_NET: u8 = 0x80;
/// Ports of the inner range, at least.
const INNER: u16 = 8;
/// A process that was started may take this long until it hears signals.
const STARTING: Duration = Duration::from_millis(1500);
/// How often a free set of ports is looked for.
const LOOKS: usize = 200;

/// The figures of the rules that the rehearsal holds the programs to; seconds.
pub mod bounds {
    /// Nothing reaches a leaving worker later than this after the acknowledgement.
    pub const DRAIN_S: f64 = 2.5;
    /// A version is in force everywhere within this.
    pub const APPLY_S: f64 = 2.5;
    /// No process goes back later than this.
    pub const ROLLBACK_S: f64 = 0.25;
    /// A machine calm for this long is in touch.
    pub const CONTACT_S: f64 = 3.0;
    /// An order of the operator is acknowledged within this.
    pub const ACKNOWLEDGE_S: f64 = 5.0;
    /// From SIGTERM to SIGKILL.
    pub const GRACE_S: f64 = 6.0;
    /// Further arrivals at a service, as a part of its requests.
    pub const RETRY_RATIO: f64 = 0.2;
    /// Further arrivals at a service that are free.
    pub const RETRY_SLACK: f64 = 58.0;
    /// From the end of a worker until its address may be another's.
    pub const ADDRESS_REUSE_S: f64 = 2.0;
    /// Seconds between two beats.
    pub const BEAT_S: f64 = 1.0;
}

/// The ports, which are the same on every machine.
#[derive(Clone, Copy, Debug)]
struct Ports {
    control: u16,
    front: u16,
    readiness: u16,
    inner: u16,
}

/// What a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `elderpond hive`.
    ControlNode,
    /// `elderpond proxy`.
    Proxy,
}

/// A machine and the process on it.
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
    child: RefCell<Option<Child>>,
    started_at: Cell<Option<Instant>>,
    own_ends: RefCell<Vec<String>>,
    started: Cell<bool>,
}

/// A process that was told to end.
struct Told {
    at: usize,
    child: Child,
    grace: Instant,
    /// Whether it may not have heard: a process that is starting ends by the signal itself.
    starting: bool,
}

/// All machines.
pub struct Fleet {
    /// Hives first, then proxies.
    pub machines: Vec<Machine>,
    /// Seconds between two beats of a worker, as the settings say.
    pub beat_s: f64,
    /// Machines that may be lost at one time, as the settings say.
    pub losses: u8,
    program: PathBuf,
    folder: PathBuf,
    ports: Ports,
    net: (u8, u8),
    /// Whether each machine has an inner port of its own, so that a relay can stand between any two.
    relayed: bool,
    /// Which processes did not end in order when told.
    wrong: RefCell<Vec<String>>,
}

impl Fleet {
    /// Lays out control nodes and proxies, with free ports, for a relay between any two machines; starts
    /// nothing.
    ///
    /// # Errors
    ///
    /// No ports are free.
    pub fn relayed(
        program: PathBuf,
        folder: &Path,
        control_nodes: u8,
        proxies: u8,
    ) -> anyhow::Result<Self> {
        let mut fleet = Self::new(program, folder, control_nodes, proxies)?;
        fleet.relayed = true;
        Ok(fleet)
    }

    /// The same, with one inner port on all machines.
    ///
    /// # Errors
    ///
    /// No ports are free.
    pub fn new(
        program: PathBuf,
        folder: &Path,
        control_nodes: u8,
        proxies: u8,
    ) -> anyhow::Result<Self> {
        // not from the seed: rehearsals side by side have to differ
        let mut chance = fastrand::Rng::with_seed(u64::from(std::process::id()) ^ nanos());
        let net = (chance.u8(1..=254), chance.u8(..));
        let machine = |role, n: u8| Machine {
            name: match role {
                Role::ControlNode => format!("control-{}", n + 1),
                Role::Proxy => format!("proxy-{}", n + 1),
            },
            role,
            ip: Ipv4Addr::new(
                127,
                net.0,
                net.1,
                n + if role == Role::ControlNode { 11 } else { 31 },
            ),
            zone: ZONES[usize::from(n) % ZONES.len()],
            child: RefCell::default(),
            started_at: Cell::new(None),
            own_ends: RefCell::default(),
            started: Cell::new(false),
        };
        let machines: Vec<Machine> = (0..control_nodes)
            .map(|n| machine(Role::ControlNode, n))
            .chain((0..proxies).map(|n| machine(Role::Proxy, n)))
            .collect();
        let ips: Vec<Ipv4Addr> = machines.iter().map(|machine| machine.ip).collect();
        let ports = Ports::look(&ips)?;
        Ok(Self {
            machines,
            beat_s: bounds::BEAT_S,
            losses: 1,
            program,
            folder: folder.to_owned(),
            ports,
            net,
            relayed: false,
            wrong: RefCell::default(),
        })
    }

    /// The machines of a role, with their places in the list.
    pub fn of(&self, role: Role) -> impl Iterator<Item = (usize, &Machine)> {
        self.machines
            .iter()
            .enumerate()
            .filter(move |(_, machine)| machine.role == role)
    }

    /// Where the control nodes take calls.
    pub fn controls(&self) -> Vec<SocketAddrV4> {
        let port = self.ports.control;
        self.of(Role::ControlNode)
            .map(|(_, node)| SocketAddrV4::new(node.ip, port))
            .collect()
    }

    /// The port at which a machine takes others, and at which it dials them.
    #[must_use]
    pub fn inner_port(&self, at: usize) -> u16 {
        match self.relayed {
            // there are fewer than 256 machines, and as many ports are free
            true => self.ports.inner + at as u16,
            false => self.ports.inner,
        }
    }

    /// Where the control nodes take other control nodes and proxies.
    pub fn inners(&self) -> Vec<SocketAddrV4> {
        self.of(Role::ControlNode)
            .map(|(at, node)| SocketAddrV4::new(node.ip, self.inner_port(at)))
            .collect()
    }

    /// The id of a machine's process, while there is one.
    pub fn pid(&self, at: usize) -> Option<u32> {
        self.machines[at].child.borrow().as_ref()?.id()
    }

    /// The second byte of all addresses.
    pub fn net(&self) -> u8 {
        self.net.0
    }

    /// Where a proxy takes clients, and where it says whether it is ready.
    pub fn fronts(&self, proxy: &Machine) -> (SocketAddrV4, SocketAddrV4) {
        let at = |port| SocketAddrV4::new(proxy.ip, port);
        (at(self.ports.front), at(self.ports.readiness))
    }

    /// An address for the n-th worker.
    pub fn worker(&self, n: u8) -> Ipv4Addr {
        // not beside the machines, of which there may be many
        Ipv4Addr::new(127, self.net.0, self.net.1 ^ WORKERS_NET, 1 + n)
    }

    /// What stands behind a machine's process in the log.
    pub fn log(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.log", machine.name))
    }

    /// Starts a machine's process.
    pub fn start(&self, at: usize) -> anyhow::Result<()> {
        let machine = &self.machines[at];
        let settings = self.folder.join(format!("{}.yaml", machine.name));
        std::fs::write(&settings, self.settings(at)?)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log(machine))?;
        let verb = match machine.role {
            Role::ControlNode => "hive",
            // the older name, which older programs know too
            Role::Proxy => "forager",
        };
        let child = Command::new(&self.program)
            .arg(verb)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{} can't be started", self.program.display()))?;
        machine.child.replace(Some(child));
        machine.started.set(true);
        machine.started_at.set(Some(Instant::now()));
        Ok(())
    }

    fn settings(&self, at: usize) -> anyhow::Result<String> {
        let machine = &self.machines[at];
        let (ip, ports) = (machine.ip, self.ports);
        let (class, data) = match machine.role {
            Role::ControlNode => {
                let data = self.folder.join(format!("{}.disk", machine.name));
                std::fs::create_dir_all(&data)?;
                ("core_proxy", format!("\"{}\"", data.display()))
            }
            Role::Proxy => ("front_proxy", "null".to_owned()),
        };
        let mut text = String::new();
        writeln!(text, "node-name: \"{}\"\nrole: \"{class}\"", machine.name)?;
        writeln!(text, "machine-class: \"{class}\"\nip-address: \"{ip}\"")?;
        writeln!(text, "zone: \"{}\"\nregion: \"sali\"\nzones:", machine.zone)?;
        for zone in ZONES {
            writeln!(text, "  {zone}: \"sali\"")?;
        }
        match machine.role {
            Role::ControlNode => {
                writeln!(text, "serves:\n  - \"control\"\nlisten-addresses:")?;
                writeln!(text, "  control: \"{ip}:{}\"", ports.control)?;
            }
            Role::Proxy => {
                writeln!(text, "serves:\n  - \"front_proxy\"\nlisten-addresses:")?;
                writeln!(text, "  front-http: \"{ip}:{}\"", ports.front)?;
                writeln!(text, "  readiness: \"{ip}:{}\"", ports.readiness)?;
            }
        }
        let first = self.inner_port(at);
        let last = if self.relayed {
            first
        } else {
            first + INNER - 1
        };
        writeln!(text, "internal-port-range:\n  - {first}")?;
        writeln!(text, "  - {last}\nseed-nodes:")?;
        for seed in self.controls() {
            writeln!(text, "  - \"{seed}\"")?;
        }
        let counted = machine.role == Role::ControlNode;
        writeln!(
            text,
            "first-start: {}\nloss-counted: {counted}",
            !machine.started.get()
        )?;
        writeln!(
            text,
            "limits:\n  cpu-share: 1.0\n  cpu-cores: 1\n  memory-mb: 260"
        )?;
        writeln!(
            text,
            "  file-descriptors: 4100\n  disk-mb: 64\ndata-directory: {data}"
        )?;
        writeln!(text, "heartbeat-interval-s: {}", self.beat_s)?;
        writeln!(text, "tolerated-losses:\n  machines: {}", self.losses)?;
        writeln!(text, "  zones: 0\n  regions: 0\nbounds:")?;
        let figures = [
            ("seed-delay-s", 3.0),
            ("address-reuse-s", bounds::ADDRESS_REUSE_S),
            ("contact-window-s", bounds::CONTACT_S),
            ("acknowledge-s", bounds::ACKNOWLEDGE_S),
            ("catch-up-s", 4.0),
            ("drain-s", bounds::DRAIN_S),
            ("grace-period-s", bounds::GRACE_S),
            ("loss-slack-s", 0.2),
            ("configuration-apply-s", bounds::APPLY_S),
            ("rollback-slack-s", bounds::ROLLBACK_S),
            ("outer-stretch-s", 8.0),
            ("retry-budget-ratio", bounds::RETRY_RATIO),
            ("retry-window-s", 10.0),
            ("retry-budget-slack", bounds::RETRY_SLACK),
            ("recovery-s", 15.0),
        ];
        for (name, value) in figures {
            writeln!(text, "  {name}: {value}")?;
        }
        writeln!(text, "discovery: \"registration\"\nentry: \"virtual_ip\"")?;
        writeln!(text, "configuration-mode: \"highest\"")?;
        Ok(text)
    }

    /// Sends a signal to a machine's process; whether there is one.
    pub fn signal(&self, at: usize, signal: Signal) -> bool {
        self.pid(at).is_some_and(|id| signal_process(id, signal))
    }

    /// Empties a machine's disk, which nothing may have open.
    ///
    /// # Errors
    ///
    /// Of the file system.
    pub fn empty_disk(&self, at: usize) -> std::io::Result<()> {
        let disk = self.folder.join(format!("{}.disk", self.machines[at].name));
        std::fs::remove_dir_all(disk)
    }

    /// What was wrong with ends of that machine's process when it was told to end; told once.
    pub fn take_wrong(&self, at: usize) -> Vec<String> {
        let prefix = format!("{}:", self.machines[at].name);
        let mut wrong = self.wrong.borrow_mut();
        wrong.extract_if(.., |it| it.starts_with(&prefix)).collect()
    }

    /// Ends a machine's process at once, as a loss would.
    pub async fn lose(&self, at: usize) {
        let child = self.machines[at].child.take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Processes that ended by themselves so far.
    pub fn own_ends(&self) -> Vec<String> {
        for machine in &self.machines {
            let mut child = machine.child.borrow_mut();
            if let Some(Ok(Some(status))) = child.as_mut().map(Child::try_wait) {
                machine
                    .own_ends
                    .borrow_mut()
                    .push(format!("{}: {status}", machine.name));
                *child = None;
            }
        }
        self.machines
            .iter()
            .flat_map(|machine| machine.own_ends.borrow().clone())
            .collect()
    }

    /// Tells a machine's process to end, and waits until it has, the grace period at most.
    pub async fn end(&self, at: usize) {
        if let Some(told) = self.tell(at) {
            self.ended(told).await;
        }
    }

    /// Tells every process to end, waits for the grace period, then ends the rest; tells which did
    /// not end in order, now or before.
    pub async fn stop(&self) -> Vec<String> {
        let all = (0..self.machines.len()).filter_map(|at| self.tell(at));
        for told in all.collect::<Vec<Told>>() {
            self.ended(told).await;
        }
        // a moment for the last lines of the logs
        sleep(Duration::from_millis(20)).await;
        self.wrong.take()
    }

    fn tell(&self, at: usize) -> Option<Told> {
        let child = self.machines[at].child.take()?;
        if let Some(id) = child.id() {
            signal_process(id, Signal::TERM);
        }
        let grace = Instant::now() + Duration::from_secs_f64(bounds::GRACE_S);
        let started_at = self.machines[at].started_at.get();
        let starting = started_at.is_some_and(|started_at| started_at.elapsed() < STARTING);
        Some(Told {
            at,
            child,
            grace,
            starting,
        })
    }

    async fn ended(&self, told: Told) {
        let (name, mut child) = (&self.machines[told.at].name, told.child);
        let wrong = match timeout_at(told.grace, child.wait()).await {
            Ok(Ok(status)) if status.success() => return,
            Ok(Ok(status)) if told.starting && status.signal() == Some(Signal::TERM.as_raw()) => {
                return;
            }
            Ok(Ok(status)) => format!("{name}: {status}"),
            Ok(Err(error)) => format!("{name}: {error}"),
            Err(_) => {
                let _ = timeout(Duration::from_secs(1), child.kill()).await;
                format!("{name}: still there after {} s", bounds::GRACE_S)
            }
        };
        self.wrong.borrow_mut().push(wrong);
    }
}

/// Sends a signal to a process of this fleet; whether it was there.
pub fn signal_process(id: u32, signal: Signal) -> bool {
    let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
    pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
}

fn nanos() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::from(since.subsec_nanos()) << 32
}

impl Ports {
    /// Looks for ports that are free on all addresses, each first given by the system.
    fn look(ips: &[Ipv4Addr]) -> anyhow::Result<Self> {
        let first = *ips.first().context("no machines")?;
        let inner_ports = INNER.max(ips.len() as u16);
        for _ in 0..LOOKS {
            let mut held = Vec::new();
            let mut take = || {
                let listener = TcpListener::bind((first, 0))?;
                let port = listener.local_addr()?.port();
                held.push(listener);
                Ok::<u16, std::io::Error>(port)
            };
            let (control, front, readiness, inner) = (take()?, take()?, take()?, take()?);
            drop(held);
            let Some(last) = inner.checked_add(inner_ports - 1) else {
                continue;
            };
            let single = [control, front, readiness];
            if single.iter().any(|port| (inner..=last).contains(port)) {
                continue;
            }
            let free = |port: u16| {
                ips.iter().all(|ip| {
                    TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
                })
            };
            if single.into_iter().chain(inner..=last).all(free) {
                return Ok(Self {
                    control,
                    front,
                    readiness,
                    inner,
                });
            }
        }
        bail!("no ports are free on {} loopback addresses", ips.len())
    }
}
