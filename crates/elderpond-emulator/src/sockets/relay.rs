//! The relay: takes calls with orders, and gives news of proxies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use elderpond_wire::relay::{self, Answer, News};
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use super::http::{Body, answer, serve};
use super::{Book, Input};

/// Bytes of a call at the most, with room to tell one that is too long.
const LARGEST: usize = 2 * relay::LARGEST_CALL;
/// A sign of life is due this often.
const ALIVE: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    standing: BTreeMap<u16, News<'static>>,
    readers: Vec<mpsc::UnboundedSender<Bytes>>,
}

impl State {
    fn say(&mut self, news: &News) {
        let line = Bytes::from(relay::write_news(news));
        self.readers
            .retain(|reader| reader.send(line.clone()).is_ok());
    }
}

/// The relay, as one manager sees it.
pub struct Relay {
    /// Where it answers.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    life: Arc<AtomicU32>,
}

fn look(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Starts it for a manager.
    pub async fn start(
        manager: usize,
        book: Arc<Book>,
        input: mpsc::Sender<Input>,
    ) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let life = Arc::new(AtomicU32::new(0));
        let (shared, now) = (state.clone(), life.clone());
        let address = serve(move |request| {
            let (book, input, shared) = (book.clone(), input.clone(), shared.clone());
            let life = now.load(Ordering::Relaxed);
            async move {
                match (request.method(), request.uri().path()) {
                    (&Method::POST, relay::ORDERS) => {
                        orders(request, (manager, life), &book, &input).await
                    }
                    (&Method::GET, relay::EVENTS) => Some(events(&shared)),
                    _ => Some(invalid()),
                }
            }
        });
        Ok(Self {
            address: address.await?,
            state,
            life,
        })
    }

    /// Its manager has died: streams to it are no more.
    pub fn dies(&self, life: u32) {
        self.life.store(life, Ordering::Relaxed);
        let mut state = look(&self.state);
        state.standing.clear();
        state.readers.clear();
    }

    /// A proxy's stream is up.
    pub fn joined(&self, proxy: u16, zone: String, (rate, fresh): (f64, bool)) {
        let news = News::Attach {
            proxy,
            zone: zone.into(),
            rate,
            fresh,
        };
        let mut state = look(&self.state);
        state.say(&news);
        state.standing.insert(proxy, news);
    }

    /// A proxy's stream is down.
    pub fn left(&self, proxy: u16) {
        let mut state = look(&self.state);
        state.standing.remove(&proxy);
        state.say(&News::Detach { proxy });
    }

    /// A proxy has applied everything up to a mark.
    pub fn applied(&self, mark: u64, proxy: u16) {
        let took_ms = 0.0;
        look(&self.state).say(&News::Done {
            proxy,
            mark,
            took_ms,
        });
    }
}

fn invalid() -> Response<Body> {
    answer(
        StatusCode::BAD_REQUEST,
        relay::write_answer(Answer::Invalid),
    )
}

async fn orders(
    request: Request<Incoming>,
    (manager, life): (usize, u32),
    book: &Book,
    input: &mpsc::Sender<Input>,
) -> Option<Response<Body>> {
    let body = Limited::new(request.into_body(), LARGEST)
        .collect()
        .await
        .ok()?;
    let body = body.to_bytes();
    let Some(call) = relay::read_call(&body, book)
        .ok()
        .filter(|_| body.len() <= relay::LARGEST_CALL)
    else {
        return Some(invalid());
    };
    let (taken, answered) = oneshot::channel();
    let orders = call.orders;
    input
        .send(Input::Orders {
            manager,
            life,
            orders,
            taken,
        })
        .await
        .ok()?;
    let taken = answered.await.ok()?;
    Some(answer(
        StatusCode::OK,
        relay::write_answer(Answer::Taken(taken)),
    ))
}

/// News: what stands, then what happens, and a sign of life each second.
fn events(state: &Arc<Mutex<State>>) -> Response<Body> {
    let (reader, mut lines) = mpsc::unbounded_channel();
    {
        let mut state = look(state);
        for news in state.standing.values() {
            let _ = reader.send(Bytes::from(relay::write_news(news)));
        }
        state.readers.push(reader);
    }
    let (mut body, channel) = Channel::new(64);
    tokio::spawn(async move {
        let mut alive = interval(ALIVE);
        alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let line = tokio::select! {
                line = lines.recv() => line,
                _ = alive.tick() => Some(Bytes::from(relay::write_news(&News::Alive))),
            };
            let Some(line) = line else {
                return;
            };
            if body.send_data(line).await.is_err() {
                return;
            }
        }
    });
    Response::new(Either::Right(channel))
}
