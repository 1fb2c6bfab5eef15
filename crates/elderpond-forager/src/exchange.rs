//! One try: a request to a worker and what comes back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use elderpond_forage::{End, Head, LARGE, Met, Millis, Verdict, verdict};
use elderpond_registry::{Number, State};
use elderpond_space::Party;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::freight::{Broken, Cargo, Flow, Freight, HELD, load};
use crate::pool::{Idle, KEEP, connect};
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
pub struct Whole {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, less those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Cargo,
    /// Its id.
    pub attempt: HeaderValue,
    /// Milliseconds that a connection may have been idle to be used; 0 where it has to be new.
    pub keep: Millis,
    /// For whom room is taken.
    pub party: Party,
    /// Whether the client can tell that an answer broke off, whatever its length.
    pub chunks: bool,
}

/// A try that has ended, or whose answer flows.
pub struct Tried {
    /// How.
    pub end: End,
    /// What the worker said, if that may be passed on.
    pub answer: Option<Response<Freight>>,
}

/// Sends a request to a worker. Runs to its end whatever becomes of the client.
pub async fn exchange(
    shared: Rc<Shared>,
    whole: Rc<Whole>,
    (number, room): (Number, Taken),
    deadline: Millis,
) -> Tried {
    let start = shared.now();
    shared.patch.borrow_mut().sent(start, number);
    let talk = Talk {
        shared: &shared,
        whole: &whole,
        number,
        start,
        deadline,
        room: Cell::new(Some(room)),
    };
    let said = talk.run().await;
    if !said.flows {
        // a client that broke off its own body is not the worker's fault
        let end = match whole.body.broke() {
            Some(_) => End::Own { status: 400 },
            None => said.end,
        };
        let bytes = said
            .answer
            .as_ref()
            .map_or(0, |answer| answer.body().held());
        conclude(&shared, number, start, end, (said.load, bytes));
    }
    Tried {
        end: said.end,
        answer: said.answer,
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
        End::Good | End::Own { .. } | End::Full => {}
    }
    let mut patch = shared.patch.borrow_mut();
    let took_ms = now.saturating_sub(start) as f64;
    let met = Met {
        end,
        took_ms,
        load,
        bytes,
    };
    patch.ended(now, number, met);
    if end == End::Misplaced {
        patch.depart(now, number, State::Gone);
    }
}

/// Requests running, waiting, and slots.
type Reading = Option<(u16, u16, u16)>;
type Sender = SendRequest<Freight>;

/// What came of a try.
struct Said {
    end: End,
    load: Reading,
    answer: Option<Response<Freight>>,
    /// Whether the answer is on its way still; its tail tells how that ends.
    flows: bool,
}

impl Said {
    fn nothing(end: End, load: Reading) -> Self {
        Self {
            end,
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
    kept: Option<Idle>,
    over: bool,
    _hand: InHand,
    _room: Option<Taken>,
}

impl Tail {
    /// It came whole.
    pub fn whole(mut self) {
        self.over = true;
        if let Some(mut idle) = self.kept.take() {
            idle.since = self.shared.now();
            self.shared.pool.put(self.number, idle);
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

/// One try on its way.
struct Talk<'a> {
    shared: &'a Rc<Shared>,
    whole: &'a Whole,
    number: Number,
    start: Millis,
    deadline: Millis,
    /// Room for the connection.
    room: Cell<Option<Taken>>,
}

impl Talk<'_> {
    async fn run(&self) -> Said {
        let (shared, number) = (self.shared, self.number);
        let nothing = |end| Said::nothing(end, None);
        let Some((address, id, service)) = (shared.patch.borrow().flower(number)).map(|flower| {
            let entry = &flower.entry;
            (entry.address, entry.id.clone(), entry.service.clone())
        }) else {
            return nothing(End::Unsent);
        };
        let Ok(id) = HeaderValue::from_str(&id) else {
            return nothing(End::Unsent);
        };
        let left = self.deadline.saturating_sub(shared.now());
        let until = Instant::now() + Duration::from_millis(left);
        let mut kept = shared.pool.take(shared.now(), number, self.whole.keep);
        loop {
            let reused = kept.is_some();
            let mut sender = match kept.take() {
                Some(sender) => sender,
                None => match connect(shared, &service, number, address, CONNECT).await {
                    Ok(sender) => sender,
                    Err(_) => return nothing(End::Unsent),
                },
            };
            if sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return nothing(End::Unsent);
            }
            let Some(body) = self.whole.body.take() else {
                return nothing(End::Unsent);
            };
            let left = self.deadline.saturating_sub(shared.now());
            let request = request(self.whole, body, &id, left);
            match timeout_at(until, sender.try_send_request(request)).await {
                Err(_) => return nothing(End::Late),
                Ok(Ok(response)) => {
                    let said = self.receive(until, sender, response).await;
                    shared.be_wary(&service, reused && said.end == End::Lost);
                    return said;
                }
                Ok(Err(mut error)) => match error.take_message() {
                    // nothing of it was written
                    Some(request) => {
                        self.whole.body.put_back(request.into_body());
                        if !reused {
                            return nothing(End::Unsent);
                        }
                    }
                    None => {
                        shared.be_wary(&service, reused);
                        return nothing(End::Lost);
                    }
                },
            }
        }
    }

    async fn receive(&self, until: Instant, sender: Sender, response: Response<Incoming>) -> Said {
        let shared = self.shared;
        let (mut parts, mut body) = response.into_parts();
        let headers = &parts.headers;
        let judged = verdict(
            self.whole.attempt.as_bytes(),
            Head {
                status: parts.status.as_u16(),
                attempt: headers.get(ATTEMPT).map(HeaderValue::as_bytes),
                sealed: headers.contains_key(SEAL),
                not_run: headers.contains_key(NOT_RUN),
                encoded: headers.contains_key(CONTENT_ENCODING),
            },
        );
        if judged == Verdict::Spoilt {
            return Said::nothing(End::Lost, None);
        }
        let reading = headers.get(LOAD).and_then(reading);
        let chunked = headers.contains_key(TRANSFER_ENCODING);
        if judged == Verdict::Good
            && (chunked && headers.contains_key(CONTENT_LENGTH)
                || !chunked && body.size_hint().exact().is_none())
        {
            // two lengths, or none: nobody could tell where it ends
            return Said::nothing(End::Lost, reading);
        }
        let mut idle = (!closes(headers)).then(|| Idle {
            sender,
            since: 0,
            keep: keep_alive(headers).unwrap_or(KEEP),
        });
        let passed = matches!(judged, Verdict::Good | Verdict::Own);
        let flows = passed && (self.whole.chunks || !chunked);
        let held = if flows { HELD } else { LARGEST };
        let most = if flows { u64::MAX } else { LARGEST };
        let hold = Taken::nothing(&shared.rooms, What::Bodies, self.whole.party);
        let loaded = load(&mut body, hold, held, most);
        let loaded = match timeout_at(until, loaded).await {
            Err(_) if judged == Verdict::Good => return Said::nothing(End::Late, reading),
            Ok(Err(_)) if judged == Verdict::Good => return Said::nothing(End::Lost, reading),
            Err(_) | Ok(Err(_)) => None,
            Ok(Ok(load)) => Some(load),
        };
        if loaded.as_ref().is_some_and(|load| load.whole)
            && let Some(mut idle) = idle.take()
        {
            idle.since = shared.now();
            shared.pool.put(self.number, idle);
        }
        let end = match judged {
            Verdict::Full => return Said::nothing(End::Full, reading),
            Verdict::Misplaced => return Said::nothing(End::Misplaced, None),
            Verdict::Good => End::Good,
            Verdict::Own | Verdict::Spoilt => End::Own {
                status: parts.status.as_u16(),
            },
        };
        strip(&mut parts.headers);
        let (freight, flows) = match loaded {
            Some(load) if load.whole => {
                let hold = Rc::new(load.hold);
                (Freight::whole(load.pieces, Some(hold)), false)
            }
            Some(load) if flows => {
                let tail = Tail {
                    shared: shared.clone(),
                    number: self.number,
                    start: self.start,
                    end,
                    load: reading,
                    kept: idle,
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
                (Freight::flowing(load, flow), true)
            }
            _ => return Said::nothing(End::Lost, reading),
        };
        Said {
            end,
            load: reading,
            answer: Some(Response::from_parts(parts, freight)),
            flows,
        }
    }
}

fn request(whole: &Whole, body: Freight, id: &HeaderValue, left: Millis) -> Request<Freight> {
    let mut request = Request::new(body);
    *request.method_mut() = whole.method.clone();
    *request.uri_mut() = whole.uri.clone();
    let headers = request.headers_mut();
    *headers = whole.headers.clone();
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

fn closes(headers: &HeaderMap) -> bool {
    (headers.get_all(CONNECTION).iter())
        .any(|value| value.as_bytes().to_ascii_lowercase().starts_with(b"close"))
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
