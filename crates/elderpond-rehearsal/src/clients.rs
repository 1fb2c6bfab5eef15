//! Clients: the platform that hands out proxies, requests at a bounded rate, further tries.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout, timeout_at};

use crate::call::{Line, call, open};
use crate::fleet::{Fleet, Role};
use crate::ledger::{End, Id, Kind, Ledger, Seen, digest};
use crate::operator::{AIM_S, HOST};

/// Seconds that a client waits for an answer to a request, all tries together.
const WAIT_S: f64 = 2.0;
/// Tries of one request, at most.
const TRIES: usize = 4;
/// Requests under way at once, at most; beyond it none are sent.
const OPEN: usize = 512;
/// Idle connections kept to a proxy, at most.
const KEPT: usize = 8;
/// The most that an answer may hold.
const MOST: usize = 1 << 20;

/// A proxy as the platform sees it.
pub struct Front {
    /// Where clients are taken.
    pub http: SocketAddrV4,
    /// Where it says whether it is ready.
    pub readiness: SocketAddrV4,
    /// Its zone.
    pub zone: &'static str,
    /// How often it was started, to tell its lives apart.
    pub life: Cell<u32>,
    /// Misses in a row, as the platform counts them.
    missed: Cell<u32>,
    kept: RefCell<Vec<Line>>,
}

impl Front {
    /// A proxy that has not said that it is ready.
    pub fn new(http: SocketAddrV4, readiness: SocketAddrV4, zone: &'static str) -> Self {
        let (life, missed) = (Cell::new(0), Cell::new(2));
        Self {
            http,
            readiness,
            zone,
            life,
            missed,
            kept: RefCell::default(),
        }
    }

    /// All proxies of a fleet.
    pub fn of(fleet: &Fleet) -> Vec<Self> {
        let fronts = fleet.of(Role::Proxy).map(|(_, machine)| {
            let (http, readiness) = fleet.fronts(machine);
            Self::new(http, readiness, machine.zone)
        });
        fronts.collect()
    }

    /// Whether the platform sends clients there.
    pub fn is_in(&self) -> bool {
        self.missed.get() < 2
    }

    /// Asks it once; tells whether it says that it is ready.
    pub async fn ask(&self) -> bool {
        let within = Duration::from_secs(1);
        let answer = call(
            self.readiness.into(),
            Method::GET,
            "/readiness",
            Bytes::new(),
            within,
        )
        .await;
        let ready = answer.is_ok_and(|answer| answer.status == 200);
        let missed = if ready { 0 } else { self.missed.get() + 1 };
        self.missed.set(missed);
        ready
    }
}

/// All clients.
pub struct Clients {
    /// The proxies.
    pub fronts: Vec<Front>,
    ledger: Rc<Ledger>,
    open: Cell<usize>,
    /// Requests that were not sent, because too many were under way.
    pub held_back: Cell<u64>,
}

/// How a try went.
enum Went {
    /// A whole answer.
    Answered(u16, HeaderMap),
    /// Never written to a connection, or the connection never came up.
    Unread,
    /// Anything may have happened.
    Unclear,
}

/// What a client asks; further tries ask the same.
struct Ask {
    kind: Kind,
    method: Method,
    path: String,
    body: Bytes,
    zone: &'static str,
}

impl Clients {
    /// Clients of these proxies.
    pub fn new(fronts: Vec<Front>, ledger: &Rc<Ledger>) -> Self {
        let (open, held_back) = (Cell::new(0), Cell::new(0));
        Self {
            fronts,
            ledger: ledger.clone(),
            open,
            held_back,
        }
    }

    /// Asks every proxy each half second whether it is ready, for good.
    pub async fn platform(self: Rc<Self>) {
        let mut every = interval(Duration::from_millis(500));
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            for at in 0..self.fronts.len() {
                let clients = self.clone();
                tokio::task::spawn_local(async move { clients.fronts[at].ask().await });
            }
        }
    }

    /// Sends requests at `rate` a second until it is `over`, then waits for those under way.
    pub async fn go(self: Rc<Self>, rate: f64, over: impl Fn() -> bool) {
        let mut every = interval(Duration::from_secs_f64(1.0 / rate));
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            if over() {
                break;
            }
            if self.open.get() >= OPEN {
                self.held_back.set(self.held_back.get() + 1);
                continue;
            }
            self.open.set(self.open.get() + 1);
            let clients = self.clone();
            tokio::task::spawn_local(async move {
                clients.one(clients.draw()).await;
                clients.open.set(clients.open.get() - 1);
            });
        }
        let end = Instant::now() + Duration::from_secs_f64(WAIT_S + 0.5);
        while self.open.get() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn draw(&self) -> Ask {
        let kind = match fastrand::u32(..100) {
            0..45 => Kind::Read,
            45..80 => Kind::Write,
            80..90 => Kind::Moved,
            90..95 => Kind::Added,
            _ => Kind::Dropped,
        };
        let query = if fastrand::u32(..4) == 0 {
            "?of=the%20day"
        } else {
            ""
        };
        let path = format!("{}{:x}{query}", kind.prefix(), fastrand::u32(..));
        let (method, body) = if kind.repeatable() {
            (Method::GET, Bytes::new())
        } else {
            let size = fastrand::usize(..4096);
            (
                Method::POST,
                std::iter::repeat_with(|| fastrand::u8(..))
                    .take(size)
                    .collect(),
            )
        };
        let zone = self.fronts[fastrand::usize(..self.fronts.len())].zone;
        Ask {
            kind,
            method,
            path,
            body,
            zone,
        }
    }

    /// A proxy for a new try: one of the zone that is in, else any that is in, else any.
    fn pick(&self, zone: &str, but: Option<usize>) -> usize {
        let mut all: Vec<usize> = (0..self.fronts.len())
            .filter(|at| Some(*at) != but)
            .collect();
        fastrand::shuffle(&mut all);
        let near = |at: &&usize| self.fronts[**at].is_in() && self.fronts[**at].zone == zone;
        let found = all.iter().find(near);
        let found = found.or_else(|| all.iter().find(|at| self.fronts[**at].is_in()));
        found.or(all.first()).copied().unwrap_or(0)
    }

    /// One request, with its further tries.
    async fn one(&self, ask: Ask) {
        let begun = Instant::now();
        let deadline = begun + Duration::from_secs_f64(WAIT_S);
        let (mut but, mut last) = (None, End::Failed);
        for tried in 0..TRIES {
            let at = self.pick(ask.zone, but);
            let went = self.attempt(&ask, at, tried == 0, deadline).await;
            but = Some(at);
            let mut pause = 0.02 * f64::from(1 << tried) * (0.5 + fastrand::f64());
            match went {
                Went::Answered(status, headers) => {
                    let took = begun.elapsed().as_secs_f64();
                    last = match End::of_status(status) {
                        End::Served if took > AIM_S => End::Late,
                        end => end,
                    };
                    let again = match last {
                        End::Refused => true,
                        End::Failed => ask.kind.repeatable(),
                        _ => false,
                    };
                    if !again {
                        break;
                    }
                    let told = headers.get("Retry-After").and_then(|it| it.to_str().ok());
                    if let Some(told) = told.and_then(|it| it.parse::<f64>().ok()) {
                        pause = told.max(0.0);
                    }
                }
                Went::Unread => last = End::Failed,
                Went::Unclear => {
                    last = End::Failed;
                    if !ask.kind.repeatable() {
                        break;
                    }
                }
            }
            let left = deadline
                .saturating_duration_since(Instant::now())
                .as_secs_f64();
            if left < 0.05 || tried + 1 == TRIES {
                break;
            }
            sleep(Duration::from_secs_f64(pause.min(left / 3.0))).await;
        }
        // requests on routes that come or go only show which version is in force
        if ask.kind.stays() {
            self.ledger
                .end(ask.kind, last, begun.elapsed().as_secs_f64());
        }
    }

    /// One try, on a kept connection if it may be and there is one.
    async fn attempt(&self, ask: &Ask, at: usize, kept: bool, deadline: Instant) -> Went {
        let front = &self.fronts[at];
        let mut line = None;
        while kept && line.is_none() {
            let Some(mut idle) = front.kept.borrow_mut().pop() else {
                break;
            };
            let ready = timeout(Duration::from_millis(1), idle.sender.ready()).await;
            line = matches!(ready, Ok(Ok(()))).then_some(idle);
        }
        let mut line = match line {
            Some(line) => line,
            None => match timeout(Duration::from_secs(1), open(front.http.into())).await {
                Ok(Ok(line)) => line,
                _ => return Went::Unread,
            },
        };
        let id: Id = fastrand::u64(..);
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let request = Request::builder()
            .method(ask.method.clone())
            .uri(&ask.path)
            .header("Host", HOST)
            .header("X-Attempt-Id", format!("{id:016x}"))
            .header("X-Deadline-Remaining-Ms", left.to_string())
            .body(Full::new(ask.body.clone()));
        let Ok(request) = request else {
            return Went::Unread;
        };
        let asked = digest((ask.method.as_str(), ask.path.as_str(), &ask.body[..]));
        self.ledger
            .send(id, ask.kind, (at, front.life.get()), asked);
        let exchange = async {
            let answer = line.sender.try_send_request(request).await;
            let answer = answer.map_err(|mut error| error.take_message().is_some())?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MOST)
                .collect()
                .await
                .map_err(|_| false)?;
            Ok((head, body.to_bytes()))
        };
        match timeout_at(deadline, exchange).await {
            Ok(Ok((head, body))) => {
                let header = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
                let (seal, repeated) = (header("X-Server-Seal"), header("X-Attempt-Id"));
                let foreign = repeated.is_some_and(|it| it != format!("{id:016x}"));
                let (status, body) = (head.status.as_u16(), digest(&body[..]));
                self.ledger.see(
                    id,
                    Seen {
                        status,
                        seal,
                        foreign,
                        body,
                    },
                );
                if head
                    .headers
                    .get("Connection")
                    .is_none_or(|it| it != "close")
                    && front.kept.borrow().len() < KEPT
                    && fastrand::u32(..10) > 0
                {
                    front.kept.borrow_mut().push(line);
                }
                Went::Answered(status, head.headers)
            }
            Ok(Err(true)) => Went::Unread,
            _ => Went::Unclear,
        }
    }
}
