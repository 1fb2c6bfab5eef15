//! Where clients come in, and where it is asked whether they may.

use std::convert::Infallible;
use std::io;
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
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::client_session::serve_client;
use crate::shared::{Phase, Shared};

/// Milliseconds by which a process that is short of time may be late with what it does at intervals.
const LATE: Millis = 50;

/// How long nothing is accepted after it could not be, most likely for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Takes clients' connections until the process closes, then those that wait to be accepted as well: their
/// requests may have come already.
pub async fn clients(shared: Rc<Shared>, listener: TcpListener) {
    let mut phases = shared.phases();
    loop {
        tokio::select! {
            biased;
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => break,
            accepted = accept(&shared, &listener) => match accepted {
                Ok(stream) => serve(&shared, stream),
                Err(_) => sleep(ACCEPT_AGAIN).await,
            },
        }
    }
    if let Err(error) = serve_waiting(&shared, listener) {
        log::warn!("connections that waited to be accepted are not served: {error}");
    }
}

/// The next connection, once there is room for it.
async fn accept(shared: &Shared, listener: &TcpListener) -> io::Result<TcpStream> {
    shared.client_connections.room().await;
    let (stream, _) = listener.accept().await?;
    Ok(stream)
}

/// Serves all that have connected and were not accepted yet, as far as there is room.
///
/// The system is asked directly: the runtime may not have been told of them.
fn serve_waiting(shared: &Rc<Shared>, listener: TcpListener) -> io::Result<()> {
    let listener = listener.into_std()?;
    while shared.client_connections.has_room() {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        serve(shared, TcpStream::from_std(stream)?);
    }
    Ok(())
}

/// Serves one client's connection in a task of its own.
fn serve(shared: &Rc<Shared>, stream: TcpStream) {
    let client = shared.client_connections.enter(shared.now());
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        serve_client(&shared, stream, &client).await;
        shared.client_connections.leave(shared.now(), &client);
    });
}

/// Ends clients' connections that are idle, or within a head, for longer than the limits allow.
pub async fn sweep(shared: Rc<Shared>) {
    loop {
        let now = shared.now();
        let wait = shared.client_connections.sweep(now, &shared.limits());
        shared.pool.sweep(now);
        sleep(Duration::from_millis(wait)).await;
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
            sleep(ACCEPT_AGAIN).await;
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
