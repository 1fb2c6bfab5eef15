//! Where clients come in, and where it is asked whether they may.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use elderpond_forage::Millis;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::client_session::serve_client;
use crate::shared::Shared;

/// Milliseconds by which a process that is short of time may be late with what it does at intervals.
const LATE: Millis = 50;

/// Takes clients' connections.
pub async fn clients(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        shared.client_connections.room().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let client = shared.client_connections.enter(shared.now());
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    serve_client(&shared, stream, &client).await;
                    shared.client_connections.leave(shared.now(), &client);
                });
            }
            // no descriptors left, most likely: others have to end first
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Ends clients' connections that are idle, or within a head, for longer than the limits allow.
pub async fn sweep(shared: Rc<Shared>) {
    loop {
        let now = shared.now();
        let wait = shared.client_connections.sweep(now, &shared.limits());
        shared.pool.sweep(now);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let late = shared.now().saturating_sub(now + wait);
        if late > LATE {
            shared.client_connections.forgive(late);
        }
    }
}

/// Says whether clients may be sent here; on `/room`, who holds what; and on `/metrics`, the
/// process's figures.
pub async fn readiness(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let (status, body) = match request.uri().path() {
                    "/room" => (StatusCode::OK, shared.rooms.told()),
                    "/metrics" => (StatusCode::OK, shared.metrics.text()),
                    _ if shared.ready() => (StatusCode::OK, String::new()),
                    _ => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
                };
                let mut answer = Response::new(Full::new(Bytes::from(body)));
                *answer.status_mut() = status;
                async move { Ok::<_, Infallible>(answer) }
            });
            let _ = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(10))
                .max_buf_size(8 << 10)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
