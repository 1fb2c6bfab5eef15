//! Discovery: the whole list once, then watch after watch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use crate::counters::Counters;
use crate::http::{CallError, Link, within};
use crate::outage::Outage;
use crate::roster::ListNews;
use crate::wire::discovery::{self, Listing};

/// How long a watch waits. What discovery tells counts as told 2 s after the end of a wait that
/// stays silent, so a shorter wait finds a silent agent sooner; calls on it cost nothing.
const WAIT: Duration = Duration::from_millis(1000);
/// An answer to a watch is due at the end of its wait; the agent is on this machine.
const GRACE: Duration = Duration::from_millis(400);
/// A watch goes on if the next call comes within 200 ms: the first new try comes at once, further
/// ones at this pace.
const AGAIN: Duration = Duration::from_millis(100);
/// Answers without news that come sooner are waited out: an agent that does not keep to the wait
/// must not be called without a pause. Well within the span of a watch.
const LEAST: Duration = Duration::from_millis(20);
/// Bytes of a list at the most: some ten thousand workers.
const LARGEST: usize = 8 << 20;

/// A call on the list that the module asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCall {
    /// Changes from now on.
    Observe,
    /// The whole list.
    Query,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Body(#[from] crate::wire::Malformed),
    #[error("changes without the list that they belong to")]
    Gap,
}

/// Discovery's actor.
pub struct Discovery {
    address: SocketAddr,
    link: Option<Link>,
    list: mpsc::Sender<ListNews>,
    counters: Arc<Counters>,
}

impl Discovery {
    /// For the agent at `address`.
    pub fn new(address: SocketAddr, list: mpsc::Sender<ListNews>, counters: Arc<Counters>) -> Self {
        let link = None;
        Self {
            address,
            link,
            list,
            counters,
        }
    }

    /// Follows the list until nobody wants it. The watch goes on whether or not the settings have
    /// the module ask for it; what it asks for is answered by the next answer, or failure.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<ListCall>) {
        let (mut version, mut outage) = (None, Outage::none("discovery"));
        loop {
            let mut asked = false;
            while let Ok(call) = mailbox.try_recv() {
                asked = true;
                if call == ListCall::Query {
                    version = None;
                }
            }
            let begun = Instant::now();
            let news = match self.call(version).await {
                Ok(listing) => {
                    outage.over();
                    version = Some(listing.version);
                    if listing.whole || !listing.entries.is_empty() || listing.dropped > 0 {
                        ListNews::Told(listing)
                    } else if asked {
                        ListNews::Unchanged
                    } else {
                        sleep_until(begun + LEAST).await;
                        continue;
                    }
                }
                Err(failure) => {
                    if matches!(failure, Failure::Gap) {
                        version = None;
                    }
                    self.link = None;
                    self.counters.lists_failed.one();
                    if outage.failed(&failure) > 1 {
                        sleep(AGAIN).await;
                    }
                    if !asked {
                        continue;
                    }
                    ListNews::Failed
                }
            };
            if self.list.send(news).await.is_err() {
                return;
            }
        }
    }

    async fn call(&mut self, version: Option<u64>) -> Result<Listing, Failure> {
        let (path, wait) = match version {
            None => (discovery::LIST.to_owned(), Duration::ZERO),
            Some(version) => (discovery::watch(version, WAIT.as_millis() as u64), WAIT),
        };
        let link = match self.link.take().filter(Link::is_ready) {
            Some(link) => link,
            None => Link::open(self.address).await?,
        };
        let link = self.link.insert(link);
        let answer = link.call(Method::GET, &path, Bytes::new(), LARGEST);
        let (status, body) = within(wait + GRACE, answer).await??;
        if status != StatusCode::OK {
            return Err(Failure::Status(status));
        }
        let listing = discovery::decode(&body)?;
        // A version that went back belongs to another list: its changes do not apply to ours.
        if !listing.whole && version.is_none_or(|version| listing.version < version) {
            return Err(Failure::Gap);
        }
        Ok(listing)
    }
}
