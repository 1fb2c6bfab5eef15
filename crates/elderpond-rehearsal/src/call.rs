//! One request on a new connection, and calls of `control` that move on among the control nodes.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST, LOCATION};
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Bytes that an answer may hold: a configuration, which is read back with it, has 8 MiB at most.
const MOST: usize = 16 << 20;

/// A connection, which ends with its handle.
pub struct Line {
    /// Takes requests.
    pub sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection.
pub async fn open(to: SocketAddr) -> anyhow::Result<Line> {
    let stream = TcpStream::connect(to)
        .await
        .context("it can't be reached")?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Line { sender, driver })
}

/// An answer, whole.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// Whether it is a 2xx.
    pub fn good(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Sends one request on a connection of its own. Has to run in a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Nobody answers there within that time, or what answers speaks no HTTP or more than 16 MiB.
pub async fn call(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    within: Duration,
) -> anyhow::Result<Answer> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, to.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let exchange = async {
        let mut line = open(to).await?;
        let (head, body) = line.sender.send_request(request).await?.into_parts();
        let body = Limited::new(body, MOST).collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("its answer breaks off: {error}"))?;
        let (status, headers, body) = (head.status.as_u16(), head.headers, body.to_bytes());
        Ok(Answer {
            status,
            headers,
            body,
        })
    };
    let answer = timeout(within, exchange).await;
    answer.with_context(|| format!("no answer within {} s", within.as_secs_f64()))?
}

/// A caller of `control`: stays with a control node until it fails.
#[derive(Clone, Debug)]
pub struct Control {
    control_nodes: Vec<SocketAddrV4>,
    at: usize,
    told: Option<SocketAddrV4>,
}

impl Control {
    /// A caller that begins somewhere in the list.
    pub fn new(control_nodes: &[SocketAddrV4]) -> Self {
        let (control_nodes, at) = (
            control_nodes.to_vec(),
            fastrand::usize(..control_nodes.len()),
        );
        Self {
            control_nodes,
            at,
            told: None,
        }
    }

    /// A caller of one control node only.
    pub fn only(node: SocketAddrV4) -> Self {
        Self {
            control_nodes: vec![node],
            at: 0,
            told: None,
        }
    }

    /// Where the next call goes.
    pub fn node(&self) -> SocketAddrV4 {
        self.told.unwrap_or(self.control_nodes[self.at])
    }

    /// Goes to an address that was told, until a call fails there.
    pub fn go_to(&mut self, told: SocketAddrV4) {
        self.told = Some(told);
    }

    /// Moves on to the next control node.
    pub fn move_on(&mut self) {
        if self.told.take().is_none() {
            self.at = (self.at + 1) % self.control_nodes.len();
        }
    }

    /// One call, which follows 307 twice; a second of silence fails it.
    pub async fn call(&self, method: Method, path: &str, body: &Bytes) -> anyhow::Result<Answer> {
        let (mut to, mut path) = (self.node(), path.to_owned());
        for _ in 0..3 {
            let answer = call(
                to.into(),
                method.clone(),
                &path,
                body.clone(),
                Duration::from_secs(1),
            )
            .await?;
            if answer.status != 307 {
                return Ok(answer);
            }
            let place = answer
                .headers
                .get(LOCATION)
                .context("307 without Location")?;
            let place = place
                .to_str()?
                .strip_prefix("http://")
                .context("Location is no http URL")?;
            let (address, rest) = place.split_at(place.find('/').unwrap_or(place.len()));
            to = address.parse()?;
            if !rest.is_empty() {
                path = rest.to_owned();
            }
        }
        bail!("a third 307")
    }
}
