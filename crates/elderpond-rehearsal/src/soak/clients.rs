//! Clients that keep their connections until the proxy ends them, and now and then leave in the middle.

use std::cell::Cell;
use std::io;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::response::{Answer, ResponseReader};
use super::versions::Versions;
use crate::clients::Front;
use crate::ledger::{End, Id, Kind, Ledger, Seen, digest};
use crate::operator::HOST;

/// Seconds that a client waits for an answer, and that it tells.
pub const WAIT_S: f64 = 4.0;
/// Seconds within which a connection has to be up.
const CONNECT_S: f64 = 1.0;
/// Requests that are sent at once, most often; and now and then, which is more than a proxy begins at once.
const PIPELINED: RangeInclusive<u32> = 2..=4;
const PIPELINED_LONG: RangeInclusive<u32> = 5..=14;
/// One in so many times.
const PIPELINED_LONG_ONE_IN: u32 = 4;
/// Bytes of a body that trickles, at a time, and the rest between.
const TRICKLE: usize = 700;
const TRICKLE_REST: Duration = Duration::from_millis(8);

/// Between two requests to a proxy that did not serve the first.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// How long a reset may take to come behind the end of a connection.
const RESET_COMES: Duration = Duration::from_millis(20);

/// How long a client that sends no more still waits before it goes.
const HALF_CLOSED: Duration = Duration::from_secs(1);

/// How a client behaves in one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Plain,
    /// Several requests at once, answered in order.
    Pipelined,
    /// Its body comes in small pieces.
    Trickling,
    /// It takes the answer in small pieces.
    SlowReading,
    /// It goes before it has its answer.
    Leaving(Departure),
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Close,
    Reset,
    HalfClose,
}

/// All clients of a soak.
pub struct SoakClients {
    /// The proxies.
    pub fronts: Rc<Vec<Front>>,
    /// What is sent and seen.
    pub ledger: Rc<Ledger>,
    /// Which versions there are.
    pub versions: Rc<Versions>,
    /// Whether to stop.
    pub over: Cell<bool>,
}

/// A request that was made, and what is sent of it.
struct Made {
    id: Id,
    kind: Kind,
    head: Vec<u8>,
    body: Vec<u8>,
}

/// A client's connection.
struct Connection {
    stream: TcpStream,
    reader: ResponseReader,
    proxy: usize,
    /// Whether the proxy told that it ends.
    told_to_end: bool,
}

impl SoakClients {
    /// One client, until all is over: `pause_s` on average between two exchanges.
    pub async fn client(self: Rc<Self>, seed: u64, pause_s: f64) {
        let mut chance = fastrand::Rng::with_seed(seed);
        while !self.over.get() {
            let Some(mut connection) = self.connect(&mut chance).await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            while !self.over.get() {
                let pause = Duration::from_secs_f64(2.0 * pause_s * chance.f64());
                sleep(pause).await;
                let goes_on = self.exchange(&mut connection, &mut chance).await;
                if !goes_on.unwrap_or(false) {
                    break;
                }
            }
        }
    }

    /// Asks a proxy on connections of their own, until it has served a request; forever, if it does not.
    pub async fn ask_until_served(&self, proxy: usize, seed: u64) {
        let mut chance = fastrand::Rng::with_seed(seed);
        while !self.is_served_by(proxy, &mut chance).await {
            sleep(ASK_AGAIN).await;
        }
    }

    /// Sends a proxy one request on a route that stays; whether it is answered with a success.
    async fn is_served_by(&self, proxy: usize, chance: &mut fastrand::Rng) -> bool {
        let Some(mut connection) = self.connect_to(proxy).await else {
            return false;
        };
        let made = [self.make(proxy, Kind::Read, Manner::Plain, chance)];
        let asked = async {
            self.send_or_fail(&mut connection, &made, Manner::Plain)
                .await?;
            self.receive_or_fail(&mut connection, &made).await
        };
        asked.await.is_ok() && self.ledger.was_served(made[0].id)
    }

    /// A connection to any proxy that is ready; now and then to one that is not, as it may be about to end.
    async fn connect(&self, chance: &mut fastrand::Rng) -> Option<Connection> {
        let any = chance.u8(..8) == 0;
        let ready: Vec<usize> = (0..self.fronts.len())
            .filter(|proxy| any || self.fronts[*proxy].is_in())
            .collect();
        self.connect_to(*chance.choice(&ready)?).await
    }

    async fn connect_to(&self, proxy: usize) -> Option<Connection> {
        let dial = TcpStream::connect(self.fronts[proxy].http);
        let stream = timeout(Duration::from_secs_f64(CONNECT_S), dial).await;
        let stream = stream.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection {
            stream,
            reader: ResponseReader::default(),
            proxy,
            told_to_end: false,
        })
    }

    /// One exchange; whether the connection may go on.
    async fn exchange(
        &self,
        connection: &mut Connection,
        chance: &mut fastrand::Rng,
    ) -> io::Result<bool> {
        let manner = draw_manner(chance);
        connection.reader.slow = manner == Manner::SlowReading;
        let count = match manner {
            Manner::Pipelined if chance.u32(..PIPELINED_LONG_ONE_IN) == 0 => {
                chance.u32(PIPELINED_LONG)
            }
            Manner::Pipelined => chance.u32(PIPELINED),
            _ => 1,
        };
        let made: Vec<Made> = (0..count)
            .map(|_| {
                let kind = self.draw_kind(manner, chance);
                self.make(connection.proxy, kind, manner, chance)
            })
            .collect();
        self.send_or_fail(connection, &made, manner).await?;
        if let Manner::Leaving(departure) = manner {
            sleep(Duration::from_millis(chance.u64(..400))).await;
            self.leave(connection, &made, departure).await;
            return Ok(false);
        }
        self.receive_or_fail(connection, &made).await?;
        // a client that was told of the end uses the connection all the same, until it is gone
        Ok(!connection.reader.has_more())
    }

    /// Sends requests; where that fails, none of them gets an answer.
    async fn send_or_fail(
        &self,
        connection: &mut Connection,
        made: &[Made],
        manner: Manner,
    ) -> io::Result<()> {
        if let Err(error) = self.send(connection, made, manner).await {
            let reset = was_reset(connection, &error).await;
            made.iter().for_each(|made| self.fail(made, reset));
            return Err(error);
        }
        Ok(())
    }

    /// Takes the answers to requests that were sent, in order; where one fails, none behind it comes.
    async fn receive_or_fail(&self, connection: &mut Connection, made: &[Made]) -> io::Result<()> {
        let mut left = made.iter();
        while let Some(made) = left.next() {
            if let Err(error) = self.receive(connection, made).await {
                let reset = was_reset(connection, &error).await;
                // with others sent behind it, only they may have been left unread
                self.fail(made, reset && left.len() == 0);
                left.for_each(|made| self.fail(made, reset));
                return Err(error);
            }
        }
        Ok(())
    }

    fn draw_kind(&self, manner: Manner, chance: &mut fastrand::Rng) -> Kind {
        match (manner, chance.u8(..100)) {
            (Manner::Trickling, _) => Kind::Write,
            (Manner::Leaving(_), 0..60) => Kind::Long,
            (_, 0..35) => Kind::Read,
            (_, 35..60) => Kind::Write,
            (_, 60..63) => Kind::Long,
            _ => match self.versions.recent(chance.u32(..)) {
                Some(nth) => Kind::Version(nth),
                None => Kind::Read,
            },
        }
    }

    fn make(&self, proxy: usize, kind: Kind, manner: Manner, chance: &mut fastrand::Rng) -> Made {
        let id: Id = chance.u64(..);
        let path = format!("{}{:x}", kind.prefix(), chance.u32(..));
        let (method, body) = match kind {
            Kind::Write => ("POST", draw_body(manner, chance)),
            _ => ("GET", Vec::new()),
        };
        let length = match body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id:016x}\r\n\
             X-Deadline-Remaining-Ms: {}\r\n{length}\r\n",
            WAIT_S * 1000.0
        );
        let life = self.fronts[proxy].life.get();
        let asked = digest((method, path.as_str(), &body[..]));
        self.ledger.send(id, kind, (proxy, life), asked);
        Made {
            id,
            kind,
            head: head.into_bytes(),
            body,
        }
    }

    async fn send(
        &self,
        connection: &mut Connection,
        made: &[Made],
        manner: Manner,
    ) -> io::Result<()> {
        let behind_the_end = connection.told_to_end;
        let stream = &mut connection.stream;
        let all = async {
            for (nth, made) in made.iter().enumerate() {
                stream.write_all(&made.head).await?;
                match manner {
                    Manner::Trickling => {
                        for piece in made.body.chunks(TRICKLE) {
                            stream.write_all(piece).await?;
                            sleep(TRICKLE_REST).await;
                        }
                    }
                    _ => stream.write_all(&made.body).await?,
                }
                self.ledger.sent_whole(made.id, nth > 0 || behind_the_end);
            }
            Ok(())
        };
        let sent = timeout(Duration::from_secs_f64(WAIT_S), all).await;
        sent.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    async fn receive(&self, connection: &mut Connection, made: &Made) -> io::Result<()> {
        let begun = self.ledger.now();
        let answer = connection.reader.next(&mut connection.stream);
        let answer = timeout(Duration::from_secs_f64(WAIT_S), answer).await;
        let answer = answer.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
        connection.told_to_end = answer.ends_connection();
        self.see(made, &answer, self.ledger.now() - begun);
        Ok(())
    }

    fn see(&self, made: &Made, answer: &Answer, took: f64) {
        let own_id = format!("{:016x}", made.id);
        let seen = Seen {
            status: answer.status,
            seal: answer.header("x-server-seal").map(str::to_owned),
            foreign: answer.header("x-attempt-id").is_some_and(|id| id != own_id),
            body: digest(&answer.body[..]),
        };
        self.ledger.see(made.id, seen);
        let end = End::of_status(answer.status);
        if made.kind.stays() {
            self.ledger.end(made.kind, end, took);
        }
    }

    /// No answer came.
    fn fail(&self, made: &Made, reset: bool) {
        self.ledger.cut(made.id, reset);
        if made.kind.stays() {
            self.ledger.end(made.kind, End::Failed, WAIT_S);
        }
    }

    /// The client goes; the connection is dropped by who called.
    async fn leave(&self, connection: &mut Connection, made: &[Made], departure: Departure) {
        let stream = &mut connection.stream;
        match departure {
            Departure::Close => {}
            Departure::Reset => {
                let _ = stream.set_zero_linger();
            }
            Departure::HalfClose => {
                let _ = stream.shutdown().await;
                sleep(HALF_CLOSED).await;
            }
        }
        made.iter().for_each(|made| self.ledger.depart(made.id));
    }
}

/// Whether the proxy's socket was closed over bytes that nobody had read, which resets the connection.
async fn was_reset(connection: &Connection, error: &io::Error) -> bool {
    if matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
    ) {
        return true;
    }
    // behind an end in order a reset may still be on its way
    sleep(RESET_COMES).await;
    let behind = connection.stream.take_error();
    behind.is_ok_and(|error| error.is_some())
}

fn draw_manner(chance: &mut fastrand::Rng) -> Manner {
    match chance.u8(..100) {
        0..60 => Manner::Plain,
        60..72 => Manner::Pipelined,
        72..80 => Manner::Trickling,
        80..87 => Manner::SlowReading,
        87..92 => Manner::Leaving(Departure::Close),
        92..96 => Manner::Leaving(Departure::Reset),
        _ => Manner::Leaving(Departure::HalfClose),
    }
}

fn draw_body(manner: Manner, chance: &mut fastrand::Rng) -> Vec<u8> {
    let most = match (manner, chance.u8(..10)) {
        (Manner::Trickling, _) => 20_000,
        (_, 0) => 300_000,
        _ => 4_000,
    };
    let size = chance.usize(1..most);
    std::iter::repeat_with(|| chance.u8(..))
        .take(size)
        .collect()
}
