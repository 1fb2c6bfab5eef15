//! One request of a client: from its head to its answer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use elderpond_flora::{Kind, Route};
use elderpond_forage::{Ask, End, Millis, Next, RetryState, Want};
use elderpond_registry::Number;
use elderpond_space::{Party, Refusal};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri, Version};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::body::{Flow, HELD, OutgoingBody, PIECE, RequestBody, Unread, load};
use crate::client_connections::{Begun, ClientConnection, Turn};
use crate::exchange::{ATTEMPT, DEADLINE, ProxiedRequest, TryResult, exchange, strip};
use crate::pipeline::PipelinePlace;
use crate::pool::KEEP;
use crate::rooms::{Taken, What};
use crate::shared::{Phase, Shared};

/// Milliseconds that a client waits that doesn't say how long.
const PATIENCE: Millis = 30_000;
/// Milliseconds of a request's time that go by on the way.
const TRANSIT_ALLOWANCE: Millis = 6;
/// Part of a route's aim by which a worker of another zone counts as slower.
const AWAY: f64 = 0.35;
/// Part of the budget that is spent on requests that run late, which are no failures yet.
const DOUBLE_PART: f64 = 0.6;
/// Multiple of the usual time after which a worker that says nothing is doubted.
const DOUBT: f64 = 4.0;

/// Answers a request. It is begun before this returns: whatever is read next is behind it.
pub fn serve_request(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    turn: Turn,
) -> impl Future<Output = Result<Response<OutgoingBody>, Infallible>> {
    let told = turn.client.claims(&request).unwrap_or_else(|| {
        let (parts, body) = request.into_parts();
        let place = turn.client.pipeline.begin_in_turn();
        begin(&shared, parts, Some(body), &turn.client, place)
    });
    async move {
        let mut answer = tokio::select! {
            biased;
            told = told => told
                .unwrap_or_else(|_| own_answer(StatusCode::INTERNAL_SERVER_ERROR, "failed")),
            () = shared.is_cut_off() => cut_off(&shared),
        };
        if shared.phase() >= Phase::Stopping && is_last(&shared, &turn.client) {
            answer = closing(answer);
        }
        if answer.headers().contains_key(CONNECTION) {
            turn.client.gives_last_answer();
        }
        Ok(answer.map(|body| body.of(turn)))
    }
}

/// Whether the answer to the request in hand ends its connection, as the process ends: what has come behind
/// it is answered first, as long as there is time for all.
fn is_last(shared: &Shared, client: &ClientConnection) -> bool {
    let more_came = client.has_begun() || shared.takes_all() && client.has_unread();
    !more_came
}

/// Begins a request that is no more than its head before it is its turn to be answered; whether
/// that may be done. Only where what it asks for may run twice, as its connection may end first.
pub fn begin_early(shared: &Rc<Shared>, client: &ClientConnection, head: Request<()>) -> bool {
    let routes = shared.routes.borrow().clone();
    let route = routes.as_ref().and_then(|routes| {
        let (host, path) = (host(head.uri(), head.headers()), head.uri().path());
        routes.find(host, path).map(|route| route.kind)
    });
    if !shared.takes_all() || route != Some(Kind::Safe) {
        return false;
    }
    let aside = Rc::new(client.aside());
    let (parts, ()) = head.clone().into_parts();
    let place = client.pipeline.begin_behind();
    client.begins(Begun {
        head,
        max_header_bytes: shared.limits().max_header_bytes,
        told: begin(shared, parts, None, &aside, place),
        client: aside,
    });
    true
}

/// Has a request answered by a task of its own, which goes on for a while if the client leaves: a worker may
/// be at work.
fn begin(
    shared: &Rc<Shared>,
    parts: Parts,
    body: Option<Incoming>,
    client: &Rc<ClientConnection>,
    place: PipelinePlace,
) -> oneshot::Receiver<Response<OutgoingBody>> {
    let (tell, told) = oneshot::channel();
    let (hand, shared, client) = (shared.take(), shared.clone(), client.clone());
    tokio::task::spawn_local(async move {
        let _hand = hand;
        let answer = answer(&shared, parts, body, &client, place).await;
        let _ = tell.send(answer);
    });
    told
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    (uri.host())
        .or_else(|| headers.get(HOST).and_then(|host| host.to_str().ok()))
        .unwrap_or_default()
}

fn own_answer(status: StatusCode, text: &'static str) -> Response<OutgoingBody> {
    let mut answer = Response::new(OutgoingBody::from(text));
    *answer.status_mut() = status;
    answer
}

/// The answer to a request whose worker is not waited for any more, as the process ends: it may have run.
fn cut_off(shared: &Shared) -> Response<OutgoingBody> {
    shared.metrics.cut_off();
    own_answer(StatusCode::GATEWAY_TIMEOUT, "this process ends")
}

/// Nothing ran and nothing will; `after` seconds on it is worth coming back.
fn refusal(after: f64, text: &'static str) -> Response<OutgoingBody> {
    let mut answer = own_answer(StatusCode::SERVICE_UNAVAILABLE, text);
    if let Ok(value) = HeaderValue::from_str(&format!("{after:.2}")) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// An answer after which the connection ends.
fn closing(mut answer: Response<OutgoingBody>) -> Response<OutgoingBody> {
    (answer.headers_mut()).insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// An answer to a request whose body is not read: if there is one, its connection can't go on.
fn without_reading(
    answer: Response<OutgoingBody>,
    body: Option<Incoming>,
) -> Response<OutgoingBody> {
    match body.is_none_or(|body| body.is_end_stream()) {
        true => answer,
        false => closing(answer),
    }
}

async fn answer(
    shared: &Rc<Shared>,
    parts: Parts,
    body: Option<Incoming>,
    client: &ClientConnection,
    place: PipelinePlace,
) -> Response<OutgoingBody> {
    let came = shared.now();
    let (route, max_body_bytes) = match find_route(shared, &parts, came) {
        Ok(found) => found,
        Err(missing) => return missing.answer(),
    };
    client.lets_begin(route.kind == Kind::Safe);
    let wait = allowed_time(&parts.headers, &route);
    let deadline = came + wait;
    client.until(deadline);
    if !shared.takes(came, deadline) {
        return without_reading(refusal(0.05, "this process ends"), body);
    }
    let until = Instant::now() + Duration::from_millis(wait);
    let party = shared.rooms.party(&route);
    match shared.rooms.take(What::Clients, party) {
        Ok(room) => client.holds(room),
        Err(why) => {
            return without_reading(no_room(shared, What::Clients, &route, why), body);
        }
    }
    let memory = Taken::nothing(&shared.rooms, What::Bodies, party);
    let body = match body {
        Some(body) => read_body(shared, body, (&route, memory), until, max_body_bytes).await,
        None => Ok(RequestBody::Whole(VecDeque::new(), Rc::new(memory))),
    };
    let body = match body {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let held = matches!(body, RequestBody::Whole(..));
    let drawn = shared.chance.borrow_mut().unit();
    let Some(service) = route.service(drawn).cloned() else {
        return own_answer(StatusCode::INTERNAL_SERVER_ERROR, "a route without service");
    };
    let mut headers = parts.headers;
    strip(&mut headers);
    let attempt = headers.get(ATTEMPT).cloned();
    let proxied = ProxiedRequest {
        kind: route.kind,
        service: service.clone(),
        method: parts.method,
        uri: origin(&parts.uri),
        headers,
        body,
        attempt: attempt.unwrap_or(HeaderValue::from_static("")),
        keep: keep_of(shared, &route, &service),
        chunks: parts.version > Version::HTTP_10,
        departure: client.departure.clone(),
        place,
        party,
    };
    let ask = Ask {
        kind: route.kind,
        // what flows can't be sent twice
        attempts: if held { route.attempts } else { 1 },
        deadline,
    };
    let retries = RetryState::new(ask);
    let proxied = Rc::new(proxied);
    let answer = tries(shared, &route, &service, proxied.clone(), retries).await;
    match held {
        true => answer,
        false if proxied.body.broke() == Some(true) => closing(too_large()),
        false => closing(answer),
    }
}

/// Why no route is found for a request.
enum NoRoute {
    /// This process has no configuration yet.
    NoConfiguration,
    /// The configuration in force has none.
    NotConfigured,
    /// The same, but a newer configuration may not have been heard of.
    OutOfTouch,
}

impl NoRoute {
    fn answer(self) -> Response<OutgoingBody> {
        match self {
            Self::NoConfiguration => refusal(0.3, "no configuration yet"),
            Self::NotConfigured => own_answer(StatusCode::NOT_FOUND, "no route"),
            Self::OutOfTouch => refusal(0.3, "no route known here, and no control node reached"),
        }
    }
}

/// The route of a request that came at a moment, and how many bytes its body may have.
fn find_route(shared: &Shared, parts: &Parts, came: Millis) -> Result<(Arc<Route>, u64), NoRoute> {
    let routes = shared.routes.borrow().clone();
    let routes = routes.ok_or(NoRoute::NoConfiguration)?;
    let host = host(&parts.uri, &parts.headers);
    match routes.find(host, parts.uri.path()) {
        Some(route) => Ok((route.clone(), routes.limits.max_body_bytes)),
        None if shared.control_node.borrow().is_current(came) => Err(NoRoute::NotConfigured),
        None => Err(NoRoute::OutOfTouch),
    }
}

/// For how many milliseconds a request may be held: as long as its client waits and its route allows.
fn allowed_time(headers: &HeaderMap, route: &Route) -> Millis {
    let wait: Option<Millis> = (headers.get(DEADLINE))
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse::<f64>().ok())
        .map(|wait| wait.clamp(0.0, 600_000.0) as Millis);
    let wait = wait.unwrap_or(PATIENCE).saturating_sub(TRANSIT_ALLOWANCE);
    wait.min(route.timeout_ms as Millis)
}

/// For how many milliseconds a connection may have been idle that a request of a route goes by; 0 where it
/// has to be new.
fn keep_of(shared: &Shared, route: &Route, service: &str) -> Millis {
    match route.kind {
        Kind::Safe => KEEP,
        Kind::Unsafe if shared.wary(service) => 0,
        Kind::Unsafe => KEEP / 2,
    }
}

/// What is free is kept for others, or all is held.
fn no_room(shared: &Shared, what: What, route: &Route, why: Refusal) -> Response<OutgoingBody> {
    shared.note(what.lacked(why), u64::from(route.priority));
    shared.spill(&format!(
        "{} for {} on {}",
        what.lacked(why),
        route.name,
        route.host
    ));
    refusal(0.3, what.lacked(why))
}

/// A client's body, held whole if it is small; or the answer where it can't be taken.
async fn read_body(
    shared: &Shared,
    mut body: Incoming,
    (route, hold): (&Route, Taken),
    until: Instant,
    most: u64,
) -> Result<RequestBody, Response<OutgoingBody>> {
    let party = hold.party();
    let loaded = load(&mut body, hold, || HELD, most);
    let loaded = match tokio::time::timeout_at(until, loaded).await {
        Ok(Ok(loaded)) => loaded,
        Ok(Err(Unread::Long)) => return Err(closing(too_large())),
        Ok(Err(Unread::Cut)) => {
            return Err(closing(own_answer(
                StatusCode::BAD_REQUEST,
                "body cut short",
            )));
        }
        Err(_) => {
            return Err(closing(own_answer(
                StatusCode::REQUEST_TIMEOUT,
                "body too slow",
            )));
        }
    };
    if loaded.whole {
        return Ok(RequestBody::Whole(loaded.pieces, Rc::new(loaded.hold)));
    }
    if let Err(why) = shared.rooms.ask(What::Bodies, party, PIECE) {
        return Err(closing(no_room(shared, What::Bodies, route, why)));
    }
    let broke = Rc::new(Cell::new(None));
    let flow = Flow {
        rest: body,
        until: Box::pin(tokio::time::sleep_until(until)),
        most: most - loaded.bytes,
        broke: broke.clone(),
        tail: None,
    };
    let body = OutgoingBody::flowing(loaded, flow);
    Ok(RequestBody::Once(RefCell::new(Some(body)), broke))
}

fn too_large() -> Response<OutgoingBody> {
    own_answer(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
}

fn origin(uri: &Uri) -> Uri {
    uri.path_and_query()
        .cloned()
        .map_or_else(Uri::default, Uri::from)
}

/// The tries of one request: at most one worker at a time, but for a safe one that runs late.
async fn tries(
    shared: &Rc<Shared>,
    route: &Route,
    service: &Arc<str>,
    proxied: Rc<ProxiedRequest>,
    mut retries: RetryState,
) -> Response<OutgoingBody> {
    let start = shared.now();
    shared.budget(service, |budget| budget.request(start));
    let deadline = retries.ask().deadline;
    let pace_ms = shared.workers.borrow().pace_ms(service);
    let mut late_at = start + retries.double_after(route.aim_ms, pace_ms);
    let doubt_at = late_at.max(start + (DOUBT * pace_ms) as Millis);
    let (done, mut tried) = mpsc::unbounded_channel();
    let mut waiting = 0;
    let mut latest: Option<TryResult> = None;
    let mut next = Next::Again;
    loop {
        if proxied.departure.has_happened() {
            next = Next::Broken;
        }
        if next == Next::Again {
            let now = shared.now();
            let picked = pick(
                shared,
                route,
                service,
                proxied.party,
                &retries,
                (now, false),
            );
            match picked {
                Some((number, room)) => {
                    retries.goes_to(number);
                    waiting += 1;
                    send(shared, &proxied, number, room, deadline, &done);
                    // until this try has ended nothing more is known
                    next = Next::Broken;
                }
                None => next = retries.give_up(latest.as_ref().map_or(End::Unsent, |it| it.end)),
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
                let ended: TryResult = ended;
                let (now, proxies) = (shared.now(), shared.proxies.get().get());
                let wanted = !proxied.departure.has_happened();
                next = retries.ended(now, ended.end, || {
                    wanted && shared.budget(service, |budget| budget.spend(now, proxies, 1.0))
                });
                if next == Next::Again && !proxied.body.is_there() {
                    next = retries.give_up(ended.end);
                }
                // what another worker may still say is better than what can't be passed on
                let over = next == Next::Pass && ended.end == End::Good || waiting == 0;
                latest = Some(ended);
                if over && next != Next::Again {
                    break;
                }
            }
            () = tokio::time::sleep(Duration::from_millis(late_at.saturating_sub(now))), if late => {
                let now = shared.now();
                let first = late_at < doubt_at;
                late_at = if first { doubt_at } else { Millis::MAX };
                let [only] = retries.tried() else {
                    late_at = Millis::MAX;
                    continue;
                };
                if !first {
                    shared.workers.borrow_mut().late(now, *only, start);
                }
                let worth = !first || shared.workers.borrow().odd(*only, start);
                if !worth || !retries.may_double(now) || proxied.departure.has_happened() {
                    continue;
                }
                let proxies = shared.proxies.get().get();
                let picked = pick(shared, route, service, proxied.party, &retries, (now, true));
                if let Some((number, room)) = picked
                    && shared.budget(service, |budget| budget.spend(now, proxies, DOUBLE_PART))
                {
                    retries.goes_to(number);
                    waiting += 1;
                    send(shared, &proxied, number, room, deadline, &done);
                    late_at = Millis::MAX;
                }
            }
        }
    }
    let broken = || own_answer(StatusCode::BAD_GATEWAY, "no whole answer");
    if route.kind == Kind::Unsafe && matches!(next, Next::Broken | Next::Late) {
        shared.spill("it is not known whether an unsafe request has run");
    }
    match next {
        Next::Again | Next::Broken => broken(),
        Next::Pass => latest.and_then(|it| it.answer).unwrap_or_else(broken),
        Next::Refuse => {
            let pace = shared.workers.borrow().pace_ms(service);
            refusal((pace / 2000.0).clamp(0.05, 0.5), "no room")
        }
        Next::Late => own_answer(StatusCode::GATEWAY_TIMEOUT, "out of time"),
    }
}

/// A worker, and room for a connection to it.
fn pick(
    shared: &Shared,
    route: &Route,
    service: &str,
    party: Party,
    retries: &RetryState,
    (now, free): (Millis, bool),
) -> Option<(Number, Taken)> {
    let want = Want {
        service,
        but: retries.tried(),
        away_ms: route.aim_ms * AWAY,
        left_ms: retries.ask().deadline.saturating_sub(now) as f64,
        free,
        safe: route.kind == Kind::Safe,
    };
    let number = (shared.workers.borrow()).pick(now, &want, &mut shared.chance.borrow_mut())?;
    match shared.rooms.take(What::Workers, party) {
        Ok(room) => Some((number, room)),
        Err(why) => {
            shared.note(What::Workers.lacked(why), u64::from(route.priority));
            None
        }
    }
}

/// Has a worker tried in a task of its own, which runs to its end.
fn send(
    shared: &Rc<Shared>,
    proxied: &Rc<ProxiedRequest>,
    number: Number,
    room: Taken,
    deadline: Millis,
    done: &mpsc::UnboundedSender<TryResult>,
) {
    let (shared, proxied, done) = (shared.clone(), proxied.clone(), done.clone());
    tokio::task::spawn_local(async move {
        let _ = done.send(exchange(shared, proxied, (number, room), deadline).await);
    });
}
