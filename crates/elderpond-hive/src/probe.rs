//! Health probes.

use std::net::SocketAddrV4;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use elderpond_nectar::Load;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderMap};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(1);

/// What a probe brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probed {
    /// Whether the worker said that it is well.
    pub ok: bool,
    /// Milliseconds that it took.
    pub took_ms: f64,
    /// What it said of its load.
    pub load: Option<Load>,
}

enum Said {
    Well(Option<Load>),
    Ill,
    /// Another life answered, or the worker had no room: that says nothing of its health.
    Nothing,
}

/// Asks the worker `id` at an address whether it is well, within a second, on a connection of its own. None
/// where that was not found out.
pub async fn probe(id: &str, address: SocketAddrV4, path: &str) -> Option<Probed> {
    let began = Instant::now();
    let said = match timeout(PATIENCE, ask(id, address, path)).await {
        Ok(Ok(said)) => said,
        Ok(Err(_)) | Err(_) => Said::Ill,
    };
    let took_ms = began.elapsed().as_secs_f64() * 1000.0;
    let (ok, load) = match said {
        Said::Well(load) => (true, load),
        Said::Ill => (false, None),
        Said::Nothing => return None,
    };
    Some(Probed { ok, took_ms, load })
}

async fn ask(id: &str, address: SocketAddrV4, path: &str) -> anyhow::Result<Said> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let mut answer = pin!(sender.send_request(request));
    let answer = tokio::select! {
        answer = &mut answer => answer,
        // one that came right before the end has come
        _ = connection => answer.await,
    };
    let answer = answer?;
    Ok(judge(id, answer.status().as_u16(), answer.headers()))
}

fn judge(id: &str, status: u16, headers: &HeaderMap) -> Said {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let named = text("x-answering-instance");
    if named.is_some_and(|other| other != id) {
        return Said::Nothing;
    }
    match status {
        // whoever is well says who that is: the address may be another's by now
        200 if named.is_none() => Said::Nothing,
        200 => Said::Well(text("x-instance-load").and_then(load)),
        _ if headers.contains_key("x-request-not-run") => Said::Nothing,
        _ => Said::Ill,
    }
}

/// Running, waiting and slots, separated by commas.
fn load(text: &str) -> Option<Load> {
    let mut parts = text.split(',').map(|part| part.trim().parse().ok());
    Some(Load {
        running: parts.next()??,
        waiting: parts.next()??,
        slots: parts.next()??,
    })
}
