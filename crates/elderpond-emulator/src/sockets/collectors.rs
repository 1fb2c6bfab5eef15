//! One collector a zone: it connects to its manager, names its zone, and forwards reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use elderpond::interface::{Heard, LoadField};
use elderpond_wire::collector::{self, Client, Line, Upstream};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Lines that may wait for a connection; more are lost, as late sums are.
const MAIL: usize = 65_536;
/// Pause before a connection is tried again.
const AGAIN: Duration = Duration::from_millis(100);

/// The collectors of a manager.
pub struct Collectors {
    zones: Vec<String>,
    order: Arc<Vec<LoadField>>,
    lines: Vec<mpsc::Sender<String>>,
}

impl Collectors {
    /// Starts them.
    pub fn start(manager: SocketAddr, zones: Vec<String>, order: Arc<Vec<LoadField>>) -> Self {
        let lines = zones.iter().map(|zone| {
            let (lines, waiting) = mpsc::channel(MAIL);
            tokio::spawn(forward(manager, zone.clone(), waiting));
            lines
        });
        let lines = lines.collect();
        Self {
            zones,
            order,
            lines,
        }
    }

    /// What the proxies of a zone met at a worker.
    pub fn heard(&self, worker: &str, heard: &Heard) {
        let zone = usize::from(heard.zone);
        let line = Line::Upstream(Upstream {
            zone: self.zones[zone].as_str().into(),
            worker: worker.into(),
            tries: heard.tries,
            failed: heard.failed,
            took_ms: heard.took_ms,
            covers_ms: heard.covers_ms,
            load: heard.load.clone(),
        });
        let _ = self.lines[zone].try_send(collector::encode(&line, &self.order));
    }

    /// Requests that came to a proxy: any collector may say so.
    pub fn demand(&self, proxy: u16, class: &str, (came, unanswered, covers_ms): (u32, u32, f64)) {
        let class = class.into();
        let line = Line::Client(Client {
            proxy,
            class,
            came,
            unanswered,
            covers_ms,
        });
        let any = usize::from(proxy) % self.lines.len();
        let _ = self.lines[any].try_send(collector::encode(&line, &self.order));
    }
}

async fn forward(manager: SocketAddr, zone: String, mut lines: mpsc::Receiver<String>) {
    let head = collector::encode(&Line::Collector { zone: zone.into() }, &[]);
    let mut kept: Option<String> = None;
    loop {
        if let Ok(mut stream) = TcpStream::connect(manager).await {
            let _ = stream.set_nodelay(true);
            let mut well = stream.write_all(head.as_bytes()).await.is_ok();
            while well {
                let line = match kept.take() {
                    Some(line) => line,
                    None => match lines.recv().await {
                        Some(line) => line,
                        None => return,
                    },
                };
                well = stream.write_all(line.as_bytes()).await.is_ok();
                if !well {
                    kept = Some(line);
                }
            }
        }
        sleep(AGAIN).await;
    }
}
