//! One call of a hive, on a connection of its own, with a bound in time.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::outcome::wrong;

/// Bytes of an answer at most: a configuration is 8 MiB at most.
const LARGEST: usize = 16 << 20;
/// For connecting, and for the answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// What a hive answered.
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Seconds after which it wants to be asked again.
    pub again: Option<String>,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// The body, if the hive did what it was asked.
    ///
    /// # Errors
    /// In the hive's own words, if it did not.
    pub fn good(self, hive: &str) -> anyhow::Result<Bytes> {
        match self.status {
            200 => Ok(self.body),
            _ => bail!("{}", self.words(hive)),
        }
    }

    /// What a hive that did not do it said.
    pub fn words(&self, hive: &str) -> String {
        let said: Option<serde_json::Value> = serde_json::from_slice(&self.body).ok();
        let said = said
            .as_ref()
            .and_then(|it| it.get("error-message")?.as_str());
        let said = said.unwrap_or("it does not say why");
        let again = self
            .again
            .as_ref()
            .map(|after| format!("; ask again in {after} s"));
        format!(
            "{hive} answered {}: {said}{}",
            self.status,
            again.unwrap_or_default()
        )
    }
}

/// Asks the hive at this address.
///
/// # Errors
/// The address can't be read, nobody answers there in time, or what answers speaks no HTTP.
pub fn call(hive: &str, method: Method, path: &str, body: Bytes) -> anyhow::Result<Answer> {
    let to: SocketAddr = hive.parse().map_err(|_| {
        wrong(format!(
            "--hive {hive:?}: has to be an address and a port, as in 10.1.0.37:8544"
        ))
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Timers want the runtime around them from the start.
    let answer = runtime
        .block_on(async move { tokio::time::timeout(PATIENCE, ask(to, method, path, body)).await });
    answer
        .map_err(|_| anyhow::anyhow!("no answer within {} s", PATIENCE.as_secs()))
        .flatten()
        .with_context(|| format!("hive {hive}, {path}"))
}

async fn ask(to: SocketAddr, method: Method, path: &str, body: Bytes) -> anyhow::Result<Answer> {
    let stream = TcpStream::connect(to)
        .await
        .context("it can't be reached")?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, to.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let answered = async {
        let answer = sender.send_request(request).await?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, LARGEST).collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("its answer breaks off: {error}"))?;
        let again = head
            .headers
            .get(RETRY_AFTER)
            .and_then(|it| it.to_str().ok());
        Ok(Answer {
            status: head.status.as_u16(),
            again: again.map(str::to_owned),
            body: body.to_bytes(),
        })
    };
    // The connection is driven for as long as the call takes, and dropped with it.
    tokio::pin!(answered);
    let mut connection = std::pin::pin!(connection);
    let mut over = false;
    std::future::poll_fn(|context| {
        use std::future::Future;
        if !over {
            over = connection.as_mut().poll(context).is_ready();
        }
        answered.as_mut().poll(context)
    })
    .await
}
