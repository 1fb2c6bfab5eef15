//! The cases: what is sent, when the disruption comes, and the check.

use std::fmt::Write as _;
use std::fs;
use std::net::TcpStream;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::clients::{over_a_network, Client, Sent};
use crate::fleet::{configuration, Fleet, Route, Running, APPLY, GRACE, SERVICE};
use crate::worker::{self, Decide, Ledger, Run, Work};
use crate::Verdict;

/// Milliseconds that the clients of these cases wait: those of `archive-list` in SYSTEM.md.
const DEADLINE_MS: u64 = 5_000;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// `contact-window-s` of the small deployments.
const CONTACT: Duration = Duration::from_secs(3);

/// The route of `archive-list`.
fn bulk() -> Route {
    Route {
        name: "archive-list".to_owned(),
        prefix: "/arkisto/".to_owned(),
        kind: "safe",
        service: SERVICE,
        timeout_s: 10.0,
        attempts: 2,
    }
}

/// What is written to `record.txt`.
struct Record {
    began: Instant,
    text: String,
}

impl Record {
    fn new() -> Self {
        Self {
            began: Instant::now(),
            text: String::new(),
        }
    }

    fn at(&self, moment: Instant) -> String {
        let after = moment.saturating_duration_since(self.began).as_secs_f64();
        format!("{after:7.3} s")
    }

    fn note(&mut self, moment: Instant, what: &str) {
        let _ = writeln!(self.text, "{}  {what}", self.at(moment));
    }

    /// A request, what became of it, and who ran it.
    fn request(&mut self, sent: &Sent, runs: &[Run]) {
        let end = match (sent.answer, sent.lost) {
            (Some((status, at)), _) => format!("answered {status} at {}", self.at(at)),
            (None, Some(at)) => format!("connection ended without an answer at {}", self.at(at)),
            (None, None) => "not answered".to_owned(),
        };
        let runs: Vec<String> = (runs.iter())
            .map(|run| {
                let answered = (run.answered).map_or("not whole".to_owned(), |at| self.at(at));
                format!(
                    "run by {} of {} from {}, answer {answered}",
                    run.worker,
                    run.service,
                    self.at(run.begun)
                )
            })
            .collect();
        let runs = if runs.is_empty() {
            "not run".to_owned()
        } else {
            runs.join("; ")
        };
        self.note(
            sent.at,
            &format!("sent {} {}: {end}; {runs}", sent.id, sent.path),
        );
    }

    /// Ends the record with what was found.
    fn end(mut self, folder: &str, broken: bool, found: &str) -> Result<Verdict, String> {
        let verdict = if broken { "BROKEN" } else { "held" };
        let _ = writeln!(self.text, "{verdict}: {found}");
        println!("{verdict}: {found}");
        let path = format!("{folder}/record.txt");
        fs::write(&path, self.text).map_err(|error| format!("{path}: {error}"))?;
        Ok(if broken {
            Verdict::Broken
        } else {
            Verdict::Held
        })
    }
}

/// Starts a small deployment with a first configuration, and waits until it is calm.
fn calm(
    record: &mut Record,
    max_header_bytes: u32,
    workers: usize,
    ledger: &Ledger,
    decide: Decide,
) -> Result<Running, String> {
    let fleet = Fleet::new(2);
    fleet.start()?;
    worker::start(&fleet, SERVICE, workers, ledger, decide)?;
    let acknowledged = fleet.configure(&configuration(1, max_header_bytes, &[bulk()]))?;
    record.note(acknowledged, "r1 is acknowledged");
    fleet.wait_until_ready()?;
    sleep(CONTACT + Duration::from_secs(1));
    record.note(
        Instant::now(),
        "every proxy is ready, and all has been calm for contact-window-s",
    );
    Ok(fleet)
}

fn connect(fleet: &Fleet) -> Result<Client, String> {
    let told = |error: std::io::Error| error.to_string();
    Client::new(TcpStream::connect(fleet.front(0)).map_err(told)?).map_err(told)
}

/// Sends a first request, so that the connection is a kept one.
fn first(client: &mut Client) -> Result<(), String> {
    client.send(&["/arkisto/first"], DEADLINE_MS, "");
    client.wait(DEADLINE);
    match client.sent()[0].answer {
        Some((200, _)) => Ok(()),
        other => Err(format!("a first request got {other:?}")),
    }
}

/// Case `grace`: a proxy is told to end while the first of several requests on a connection takes long.
pub fn grace(folder: &str, trouble: bool) -> Result<Verdict, String> {
    const CLIENTS: u32 = 12;
    let decide: Decide = |_, path| Work {
        takes: Duration::from_millis(if path.ends_with("long") { 4_500 } else { 100 }),
        bytes: 5_000,
    };
    let (mut record, ledger) = (Record::new(), Ledger::default());
    let fleet = calm(&mut record, 16_384, 6, &ledger, decide)?;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let mut client = connect(&fleet)?;
        first(&mut client)?;
        clients.push(client);
    }
    let term = Instant::now();
    if trouble {
        fleet.terminate(fleet.foragers[0]);
        record.note(term, "SIGTERM to the proxy");
    }
    for client in &mut clients {
        sleep(Duration::from_millis(170));
        let paths = [
            "/arkisto/long",
            "/arkisto/one",
            "/arkisto/two",
            "/arkisto/three",
        ];
        client.send(&paths, DEADLINE_MS, "");
    }
    for client in &clients {
        client.wait((GRACE + Duration::from_secs(2)).saturating_sub(term.elapsed()));
    }
    if trouble {
        let status = fleet
            .ended(fleet.foragers[0])
            .unwrap_or("it runs".to_owned());
        record.note(Instant::now(), &format!("the proxy: {status}"));
    }
    let mut lost = 0;
    for sent in clients.iter().flat_map(Client::sent) {
        let runs = ledger.of(&sent.id);
        record.request(&sent, &runs);
        // the worker had answered before the second half of the grace period, and the client still waited
        let early = |run: &Run| run.answered.is_some_and(|at| at < term + GRACE / 2);
        let waited = sent.lost.is_some_and(|at| at < sent.at + DEADLINE);
        lost += u32::from(waited && !runs.is_empty() && runs.iter().all(early));
    }
    record.end(
        folder,
        lost > 0,
        &format!("{lost} requests that their workers had answered before {GRACE:?} / 2 after the SIGTERM, \
             and whose clients still waited, ended without an answer"),
    )
}

/// Case `last`: a proxy is told to end while clients send the next request before the last one's answer has
/// reached them.
pub fn last(folder: &str, trouble: bool) -> Result<Verdict, String> {
    const CLIENTS: u64 = 24;
    /// One way between a client and a proxy: SYSTEM.md.
    const DELAY: Duration = Duration::from_millis(3);
    /// A client's slow line, 4.2 Mbit/s; the pages set no rate for clients.
    const BYTES_PER_S: f64 = 525_000.0;
    let decide: Decide = |_, path| Work {
        takes: Duration::from_millis(100),
        bytes: if path.ends_with("export") {
            250_000
        } else {
            400
        },
    };
    let (mut record, ledger) = (Record::new(), Ledger::default());
    let fleet = calm(&mut record, 16_384, 6, &ledger, decide)?;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let told = |error: std::io::Error| error.to_string();
        let stream = over_a_network(fleet.front(0), DELAY, BYTES_PER_S).map_err(told)?;
        let mut client = Client::new(stream).map_err(told)?;
        first(&mut client)?;
        clients.push(client);
    }
    let term = Instant::now();
    if trouble {
        fleet.terminate(fleet.foragers[0]);
        record.note(term, "SIGTERM to the proxy");
    }
    sleep(Duration::from_millis(200));
    scope(|scope| {
        for (number, client) in (0..).zip(&mut clients) {
            scope.spawn(move || {
                sleep(Duration::from_millis(40 * number));
                client.send(&["/arkisto/export"], DEADLINE_MS, "");
                // about as long as a worker takes
                sleep(Duration::from_millis(90 + number));
                client.send(&["/arkisto/next"], DEADLINE_MS, "");
            });
        }
    });
    for client in &clients {
        client.wait(GRACE);
    }
    let mut lost = 0;
    for sent in clients.iter().flat_map(Client::sent) {
        let runs = ledger.of(&sent.id);
        record.request(&sent, &runs);
        // no worker was at work on it in the second half of the grace period, and the client still waited
        let early = |run: &Run| run.begun < term + GRACE / 3;
        let waited = sent.lost.is_some_and(|at| at < sent.at + DEADLINE);
        lost += u32::from(waited && !runs.is_empty() && runs.iter().all(early));
    }
    record.end(
        folder,
        lost > 0,
        &format!("{lost} requests that were passed on to a worker, and whose clients still waited, ended \
             without an answer"),
    )
}

/// Case `limits`: the operator raises `max-header-bytes` while clients keep their connections.
pub fn limits(folder: &str, trouble: bool) -> Result<Verdict, String> {
    const CLIENTS: usize = 20;
    const BEFORE: u32 = 8_192;
    const AFTER: u32 = 16_384;
    let decide: Decide = |_, _| Work {
        takes: Duration::from_millis(20),
        bytes: 400,
    };
    let (mut record, ledger) = (Record::new(), Ledger::default());
    let at_first = if trouble { BEFORE } else { AFTER };
    let fleet = calm(&mut record, at_first, 6, &ledger, decide)?;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let mut client = connect(&fleet)?;
        first(&mut client)?;
        clients.push(client);
    }
    if trouble {
        let acknowledged = fleet.configure(&configuration(2, AFTER, &[bulk()]))?;
        let what = format!("r2 is acknowledged: max-header-bytes {AFTER}, {BEFORE} before");
        record.note(acknowledged, &what);
    }
    let more = format!("X-Signed-By: {}\r\n", "s".repeat(12_000));
    // kept connections rest for less than four fifths of idle-timeout-s
    sleep(APPLY * 2);
    let mut fresh = connect(&fleet)?;
    fresh.send(&["/arkisto/fresh"], DEADLINE_MS, &more);
    for client in &mut clients {
        client.send(&["/arkisto/signed"], DEADLINE_MS, &more);
    }
    clients.push(fresh);
    for client in &clients {
        client.wait(DEADLINE);
    }
    let (mut all, mut denied) = (0_u32, 0_u32);
    for sent in clients.iter().flat_map(Client::sent) {
        record.request(&sent, &ledger.of(&sent.id));
        all += 1;
        denied += u32::from(
            sent.answer
                .is_some_and(|(status, _)| (300..500).contains(&status)),
        );
    }
    let most = 5.0 + f64::from(all) / 500.0;
    record.end(
        folder,
        f64::from(denied) > most,
        &format!("{denied} of {all} proper requests got a 3xx or 4xx of the proxy; {most:.2} are allowed"),
    )
}
