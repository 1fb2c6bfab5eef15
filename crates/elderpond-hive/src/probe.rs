//! Health probes.

use std::net::SocketAddrV4;
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
pub(crate) struct Probed {
    pub(crate) ok: bool,
    pub(crate) took_ms: f64,
    pub(crate) load: Option<Load>,
}

enum Said {
    Well(Option<Load>),
    Ill,
    /// Another life answered, or the worker had no room: that says nothing of its health.
    Nothing,
}

/// Asks a worker whether it is well. None where that was not found out.
pub(crate) async fn probe(id: &str, address: SocketAddrV4, path: &str) -> Option<Probed> {
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
    let answer = tokio::select! {
        answer = sender.send_request(request) => answer?,
        ended = connection => {
            ended?;
            anyhow::bail!("no answer");
        }
    };
    Ok(judge(id, answer.status().as_u16(), answer.headers()))
}

fn judge(id: &str, status: u16, headers: &HeaderMap) -> Said {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    match text("x-answering-instance") {
        Some(other) if other != id => return Said::Nothing,
        _ => {}
    }
    match status {
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
