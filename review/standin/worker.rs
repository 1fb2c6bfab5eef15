//! Workers: they beat, run requests of their service and answer them.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};

use crate::fleet::{Fleet, ZONES};
use crate::http::{call, Head, Wire};
use crate::{pause, Play};

/// Requests that wait at a worker beyond its slots, at most.
const QUEUE: usize = 16;

/// Answers of workers in trouble.
static TROUBLED_ANSWERS: AtomicU64 = AtomicU64::new(0);

/// How a worker answers.
#[derive(Clone, Copy)]
pub struct Manner {
    /// Seconds of work.
    pub work: f64,
    /// Bytes of an answer, by the last character of the request's path.
    pub bytes: fn(&str) -> usize,
    /// Of the answers of all workers in trouble one in so many is broken off in the middle; 0 for none.
    pub breaks_one_in: u64,
}

pub struct Worker {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    slots: usize,
    manner: Manner,
    play: Arc<Play>,
    /// Whether it is in trouble now.
    pub trouble: AtomicBool,
    /// Answers that it broke off.
    pub broken: AtomicU64,
    /// Requests at work, and those that wait for a slot.
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    over: AtomicBool,
    /// What it ran, by the request's id, and whether its answer was written whole.
    pub runs: Mutex<HashMap<String, bool>>,
}

impl Worker {
    /// Starts one; it beats until told to end.
    pub fn start(
        fleet: &Arc<Fleet>,
        play: &Arc<Play>,
        number: u8,
        service: &'static str,
        manner: Manner,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind((fleet.worker_ip(number), 0)).map_err(|error| error.to_string())?;
        let worker = Arc::new(Self {
            id: format!("i-{number:04x}{:08x}", std::process::id()),
            service,
            zone: ZONES[usize::from(number) % ZONES.len()],
            address: listener.local_addr().map_err(|error| error.to_string())?,
            slots: 4,
            manner,
            play: play.clone(),
            trouble: AtomicBool::new(false),
            broken: AtomicU64::new(0),
            busy: Mutex::default(),
            freed: Condvar::new(),
            over: AtomicBool::new(false),
            runs: Mutex::default(),
        });
        play.note(format!(
            "worker {} of {service} starts at {}",
            worker.id, worker.address
        ));
        let serving = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        let (beating, fleet) = (worker.clone(), fleet.clone());
        std::thread::spawn(move || beating.beat(&fleet));
        Ok(worker)
    }

    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    fn beat(&self, fleet: &Fleet) {
        for sequence in 1.. {
            if self.over.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                "{{\"address\":\"{}\",\"information\":{{\"service\":\"{}\",\"version-number\":\"v1\",\
                 \"zone\":\"{}\",\
                 \"slots\":{}}},\"status\":{{\"state\":\"ready\",\"call-sequence\":{sequence},\
                 \"cold-remaining-s\":0}}}}",
                self.address, self.service, self.zone, self.slots
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            // the next control node, until one acknowledges
            for turn in 0..fleet.hives.len() {
                let hive = fleet.hives[(turn + sequence as usize) % fleet.hives.len()];
                if call(fleet.control(hive), "POST", &path, body.as_bytes(), 1.0).is_ok_and(|it| it.0 == 200)
                {
                    break;
                }
            }
            pause(1.5);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(head) = wire.head() {
            let Ok(_) = wire.body(&head) else { return };
            match self.answer(&head, &mut wire.stream) {
                Ok(true) => {}
                _ => return,
            }
        }
    }

    /// Answers a request; whether the connection goes on.
    fn answer(&self, head: &Head, to: &mut TcpStream) -> std::io::Result<bool> {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        if head.path() == "/health" {
            let name = &self.id;
            write!(
                to,
                "HTTP/1.1 200 OK\r\nX-Answering-Instance: {name}\r\nContent-Length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        let turned_away = |to: &mut TcpStream, status: &str| {
            write!(
                to,
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Request-Not-Run: 1\r\nContent-Length: 0\r\n\
                 \r\n"
            )
        };
        if head.get("x-expected-instance").is_some_and(|it| it != self.id) {
            turned_away(to, "421 Misdirected Request")?;
            return Ok(true);
        }
        {
            let mut busy = self.busy.lock().unwrap();
            if busy.0 >= self.slots {
                if busy.1 >= QUEUE {
                    turned_away(to, "503 Service Unavailable")?;
                    return Ok(true);
                }
                busy.1 += 1;
                busy = self.freed.wait_while(busy, |busy| busy.0 >= self.slots).unwrap();
                busy.1 -= 1;
            }
            busy.0 += 1;
        }
        self.runs.lock().unwrap().insert(id.clone(), false);
        self.play.note(format!("worker {} runs {id}", self.id));
        pause(self.manner.work);
        let (running, waiting) = {
            let mut busy = self.busy.lock().unwrap();
            busy.0 -= 1;
            self.freed.notify_one();
            *busy
        };
        let bytes = (self.manner.bytes)(head.path());
        let body: Vec<u8> = id.bytes().cycle().take(bytes).collect();
        let one_in = self.manner.breaks_one_in;
        let breaks = one_in > 0
            && self.trouble.load(Ordering::Relaxed)
            && TROUBLED_ANSWERS.fetch_add(1, Ordering::Relaxed) % one_in == one_in / 2;
        let load = format!("{running},{waiting},{}", self.slots);
        write!(
            to,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal.{id}\r\n\
             X-Instance-Load: {load}\r\n\
             Content-Length: {bytes}\r\n\r\n"
        )?;
        if breaks {
            to.write_all(&body[..bytes * 3 / 4])?;
            self.broken.fetch_add(1, Ordering::Relaxed);
            self.play.note(format!(
                "worker {} breaks off its answer to {id}, {bytes} bytes",
                self.id
            ));
            return Ok(false);
        }
        to.write_all(&body)?;
        self.runs.lock().unwrap().insert(id, true);
        Ok(true)
    }
}
