//! Requests to a worker, straight and through a forager: what the way through adds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::ensure;
use bytes::Bytes;
use elderpond_rehearsal::open;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::HOST;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Connections that are kept; on each one request at a time.
const LINES: usize = 16;
const WITHIN: Duration = Duration::from_secs(5);

/// Times of requests, sorted, in milliseconds; and how many had no good answer.
pub struct Times {
    pub good: Vec<f64>,
    pub failed: usize,
}

impl Times {
    /// The time within which that part of the requests was answered.
    pub fn part(&self, part: f64) -> f64 {
        let last = self.good.len().saturating_sub(1);
        let at = (last as f64 * part).round() as usize;
        self.good.get(at).copied().unwrap_or(f64::NAN)
    }
}

/// Sends so many requests a second for so long, in turn to these addresses. A request's time counts from when
/// it was due.
pub async fn send(to: &[SocketAddr], rate: f64, span: Duration) -> anyhow::Result<Times> {
    ensure!(!to.is_empty(), "nobody to send to");
    let each = Duration::from_secs_f64(LINES as f64 / rate);
    let count = (span.as_secs_f64() / each.as_secs_f64()) as usize;
    let begun = Instant::now();
    let to: Rc<[SocketAddr]> = to.into();
    let lines: Vec<_> = (0..LINES)
        .map(|line| {
            let first = begun + each.mul_f64(line as f64 / LINES as f64);
            spawn_local(one(to[line % to.len()], line, first, each, count))
        })
        .collect();
    let mut times = Times {
        good: Vec::new(),
        failed: 0,
    };
    for line in lines {
        let (good, failed) = line.await?;
        times.good.extend(good);
        times.failed += failed;
    }
    times.good.sort_by(f64::total_cmp);
    Ok(times)
}

async fn one(
    to: SocketAddr,
    line: usize,
    first: Instant,
    each: Duration,
    count: usize,
) -> (Vec<f64>, usize) {
    let (mut good, mut failed, mut held) = (Vec::new(), 0, None);
    for at in 0..count {
        let due = first + each * at as u32;
        sleep_until(due).await;
        let exchange = async {
            if held.is_none() {
                held = Some(open(to).await?);
            }
            let request = Request::get("/live/x")
                .header(HOST, "live.example")
                .header("X-Attempt-Id", format!("{line:04x}{at:012x}"))
                .header("X-Deadline-Remaining-Ms", "5000")
                .body(Full::new(Bytes::new()))?;
            let line = held.as_mut().expect("opened above");
            let answer = line.sender.send_request(request).await?;
            ensure!(answer.status() == 200, "status {}", answer.status());
            let body = answer.into_body().collect().await?.to_bytes();
            ensure!(body.len() == 1024, "{} bytes", body.len());
            Ok(())
        };
        match timeout(WITHIN, exchange).await {
            Ok(Ok(())) => good.push(due.elapsed().as_secs_f64() * 1000.0),
            _ => {
                (failed, held) = (failed + 1, None);
            }
        }
    }
    (good, failed)
}
