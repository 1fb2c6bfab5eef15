//! Where clients come in, and where it is asked whether they may.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::carry::carry;
use crate::shared::{Phase, Shared};

/// A client that has been answered last is read from for this long, so that it gets the answer.
const LINGER: Duration = Duration::from_millis(1500);
/// Bytes that are dropped meanwhile, at most.
const LINGER_BYTES: usize = 1 << 20;

/// Takes clients' connections.
pub async fn clients(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(client(shared.clone(), stream));
            }
            // no descriptors left, most likely: others have to end first
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn client(shared: Rc<Shared>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let limits = shared.routes.borrow().as_ref().map(|routes| routes.limits);
    let limits = limits.unwrap_or_default();
    let mut phases = shared.phases();
    let service = service_fn(|request| Box::pin(carry(shared.clone(), request)));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs_f64(limits.idle_timeout_s))
        .max_buf_size(limits.max_header_bytes.clamp(8 << 10, 1 << 20))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = connection;
    let mut served = tokio::select! {
        served = poll_fn(|cx| connection.poll_without_shutdown(cx)) => Some(served),
        _ = phases.wait_for(|phase| *phase == Phase::Closing) => None,
    };
    if served.is_none() {
        Pin::new(&mut connection).graceful_shutdown();
        served = Some(poll_fn(|cx| connection.poll_without_shutdown(cx)).await);
    }
    if let Some(Ok(())) = served {
        linger(connection.into_parts().io.into_inner()).await;
    }
}

/// Ends a connection so that its last answer arrives: what the client sent behind it is read and
/// dropped, for a socket that is closed over unread bytes is reset, and the answer with it.
async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    let drain = async {
        let mut dropped = [0; 4096];
        let mut most = LINGER_BYTES;
        while let Ok(read @ 1..) = stream.read(&mut dropped).await {
            most = most.saturating_sub(read);
            if most == 0 {
                break;
            }
        }
    };
    let _ = tokio::time::timeout(LINGER, drain).await;
}

/// Says whether clients may be sent here.
pub async fn readiness(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_| {
                let status = match shared.ready() {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                let mut answer = Response::new(Full::new(Bytes::new()));
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
