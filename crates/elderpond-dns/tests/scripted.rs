//! The resolver against name servers that do as a script says, on a paused clock.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use elderpond_dns::cache::Lifetimes;
use elderpond_dns::transport::{Coming, Transport};
use elderpond_dns::{Settings, Watch};
use elderpond_sources::Word;
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::{A, CNAME, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// What a server does with a query: messages, each after so many milliseconds.
type Reaction = Vec<(u64, Vec<u8>)>;
type Script = dyn Fn(&Asked) -> Reaction + Send + Sync;

/// A query that has come.
struct Asked {
    server: usize,
    tcp: bool,
    message: Message,
    name: String,
    kind: RecordType,
}

struct Scripted {
    script: Box<Script>,
    asked: Mutex<Vec<(usize, bool, RecordType)>>,
}

impl Scripted {
    fn react(&self, server: SocketAddr, query: &[u8], tcp: bool) -> Reaction {
        let message = Message::from_vec(query).expect("our queries can be read");
        let (name, kind) = (
            message.queries[0].name().to_ascii(),
            message.queries[0].query_type(),
        );
        let server = usize::from(server.port()) - 1;
        self.asked.lock().unwrap().push((server, tcp, kind));
        (self.script)(&Asked {
            server,
            tcp,
            message,
            name,
            kind,
        })
    }
}

impl Transport for Scripted {
    fn udp<'a>(
        &'a self,
        server: SocketAddr,
        query: &'a [u8],
        replies: mpsc::Sender<Vec<u8>>,
    ) -> Coming<'a, io::Result<()>> {
        Box::pin(async move {
            for (after, bytes) in self.react(server, query, false) {
                sleep(Duration::from_millis(after)).await;
                let _ = replies.send(bytes).await;
            }
            std::future::pending().await
        })
    }

    fn tcp<'a>(&'a self, server: SocketAddr, query: &'a [u8]) -> Coming<'a, io::Result<Vec<u8>>> {
        Box::pin(async move {
            match self.react(server, query, true).into_iter().next() {
                Some((after, bytes)) => {
                    sleep(Duration::from_millis(after)).await;
                    Ok(bytes)
                }
                // It stalls after the length.
                None => std::future::pending().await,
            }
        })
    }
}

fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap()
}

const SERVICE: &str = "_lab._tcp.example.org.";

fn service(host: &str, priority: u16, weight: u16, ttl: u32) -> Record {
    let data = SRV::new(priority, weight, 8080, name(host));
    Record::from_rdata(name(SERVICE), ttl, RData::SRV(data))
}

fn address(host: &str, last: u8, ttl: u32) -> Record {
    Record::from_rdata(
        name(host),
        ttl,
        RData::A(A::new(10, 0, (last / 250) + 1, last)),
    )
}

/// An answer to a query, whole and true.
fn answer(asked: &Asked, records: Vec<Record>) -> Message {
    let mut message = asked.message.clone().into_response();
    message.metadata.authoritative = true;
    message.add_answers(records);
    message
}

fn denial(asked: &Asked, code: ResponseCode) -> Message {
    let mut message = answer(asked, Vec::new());
    message.metadata.response_code = code;
    let soa = SOA::new(
        name("ns.example.org."),
        name("root.example.org."),
        1,
        1,
        1,
        1,
        20,
    );
    message.add_authority(Record::from_rdata(
        name("example.org."),
        300,
        RData::SOA(soa),
    ));
    message
}

fn at_once(message: &Message) -> Reaction {
    vec![(1, message.to_vec().unwrap())]
}

/// A zone of so many runners, as a true server serves it.
fn zone(asked: &Asked, runners: u8) -> Message {
    match asked.kind {
        RecordType::SRV => {
            let hosts = (1..=runners).map(|host| format!("runner{host}.example.org."));
            answer(
                asked,
                hosts.map(|host| service(&host, 1, 100, 30)).collect(),
            )
        }
        RecordType::A => {
            let number = asked
                .name
                .trim_start_matches("runner")
                .split('.')
                .next()
                .unwrap();
            answer(
                asked,
                vec![address(&asked.name, number.parse().unwrap(), 60)],
            )
        }
        _ => denial(asked, ResponseCode::NoError),
    }
}

fn settings(servers: u16) -> Settings {
    Settings {
        name: name(SERVICE),
        servers: (1..=servers)
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .collect(),
        lifetimes: Lifetimes {
            floor_ms: 2000.0,
            ceiling_ms: 300_000.0,
            stale_ms: 60_000.0,
        },
        wait: Duration::from_millis(1000),
        hedge: Duration::from_millis(300),
        queries: 8,
        records: 4000,
        weight_unit: 100.0,
        zone: "a".into(),
    }
}

fn watch(
    settings: Settings,
    script: impl Fn(&Asked) -> Reaction + Send + Sync + 'static,
) -> (Watch<Scripted>, Arc<Scripted>) {
    let scripted = Arc::new(Scripted {
        script: Box::new(script),
        asked: Mutex::default(),
    });
    (Watch::new(settings, scripted.clone()), scripted)
}

/// What a word lists, by address, and whether it is the whole list.
fn listed(word: &Word) -> (BTreeMap<String, f64>, bool) {
    let Word::Answer { members, whole, .. } = word else {
        panic!("no answer: {word:?}");
    };
    let entry =
        |member: &elderpond_sources::Member| (member.address.unwrap().to_string(), member.weight);
    (members.iter().map(entry).collect(), *whole)
}

#[tokio::test(start_paused = true)]
async fn services_are_walked_to_their_addresses_and_live_as_long_as_the_shortest() {
    let (mut watch, scripted) = watch(settings(1), |asked| at_once(&zone(asked, 3)));
    let (words, holds_ms) = watch.round().await;
    let (list, whole) = listed(&words[0]);
    assert_eq!((list.len(), whole, holds_ms), (3, true, 30_000.0));
    assert_eq!(list["10.0.1.2:8080"], 1.0);
    // Service records, and two families for each target; addresses are kept for the next time.
    assert_eq!(scripted.asked.lock().unwrap().len(), 7);
    watch.round().await;
    assert_eq!(scripted.asked.lock().unwrap().len(), 8);
}

#[tokio::test(start_paused = true)]
async fn additional_addresses_count_in_the_bailiwick_only() {
    let (mut watch, scripted) = watch(settings(1), |asked| match asked.kind {
        RecordType::SRV => {
            let hosts = ["runner1.example.org.", "runner2.example.com."];
            let mut message = answer(asked, hosts.map(|host| service(host, 1, 100, 30)).to_vec());
            message.add_additional(address(hosts[0], 7, 60));
            message.add_additional(address(hosts[1], 66, 60));
            at_once(&message)
        }
        RecordType::A => at_once(&answer(asked, vec![address(&asked.name, 8, 60)])),
        _ => at_once(&denial(asked, ResponseCode::NoError)),
    });
    let (words, _) = watch.round().await;
    let (list, _) = listed(&words[0]);
    let addresses: Vec<&str> = list.keys().map(|address| &**address).collect();
    assert_eq!(addresses, ["10.0.1.7:8080", "10.0.1.8:8080"]);
    let asked = scripted.asked.lock().unwrap();
    assert_eq!(
        asked
            .iter()
            .filter(|(.., kind)| *kind == RecordType::A)
            .count(),
        1
    );
}

#[tokio::test(start_paused = true)]
async fn what_is_cut_off_is_asked_again_over_tcp() {
    let cut = |both: bool| {
        move |asked: &Asked| {
            let mut message = zone(asked, 2);
            if asked.kind == RecordType::SRV && (both || !asked.tcp) {
                message.answers.truncate(1);
                message.metadata.truncation = true;
            }
            at_once(&message)
        }
    };
    let (mut over_tcp, scripted) = watch(settings(1), cut(false));
    assert_eq!(listed(&over_tcp.round().await.0[0]).0.len(), 2);
    assert!(
        scripted
            .asked
            .lock()
            .unwrap()
            .contains(&(0, true, RecordType::SRV))
    );
    let (mut neither, _) = watch(settings(1), cut(true));
    assert_eq!(neither.round().await.0, [Word::Failed]);
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_stalls_after_the_length_costs_the_wait_and_no_more() {
    let (mut watch, _) = watch(settings(1), |asked| match asked.tcp {
        true => Vec::new(),
        false => {
            let mut message = zone(asked, 2);
            message.metadata.truncation = true;
            at_once(&message)
        }
    });
    let begun = Instant::now();
    assert_eq!(watch.round().await.0, [Word::Failed]);
    assert!(begun.elapsed() <= Duration::from_millis(1010));
}

#[tokio::test(start_paused = true)]
async fn a_server_that_fails_is_passed_over_and_rests() {
    for code in [
        ResponseCode::ServFail,
        ResponseCode::Refused,
        ResponseCode::NotImp,
    ] {
        let (mut watch, scripted) = watch(settings(2), move |asked| {
            if asked.server == 0 {
                let mut message = answer(asked, Vec::new());
                message.metadata.response_code = code;
                return at_once(&message);
            }
            at_once(&zone(asked, 2))
        });
        let (words, _) = watch.round().await;
        assert!(
            matches!(words[..], [Word::Answer { server: 1, .. }]),
            "{code}: {words:?}"
        );
        scripted.asked.lock().unwrap().clear();
        watch.round().await;
        let asked = scripted.asked.lock().unwrap();
        assert!(
            asked.iter().all(|(server, ..)| *server == 1),
            "{code}: {asked:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_server_that_cannot_read_edns_is_asked_without() {
    let (mut watch, _) = watch(settings(1), |asked| {
        let mut message = zone(asked, 1);
        if asked.message.edns.is_some() {
            message = answer(asked, Vec::new());
            message.metadata.response_code = ResponseCode::FormErr;
        }
        at_once(&message)
    });
    assert_eq!(listed(&watch.round().await.0[0]).0.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn what_does_not_exist_is_an_empty_answer_of_every_server_in_doubt() {
    let (mut watch, _) = watch(settings(3), |asked| {
        at_once(&denial(asked, ResponseCode::NXDomain))
    });
    let (words, holds_ms) = watch.round().await;
    // Nobody was known: one server's word is enough for now.
    assert!(
        matches!(&words[..], [Word::Answer { members, .. }] if members.is_empty()),
        "{words:?}"
    );
    assert_eq!(holds_ms, 20_000.0);
}

#[tokio::test(start_paused = true)]
async fn one_of_three_servers_that_lies_is_told_beside_the_others() {
    let (mut watch, _) = watch(settings(3), |asked| match asked.server {
        1 => at_once(&denial(asked, ResponseCode::NXDomain)),
        _ => at_once(&zone(asked, 2)),
    });
    assert_eq!(watch.round().await.0.len(), 1);
    // The second round begins with the liar: its answer lacks those who were known.
    let (words, _) = watch.round().await;
    let sizes: BTreeMap<u16, usize> = words
        .iter()
        .map(|word| match word {
            Word::Answer {
                server, members, ..
            } => (*server, members.len()),
            word => panic!("{word:?}"),
        })
        .collect();
    assert_eq!(sizes, BTreeMap::from([(0, 2), (1, 0), (2, 2)]));
}

#[tokio::test(start_paused = true)]
async fn aliases_that_do_not_end_fail_and_those_that_do_are_followed() {
    let (mut looped, _) = watch(settings(1), |asked| {
        let alias = |from: &str, to: &str| {
            Record::from_rdata(name(from), 30, RData::CNAME(CNAME(name(to))))
        };
        at_once(&answer(
            asked,
            vec![
                alias(SERVICE, "x.example.org."),
                alias("x.example.org.", SERVICE),
            ],
        ))
    });
    assert_eq!(looped.round().await.0, [Word::Failed]);
    let (mut followed, _) = watch(settings(1), |asked| {
        if asked.kind == RecordType::A && asked.name == "runner1.example.org." {
            let to = RData::CNAME(CNAME(name("runner9.example.org.")));
            return at_once(&answer(
                asked,
                vec![Record::from_rdata(name(&asked.name), 5, to)],
            ));
        }
        at_once(&zone(asked, 1))
    });
    let (words, holds_ms) = followed.round().await;
    assert_eq!(
        listed(&words[0]).0.keys().collect::<Vec<_>>(),
        ["10.0.1.9:8080"]
    );
    assert_eq!(holds_ms, 5000.0);
}

#[tokio::test(start_paused = true)]
async fn false_answers_are_dropped_and_counted_and_the_true_one_is_waited_for() {
    let (mut watch, _) = watch(settings(1), |asked| {
        if asked.kind != RecordType::SRV {
            return at_once(&zone(asked, 1));
        }
        let mut wrong_id = zone(asked, 9);
        wrong_id.metadata.id ^= 1;
        let mut wrong_question = zone(asked, 9);
        wrong_question.queries[0].set_name(name("evil.example.org."));
        let [id, question] = [wrong_id, wrong_question].map(|message| message.to_vec().unwrap());
        let garbage = vec![0xff; 40];
        let true_one = zone(asked, 1).to_vec().unwrap();
        vec![(1, id), (1, question), (1, garbage), (50, true_one)]
    });
    let counts = watch.counts();
    assert_eq!(listed(&watch.round().await.0[0]).0.len(), 1);
    let dropped = [&counts.wrong_id, &counts.wrong_question, &counts.unreadable];
    assert_eq!(
        dropped.map(|count| count.load(Ordering::Relaxed)),
        [1, 1, 1]
    );
}

#[tokio::test(start_paused = true)]
async fn a_slow_server_is_hedged_by_another() {
    let (mut watch, _) = watch(settings(2), |asked| {
        let after = if asked.server == 0 { 900 } else { 5 };
        vec![(after, zone(asked, 1).to_vec().unwrap())]
    });
    let (counts, begun) = (watch.counts(), Instant::now());
    let (words, _) = watch.round().await;
    assert!(
        matches!(words[..], [Word::Answer { server: 1, .. }]),
        "{words:?}"
    );
    assert!(
        begun.elapsed() < Duration::from_millis(700),
        "{:?}",
        begun.elapsed()
    );
    assert!(counts.hedged.load(Ordering::Relaxed) >= 1);
}

#[tokio::test(start_paused = true)]
async fn when_everything_fails_queries_stay_few() {
    let (watch, scripted) = watch(settings(3), |_| Vec::new());
    let counts = watch.counts();
    let (words, mut said) = mpsc::channel(1024);
    let run = tokio::spawn(watch.run(words));
    let ten_minutes = timeout(Duration::from_secs(600), async {
        while let Some(word) = said.recv().await {
            assert_eq!(word, Word::Failed);
        }
    });
    assert!(ten_minutes.await.is_err());
    run.abort();
    let asked = scripted.asked.lock().unwrap().len();
    // Three servers that rest a minute each in the end: some ten queries each, and their hedges.
    assert!((10..150).contains(&asked), "{asked} queries in ten minutes");
    assert!(counts.most_at_once.load(Ordering::Relaxed) <= 2);
}

#[tokio::test(start_paused = true)]
async fn lifetimes_of_none_are_refreshed_no_faster_than_the_floor() {
    let (watch, scripted) = watch(settings(1), |asked| {
        let mut message = zone(asked, 1);
        message.answers.iter_mut().for_each(|record| record.ttl = 0);
        at_once(&message)
    });
    let (words, mut said) = mpsc::channel(1024);
    let run = tokio::spawn(watch.run(words));
    let minute = timeout(Duration::from_secs(60), async {
        while said.recv().await.is_some() {}
    });
    assert!(minute.await.is_err());
    run.abort();
    let asked = scripted.asked.lock().unwrap();
    let refreshed = asked
        .iter()
        .filter(|(.., kind)| *kind == RecordType::SRV)
        .count();
    assert!(
        (30..=41).contains(&refreshed),
        "{refreshed} refreshes in a minute at a floor of 2 s"
    );
}

/// Service records of 2,000 targets, r0.ab. to r1999.ab.: only with compressed owners do so many fit
/// into the 64 KiB of a message.
fn two_thousand(asked: &Asked) -> Vec<u8> {
    let mut message = answer(asked, Vec::new());
    message.edns = None;
    let mut bytes = message.to_vec().unwrap();
    bytes[6..8].copy_from_slice(&2000u16.to_be_bytes());
    for host in 0..2000 {
        let label = format!("r{host}");
        let target = [&[label.len() as u8], label.as_bytes(), b"\x02ab\x00"].concat();
        // A pointer to the question's name, type SRV, class IN, a lifetime of 30 s.
        bytes.extend([0xc0, 0x0c, 0, 33, 0, 1, 0, 0, 0, 30]);
        bytes.extend((6 + target.len() as u16).to_be_bytes());
        bytes.extend([0, 1, 0, 100, 0x1f, 0x90]);
        bytes.extend(target);
    }
    bytes
}

#[tokio::test(start_paused = true)]
async fn two_thousand_records_are_walked_with_few_queries_under_way() {
    let script = |asked: &Asked| match asked.kind {
        RecordType::SRV if asked.tcp => vec![(1, two_thousand(asked))],
        RecordType::SRV => {
            let mut message = answer(asked, Vec::new());
            message.metadata.truncation = true;
            at_once(&message)
        }
        RecordType::A => {
            let number: u32 = asked.name[1..].split('.').next().unwrap().parse().unwrap();
            let data = A::new(10, 1, (number / 250) as u8, (number % 250) as u8);
            let record = Record::from_rdata(name(&asked.name), 600, RData::A(data));
            at_once(&answer(asked, vec![record]))
        }
        _ => at_once(&denial(asked, ResponseCode::NoError)),
    };
    let (mut all, _) = watch(settings(1), script);
    let counts = all.counts();
    let (list, whole) = listed(&all.round().await.0[0]);
    assert_eq!((list.len(), whole), (2000, true));
    assert!(counts.most_at_once.load(Ordering::Relaxed) <= 9);
    // Over the bound the rest is left out, and nobody is said to be gone for it.
    let (mut some, _) = watch(
        Settings {
            records: 500,
            ..settings(1)
        },
        script,
    );
    let (list, whole) = listed(&some.round().await.0[0]);
    assert_eq!((list.len(), whole), (500, false));
}

#[tokio::test(start_paused = true)]
async fn addresses_that_cannot_be_had_are_relied_on_stale_or_leave_the_list_open() {
    let fails = |first: usize| {
        let asked_for = AtomicUsize::new(0);
        move |asked: &Asked| {
            let runner2 = asked.kind == RecordType::A && asked.name.starts_with("runner2");
            if runner2 && asked_for.fetch_add(1, Ordering::Relaxed) >= first {
                let mut message = answer(asked, Vec::new());
                message.metadata.response_code = ResponseCode::ServFail;
                return at_once(&message);
            }
            let mut message = zone(asked, 3);
            message.answers.iter_mut().for_each(|record| record.ttl = 5);
            at_once(&message)
        }
    };
    // Never found: the list is open, so nobody is said to be gone for it.
    let (mut never, _) = watch(settings(1), fails(0));
    let (list, whole) = listed(&never.round().await.0[0]);
    assert_eq!((list.len(), whole), (2, false));
    // Found once: relied on past its end, within the bound.
    let (mut once, _) = watch(settings(1), fails(1));
    for (wait, expected) in [(0, (3, true)), (10, (3, true)), (70, (2, false))] {
        sleep(Duration::from_secs(wait)).await;
        let (list, whole) = listed(&once.round().await.0[0]);
        assert_eq!((list.len(), whole), expected, "after {wait} s");
    }
}

#[tokio::test(start_paused = true)]
async fn records_in_another_order_and_lifetimes_that_flip_change_no_list() {
    let round = Arc::new(AtomicUsize::new(0));
    let turn = round.clone();
    let (mut watch, _) = watch(settings(2), move |asked| {
        let mut message = zone(asked, 5);
        if turn.load(Ordering::Relaxed) % 2 == 1 {
            message.answers.reverse();
            message
                .answers
                .iter_mut()
                .for_each(|record| record.ttl = u32::MAX >> 1);
        }
        at_once(&message)
    });
    let mut lists = Vec::new();
    for number in 0..6 {
        round.store(number, Ordering::Relaxed);
        let (words, holds_ms) = watch.round().await;
        assert_eq!(words.len(), 1, "nobody is doubted");
        assert!((2000.0..=300_000.0).contains(&holds_ms), "{holds_ms}");
        lists.push(listed(&words[0]));
        sleep(Duration::from_secs(40)).await;
    }
    assert!(
        lists
            .iter()
            .all(|list| *list == lists[0] && list.0.len() == 5)
    );
}
