//! Orders to the relay. One reply of the module is one call, and so one message a proxy; calls go
//! one at a time and in order, and each is repeated until the relay has said what it took.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use elderpond::interface::Action;
use hyper::Method;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::counters::Counters;
use crate::http::{CallError, Link};
use crate::roster::Names;
use crate::wire::relay::{self, Answer, Key, Order};

/// The relay answers within 50 ms or never; the rest is for a busy core.
const ANSWER: Duration = Duration::from_millis(150);
/// The relay closes connections that are idle for some 10 s: before that a new one is opened.
const IDLE: Duration = Duration::from_secs(4);
/// Pace of repeats while the relay is out of reach, and before the run begins.
const AGAIN: Duration = Duration::from_millis(50);
/// Bytes of an answer at the most.
const LARGEST: usize = 4096;
/// Calls that may wait while the relay is out of reach; then they are folded into fewer.
const WAITING: usize = 64;

/// Replies that wait for the relay, each as the calls that it makes.
#[derive(Default)]
struct Backlog {
    calls: VecDeque<Vec<Order>>,
}

impl Backlog {
    /// Puts a reply behind those that wait; tells how many older orders that made idle.
    fn push(&mut self, orders: Vec<Order>) -> usize {
        self.append(orders);
        if self.calls.len() <= WAITING {
            return 0;
        }
        // The first call may be under way or done already: it stays as it is. Of the others only
        // the newest order of each key counts, since orders are absolute.
        let Some(first) = self.calls.pop_front() else {
            return 0;
        };
        let orders: Vec<Order> = std::mem::take(&mut self.calls)
            .into_iter()
            .flatten()
            .collect();
        let before = orders.len();
        let mut later = BTreeSet::new();
        let mut kept: Vec<Order> = Vec::new();
        for order in orders.into_iter().rev() {
            let cleared = match order.key {
                Key::Line(table, _) | Key::Level(Some(table), _) => {
                    later.contains(&Key::Table(table))
                }
                _ => false,
            };
            if !cleared && later.insert(order.key.clone()) {
                kept.push(order);
            }
        }
        kept.reverse();
        let folded = before - kept.len();
        self.calls.push_back(first);
        self.append(kept);
        folded
    }

    fn append(&mut self, mut orders: Vec<Order>) {
        while !orders.is_empty() {
            let rest = orders.split_off(relay::fitting(&orders));
            self.calls.push_back(orders);
            orders = rest;
        }
    }
}

/// How a call went.
enum Outcome {
    Answered(Answer),
    Unknown,
}

/// The actor of the orders.
pub struct Orders {
    address: SocketAddr,
    names: watch::Receiver<Arc<Names>>,
    counters: Arc<Counters>,
    link: Option<(Link, Instant)>,
}

impl Orders {
    /// For the relay at `address`.
    pub fn new(
        address: SocketAddr,
        names: watch::Receiver<Arc<Names>>,
        counters: Arc<Counters>,
    ) -> Self {
        let link = None;
        Self {
            address,
            names,
            counters,
            link,
        }
    }

    /// Sends replies until the module is gone. The mailbox is emptied during calls and waits too.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<Vec<Action>>) {
        let mut backlog = Backlog::default();
        let (names, counters) = (self.names.clone(), self.counters.clone());
        let encode = |reply: &[Action]| -> Vec<Order> {
            let names = names.borrow();
            let orders = reply.iter().map(|action| relay::order(action, &names));
            let orders: Vec<Order> = orders.flatten().collect();
            counters
                .orders_dropped
                .add((reply.len() - orders.len()) as u64);
            orders
        };
        let mut repeats = 0;
        let mut begun = Instant::now();
        loop {
            if backlog.calls.is_empty() {
                match mailbox.recv().await {
                    Some(reply) => backlog.push(encode(&reply)),
                    None => return,
                };
                begun = Instant::now();
            }
            let Some(call) = backlog.calls.front() else {
                continue; // nothing of the reply could be named
            };
            let (body, sent) = (Bytes::from(relay::call(call)), call.len());
            let outcome = {
                let exchange = self.exchange(body, sent, repeats);
                let mut exchange = std::pin::pin!(exchange);
                loop {
                    tokio::select! {
                        outcome = &mut exchange => break outcome,
                        Some(reply) = mailbox.recv() => {
                            let folded = backlog.push(encode(&reply));
                            counters.orders_folded.add(folded as u64);
                            counters.calls_waiting_most.raise(backlog.calls.len() as u64);
                        }
                    }
                }
            };
            match outcome {
                Outcome::Answered(Answer::Taken(taken)) => {
                    counters.orders_taken.add(taken as u64);
                    if taken < sent {
                        // The relay halted at an order it cannot use; what follows it still counts.
                        counters.calls_short.one();
                        counters.orders_dropped.one();
                        if let Some(call) = backlog.calls.front_mut() {
                            call.drain(..taken);
                            let order = call.remove(0);
                            log::warn!("the relay cannot use {}", order.text);
                        }
                    } else {
                        counters.calls_taken.one();
                        if let Some(call) = backlog.calls.front_mut() {
                            call.clear();
                        }
                    }
                    repeats = 0;
                }
                Outcome::Answered(Answer::Invalid) => {
                    // It would be invalid again: nothing behind it may wait for it.
                    counters.calls_invalid.one();
                    log::error!("the relay calls a call of {sent} orders invalid");
                    if let Some(call) = backlog.calls.front_mut() {
                        call.clear();
                    }
                }
                Outcome::Answered(Answer::Throttled) => {
                    counters.calls_throttled.one();
                    repeats += 1;
                }
                Outcome::Unknown => {
                    // Done whole or not at all. Orders are absolute, so it is done again before
                    // anything newer.
                    counters.calls_repeated.one();
                    repeats += 1;
                }
            }
            if backlog.calls.front().is_some_and(Vec::is_empty) {
                backlog.calls.pop_front();
                counters
                    .calls_longest_ms
                    .raise(begun.elapsed().as_millis() as u64);
                begun = Instant::now();
            }
        }
    }

    /// One call, after a pause if it was tried before.
    async fn exchange(&mut self, body: Bytes, sent: usize, repeats: u32) -> Outcome {
        if repeats > 1 {
            sleep(AGAIN).await;
        }
        let counters = self.counters.clone();
        counters.calls_sent.one();
        match timeout(ANSWER, self.call(body)).await {
            Ok(Ok(answer)) => {
                if let Some(answer) = relay::answer(&answer, sent) {
                    return Outcome::Answered(answer);
                }
                counters.calls_broken.one();
                log::warn!("relay: unreadable answer");
            }
            Ok(Err(cause)) => {
                counters.calls_broken.one();
                log::warn!("relay: {cause}");
            }
            Err(_) => {
                counters.calls_silent.one();
                log::warn!("relay: no answer to a call of {sent} orders");
            }
        }
        self.link = None;
        Outcome::Unknown
    }

    async fn call(&mut self, body: Bytes) -> Result<Bytes, CallError> {
        let kept = self.link.take();
        let kept = kept.filter(|(link, used)| link.is_ready() && used.elapsed() < IDLE);
        let mut link = match kept {
            Some((link, _)) => link,
            None => {
                self.counters.relay_connects.one();
                Link::open(self.address).await?
            }
        };
        let (_, answer) = link
            .call(Method::POST, relay::ORDERS, body, LARGEST)
            .await?;
        self.link = Some((link, Instant::now()));
        Ok(answer)
    }
}
