//! One HTTP/1.1 connection to a peer, on hyper's connection-level client.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Everything is on one site's network: a connection that takes longer never comes up.
const CONNECT: Duration = Duration::from_millis(250);

/// A process that stood still finds an answer and the end of its wait at once: the answer, which
/// takes a turn or two to be read, still counts.
pub const MOMENT: Duration = Duration::from_millis(20);

/// Waits for `work`, `limit` long.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Result<T, CallError> {
    let mut work = pin!(work);
    if let Ok(result) = timeout(limit, &mut work).await {
        return Ok(result);
    }
    timeout(MOMENT, work).await.map_err(|_| CallError::Silent)
}

/// Waits for the end of `work`, if there is any under way.
pub async fn end_of<F: Future + Unpin>(work: &mut Option<F>) -> F::Output {
    match work {
        Some(work) => work.await,
        None => pending().await,
    }
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// Nothing within the time limit.
    #[error("no answer in time")]
    Silent,
    /// Nothing that can be asked for.
    #[error("no request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection broke, or what came is not HTTP.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The body broke off or is over the limit.
    #[error("unreadable body: {0}")]
    Body(String),
}

/// A connection. Its descriptor is given back when it is dropped, whatever the peer does.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    host: String,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Link {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = within(CONNECT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // How it ends is told to the calls on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            host: address.to_string(),
        })
    }

    /// Whether another call can be made on it.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and returns the answer's head; the body is still to come.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallError> {
        self.sender.ready().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, &self.host)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        Ok(self.sender.send_request(request).await?)
    }

    /// Makes a whole call: the answer's status and body, of `most` bytes at the most.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        most: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = self.send(method, path, body).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), most).collect().await;
        let body = body.map_err(|cause| CallError::Body(cause.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}
