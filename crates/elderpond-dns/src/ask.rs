//! One question: to a server over UDP, over TCP if the answer was cut off, and to another server if
//! the first is slow.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hickory_proto::rr::Record;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::found::{Failure, Found, found};
use crate::message::{self, Dropped, Question, Reply};
use crate::transport::Transport;

/// Answers that may wait to be looked at: a spoofer's do not pile up.
const REPLIES: usize = 16;
/// Answers of a query that are looked at, at the most: a flood of false ones ends it.
const LOOKED_AT: usize = 256;

/// What was counted, by cause.
#[derive(Debug, Default)]
pub struct Counts {
    /// Queries sent.
    pub queries: AtomicU64,
    /// Of these, over TCP.
    pub over_tcp: AtomicU64,
    /// Of these, to a second server because the first was slow.
    pub hedged: AtomicU64,
    /// The most under way at a time.
    pub most_at_once: AtomicU64,
    /// Under way now.
    pub at_once: AtomicU64,
    /// Answers dropped: not a message, or not an answer.
    pub unreadable: AtomicU64,
    /// Answers dropped: wrong id.
    pub wrong_id: AtomicU64,
    /// Answers dropped: wrong question or class.
    pub wrong_question: AtomicU64,
    /// Questions without an answer.
    pub silent: AtomicU64,
    /// Refusals of all kinds.
    pub refused: AtomicU64,
}

impl Counts {
    /// Adds what another has counted; of what was under way the most counts.
    pub fn take_in(&self, other: &Self) {
        let sums = [
            (&self.queries, &other.queries),
            (&self.over_tcp, &other.over_tcp),
            (&self.hedged, &other.hedged),
            (&self.unreadable, &other.unreadable),
            (&self.wrong_id, &other.wrong_id),
            (&self.wrong_question, &other.wrong_question),
            (&self.silent, &other.silent),
            (&self.refused, &other.refused),
        ];
        for (sum, more) in sums {
            sum.fetch_add(more.load(Ordering::Relaxed), Ordering::Relaxed);
        }
        let most = other.most_at_once.load(Ordering::Relaxed);
        self.most_at_once.fetch_max(most, Ordering::Relaxed);
    }

    fn dropped(&self, cause: Dropped) {
        let counter = match cause {
            Dropped::NotAMessage | Dropped::NotAnAnswer => &self.unreadable,
            Dropped::WrongId => &self.wrong_id,
            Dropped::WrongQuestion => &self.wrong_question,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Limits of one question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long an answer is waited for.
    pub wait: Duration,
    /// A denial without SOA holds for so long, in milliseconds.
    pub least_ms: f64,
}

struct Under<'a>(&'a Counts);

impl<'a> Under<'a> {
    fn way(counts: &'a Counts) -> Self {
        counts.queries.fetch_add(1, Ordering::Relaxed);
        let now = counts.at_once.fetch_add(1, Ordering::Relaxed) + 1;
        counts.most_at_once.fetch_max(now, Ordering::Relaxed);
        Self(counts)
    }
}

impl Drop for Under<'_> {
    fn drop(&mut self) {
        self.0.at_once.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Asks one server. The records beside what was found are its additional section.
///
/// # Errors
/// Why there is no answer.
pub async fn ask(
    transport: &impl Transport,
    server: SocketAddr,
    (question, edns): (&Question, bool),
    limits: &Limits,
    counts: &Counts,
) -> Result<(Found, Vec<Record>), Failure> {
    let id = rand::random();
    let query = message::query(id, question, edns).map_err(|_| Failure::Unread)?;
    let reply = timeout(limits.wait, async {
        let reply = by_udp(transport, server, (id, question, &query), counts).await?;
        if !reply.truncated {
            return Some(reply);
        }
        // Cut off: nothing in it is relied on (RFC 2181, 9).
        counts.over_tcp.fetch_add(1, Ordering::Relaxed);
        let _under = Under::way(counts);
        let bytes = transport.tcp(server, &query).await.ok()?;
        let reply = message::read(&bytes, id, question);
        let reply = reply.inspect_err(|cause| counts.dropped(*cause)).ok()?;
        (!reply.truncated).then_some(reply)
    });
    let Some(reply) = reply.await.ok().flatten() else {
        counts.silent.fetch_add(1, Ordering::Relaxed);
        return Err(Failure::Silent);
    };
    let outcome = found(&reply, question, limits.least_ms);
    if outcome.is_err() {
        counts.refused.fetch_add(1, Ordering::Relaxed);
    }
    Ok((outcome?, reply.additionals))
}

/// The first answer that is believed; others are dropped and counted, and the wait goes on.
async fn by_udp(
    transport: &impl Transport,
    server: SocketAddr,
    (id, question, query): (u16, &Question, &[u8]),
    counts: &Counts,
) -> Option<Reply> {
    let _under = Under::way(counts);
    let (replies, mut came) = mpsc::channel(REPLIES);
    let sending = transport.udp(server, query, replies);
    tokio::pin!(sending);
    let mut sent = false;
    for _ in 0..LOOKED_AT {
        let bytes = tokio::select! {
            bytes = came.recv() => bytes?,
            ended = &mut sending, if !sent => {
                sent = true;
                match ended {
                    Ok(()) => continue,
                    Err(_) => return None,
                }
            }
        };
        match message::read(&bytes, id, question) {
            Ok(reply) => return Some(reply),
            Err(cause) => counts.dropped(cause),
        }
    }
    None
}
