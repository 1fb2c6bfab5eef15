//! One try: a request to a worker and what comes back.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use elderpond_flora::Kind;
use elderpond_forage::{
    AfterClientLeft, End, Head, Heard, LARGE, Met, Millis, Ours, Sent, Verdict,
};
use elderpond_forage::{Underway, after_client_left, end_of, named, verdict};
use elderpond_registry::{Number, State};
use elderpond_space::Party;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::body::{Broken, Flow, HELD, OutgoingBody, RequestBody, load};
use crate::client_departure::ClientDeparture;
use crate::connection::{Busy, Progress};
use crate::pipeline::PipelinePlace;
use crate::pool::{KEEP, connect};
use crate::rooms::{Taken, What};
use crate::shared::{InHand, Shared};

/// The id of a try of a client.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
/// What is left of its time, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-remaining-ms");
const EXPECTED: HeaderName = HeaderName::from_static("x-expected-instance");
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("x-request-not-run");
const LOAD: HeaderName = HeaderName::from_static("x-instance-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Bytes of an answer that are held for whoever could not tell that it broke off.
const LARGEST: u64 = 8 << 20;
/// A connection has to be up within this.
const CONNECT: Duration = Duration::from_millis(150);

/// A request that has come, whole or as far as it is held.
pub struct ProxiedRequest {
    /// Whether it may run more than once.
    pub kind: Kind,
    /// The service that it is for.
    pub service: Arc<str>,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, less those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
    /// Its id.
    pub attempt: HeaderValue,
    /// Milliseconds that a connection may have been idle to be used; 0 where it has to be new.
    pub keep: Millis,
    /// For whom room is taken.
    pub party: Party,
    /// Whether the client can tell that an answer broke off, whatever its length.
    pub chunks: bool,
    /// Whether the client has left.
    pub departure: Rc<ClientDeparture>,
    /// Where it stands among the requests of its connection.
    pub place: PipelinePlace,
}

/// A try that has ended, or whose answer flows.
pub struct TryResult {
    /// How.
    pub end: End,
    /// What the worker outcome, if that may be passed on.
    pub answer: Option<Response<OutgoingBody>>,
}

/// Sends a request to a worker. Where its client leaves meanwhile, what is done follows from
/// [`after_client_left`].
pub async fn exchange(
    shared: Rc<Shared>,
    proxied: Rc<ProxiedRequest>,
    (number, room): (Number, Taken),
    deadline: Millis,
) -> TryResult {
    let start = shared.now();
    shared.workers.borrow_mut().sent(start, number);
    let exchange = Exchange {
        shared: &shared,
        proxied: &proxied,
        number,
        start,
        deadline,
        room: Cell::new(Some(room)),
        progress: RefCell::default(),
    };
    let outcome = tokio::select! {
        biased;
        () = exchange.abandoned() => Outcome::nothing(exchange.sent(), Heard::ClientGone, None),
        outcome = exchange.run() => outcome,
    };
    let stopped = outcome.end == End::Abandoned;
    (shared.metrics).try_ended(&proxied.departure, (start, shared.now()), stopped);
    if !outcome.flows {
        // a client that broke off its own body is not the worker's fault
        let end = match proxied.body.broke() {
            Some(_) if outcome.end != End::Abandoned => End::Own { status: 400 },
            _ => outcome.end,
        };
        let bytes = outcome
            .answer
            .as_ref()
            .map_or(0, |answer| answer.body().held());
        conclude(&shared, number, start, end, (outcome.load, bytes));
    }
    TryResult {
        end: outcome.end,
        answer: outcome.answer,
    }
}

/// Notes how a try has ended.
fn conclude(
    shared: &Shared,
    number: Number,
    start: Millis,
    end: End,
    (load, bytes): (Reading, usize),
) {
    let now = shared.now();
    match end {
        End::Unsent => shared.note("unsent", number.0),
        End::Lost => shared.note("lost", number.0),
        End::Late => shared.note("late", number.0),
        End::Misplaced => shared.note("misplaced", number.0),
        End::Abandoned => shared.note("abandoned", number.0),
        End::Good | End::Own { .. } | End::Full => {}
    }
    let mut workers = shared.workers.borrow_mut();
    let took_ms = now.saturating_sub(start) as f64;
    let met = Met {
        end,
        took_ms,
        load,
        bytes,
    };
    workers.ended(now, number, met);
    if end == End::Misplaced {
        workers.depart(now, number, State::Gone);
    }
}

/// Requests running, waiting, and slots.
type Reading = Option<(u16, u16, u16)>;

/// What came of a try.
struct Outcome {
    end: End,
    load: Reading,
    answer: Option<Response<OutgoingBody>>,
    /// Whether the answer is on its way still; its tail tells how that ends.
    flows: bool,
}

impl Outcome {
    /// Nothing that may be passed on.
    fn nothing(sent: Sent, heard: Heard, load: Reading) -> Self {
        Self {
            // what a try ends with never lets it go on
            end: end_of(sent, heard).unwrap_or(End::Lost),
            load,
            answer: None,
            flows: false,
        }
    }
}

/// What is to be done at the end of an answer that flows.
pub struct Tail {
    shared: Rc<Shared>,
    number: Number,
    start: Millis,
    end: End,
    load: Reading,
    kept: Option<Kept>,
    over: bool,
    _hand: InHand,
    _room: Option<Taken>,
}

impl Tail {
    /// It came whole.
    pub fn whole(mut self) {
        self.over = true;
        if let Some(kept) = self.kept.take() {
            kept.put(&self.shared);
        }
        let seen = (self.load, LARGE as usize);
        conclude(&self.shared, self.number, self.start, self.end, seen);
    }

    /// It broke off.
    pub fn broken(mut self, broken: &Broken) {
        self.over = true;
        let end = match broken {
            Broken::Late => End::Late,
            Broken::Off(_) | Broken::Long => End::Lost,
        };
        let seen = (self.load, LARGE as usize);
        conclude(&self.shared, self.number, self.start, end, seen);
    }
}

impl Drop for Tail {
    fn drop(&mut self) {
        // the client took no more of it, which is not the worker's fault
        if !self.over {
            let seen = (self.load, LARGE as usize);
            conclude(&self.shared, self.number, self.start, self.end, seen);
        }
    }
}

/// The connection of an answer, which may be kept once that has come whole.
struct Kept {
    busy: Busy<OutgoingBody>,
    /// None where it may not.
    ours: Option<Ours>,
    heard: Heard,
    keep: Millis,
}

impl Kept {
    /// It has.
    fn put(self, shared: &Shared) {
        let now = shared.now();
        if let Some(ours) = self.ours
            && let Some(idle) = self.busy.over(ours, self.heard, now, self.keep)
        {
            shared.pool.put(now, idle);
        }
    }
}

/// One try on its way.
struct Exchange<'a> {
    shared: &'a Rc<Shared>,
    proxied: &'a ProxiedRequest,
    number: Number,
    start: Millis,
    deadline: Millis,
    /// Room for the connection.
    room: Cell<Option<Taken>>,
    /// Once there is a connection.
    progress: RefCell<Option<Progress>>,
}

impl Exchange<'_> {
    /// How much of the request was sent.
    fn sent(&self) -> Sent {
        let progress = self.progress.borrow();
        (progress.as_ref()).map_or(Sent::Connecting, Progress::sent)
    }

    /// Waits until the try is to be given up, as nobody waits for its answer any more.
    async fn abandoned(&self) {
        self.proxied.departure.wait().await;
        let now = self.shared.now();
        let underway = {
            let workers = self.shared.workers.borrow();
            Underway {
                kind: self.proxied.kind,
                sent: self.sent(),
                taken: now.saturating_sub(self.start),
                usual_ms: workers.pace_ms(&self.proxied.service),
                full: workers.is_full(now, self.number),
            }
        };
        match after_client_left(underway) {
            AfterClientLeft::Drop => {}
            AfterClientLeft::Stop { within } => sleep(Duration::from_millis(within)).await,
            AfterClientLeft::RunOn => pending().await,
        }
    }

    async fn run(&self) -> Outcome {
        let (shared, number, proxied) = (self.shared, self.number, self.proxied);
        let unsent = || Outcome::nothing(Sent::Connecting, Heard::Closed, None);
        let Some((address, id, service)) = (shared.workers.borrow().worker(number)).map(|worker| {
            let entry = &worker.entry;
            (entry.address, entry.id.clone(), entry.service.clone())
        }) else {
            return unsent();
        };
        let Ok(id) = HeaderValue::from_str(&id) else {
            return unsent();
        };
        let left = self.deadline.saturating_sub(shared.now());
        let until = Instant::now() + Duration::from_millis(left);
        let mut kept = (shared.pool).take(shared.now(), number, proxied.keep, &proxied.attempt);
        loop {
            let connection = match kept.take() {
                Some(connection) => connection,
                None => match connect(shared, &service, number, address, CONNECT).await {
                    Ok(connection) => connection,
                    Err(_) => return unsent(),
                },
            };
            let reused = connection.is_kept();
            let Some(body) = proxied.body.take() else {
                return unsent();
            };
            let left = self.deadline.saturating_sub(shared.now());
            let request = request(proxied, body, &id, left);
            self.progress.replace(Some(connection.progress()));
            match connection.send(&proxied.attempt, request, until).await {
                Ok((busy, response)) => {
                    let outcome = self.receive(until, busy, response).await;
                    shared.be_wary(&service, reused && outcome.end == End::Lost);
                    return outcome;
                }
                Err(un) => {
                    shared.be_wary(&service, un.heard == Heard::IdleRace && un.body.is_none());
                    if let Some(body) = un.body {
                        proxied.body.put_back(body);
                    }
                    let unsent = un.sent == Sent::Nothing && un.heard != Heard::Deadline;
                    // the worker may be well, and only that connection have ended
                    if !(reused && unsent && proxied.body.is_there()) {
                        return Outcome::nothing(un.sent, un.heard, None);
                    }
                }
            }
        }
    }

    async fn receive(
        &self,
        until: Instant,
        busy: Busy<OutgoingBody>,
        response: Response<Incoming>,
    ) -> Outcome {
        let shared = self.shared;
        let (mut parts, mut body) = response.into_parts();
        let headers = &parts.headers;
        let ids = headers.get_all(ATTEMPT).iter().map(HeaderValue::as_bytes);
        let status = parts.status.as_u16();
        let head = Head {
            status,
            named: named(self.proxied.attempt.as_bytes(), ids),
            kept: busy.is_kept(),
            sealed: headers.contains_key(SEAL),
            not_run: headers.contains_key(NOT_RUN),
            encoded: headers.contains_key(CONTENT_ENCODING),
        };
        let judged = verdict(head);
        let heard = match judged {
            Verdict::Good => Heard::Success,
            Verdict::Own => Heard::Failure { status },
            Verdict::Full => Heard::NotRun,
            Verdict::Misplaced => Heard::Misdirected,
            Verdict::Spoilt => return Outcome::nothing(busy.close(), Heard::Foreign, None),
        };
        let nothing = |heard, load| Outcome::nothing(Sent::HeadPartly, heard, load);
        let reading = headers.get(LOAD).and_then(reading);
        let chunked = headers.contains_key(TRANSFER_ENCODING);
        // two lengths, or none: nobody could tell where it ends; another coding: nobody undoes it
        let framed = match chunked {
            true => !headers.contains_key(CONTENT_LENGTH) && only_chunked(headers),
            false => body.size_hint().exact().is_some(),
        };
        if judged == Verdict::Good && !framed {
            return nothing(Heard::Spoilt, reading);
        }
        let kept = Kept {
            busy,
            // one that its answer closes is found closed
            ours: head.ours().filter(|_| framed),
            heard,
            keep: keep_alive(headers).unwrap_or(KEEP),
        };
        let passed = matches!(judged, Verdict::Good | Verdict::Own);
        let flows = passed && (self.proxied.chunks || !chunked);
        // one that broke off while it is passed on would take the answers behind it along
        let place = &self.proxied.place;
        let held = || match flows && !place.is_followed() {
            true => HELD,
            false => LARGEST,
        };
        let most = if flows { u64::MAX } else { LARGEST };
        let hold = Taken::nothing(&shared.rooms, What::Bodies, self.proxied.party);
        let loaded = load(&mut body, hold, held, most);
        let loaded = match timeout_at(until, loaded).await {
            Err(_) if judged == Verdict::Good => return nothing(Heard::Deadline, reading),
            Ok(Err(_)) if judged == Verdict::Good => return nothing(Heard::Spoilt, reading),
            Err(_) | Ok(Err(_)) => None,
            Ok(Ok(load)) => Some(load),
        };
        let kept = match &loaded {
            Some(load) if load.whole => {
                kept.put(shared);
                None
            }
            _ => Some(kept),
        };
        if !passed {
            return nothing(heard, reading.filter(|_| judged == Verdict::Full));
        }
        let Some(end) = end_of(Sent::HeadPartly, heard) else {
            return nothing(Heard::Spoilt, reading);
        };
        strip(&mut parts.headers);
        let (body, flows) = match loaded {
            Some(load) if load.whole => {
                let hold = Rc::new(load.hold);
                (OutgoingBody::whole(load.pieces, Some(hold)), false)
            }
            Some(load) if flows => {
                place.flows();
                let tail = Tail {
                    shared: shared.clone(),
                    number: self.number,
                    start: self.start,
                    end,
                    load: reading,
                    kept,
                    over: false,
                    _hand: shared.take(),
                    _room: self.room.take(),
                };
                let flow = Flow {
                    rest: body,
                    until: Box::pin(sleep_until(until)),
                    most: u64::MAX,
                    broke: Rc::default(),
                    tail: Some(tail),
                };
                (OutgoingBody::flowing(load, flow), true)
            }
            _ => return nothing(Heard::Spoilt, reading),
        };
        Outcome {
            end,
            load: reading,
            answer: Some(Response::from_parts(parts, body)),
            flows,
        }
    }
}

fn request(
    proxied: &ProxiedRequest,
    body: OutgoingBody,
    id: &HeaderValue,
    left: Millis,
) -> Request<OutgoingBody> {
    let mut request = Request::new(body);
    *request.method_mut() = proxied.method.clone();
    *request.uri_mut() = proxied.uri.clone();
    let headers = request.headers_mut();
    *headers = proxied.headers.clone();
    headers.insert(DEADLINE, HeaderValue::from(left));
    headers.insert(EXPECTED, id.clone());
    request
}

fn reading(value: &HeaderValue) -> Reading {
    let mut numbers = value
        .to_str()
        .ok()?
        .split(',')
        .map(|part| part.trim().parse().ok());
    Some((numbers.next()??, numbers.next()??, numbers.next()??))
}

/// Whether chunks are all that a body was put into for the way.
fn only_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = codings.next().map(HeaderValue::as_bytes);
    first.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked")) && codings.next().is_none()
}

/// How long a worker says that it keeps an idle connection, in milliseconds, less what is on the
/// way.
fn keep_alive(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: Millis = timeout.trim().parse().ok()?;
    Some((seconds * 1000).saturating_sub(1000))
}

/// Takes out the headers that concern one connection only, and the length, which is set anew.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = (headers.get_all(CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    ] {
        headers.remove(name);
    }
}
