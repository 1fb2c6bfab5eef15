//! HTTP/1.1 servers on loopback, on hyper's connection-level server.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A body that is whole, or goes on.
pub type Body = Either<Full<Bytes>, Channel<Bytes, Infallible>>;

/// Why a connection is broken off in place of an answer.
#[derive(Debug, thiserror::Error)]
#[error("nobody answers")]
pub struct Silence;

/// Serves connections at an address that the system chooses. A service that returns nothing breaks
/// the connection off.
pub async fn serve<F, R>(service: F) -> std::io::Result<SocketAddr>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let service = service.clone();
            let service = service_fn(move |request| {
                let answer = service(request);
                async move { answer.await.ok_or(Silence) }
            });
            tokio::spawn(async move {
                // How a connection ends is the manager's business.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(address)
}

/// A whole answer.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut answer = Response::new(Either::Left(Full::new(body.into())));
    *answer.status_mut() = status;
    answer
}
