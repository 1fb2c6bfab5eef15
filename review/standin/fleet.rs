//! The platform: settings files, processes, and which proxies get new connections.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::http::call;
use crate::{pause, Draw, Play};

pub const ZONES: [&str; 3] = ["porto-a", "porto-b", "caxias-c"];

/// Control nodes and proxies, each the real program with an address of its own.
pub struct Fleet {
    play: Arc<Play>,
    folder: PathBuf,
    net: [u8; 2],
    port: u16,
    pub hives: Vec<Ipv4Addr>,
    pub proxies: Vec<Ipv4Addr>,
    running: Mutex<HashMap<Ipv4Addr, Child>>,
    /// Proxies by whether two questions in a row had no 200.
    out: Mutex<HashMap<Ipv4Addr, u32>>,
    over: AtomicBool,
}

impl Fleet {
    /// Addresses and ports are drawn; nothing is started yet.
    pub fn new(play: &Arc<Play>, hives: u8, proxies: u8) -> Result<Arc<Self>, String> {
        let mut draw = Draw(u64::from(std::process::id()) << 20 ^ play.now().to_bits());
        let folder = play.folder.clone();
        for _ in 0..50 {
            let net = [20 + (draw.next() % 200) as u8, 1 + (draw.next() % 250) as u8];
            let port = 20_000 + (draw.next() % 9_000) as u16;
            let at = |last: u8| Ipv4Addr::new(127, net[0], net[1], last);
            let all: Vec<Ipv4Addr> = (0..hives)
                .map(|i| at(10 + i))
                .chain((0..proxies).map(|i| at(60 + i)))
                .collect();
            let free = |ip: &Ipv4Addr| (port..port + 20).all(|port| TcpListener::bind((*ip, port)).is_ok());
            if all.iter().all(free) {
                let (hives, proxies) = all.split_at(usize::from(hives));
                let fleet = Arc::new(Self {
                    play: play.clone(),
                    folder,
                    net,
                    port,
                    hives: hives.to_vec(),
                    proxies: proxies.to_vec(),
                    running: Mutex::default(),
                    out: Mutex::default(),
                    over: AtomicBool::new(false),
                });
                *play.fleet.lock().unwrap() = Some(fleet.clone());
                return Ok(fleet);
            }
        }
        Err("no free ports".to_owned())
    }

    /// An address for a worker.
    pub fn worker_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], 120 + number)
    }

    pub fn front(&self, proxy: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((proxy, self.port))
    }

    pub fn control(&self, hive: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((hive, self.port + 2))
    }

    fn settings(&self, ip: Ipv4Addr, first: bool) -> String {
        let hive = self.hives.contains(&ip);
        let all = if hive { &self.hives } else { &self.proxies };
        let number = all.iter().position(|it| *it == ip).unwrap_or(0);
        let zone = ZONES[number % ZONES.len()];
        let zones = ZONES.map(|zone| format!("  {zone}: \"rs-serra\"\n")).concat();
        let seeds: String = self
            .hives
            .iter()
            .map(|it| format!("  - \"{}\"\n", self.control(*it)))
            .collect();
        let port = self.port;
        let (class, serves, listen, cpu, disk, data) = match hive {
            true => (
                "core_proxy",
                "control",
                format!("  control: \"{ip}:{}\"\n", port + 2),
                0.6,
                256,
                format!("\"{}\"", self.folder.join(format!("{ip}.disk")).display()),
            ),
            false => (
                "front_proxy",
                "front_proxy",
                format!(
                    "  front-http: \"{ip}:{port}\"\n  readiness: \"{ip}:{}\"\n",
                    port + 1
                ),
                0.17,
                0,
                "null".to_owned(),
            ),
        };
        format!(
            "node-name: \"{class}-{number}\"\nrole: \"{role}\"\nmachine-class: \"{class}\"\nserves:\n\
             \x20\x20- \"{serves}\"\n\
             ip-address: \"{ip}\"\nzone: \"{zone}\"\nregion: \"rs-serra\"\nzones:\n\
             {zones}listen-addresses:\n{listen}\
             internal-port-range:\n  - {inner}\n  - {last}\nseed-nodes:\n{seeds}first-start: {first}\n\
             loss-counted: {hive}\nlimits:\n  cpu-share: {cpu}\n  cpu-cores: 1\n  memory-mb: {memory}\n  \
             file-descriptors: {descriptors}\n  link-bandwidth-mbps: 1000.0\n  disk-mb: {disk}\n\
             data-directory: {data}\n\
             discovery: \"registration\"\nentry: \"virtual_ip\"\nheartbeat-interval-s: 1.5\ncontracts:\n\
             \x20\x20- \"base\"\n  \
             - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n\
             tolerated-losses:\n  machines: 1\n  \
             zones: 0\n  regions: 0\nbounds:\n  seed-delay-s: 3\n  address-reuse-s: 2\n\
             \x20\x20contact-window-s: 3\n  \
             acknowledge-s: 5\n  catch-up-s: 4\n  drain-s: 2.5\n  grace-period-s: 6\n  loss-slack-s: 0.2\n\
             \x20\x20\
             configuration-apply-s: 2.5\n  rollback-slack-s: 0.25\n  outer-stretch-s: 8\n\
             \x20\x20retry-budget-ratio: 0.2\n  \
             retry-window-s: 10\n  retry-budget-slack: 58\n  recovery-s: 15\n\
             configuration-mode: \"highest\"\n",
            role = if hive { "hive" } else { "forager" },
            memory = if hive { 256 } else { 260 },
            descriptors = if hive { 4096 } else { 4100 },
            inner = port + 4,
            last = port + 19,
        )
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, ip: Ipv4Addr, first: bool) -> Result<(), String> {
        let role = if self.hives.contains(&ip) {
            "hive"
        } else {
            "forager"
        };
        let boot = self.folder.join(format!("{ip}.yaml"));
        let text = |error: std::io::Error| error.to_string();
        fs::write(&boot, self.settings(ip, first)).map_err(text)?;
        if role == "hive" {
            fs::create_dir_all(self.folder.join(format!("{ip}.disk"))).map_err(text)?;
        }
        let log = self.folder.join(format!("{ip}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(text)?;
        let child = Command::new(self.play.root.join("target/release/elderpond"))
            .arg(role)
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"]
                    .iter()
                    .filter_map(|it| Some((*it, std::env::var(it).ok()?))),
            )
            .env("ELDERPOND_BOOT", boot)
            .current_dir(&self.play.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(text)?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("target/release/elderpond {role}: {error}"))?;
        let pid = child.id();
        let pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let noted = pids.and_then(|mut pids| writeln!(pids, "{pid}"));
        self.play.note(format!(
            "platform: {role} {ip} is started, process {pid}, first-start {first}"
        ));
        self.running().insert(ip, child);
        noted.map_err(text)?;
        Ok(())
    }

    pub fn start_all(&self, first: bool) -> Result<(), String> {
        self.hives
            .iter()
            .chain(&self.proxies)
            .try_for_each(|ip| self.start(*ip, first))
    }

    fn running(&self) -> MutexGuard<'_, HashMap<Ipv4Addr, Child>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills every process at once.
    pub fn kill_all(&self) {
        let mut running = self.running();
        for child in running.values_mut() {
            let _ = child.kill();
        }
        for (_, mut child) in running.drain() {
            let _ = child.wait();
        }
    }

    /// Ends all that runs; whoever made the folder removes it.
    pub fn close(&self) {
        self.over.store(true, Ordering::Relaxed);
        self.kill_all();
    }

    /// Processes that have ended by themselves.
    pub fn ended(&self) -> Vec<Ipv4Addr> {
        let mut running = self.running();
        let ended = running
            .iter_mut()
            .filter_map(|(ip, child)| child.try_wait().ok()?.map(|_| *ip));
        ended.collect()
    }

    /// The last lines that a process logged.
    pub fn log(&self, ip: Ipv4Addr, lines: usize) -> String {
        let text = fs::read_to_string(self.folder.join(format!("{ip}.log"))).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n           ")
    }

    pub fn is_ready(&self, proxy: Ipv4Addr) -> bool {
        let at = SocketAddr::from((proxy, self.port + 1));
        call(at, "GET", "/readiness", b"", 1.0).is_ok_and(|(status, _)| status == 200)
    }

    /// Asks each proxy every second whether it is ready, until the end.
    pub fn watch(self: &Arc<Self>) {
        let fleet = self.clone();
        std::thread::spawn(move || {
            while !fleet.over.load(Ordering::Relaxed) {
                for proxy in &fleet.proxies {
                    let ready = fleet.is_ready(*proxy);
                    let mut out = fleet.out.lock().unwrap();
                    let missed = out.entry(*proxy).or_default();
                    *missed = if ready { 0 } else { *missed + 1 };
                }
                pause(1.0);
            }
        });
    }

    pub fn unwatch(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// The proxies that get new connections: all, should fewer than half of them be in.
    pub fn entry(&self) -> Vec<Ipv4Addr> {
        let out = self.out.lock().unwrap();
        let is_in = |proxy: &&Ipv4Addr| out.get(*proxy).is_none_or(|missed| *missed < 2);
        let ins: Vec<Ipv4Addr> = self.proxies.iter().filter(is_in).copied().collect();
        if 2 * ins.len() < self.proxies.len() {
            return self.proxies.clone();
        }
        ins
    }

    /// Waits until every proxy is ready.
    pub fn wait_ready(&self, seconds: f64) -> Result<(), String> {
        let until = self.play.now() + seconds;
        while !self.proxies.iter().all(|proxy| self.is_ready(*proxy)) {
            if self.play.now() > until {
                return Err("the proxies did not get ready".to_owned());
            }
            pause(0.1);
        }
        Ok(())
    }

    /// The operator: sends a configuration until it is acknowledged.
    pub fn put(&self, name: &str, body: &[u8], seconds: f64) -> Result<(), String> {
        let until = self.play.now() + seconds;
        let mut last = String::new();
        for turn in 0.. {
            let hive = self.hives[turn % self.hives.len()];
            match call(self.control(hive), "POST", "/configuration/replace", body, 5.0) {
                Ok((200, _)) => {
                    self.play
                        .say(format!("operator: {name} is acknowledged by {hive}"));
                    return Ok(());
                }
                Ok((status, body)) => last = format!("{status} {}", String::from_utf8_lossy(&body)),
                Err(error) => last = error.to_string(),
            }
            if self.play.now() > until {
                break;
            }
            pause(0.2);
        }
        Err(format!("{name} is not acknowledged: {last}"))
    }

    /// The operator: the version that a control node reads back.
    pub fn read_back(&self, hive: Ipv4Addr) -> String {
        match call(self.control(hive), "GET", "/configuration/read", b"", 3.0) {
            Ok((200, body)) => {
                let text = String::from_utf8_lossy(&body);
                let version = text.split_once("\"version-number\":\"").map(|(_, rest)| rest);
                let version = version.and_then(|rest| rest.split('"').next()).unwrap_or("?");
                format!("{version}, {} bytes", body.len())
            }
            Ok((status, _)) => status.to_string(),
            Err(error) => error.to_string(),
        }
    }
}
