//! Where clients come in, and where it is asked whether they may.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::client_connections::{ClientConnection, Stage, Turn};
use crate::client_socket::ClientSocket;
use crate::client_stream::{ClientStream, is_bare};
use crate::connection_end::ConnectionEnd;
use crate::request::serve_request;
use crate::shared::{Phase, Shared};

/// A client that has been answered last is read from for this long, so that it gets the answer.
const LINGER: Duration = Duration::from_millis(1500);
/// The same for one that was idle, whose last answer is likely to have arrived.
const LINGER_IDLE: Duration = Duration::from_millis(200);
/// Bytes that are dropped meanwhile, at most.
const LINGER_BYTES: usize = 1 << 20;

/// Takes clients' connections.
pub async fn clients(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        shared.client_connections.room(shared.now()).await;
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
    }
}

async fn serve_client(shared: &Rc<Shared>, stream: TcpStream, client: &Rc<ClientConnection>) {
    let _ = stream.set_nodelay(true);
    let limits = shared.limits();
    let mut phases = shared.phases();
    let service = service_fn(|request| {
        let turn = Turn::new(shared, client, is_bare(&request));
        Box::pin(serve_request(shared.clone(), request, turn))
    });
    let socket = ClientSocket::new(stream);
    let client_stream = ClientStream::new(socket.clone(), client, shared);
    let mut connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.clamp(8 << 10, 1 << 20))
        .serve_connection(client_stream, service);
    let mut end = None;
    let served = loop {
        let closing = async {
            let _ = phases.wait_for(|phase| *phase == Phase::Closing).await;
            // what was begun is answered first
            client.begun_none().await;
        };
        let told = tokio::select! {
            biased;
            () = socket.closed_by_peer() => return departed(shared, client),
            served = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break served,
            () = closing, if end.is_none() => ConnectionEnd::ProcessEnd,
            told = client.told_to_end() => told,
        };
        if told == ConnectionEnd::Overdue {
            shared.metrics.client_connection_ended(told);
            return;
        }
        // idle ones end at once, others with their answer
        Pin::new(&mut connection).graceful_shutdown();
        end = Some(told);
    };
    let end = end.unwrap_or(ConnectionEnd::LastAnswer);
    shared.metrics.client_connection_ended(end);
    // whoever sent more behind the last answer sends it again elsewhere
    client.departure.happens(shared.now());
    drop(connection);
    if let Some(stream) = socket.into_stream().filter(|_| served.is_ok()) {
        let longest = match end {
            ConnectionEnd::Idle | ConnectionEnd::Room => LINGER_IDLE,
            _ => LINGER,
        };
        let dropped = linger(stream, longest).await;
        if dropped > 0 {
            shared.bytes_dropped(end, dropped);
        }
    }
}

/// The client has closed its connection or its side of it, and waits for nothing any more.
fn departed(shared: &Shared, client: &ClientConnection) {
    client.departure.happens(shared.now());
    if client.stage() == Stage::Busy {
        shared.metrics.departed();
    }
}

/// Ends a connection so that its last answer arrives: what the client sent behind it is read and
/// dropped, for a socket that is closed over unread bytes is reset, and the answer with it. How many bytes
/// were dropped.
async fn linger(mut stream: TcpStream, longest: Duration) -> usize {
    let _ = stream.shutdown().await;
    let mut dropped = 0;
    let drain = async {
        let mut bytes = [0; 4096];
        while dropped < LINGER_BYTES
            && let Ok(read @ 1..) = stream.read(&mut bytes).await
        {
            dropped += read;
        }
    };
    let _ = tokio::time::timeout(longest, drain).await;
    dropped
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
