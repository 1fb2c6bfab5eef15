//! Clients that open a connection for each try, and try again as the pages say.

use std::io::Write;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http::Wire;
use crate::{pause, Play};

/// A kind of request.
#[derive(Clone, Copy)]
pub struct Kind {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub safe: bool,
    pub deadline: f64,
    pub body: usize,
}

/// A request as its client saw it: when it was sent, and whether it was served.
pub struct Seen {
    pub sent: f64,
    pub served: bool,
}

pub struct Clients {
    play: Arc<Play>,
    fleet: Arc<Fleet>,
    next: AtomicU64,
    over: AtomicBool,
    pub seen: Mutex<Vec<Seen>>,
}

enum Tried {
    Served,
    /// Nothing ran; when to come again.
    Refused(f64),
    Failed(String),
}

impl Clients {
    /// Clients that send one request each `gap` seconds, the kinds in turn.
    pub fn start(
        fleet: &Arc<Fleet>,
        play: &Arc<Play>,
        count: usize,
        gap: f64,
        kinds: &'static [Kind],
    ) -> Arc<Self> {
        let clients = Arc::new(Self {
            play: play.clone(),
            fleet: fleet.clone(),
            next: AtomicU64::new(1),
            over: AtomicBool::new(false),
            seen: Mutex::default(),
        });
        for client in 0..count {
            let clients = clients.clone();
            std::thread::spawn(move || {
                pause(gap * client as f64 / count as f64);
                let mut turn = client;
                while !clients.over.load(Ordering::Relaxed) {
                    let began = clients.play.now();
                    clients.request(&kinds[turn % kinds.len()], turn);
                    turn += 1;
                    pause(began + gap - clients.play.now());
                }
            });
        }
        clients
    }

    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// How many requests were sent from one moment to another, and how many of them were served.
    pub fn count(&self, from: f64, to: f64) -> (usize, usize) {
        let seen = self.seen.lock().unwrap();
        let all = seen.iter().filter(|it| (from..to).contains(&it.sent));
        all.fold((0, 0), |(all, served), it| {
            (all + 1, served + usize::from(it.served))
        })
    }

    fn request(&self, kind: &Kind, turn: usize) {
        let sent = self.play.now();
        let until = sent + kind.deadline;
        let mut served = false;
        for again in 0..4 {
            let proxies = self.fleet.entry();
            let proxy = proxies[(turn + again) % proxies.len()];
            let id = format!("{:016x}", self.next.fetch_add(1, Ordering::Relaxed));
            self.play.note(format!(
                "client: sends {} {}{} {id} to {proxy}",
                kind.method, kind.host, kind.path
            ));
            let tried = self.attempt(kind, proxy, &id, until);
            let told = match &tried {
                Tried::Served => "200".to_owned(),
                Tried::Refused(_) => "503".to_owned(),
                Tried::Failed(why) => why.clone(),
            };
            self.play.note(format!(
                "client: {} {} {id} at {proxy}: {told}",
                kind.method, kind.host
            ));
            let left = until - self.play.now();
            match tried {
                Tried::Served => {
                    served = true;
                    break;
                }
                Tried::Refused(after) if left > 0.0 => pause(after.min(left / 3.0)),
                Tried::Failed(_) if kind.safe && left > 0.0 => pause(0.05),
                Tried::Refused(_) | Tried::Failed(_) => break,
            }
        }
        self.seen.lock().unwrap().push(Seen { sent, served });
    }

    fn attempt(&self, kind: &Kind, proxy: Ipv4Addr, id: &str, until: f64) -> Tried {
        let left = until - self.play.now();
        if left <= 0.0 {
            return Tried::Failed("deadline".to_owned());
        }
        let failed = |error: std::io::Error| Tried::Failed(error.kind().to_string());
        let mut wire = match Wire::connect(self.fleet.front(proxy), Duration::from_secs_f64(left.min(1.0))) {
            Ok(wire) => wire,
            Err(error) => return failed(error),
        };
        let _ = wire
            .stream
            .set_read_timeout(Some(Duration::from_secs_f64(left.max(0.01))));
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n",
            kind.method,
            kind.path,
            kind.host,
            (left * 1000.0) as u64,
            kind.body
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + kind.body, b'x');
        if let Err(error) = wire.stream.write_all(&request) {
            return failed(error);
        }
        let answer = wire
            .head()
            .and_then(|head| wire.body(&head).map(|body| (head, body)));
        match answer {
            Err(error) => failed(error),
            Ok((head, _)) if head.status() == 200 && head.get("x-server-seal").is_some() => Tried::Served,
            Ok((head, _)) if head.status() == 503 => {
                let after = head.get("retry-after").and_then(|it| it.parse().ok());
                Tried::Refused(after.unwrap_or(0.1))
            }
            Ok((head, _)) => Tried::Failed(head.status().to_string()),
        }
    }
}
