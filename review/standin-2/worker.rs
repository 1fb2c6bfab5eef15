//! Workers as PROTOCOL.md has them: they beat, turn away what is meant for another, and answer sealed.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http::{self, Message};

/// The port of every worker.
const PORT: u16 = 9000;
const BEAT: Duration = Duration::from_millis(1500);

/// A run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
    pub service: &'static str,
    pub begun: Instant,
    /// When the last byte of its answer was handed to the system.
    pub answered: Option<Instant>,
}

/// All that workers ran.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Run>>>);

impl Ledger {
    fn begin(&self, id: &str, worker: &Worker) -> usize {
        let mut runs = self.0.lock().unwrap();
        runs.push(Run {
            id: id.to_owned(),
            worker: worker.id.clone(),
            service: worker.service,
            begun: Instant::now(),
            answered: None,
        });
        runs.len() - 1
    }

    fn end(&self, run: usize) {
        self.0.lock().unwrap()[run].answered = Some(Instant::now());
    }

    /// The runs of a request.
    pub fn of(&self, id: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }
}

/// What a worker does with a request.
pub struct Work {
    pub takes: Duration,
    pub bytes: usize,
}

/// Decides what a worker, by its number, does with a request of that path.
pub type Decide = fn(worker: usize, path: &str) -> Work;

/// One worker.
#[derive(Clone)]
struct Worker {
    number: usize,
    id: String,
    node: Ipv4Addr,
    service: &'static str,
    decide: Decide,
    ledger: Ledger,
}

/// Starts so many workers of each of these services.
pub fn start(
    fleet: &Arc<Fleet>,
    service: &'static str,
    count: usize,
    ledger: &Ledger,
    decide: Decide,
) -> Result<(), String> {
    for number in 0..count {
        let worker = Worker {
            number,
            id: format!("i-{:08x}", 0x7f3a_0000 + number),
            node: crate::sys::node(fleet.network, 100 + number as u8),
            service,
            decide,
            ledger: ledger.clone(),
        };
        let listener = TcpListener::bind((worker.node, PORT)).map_err(|error| error.to_string())?;
        let (fleet, beating) = (fleet.clone(), worker.clone());
        spawn(move || beating.beat(&fleet));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = worker.clone();
                spawn(move || worker.serve(stream));
            }
        });
    }
    Ok(())
}

impl Worker {
    fn beat(&self, fleet: &Fleet) {
        let Self {
            id, node, service, ..
        } = self;
        for sequence in 1_u64.. {
            let body = format!(
                r#"{{"address":"{node}:{PORT}","information":{{"service":"{service}",
"version-number":"v1","zone":"sali-a","slots":4}},
"status":{{"state":"ready","call-sequence":{sequence},"cold-remaining-s":0}}}}"#
            );
            for hive in &fleet.hives {
                let path = format!("/instances/{id}/heartbeat");
                let answer = fleet.call(*hive, "POST", &path, &body, Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
            }
            sleep(BEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let (mut read, mut write) = (BufReader::new(read), stream);
        while let Ok(request) = http::read(&mut read) {
            if !self.answer(&mut write, &request) {
                return;
            }
        }
    }

    /// Answers a request; whether the connection goes on.
    fn answer(&self, write: &mut TcpStream, request: &Message) -> bool {
        let (id, attempt) = (&self.id, request.header("x-attempt-id"));
        if request.path() == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Answering-Instance: {id}\r\nX-Instance-Load: 0,0,4\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return write.write_all(head.as_bytes()).is_ok();
        }
        if request.header("x-expected-instance") != id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return write.write_all(head.as_bytes()).is_ok();
        }
        let run = self.ledger.begin(attempt, self);
        let work = (self.decide)(self.number, request.path());
        sleep(work.takes);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {id}.{attempt}\r\n\
             X-Instance-Load: 1,0,4\r\nContent-Length: {}\r\n\r\n",
            work.bytes
        );
        let whole = write.write_all(head.as_bytes()).is_ok()
            && write.write_all(&vec![b'x'; work.bytes]).is_ok();
        if whole {
            self.ledger.end(run);
        }
        whole
    }
}
