//! One call of a hive, on a connection of its own, with a bound in time.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use elderpond_rehearsal::Answer;
use hyper::Method;
use hyper::header::RETRY_AFTER;
use tokio::task::LocalSet;

use crate::outcome::wrong;

/// For connecting, and for the answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// The body, if the hive did what it was asked.
///
/// # Errors
/// In the hive's own words, if it did not.
pub fn good(answer: Answer, hive: &str) -> anyhow::Result<Bytes> {
    match answer.status {
        200 => Ok(answer.body),
        _ => bail!("{}", words(&answer, hive)),
    }
}

/// What a hive that did not do it said.
pub fn words(answer: &Answer, hive: &str) -> String {
    let said: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
    let said = (said.as_ref()).and_then(|it| it.get("error-message")?.as_str());
    let said = said.unwrap_or("it does not say why");
    let again = (answer.headers.get(RETRY_AFTER)).and_then(|it| it.to_str().ok());
    let again = again.map(|after| format!("; ask again in {after} s"));
    let status = answer.status;
    format!(
        "{hive} answered {status}: {said}{}",
        again.unwrap_or_default()
    )
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
    let asked = elderpond_rehearsal::call(to, method, path, body, PATIENCE);
    let answer = LocalSet::new().block_on(&runtime, asked);
    answer.with_context(|| format!("hive {hive}, {path}"))
}
