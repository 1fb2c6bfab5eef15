//! Hollow workers: beats over HTTP, and nothing behind them; but for a few that answer requests.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use elderpond_registry::Number;
use elderpond_rehearsal::{Line, open};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::seen::Seen;

/// Connections to each hive, each of which carries its share of the beats.
const LINES: usize = 16;
/// An acknowledgement comes within this, or never.
const WITHIN: Duration = Duration::from_secs(1);

/// What the workers are to be.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many, those that answer among them.
    pub count: usize,
    /// How many answer requests: they are the first ones, of the service [`LIVE`].
    pub live: usize,
    /// Services of the others.
    pub services: usize,
    /// `control` of the hives.
    pub hives: Vec<SocketAddrV4>,
    /// The zone of each hive; a worker calls one of its own zone.
    pub zones: Vec<String>,
    /// The second byte of their addresses.
    pub net: u8,
    /// Between two beats.
    pub every: Duration,
    /// Whether each beat has a connection of its own.
    pub apart: bool,
}

/// The service whose workers answer.
pub const LIVE: &str = "live";

/// A hollow worker's service.
pub fn service(plan: &Plan, worker: usize) -> String {
    match worker < plan.live {
        true => LIVE.to_owned(),
        false => format!("service-{:04}", worker % plan.services.max(1)),
    }
}

/// A worker's name in its n-th life: ten digits that deflate as drawn ones do.
pub fn name(worker: usize, life: u32) -> String {
    let drawn = fastrand::Rng::with_seed((worker as u64) << 32 | u64::from(life)).u64(..1 << 40);
    format!("i-{drawn:010x}")
}

/// What is asked of them.
#[derive(Debug)]
pub enum Ask {
    /// So many say that they leave, go, and come back as new ones, spread over that time.
    Replace(usize, Duration),
}

/// Asks the workers' thread; dropped, all of them end.
#[derive(Debug)]
pub struct Workers {
    asks: mpsc::Sender<Ask>,
    _ends: oneshot::Sender<()>,
    /// Where those that answer do.
    pub live: Vec<SocketAddrV4>,
}

impl Workers {
    /// Starts them on a thread of their own.
    pub fn start(plan: Plan, seen: Arc<Seen>) -> anyhow::Result<Self> {
        let (asks, asked) = mpsc::channel(4);
        let (ends, ended) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (mut live, mut listeners) = (Vec::new(), Vec::new());
        for worker in 0..plan.live {
            let ip = Ipv4Addr::new(127, plan.net, 255, worker as u8 + 1);
            let listener = std::net::TcpListener::bind((ip, 0))?;
            listener.set_nonblocking(true)?;
            live.push(SocketAddrV4::new(ip, listener.local_addr()?.port()));
            listeners.push(listener);
        }
        let places = live.clone();
        let run = move || {
            LocalSet::new().block_on(&runtime, async move {
                for (worker, listener) in listeners.into_iter().enumerate() {
                    if let Ok(listener) = TcpListener::from_std(listener) {
                        spawn_local(answer(worker, listener));
                    }
                }
                tokio::select! {
                    () = all(plan, places, seen, asked) => {}
                    _ = ended => {}
                }
            });
        };
        std::thread::Builder::new()
            .name("workers".into())
            .spawn(run)?;
        Ok(Self {
            asks,
            _ends: ends,
            live,
        })
    }

    /// Asks for something.
    pub async fn ask(&self, ask: Ask) -> anyhow::Result<()> {
        self.asks.send(ask).await.context("the workers have ended")
    }
}

/// The numbers of all workers in their first life.
pub fn numbers(count: usize) -> Vec<Number> {
    (0..count).map(|at| Number::of(&name(at, 0))).collect()
}

// ---- Beats ----

struct Worker {
    at: usize,
    life: u32,
    sequence: u64,
    service: String,
    address: SocketAddrV4,
    zone: String,
}

impl Worker {
    fn beat(&mut self, state: &str) -> (String, String) {
        self.sequence += 1;
        let path = format!("/instances/{}/heartbeat", name(self.at, self.life));
        let place = format!(r#"{{"address":"{}","information":"#, self.address);
        let information = format!(
            r#"{{"service":"{}","version-number":"v1","zone":"{}","slots":4}},"#,
            self.service, self.zone
        );
        let status = format!(
            r#""status":{{"state":"{state}","call-sequence":{},"cold-remaining-s":0}}}}"#,
            self.sequence
        );
        (path, place + &information + &status)
    }
}

async fn all(plan: Plan, live: Vec<SocketAddrV4>, seen: Arc<Seen>, mut asked: mpsc::Receiver<Ask>) {
    let plan = Rc::new(plan);
    let lines = plan.hives.len() * LINES;
    let mut shares: Vec<Vec<Worker>> = (0..lines).map(|_| Vec::new()).collect();
    for at in 0..plan.count {
        let hive = at % plan.hives.len();
        // an odd factor: each address once, in no order
        let place = (at as u32 + 1).wrapping_mul(40_503) & 0xffff;
        let bits = (127 << 24) | (u32::from(plan.net) << 16) | place;
        shares[at % lines].push(Worker {
            at,
            life: 0,
            sequence: 0,
            service: service(&plan, at),
            address: live
                .get(at)
                .copied()
                .unwrap_or(SocketAddrV4::new(Ipv4Addr::from_bits(bits), 8080)),
            zone: plan.zones[hive].clone(),
        });
    }
    let mut doors = Vec::new();
    for (line, share) in shares.into_iter().enumerate() {
        let hive = plan.hives[line % plan.hives.len()];
        let share = Rc::new(RefCell::new(share));
        doors.push((Caller::new(hive, &plan, &seen), share.clone()));
        spawn_local(beats(Caller::new(hive, &plan, &seen), share, plan.every));
    }
    let mut next = plan.live;
    while let Some(Ask::Replace(count, over)) = asked.recv().await {
        let gap = over / count.max(1) as u32;
        for _ in 0..count {
            let begun = Instant::now();
            next = if next >= plan.count { plan.live } else { next };
            let (caller, share) = &mut doors[next % lines];
            replace(caller, share, next / lines).await;
            next += 1;
            sleep_until(begun + gap).await;
        }
    }
}

/// One worker drains, leaves, and is followed by another at the same place.
async fn replace(caller: &mut Caller, share: &RefCell<Vec<Worker>>, at: usize) {
    let Some((path, body)) = share.borrow_mut().get_mut(at).map(|it| it.beat("draining")) else {
        return;
    };
    let leave = path.replace("heartbeat", "leave");
    let drained = caller.call(&path, body).await;
    let left = caller.call(&leave, "{}".to_owned()).await;
    if let Some(worker) = share.borrow_mut().get_mut(at) {
        (worker.life, worker.sequence) = (worker.life + 1, 0);
    }
    if drained && left {
        caller.seen.replaced.fetch_add(1, Ordering::Relaxed);
    }
}

/// Beats of a share of the workers, spread evenly over the time between two.
async fn beats(mut caller: Caller, share: Rc<RefCell<Vec<Worker>>>, every: Duration) {
    let count = share.borrow().len();
    if count == 0 {
        return;
    }
    let gap = every / count as u32;
    let mut due = Instant::now() + gap.mul_f64(fastrand::f64());
    loop {
        for at in 0..count {
            sleep_until(due).await;
            due = (due + gap).max(Instant::now() - every); // what is late by more is left out
            let (path, body) = share.borrow_mut()[at].beat("ready");
            let bytes = body.len();
            if caller.call(&path, body).await {
                caller.seen.beats.add(bytes);
            }
        }
    }
}

/// Calls a hive, on one connection or on one for each call.
struct Caller {
    hive: SocketAddrV4,
    apart: bool,
    line: Option<Line>,
    seen: Arc<Seen>,
}

impl Caller {
    fn new(hive: SocketAddrV4, plan: &Plan, seen: &Arc<Seen>) -> Self {
        let (apart, seen) = (plan.apart, seen.clone());
        Self {
            hive,
            apart,
            line: None,
            seen,
        }
    }

    /// Whether it was acknowledged.
    async fn call(&mut self, path: &str, body: String) -> bool {
        let done = timeout(WITHIN, self.exchange(path, body)).await;
        let good = matches!(done, Ok(Ok(true)));
        if !good {
            self.seen.failed.fetch_add(1, Ordering::Relaxed);
        }
        if !matches!(done, Ok(Ok(_))) {
            self.line = None;
            sleep(Duration::from_millis(50)).await;
        }
        good
    }

    async fn exchange(&mut self, path: &str, body: String) -> anyhow::Result<bool> {
        if self.apart || self.line.is_none() {
            self.line = Some(open(self.hive.into()).await?);
        }
        let line = self.line.as_mut().context("no connection")?;
        let request = Request::post(path)
            .header(HOST, self.hive.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let answer = line.sender.send_request(request).await?;
        let good = answer.status().is_success();
        answer.into_body().collect().await?;
        Ok(good)
    }
}

// ---- Answers ----

async fn answer(worker: usize, listener: TcpListener) {
    let name: Rc<str> = name(worker, 0).into();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let name = name.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let name = name.clone();
            async move { Ok::<_, Infallible>(say(&name, &request)) }
        });
        spawn_local(async move {
            let io = TokioIo::new(stream);
            let _ = Builder::new().serve_connection(io, service).await;
        });
    }
}

/// At once: what is measured is the way.
fn say(name: &str, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut answer = Response::builder()
        .header("X-Server-Seal", "1.1")
        .header("X-Answering-Instance", name)
        .header("X-Instance-Load", "1,0,64");
    if let Some(id) = request.headers().get("X-Attempt-Id") {
        answer = answer.header("X-Attempt-Id", id);
    }
    let body = Full::new(Bytes::from_static(&[b'x'; 1024]));
    answer.body(body).unwrap_or_default()
}
