//! The cases: what is sent, when the disruption comes, and the check.

use std::fmt::Write as _;
use std::fs;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::clients::{over_a_network, Client, Sent};
use crate::fleet::{configuration, Fleet, Route, Running, GRACE, GROWN, SERVICES, SMALL};
use crate::relay::Relay;
use crate::worker::{self, Decide, Ledger, Run, Work};
use crate::Verdict;

/// Milliseconds that the clients of these cases wait: those of `archive-list` in SYSTEM.md.
const DEADLINE_MS: u64 = 5_000;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// `contact-window-s` of the small deployments.
const CONTACT: Duration = Duration::from_secs(3);

/// A route of `archive-list`.
fn route(name: String, prefix: String, service: &'static str) -> Route {
    Route {
        name,
        prefix,
        kind: "safe",
        service,
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
        self.request_told("", sent, runs);
    }

    /// The same, with what is to be said of it.
    fn request_told(&mut self, told: &str, sent: &Sent, runs: &[Run]) {
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
            &format!("sent {} {}{told}: {end}; {runs}", sent.id, sent.path),
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
    workers: usize,
    ledger: &Ledger,
    decide: Decide,
) -> Result<Running, String> {
    let fleet = Fleet::new(&SMALL, 2);
    fleet.start()?;
    worker::start(&fleet, &SERVICES[..1], workers, ledger, decide)?;
    let bulk = route(
        "archive-list".to_owned(),
        "/arkisto/".to_owned(),
        SERVICES[0],
    );
    let acknowledged = fleet.configure(&configuration(1, &[bulk]))?;
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
    let fleet = calm(&mut record, 6, &ledger, decide)?;
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
    /// 4.2 Mbit/s.
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
    let fleet = calm(&mut record, 6, &ledger, decide)?;
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

/// A drawn number below `below` (xorshift).
fn draw(random: &mut u64, below: u64) -> u64 {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    *random % below
}

/// So many routes that nobody asks for, with names as on the pages.
fn idle_routes(count: usize) -> Vec<Route> {
    let mut random = 0x2026_1204_u64;
    let mut syllable = || {
        let letter = |all: &str, at: u64| all.chars().nth(at as usize).unwrap_or('a');
        let (one, other) = (draw(&mut random, 20), draw(&mut random, 5));
        let digits = draw(&mut random, 900) + 100;
        let first = letter("bcdfghjklmnpqrstvwxz", one);
        (format!("{first}{}", letter("aeiou", other)), digits)
    };
    let mut name = || {
        let ((one, digits), (two, more)) = (syllable(), syllable());
        (format!("{one}{two}{digits}"), more % 90 + 10)
    };
    (0..count)
        .map(|_| {
            let ((first, _), (second, number), (third, more)) = (name(), name(), name());
            let prefix = format!("/{first}/{}{number}/", &second[..2]);
            route(format!("r-{third}{more}"), prefix, SERVICES[0])
        })
        .collect()
}

/// Case `wire`: a proxy is cut off from the control nodes for a moment, with resets; later the configuration
/// changes.
pub fn wire(folder: &str, trouble: bool) -> Result<Verdict, String> {
    /// `contact-window-s` and `configuration-apply-s` of the grown deployments.
    const WINDOW: Duration = Duration::from_secs(5);
    const APPLY: Duration = Duration::from_secs(3);
    /// The longest that `node_cut` lasts there.
    const LONGEST_CUT: Duration = Duration::from_millis(5_500);
    /// 20 times the largest dose of `big_config`.
    const IDLE: usize = 20 * 1_400;
    const CHANGES: usize = 24;
    /// `gap_s` of `config_storm`.
    const GAP: Duration = Duration::from_millis(330);
    let decide: Decide = |_, _| Work {
        takes: Duration::from_millis(1),
        bytes: 400,
    };
    let (mut record, ledger) = (Record::new(), Ledger::default());
    let fleet = Fleet::new(&GROWN, 2);
    fleet.start_hives()?;
    let relay = Relay::start(&fleet)?;
    fleet.start_foragers()?;
    worker::start(&fleet, &SERVICES, 3, &ledger, decide)?;
    let idle = idle_routes(IDLE);
    // with each version one more route goes to the other service
    let version = |moved: usize| {
        let of = |number| {
            route(
                format!("moved-{number}"),
                path(number),
                SERVICES[usize::from(number <= moved)],
            )
        };
        let routes: Vec<Route> = idle.iter().cloned().chain((1..=CHANGES).map(of)).collect();
        configuration(moved as u32 + 1, &routes)
    };
    let first = version(0);
    let acknowledged = fleet.configure(&first)?;
    record.note(
        acknowledged,
        &format!(
            "r1 is acknowledged: {IDLE} idle routes, {} bytes",
            first.len()
        ),
    );
    fleet.wait_until_ready()?;
    sleep(WINDOW + Duration::from_secs(1));
    if trouble {
        let lasted = relay.cut(LONGEST_CUT);
        record.note(Instant::now(), &format!("the cut is over after {lasted:?}"));
    }
    sleep(WINDOW * 2);
    record.note(
        Instant::now(),
        "all has been calm for twice contact-window-s",
    );
    let acks = Mutex::new(Vec::new());
    let done = AtomicBool::new(false);
    let probes = scope(|scope| {
        let probing: Vec<_> = (0..fleet.foragers.len())
            .map(|proxy| {
                let (fleet, ledger, acks, done) = (&fleet, &ledger, &acks, &done);
                scope.spawn(move || probe(fleet, proxy, ledger, acks, done))
            })
            .collect();
        let mut failed = None;
        for number in 1..=CHANGES {
            let next = Instant::now() + GAP;
            match fleet.configure(&version(number)) {
                Ok(at) => acks.lock().unwrap().push((number, at)),
                Err(error) => failed = failed.or(Some(error)),
            }
            sleep(next.saturating_duration_since(Instant::now()));
        }
        sleep(APPLY * 3);
        done.store(true, Ordering::SeqCst);
        let probes: Vec<_> = probing.into_iter().map(|probe| probe.join()).collect();
        failed.map_or(Ok(probes), Err)
    })?;
    for (at, what) in relay.events() {
        record.note(at, &what);
    }
    let acks = acks.into_inner().unwrap_or_default();
    for (number, at) in &acks {
        record.note(
            *at,
            &format!(
                "r{} is acknowledged: {} goes to {}",
                number + 1,
                path(*number),
                SERVICES[1]
            ),
        );
    }
    let (mut late, mut longest) = (0, Duration::ZERO);
    for (proxy, probes) in probes.into_iter().enumerate() {
        for sent in probes.map_err(|_| "a client failed".to_owned())? {
            let runs = ledger.of(&sent.id);
            let acknowledged = acks
                .iter()
                .find(|(number, _)| sent.path.starts_with(&path(*number)));
            let old = runs.iter().any(|run| run.service == SERVICES[0]);
            let Some((number, at)) = acknowledged else {
                continue;
            };
            let after = sent.at.saturating_duration_since(*at);
            let told = format!(
                " to proxy {proxy}, {after:.3?} after r{} was acknowledged",
                number + 1
            );
            record.request_told(&told, &sent, &runs);
            if old {
                longest = longest.max(after);
                late += u32::from(after > APPLY);
            }
        }
    }
    record.end(
        folder,
        late > 0,
        &format!(
            "{late} requests were sent later than {APPLY:?} after a version was acknowledged and run by the \
             service of an older one; the last such run was of a request sent {longest:?} after"
        ),
    )
}

/// The prefix of a route that is moved.
fn path(number: usize) -> String {
    format!("/moved-{number}/")
}

/// Asks a proxy for each route that was moved, until the new service answers.
fn probe(
    fleet: &Fleet,
    proxy: usize,
    ledger: &Ledger,
    acks: &Mutex<Vec<(usize, Instant)>>,
    done: &AtomicBool,
) -> Vec<Sent> {
    let (mut sent, mut seen) = (Vec::new(), Vec::new());
    while !done.load(Ordering::SeqCst) {
        let open: Vec<usize> = (acks.lock().unwrap().iter())
            .map(|(number, _)| *number)
            .filter(|number| !seen.contains(number))
            .collect();
        for number in open {
            let Ok(mut client) = TcpStream::connect(fleet.front(proxy)).and_then(Client::new)
            else {
                continue;
            };
            client.send(&[&format!("{}x", path(number))], DEADLINE_MS, "");
            client.wait(DEADLINE);
            let asked = client.sent().swap_remove(0);
            if ledger
                .of(&asked.id)
                .iter()
                .any(|run| run.service == SERVICES[1])
            {
                seen.push(number);
            }
            sent.push(asked);
        }
        sleep(Duration::from_millis(20));
    }
    sent
}
