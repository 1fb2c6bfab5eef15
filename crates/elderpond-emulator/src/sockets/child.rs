//! The built program: its configuration, its process, and the end of its log.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use elderpond_wire::discovery::{Listed, Listing};
use elderpond_wire::handover::{self, Handover};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::{sleep, timeout};

use super::{SocketsError, system};

/// A manager is to be ready within this.
const READY: Duration = Duration::from_secs(10);
/// Pause between two looks at whether it is.
const AGAIN: Duration = Duration::from_millis(20);
/// Lines shown of the log of one that has ended.
const LOG_LINES: usize = 8;
/// What it may use, by the platform's smallest machine.
const MEMORY_MB: usize = 192;
const SOCKETS: usize = 1024;

/// What a manager is told before it starts.
pub struct Told {
    /// Which manager.
    pub manager: usize,
    /// For its random numbers.
    pub seed: u64,
    /// Where it is to listen.
    pub listen: SocketAddr,
    /// Where its discovery is.
    pub discovery: SocketAddr,
    /// Where the relay is.
    pub relay: SocketAddr,
    /// The list as it last had it.
    pub known: Vec<Listed>,
    /// The settings, as JSON.
    pub settings: String,
}

/// A manager's process.
pub struct Child {
    process: tokio::process::Child,
    log: PathBuf,
}

impl Child {
    /// Writes the configuration and starts the program in the way of `run`.
    pub fn start(program: &Path, folder: &Path, told: Told) -> Result<Self, SocketsError> {
        let name = format!("n{}", told.manager);
        let (listen, discovery, relay) = (
            told.listen.to_string(),
            told.discovery.to_string(),
            told.relay.to_string(),
        );
        let known = Listing {
            version: 0,
            whole: true,
            entries: told.known,
            dropped: 0,
        };
        let text = handover::encode(&Handover {
            name: &name,
            listen: &listen,
            discovery: &discovery,
            relay: &relay,
            seed: told.seed,
            sockets: SOCKETS,
            memory_mb: MEMORY_MB,
            cores: 1.0,
            known: Some(&known),
            settings: &told.settings,
        })?;
        let config = folder.join(format!("{name}.json"));
        std::fs::write(&config, text).map_err(system("cannot write a configuration"))?;
        let log = folder.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(system("cannot open a log"))?;
        let process = Command::new(program)
            .arg("serve")
            .env(handover::NAME, &name)
            .env(handover::LISTEN, &listen)
            .env(handover::DISCOVERY, &discovery)
            .env(handover::CONFIG, &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .kill_on_drop(true)
            .spawn();
        let process = process.map_err(|cause| SocketsError::Program {
            program: program.to_owned(),
            cause,
        })?;
        Ok(Self { process, log })
    }

    /// How it ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        self.process
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Kills it outright, and waits until it is gone.
    pub async fn kill(&mut self) {
        let _ = self.process.kill().await;
    }

    /// The last lines of its log.
    pub fn log_end(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(LOG_LINES).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }
}

/// Whether a manager gives a sign of life in time.
pub async fn is_ready(listen: SocketAddr) -> bool {
    let ready = async {
        while !gives_sign(listen).await {
            sleep(AGAIN).await;
        }
    };
    timeout(READY, ready).await.is_ok()
}

async fn gives_sign(listen: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(listen).await else {
        return false;
    };
    let mut answer = vec![0; elderpond_wire::collector::HEARTBEAT_OK.len()];
    let asked = stream.write_all(b"{\"type\":\"hb\"}\n").await.is_ok();
    asked && stream.read_exact(&mut answer).await.is_ok()
}
