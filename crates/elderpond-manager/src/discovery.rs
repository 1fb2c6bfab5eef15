//! Discovery: the whole list once, then watch after watch.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::counters::Counters;
use crate::http::{CallError, Link, end_of, within};
use crate::outage::Outage;
use crate::roster::ListNews;
use elderpond_wire::discovery::{self, Listing};

/// How long a watch waits. What discovery tells counts as told 2 s after the end of a wait that
/// stays silent, so a shorter wait finds a silent agent sooner; calls on it cost nothing.
const WAIT: Duration = Duration::from_millis(1000);
/// An answer to a watch is due at the end of its wait; the agent is on this machine.
const GRACE: Duration = Duration::from_millis(400);
/// Pace of further tries after a failure, within the span that a watch goes on.
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
    Body(#[from] elderpond_wire::Malformed),
    #[error("changes without the list that they belong to")]
    Gap,
}

/// The agent at one address, and what is known of its list.
struct Agent {
    address: SocketAddr,
    link: Option<Link>,
    /// The version that it told last: it means nothing to another agent.
    version: Option<u64>,
    /// Not called again before that.
    pause: Option<Instant>,
    outage: Outage,
    counters: Arc<Counters>,
}

/// A call on an agent, which comes back with the answer.
type Turn = Pin<Box<dyn Future<Output = (Agent, Result<Listing, Failure>)> + Send>>;

impl Agent {
    fn new(address: SocketAddr, counters: Arc<Counters>) -> Self {
        Self {
            address,
            link: None,
            version: None,
            pause: None,
            outage: Outage::none("discovery"),
            counters,
        }
    }

    /// Calls it, once its pause is over.
    fn turn(mut self) -> Turn {
        Box::pin(async move {
            if let Some(pause) = self.pause.take() {
                sleep_until(pause).await;
            }
            let begun = Instant::now();
            let answer = self.call().await;
            match &answer {
                Ok(listing) => {
                    self.outage.over();
                    self.version = Some(listing.version);
                    if listing.is_empty() {
                        self.pause = Some(begun + LEAST);
                    }
                }
                Err(failure) => {
                    if matches!(failure, Failure::Gap) {
                        self.version = None;
                    }
                    self.link = None;
                    self.counters.lists_failed.one();
                    // A watch goes on if the next call comes within 200 ms: the first new try goes
                    // out at once.
                    if self.outage.failed(failure) > 1 {
                        self.pause = Some(Instant::now() + AGAIN);
                    }
                }
            }
            (self, answer)
        })
    }

    async fn call(&mut self) -> Result<Listing, Failure> {
        let version = self.version;
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

/// Discovery's actor.
pub struct Discovery {
    /// Where the agent answers. It may move.
    address: watch::Receiver<SocketAddr>,
    list: mpsc::Sender<ListNews>,
    counters: Arc<Counters>,
}

impl Discovery {
    /// For the agent at `address`.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        list: mpsc::Sender<ListNews>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            address,
            list,
            counters,
        }
    }

    /// The agent at the address of now.
    fn agent(&mut self) -> Agent {
        Agent::new(*self.address.borrow_and_update(), self.counters.clone())
    }

    /// Follows the list until nobody wants it. The watch goes on whether or not the settings have
    /// the module ask for it; what it asks for is answered by the next answer, or failure.
    ///
    /// Where the agent moves, the old one is followed until the new one has told the whole list.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<ListCall>) {
        let (mut standing, mut coming) = (self.agent().turn(), None::<Turn>);
        // Whether the call under way answers the module; what it asks for meanwhile.
        let (mut answers, mut asked) = (false, None);
        loop {
            let (mut agent, answer) = tokio::select! {
                Some(call) = mailbox.recv() => {
                    if asked != Some(ListCall::Query) {
                        asked = Some(call);
                    }
                    continue;
                }
                Ok(()) = self.address.changed() => {
                    coming = Some(self.agent().turn());
                    continue;
                }
                (agent, answer) = end_of(&mut coming) => {
                    if answer.is_err() {
                        coming = Some(agent.turn());
                        continue;
                    }
                    // What the module asks for is answered by the whole list.
                    (coming, asked, answers) = (None, None, true);
                    (agent, answer)
                }
                (agent, answer) = &mut standing => (agent, answer),
            };
            let news = match answer {
                Ok(listing) if !listing.is_empty() => Some(ListNews::Told(listing)),
                Ok(_) => answers.then_some(ListNews::Unchanged),
                Err(_) => answers.then_some(ListNews::Failed),
            };
            if let Some(news) = news
                && self.list.send(news).await.is_err()
            {
                return;
            }
            let call = asked.take();
            if call == Some(ListCall::Query) {
                agent.version = None;
            }
            answers = call.is_some();
            standing = agent.turn();
        }
    }
}
