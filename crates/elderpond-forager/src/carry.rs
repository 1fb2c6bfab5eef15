//! One request of a client: from its head to its answer.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use elderpond_brood::Number;
use elderpond_flora::{Kind, Route};
use elderpond_forage::{Ask, End, Millis, Next, Trip, Want};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode, Uri};
use tokio::sync::{mpsc, oneshot};

use crate::exchange::{ATTEMPT, DEADLINE, Tried, Whole, exchange, strip};
use crate::pool::KEEP;
use crate::shared::{Phase, Shared};

/// Milliseconds that a client waits that doesn't say how long.
const PATIENCE: Millis = 30_000;
/// Milliseconds of a request's time that go by on the way.
const WAY: Millis = 6;
/// Part of a route's aim by which a worker of another zone counts as slower.
const AWAY: f64 = 0.35;
/// Part of the budget that is spent on requests that run late, which are no failures yet.
const DOUBLE_PART: f64 = 0.6;
/// Milliseconds after which it is looked again for a worker for a request that runs late.
const AGAIN: Millis = 100;

/// Answers a request.
pub async fn carry(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let hand = shared.take();
    let (tell, told) = oneshot::channel();
    let task = shared.clone();
    // goes on to its end if the client goes away: a worker may be at work
    tokio::task::spawn_local(async move {
        let _hand = hand;
        let answer = answer(&task, request, &tell).await;
        let _ = tell.send(answer);
    });
    let mut answer = match told.await {
        Ok(answer) => answer.map(Full::new),
        Err(_) => own(StatusCode::INTERNAL_SERVER_ERROR, "failed").map(Full::new),
    };
    if shared.phase() >= Phase::Stopping {
        (answer.headers_mut()).insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

fn own(status: StatusCode, text: &'static str) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::from_static(text.as_bytes()));
    *answer.status_mut() = status;
    answer
}

/// Nothing ran and nothing will; `after` seconds on it is worth coming back.
fn refusal(after: f64, text: &'static str) -> Response<Bytes> {
    let mut answer = own(StatusCode::SERVICE_UNAVAILABLE, text);
    if let Ok(value) = HeaderValue::from_str(&format!("{after:.2}")) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

type Tell = oneshot::Sender<Response<Bytes>>;

async fn answer(shared: &Rc<Shared>, request: Request<Incoming>, tell: &Tell) -> Response<Bytes> {
    let came = shared.now();
    let (parts, body) = request.into_parts();
    let host = (parts.uri.host())
        .or_else(|| parts.headers.get(HOST).and_then(|host| host.to_str().ok()))
        .unwrap_or_default();
    let routes = shared.routes.borrow().clone();
    let Some(routes) = routes else {
        return refusal(0.3, "no configuration yet");
    };
    let Some(route) = routes.find(host, parts.uri.path()).cloned() else {
        // who does not hear of new versions can't know that there is no route
        if !shared.follow.borrow().current(came) {
            return refusal(0.3, "no route known here, and no hive reached");
        }
        return own(StatusCode::NOT_FOUND, "no route");
    };
    let most = usize::try_from(routes.limits.max_body_bytes).unwrap_or(usize::MAX);
    let body = match Limited::new(body, most).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return own(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
        }
        Err(_) => return own(StatusCode::BAD_REQUEST, "body cut short"),
    };
    let mut headers = parts.headers;
    strip(&mut headers);
    let attempt = headers.get(ATTEMPT).cloned();
    let wait: Option<Millis> = (headers.get(DEADLINE))
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse::<f64>().ok())
        .map(|wait| wait.clamp(0.0, 600_000.0) as Millis);
    let wait = wait.unwrap_or(PATIENCE).saturating_sub(WAY);
    let deadline = came + wait.min(route.timeout_ms as Millis);
    let drawn = shared.chance.borrow_mut().unit();
    let Some(service) = route.service(drawn).cloned() else {
        return own(StatusCode::INTERNAL_SERVER_ERROR, "a route without service");
    };
    let keep = match route.kind {
        Kind::Safe => KEEP,
        Kind::Unsafe if shared.wary(&service) => 0,
        Kind::Unsafe => KEEP / 2,
    };
    let whole = Whole {
        method: parts.method,
        uri: origin(&parts.uri),
        headers,
        body,
        attempt: attempt.unwrap_or(HeaderValue::from_static("")),
        keep,
    };
    let ask = Ask {
        kind: route.kind,
        attempts: route.attempts,
        deadline,
    };
    tries(
        shared,
        &route,
        &service,
        Rc::new(whole),
        Trip::new(ask),
        tell,
    )
    .await
}

fn origin(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}

/// The tries of one request: at most one worker at a time, but for a safe one that runs late.
async fn tries(
    shared: &Rc<Shared>,
    route: &Route,
    service: &Arc<str>,
    whole: Rc<Whole>,
    mut trip: Trip,
    tell: &Tell,
) -> Response<Bytes> {
    let start = shared.now();
    shared.budget(service, |budget| budget.request(start));
    let deadline = trip.ask().deadline;
    let mut late_at =
        start + trip.double_after(route.aim_ms, shared.patch.borrow().pace_ms(service));
    let (done, mut tried) = mpsc::unbounded_channel();
    let mut waiting = 0;
    let mut last: Option<Tried> = None;
    let mut next = Next::Again;
    loop {
        if next == Next::Again {
            let now = shared.now();
            let picked = pick(shared, route, service, &trip, now, false);
            match picked {
                Some(number) => {
                    trip.goes_to(number);
                    waiting += 1;
                    send(shared, &whole, number, deadline, &done);
                    // until this try has ended nothing more is known
                    next = Next::Broken;
                }
                None => next = trip.give_up(last.as_ref().map_or(End::Unsent, |last| last.end)),
            }
        }
        if waiting == 0 {
            break;
        }
        let now = shared.now();
        let late = late_at != Millis::MAX;
        tokio::select! {
            Some(ended) = tried.recv() => {
                waiting -= 1;
                let ended: Tried = ended;
                let (now, foragers) = (shared.now(), shared.foragers.get());
                let wanted = !tell.is_closed();
                next = trip.ended(now, ended.end, || {
                    wanted && shared.budget(service, |budget| budget.spend(now, foragers, 1.0))
                });
                // what another worker may still say is better than what can't be passed on
                let over = next == Next::Pass && ended.end == End::Good || waiting == 0;
                last = Some(ended);
                if over && next != Next::Again {
                    break;
                }
            }
            () = tokio::time::sleep(Duration::from_millis(late_at.saturating_sub(now))), if late => {
                let now = shared.now();
                late_at = match trip.tried() {
                    [only] => {
                        shared.patch.borrow_mut().late(now, *only, start);
                        now + AGAIN
                    }
                    _ => Millis::MAX,
                };
                if !trip.may_double(now) || tell.is_closed() {
                    late_at = Millis::MAX;
                    continue;
                }
                let foragers = shared.foragers.get();
                let picked = pick(shared, route, service, &trip, now, true);
                if let Some(number) = picked
                    && shared.budget(service, |budget| budget.spend(now, foragers, DOUBLE_PART))
                {
                    trip.goes_to(number);
                    waiting += 1;
                    send(shared, &whole, number, deadline, &done);
                    late_at = Millis::MAX;
                }
            }
        }
    }
    let broken = || own(StatusCode::BAD_GATEWAY, "no whole answer");
    match next {
        Next::Again | Next::Broken => broken(),
        Next::Pass => last.and_then(|last| last.answer).unwrap_or_else(broken),
        Next::Refuse => {
            let pace = shared.patch.borrow().pace_ms(service);
            refusal((pace / 2000.0).clamp(0.05, 0.5), "no room")
        }
        Next::Late => own(StatusCode::GATEWAY_TIMEOUT, "out of time"),
    }
}

fn pick(
    shared: &Shared,
    route: &Route,
    service: &str,
    trip: &Trip,
    now: Millis,
    free: bool,
) -> Option<Number> {
    let want = Want {
        service,
        but: trip.tried(),
        away_ms: route.aim_ms * AWAY,
        left_ms: trip.ask().deadline.saturating_sub(now) as f64,
        free,
        safe: route.kind == Kind::Safe,
    };
    (shared.patch.borrow()).pick(now, &want, &mut shared.chance.borrow_mut())
}

/// Has a worker tried in a task of its own, which runs to its end.
fn send(
    shared: &Rc<Shared>,
    whole: &Rc<Whole>,
    number: Number,
    deadline: Millis,
    done: &mpsc::UnboundedSender<Tried>,
) {
    let (shared, whole, done) = (shared.clone(), whole.clone(), done.clone());
    tokio::task::spawn_local(async move {
        let _ = done.send(exchange(shared, whole, number, deadline).await);
    });
}
