//! One try: a request to a worker and what comes back.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use elderpond_brood::{Number, State};
use elderpond_forage::{End, Head, Met, Millis, Verdict, verdict};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};

use crate::pool::{Idle, KEEP, connect};
use crate::shared::Shared;

/// The id of a try of a client.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
/// What is left of its time, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-remaining-ms");
const EXPECTED: HeaderName = HeaderName::from_static("x-expected-instance");
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("x-request-not-run");
const LOAD: HeaderName = HeaderName::from_static("x-instance-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Bytes of an answer that are held at the most.
const LARGEST: usize = 8 << 20;
/// A connection has to be up within this.
const CONNECT: Duration = Duration::from_millis(150);

/// A request that has come whole.
pub struct Whole {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, less those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its id.
    pub attempt: HeaderValue,
    /// Milliseconds that a connection may have been idle to be used; 0 where it has to be new.
    pub keep: Millis,
}

/// A try that has ended.
pub struct Tried {
    /// How.
    pub end: End,
    /// What the worker said, if that may be passed on.
    pub answer: Option<Response<Bytes>>,
}

/// Sends a request to a worker. Runs to its end whatever becomes of the client.
pub async fn exchange(
    shared: Rc<Shared>,
    whole: Rc<Whole>,
    number: Number,
    deadline: Millis,
) -> Tried {
    let start = shared.now();
    shared.patch.borrow_mut().sent(start, number);
    let (end, load, answer) = talk(&shared, &whole, number, deadline).await;
    let now = shared.now();
    let mut patch = shared.patch.borrow_mut();
    let took_ms = now.saturating_sub(start) as f64;
    let bytes = answer.as_ref().map_or(0, |answer| answer.body().len());
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
    Tried { end, answer }
}

type Load = Option<(u16, u16, u16)>;

async fn talk(
    shared: &Rc<Shared>,
    whole: &Whole,
    number: Number,
    deadline: Millis,
) -> (End, Load, Option<Response<Bytes>>) {
    let nothing = |end| (end, None, None);
    let Some((address, id, service)) = (shared.patch.borrow().flower(number)).map(|flower| {
        let entry = &flower.entry;
        (entry.address, entry.id.clone(), entry.service.clone())
    }) else {
        return nothing(End::Unsent);
    };
    let Ok(id) = HeaderValue::from_str(&id) else {
        return nothing(End::Unsent);
    };
    let until =
        tokio::time::Instant::now() + Duration::from_millis(deadline.saturating_sub(shared.now()));
    let mut kept = shared.pool.take(shared.now(), number, whole.keep);
    loop {
        let reused = kept.is_some();
        let mut sender = match kept.take() {
            Some(sender) => sender,
            None => match connect(shared, &service, address, CONNECT).await {
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
        let left = deadline.saturating_sub(shared.now());
        let request = request(whole, &id, left);
        let sent = tokio::time::timeout_at(until, sender.try_send_request(request)).await;
        let response = match sent {
            Err(_) => return nothing(End::Late),
            Ok(Err(error)) if error.message().is_some() && reused => continue,
            Ok(Err(error)) if error.message().is_some() => return nothing(End::Unsent),
            Ok(Err(_)) => {
                shared.be_wary(&service, reused);
                return nothing(End::Lost);
            }
            Ok(Ok(response)) => response,
        };
        let received = receive(shared, whole, number, until, sender, response).await;
        shared.be_wary(&service, reused && received.0 == End::Lost);
        return received;
    }
}

fn request(whole: &Whole, id: &HeaderValue, left: Millis) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(whole.body.clone()));
    *request.method_mut() = whole.method.clone();
    *request.uri_mut() = whole.uri.clone();
    let headers = request.headers_mut();
    *headers = whole.headers.clone();
    headers.insert(DEADLINE, HeaderValue::from(left));
    headers.insert(EXPECTED, id.clone());
    request
}

async fn receive(
    shared: &Shared,
    whole: &Whole,
    number: Number,
    until: tokio::time::Instant,
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    response: Response<Incoming>,
) -> (End, Load, Option<Response<Bytes>>) {
    let (mut parts, body) = response.into_parts();
    let headers = &parts.headers;
    let judged = verdict(
        whole.attempt.as_bytes(),
        Head {
            status: parts.status.as_u16(),
            attempt: headers.get(ATTEMPT).map(HeaderValue::as_bytes),
            sealed: headers.contains_key(SEAL),
            not_run: headers.contains_key(NOT_RUN),
            encoded: headers.contains_key(CONTENT_ENCODING),
        },
    );
    if judged == Verdict::Spoilt {
        return (End::Lost, None, None);
    }
    let load = headers.get(LOAD).and_then(load);
    let body = Limited::new(body, LARGEST).collect();
    let body = match tokio::time::timeout_at(until, body).await {
        Err(_) if judged == Verdict::Good => return (End::Late, load, None),
        Ok(Err(_)) if judged == Verdict::Good => return (End::Lost, load, None),
        Err(_) | Ok(Err(_)) => None,
        Ok(Ok(body)) => Some(body.to_bytes()),
    };
    if body.is_some() && !closes(headers) {
        let keep = keep_alive(headers).unwrap_or(KEEP);
        let since = shared.now();
        shared.pool.put(
            number,
            Idle {
                sender,
                since,
                keep,
            },
        );
    }
    let end = match judged {
        Verdict::Full => return (End::Full, load, None),
        Verdict::Misplaced => return (End::Misplaced, None, None),
        Verdict::Good => End::Good,
        Verdict::Own | Verdict::Spoilt => End::Own {
            status: parts.status.as_u16(),
        },
    };
    strip(&mut parts.headers);
    let answer = body.map(|body| Response::from_parts(parts, body));
    match answer {
        Some(answer) => (end, load, Some(answer)),
        None => (End::Lost, load, None),
    }
}

fn load(value: &HeaderValue) -> Load {
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
