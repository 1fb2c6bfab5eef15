//! Where clients come in, and where it is asked whether they may.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::carry::carry;
use crate::shared::{Phase, Shared};

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
    let service = service_fn(|request| carry(shared.clone(), request));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs_f64(limits.idle_timeout_s))
        .max_buf_size(limits.max_header_bytes.clamp(8 << 10, 1 << 20))
        .pipeline_flush(true)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phases.wait_for(|phase| *phase == Phase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
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
