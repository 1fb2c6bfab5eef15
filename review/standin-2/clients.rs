//! Clients as PROTOCOL.md has them: they keep a connection, and some send further requests of a `safe` route
//! before the first is answered. One that has read `Connection: close` sends nothing more.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::fleet::HOST;
use crate::http;
use crate::sys;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub path: String,
    pub at: Instant,
    /// The status of a whole answer, and when that was there.
    pub answer: Option<(u16, Instant)>,
    /// When its connection ended without one.
    pub lost: Option<Instant>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// One connection of a client.
pub struct Client {
    write: TcpStream,
    sent: Arc<Mutex<Vec<Sent>>>,
    /// Whether it has read that its connection ends.
    told_to_close: Arc<AtomicBool>,
}

impl Client {
    /// Connects over a stream.
    pub fn new(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        let read = BufReader::new(stream.try_clone()?);
        let sent = Arc::<Mutex<Vec<Sent>>>::default();
        let told_to_close = Arc::<AtomicBool>::default();
        let (all, told) = (sent.clone(), told_to_close.clone());
        spawn(move || take_answers(read, &all, &told));
        Ok(Self {
            write: stream,
            sent,
            told_to_close,
        })
    }

    /// The bytes of a request, which is noted as sent.
    fn request(&self, path: &str, deadline_ms: u64, more: &str) -> String {
        let id = format!(
            "{:08x}{:08x}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        self.sent.lock().unwrap().push(Sent {
            id: id.clone(),
            path: path.to_owned(),
            at: Instant::now(),
            answer: None,
            lost: None,
        });
        format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Remaining-Ms: {deadline_ms}\r\n{more}\r\n"
        )
    }

    /// Sends requests, one behind the other, unless it has read that the connection ends; whether it did.
    pub fn send(&mut self, paths: &[&str], deadline_ms: u64, more: &str) -> bool {
        if self.told_to_close.load(Ordering::SeqCst) {
            return false;
        }
        let all: String = (paths.iter())
            .map(|path| self.request(path, deadline_ms, more))
            .collect();
        self.write.write_all(all.as_bytes()).is_ok()
    }

    /// Waits until all that was sent is answered or lost, no longer than that.
    pub fn wait(&self, most: Duration) {
        let until = Instant::now() + most;
        while Instant::now() < until && self.has_open() {
            sleep(Duration::from_millis(1));
        }
    }

    fn has_open(&self) -> bool {
        let sent = self.sent.lock().unwrap();
        sent.iter()
            .any(|it| it.answer.is_none() && it.lost.is_none())
    }

    /// All that it sent.
    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.write.shutdown(Shutdown::Both);
    }
}

/// Answers come in the order of the requests.
fn take_answers(mut read: BufReader<TcpStream>, sent: &Mutex<Vec<Sent>>, told: &AtomicBool) {
    let mut next = 0;
    loop {
        let answer = http::read_head(&mut read).and_then(|head| {
            if head.header("connection").eq_ignore_ascii_case("close") {
                told.store(true, Ordering::SeqCst);
            }
            http::read_body(&mut read, &head)?;
            Ok(head.status())
        });
        let now = Instant::now();
        let mut sent = sent.lock().unwrap();
        match answer {
            Ok(status) => {
                if let Some(it) = sent.get_mut(next) {
                    it.answer = Some((status, now));
                }
                next += 1;
            }
            Err(_) => {
                sent.iter_mut()
                    .skip(next)
                    .for_each(|it| it.lost = Some(now));
                return;
            }
        }
    }
}

/// A connection as over a network: so much delay each way, and so many bytes a second to the client.
pub fn over_a_network(
    to: SocketAddrV4,
    delay: Duration,
    bytes_per_s: f64,
) -> std::io::Result<TcpStream> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let client = TcpStream::connect(listener.local_addr()?)?;
    let (near, _) = listener.accept()?;
    let far = sys::connect_as_over_a_network(to)?;
    for stream in [&client, &near, &far] {
        stream.set_nodelay(true)?;
    }
    pass_on(near.try_clone()?, far.try_clone()?, delay, f64::INFINITY);
    pass_on(far, near, delay, bytes_per_s);
    Ok(client)
}

/// Passes on what comes, so much later, and no faster than that.
fn pass_on(mut from: TcpStream, to: TcpStream, delay: Duration, bytes_per_s: f64) {
    let (push, pieces) = channel();
    spawn(move || deliver(to, &pieces));
    spawn(move || take(&mut from, &push, delay, bytes_per_s));
}

type Piece = (Instant, Vec<u8>);

/// Takes pieces no faster than the link carries them.
fn take(from: &mut TcpStream, push: &Sender<Piece>, delay: Duration, bytes_per_s: f64) {
    let mut free = Instant::now();
    let mut bytes = [0; 1448];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        let now = Instant::now();
        free = free.max(now) + Duration::from_secs_f64(count as f64 / bytes_per_s);
        if push.send((free + delay, bytes[..count].to_vec())).is_err() {
            break;
        }
        sleep(free.saturating_duration_since(Instant::now()));
    }
}

fn deliver(mut to: TcpStream, pieces: &Receiver<Piece>) {
    while let Ok((at, bytes)) = pieces.recv() {
        sleep(at.saturating_duration_since(Instant::now()));
        if to.write_all(&bytes).is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
