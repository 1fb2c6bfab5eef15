//! The sources' actor: words of the platform's list and of what the operator adds go into the merge,
//! and what comes out goes to the list's actor. It decides nothing.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use elderpond_dns::ask::Counts;
use elderpond_dns::transport::Network;
use elderpond_dns::{Settings, Watch};
use elderpond_sources::{Authority, Kind, Member, Merge, Out, Patience, Snapshot, SourceId, Word};
use elderpond_wire::discovery::{Listed, Listing};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::clock::Clock;
use crate::config::Config;
use crate::counters::Counters;
use crate::operator::{Dns, Operator};
use crate::roster::ListNews;

/// Words of one source that may wait.
const WORDS: usize = 16;
/// A look at the sources waits so long for those that have said nothing.
const SHOW_WAIT: Duration = Duration::from_secs(5);
/// What the platform's list is called among sources.
const ROSTER: &str = "roster";

/// A word, and the place of its source in the merge.
type Spoken = (SourceId, Word);

/// A source of service records that is followed.
struct Followed {
    id: SourceId,
    settings: Settings,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

/// The actor.
pub struct Sources {
    merge: Merge,
    roster: SourceId,
    clock: Clock,
    /// By label.
    dns: BTreeMap<String, Followed>,
    /// What sources that are followed no longer have counted.
    past: Counts,
    operator: watch::Receiver<Arc<Operator>>,
    words: (mpsc::Sender<Spoken>, mpsc::Receiver<Spoken>),
    list: mpsc::Sender<ListNews>,
    counters: Arc<Counters>,
}

impl Sources {
    /// An actor that hands the one list on to `list`.
    pub fn new(
        operator: watch::Receiver<Arc<Operator>>,
        list: mpsc::Sender<ListNews>,
        counters: Arc<Counters>,
    ) -> Self {
        let mut merge = Merge::default();
        let roster = merge.add(ROSTER, Authority::Deciding, 1, Patience::default());
        let (dns, clock) = (BTreeMap::new(), Clock::start());
        let words = mpsc::channel(WORDS);
        Self {
            merge,
            roster,
            clock,
            dns,
            past: Counts::default(),
            operator,
            words,
            list,
            counters,
        }
    }

    /// Follows its sources until the platform's list is followed no longer.
    pub async fn run(mut self, mut news: mpsc::Receiver<ListNews>) {
        self.follow_operator().await;
        loop {
            let due = self.merge.next_at().map(|at| self.clock.moment(at));
            let far = Instant::now() + Duration::from_secs(3600);
            let goes_on = tokio::select! {
                news = news.recv() => match news {
                    Some(news) => self.roster_says(news).await,
                    None => return,
                },
                Some((id, word)) = self.words.1.recv() => self.says(id, word).await,
                Ok(()) = self.operator.changed() => self.follow_operator().await,
                () = sleep_until(due.unwrap_or(far)) => {
                    let out = self.merge.tick(self.clock.now_ms());
                    self.tell(out).await
                }
            };
            self.count();
            if !goes_on {
                return;
            }
        }
    }

    fn count(&self) {
        let counters = &self.counters;
        counters.sources_differing.set(self.merge.differing());
        let all = Counts::default();
        all.take_in(&self.past);
        let followed = self.dns.values();
        followed.for_each(|followed| all.take_in(&followed.counts));
        for (counter, count) in [
            (&counters.dns_queries, all.queries),
            (&counters.dns_over_tcp, all.over_tcp),
            (&counters.dns_hedged, all.hedged),
            (&counters.dns_unreadable, all.unreadable),
            (&counters.dns_wrong_id, all.wrong_id),
            (&counters.dns_wrong_question, all.wrong_question),
            (&counters.dns_silent, all.silent),
            (&counters.dns_refused, all.refused),
            (&counters.dns_most_at_once, all.most_at_once),
        ] {
            counter.raise(count.into_inner());
        }
    }

    /// Follows a source no longer. What it has counted is kept.
    fn let_go(&mut self, label: &str) -> Option<SourceId> {
        let Followed {
            id, counts, task, ..
        } = self.dns.remove(label)?;
        task.abort();
        self.past.take_in(&counts);
        Some(id)
    }

    /// The platform's list has said something. While it is the only source its words are handed on as
    /// they came.
    async fn roster_says(&mut self, news: ListNews) -> bool {
        let word = match &news {
            ListNews::Known(listing) => Word::Known(members(listing)),
            ListNews::Told(listing) if listing.whole => Word::Whole(members(listing)),
            ListNews::Told(listing) => Word::Changes(members(listing)),
            ListNews::Unchanged => Word::Unchanged,
            ListNews::Failed => Word::Failed,
        };
        let out = self.merge.hear(self.clock.now_ms(), self.roster, word);
        if self.dns.is_empty() {
            return self.list.send(news).await.is_ok();
        }
        let dropped = match &news {
            ListNews::Known(listing) | ListNews::Told(listing) => listing.dropped,
            ListNews::Unchanged | ListNews::Failed => 0,
        };
        self.counters.list_entries_dropped.add(dropped);
        self.tell(out).await
    }

    async fn says(&mut self, id: SourceId, word: Word) -> bool {
        self.counters.sources_words.one();
        if word == Word::Failed {
            self.counters.sources_failed.seldom(
                |count| log::warn!(source = id, count = count; "sources: {count} words of failure"),
            );
        }
        let out = self.merge.hear(self.clock.now_ms(), id, word);
        self.tell(out).await
    }

    async fn tell(&mut self, out: Option<Out>) -> bool {
        let Some(Out { kind, members }) = out else {
            return true;
        };
        let entries: Vec<Listed> = members.iter().map(listed).collect();
        let listing = |whole| Listing {
            version: 0,
            whole,
            entries,
            dropped: 0,
        };
        let news = match kind {
            Kind::Known => ListNews::Known(listing(true)),
            Kind::Whole => ListNews::Told(listing(true)),
            Kind::Changes => ListNews::Told(listing(false)),
            Kind::Unchanged => ListNews::Unchanged,
            Kind::Failed => ListNews::Failed,
        };
        self.list.send(news).await.is_ok()
    }

    /// Adds, moves and removes sources as the operator's file has them now. One that moves keeps its
    /// place in the merge, so nobody goes for it.
    async fn follow_operator(&mut self) -> bool {
        let operator = self.operator.borrow_and_update().clone();
        let wanted: BTreeMap<&str, &Dns> =
            operator.dns.iter().map(|dns| (&*dns.label, dns)).collect();
        let gone: Vec<String> = self
            .dns
            .keys()
            .filter(|label| !wanted.contains_key(&***label))
            .cloned()
            .collect();
        for label in gone {
            if let Some(id) = self.let_go(&label) {
                log::info!(source = label.as_str(); "source {label} is removed");
                let out = self.merge.remove(self.clock.now_ms(), id);
                if !self.tell(out).await {
                    return false;
                }
            }
        }
        for (label, dns) in wanted {
            let standing = self.dns.get(label);
            if standing.is_some_and(|standing| standing.settings == dns.settings) {
                continue;
            }
            let servers = dns.settings.servers.len() as u16;
            let id = match self.let_go(label) {
                Some(id) => {
                    self.merge.moved(id, servers, dns.patience);
                    let name = &dns.settings.name;
                    log::info!(source = label; "source {label} is asked for {name} elsewhere");
                    id
                }
                None => {
                    log::info!(source = label; "source {label} is added: {}", dns.settings.name);
                    self.merge
                        .add(label, Authority::Listing, servers, dns.patience)
                }
            };
            let followed = self.follow(id, dns.settings.clone());
            self.dns.insert(label.to_owned(), followed);
        }
        self.counters.sources_followed.set(self.dns.len());
        true
    }

    fn follow(&self, id: SourceId, settings: Settings) -> Followed {
        let watch = Watch::new(settings.clone(), Arc::new(Network::default()));
        let counts = watch.counts();
        let task = tokio::spawn(spoken(id, watch, self.words.0.clone()));
        Followed {
            id,
            settings,
            counts,
            task,
        }
    }
}

/// A source's words, with its place in the merge.
async fn spoken(id: SourceId, watch: Watch<Network>, words: mpsc::Sender<Spoken>) {
    let (said, mut heard) = mpsc::channel(WORDS);
    let forward = async {
        while let Some(word) = heard.recv().await {
            if words.send((id, word)).await.is_err() {
                return;
            }
        }
    };
    // Each ends with the other: nobody listens, or nobody speaks.
    tokio::join!(watch.run(said), forward);
}

/// What a listing says, as a source says it.
fn members(listing: &Listing) -> Vec<Member> {
    let member = |entry: &Listed| Member {
        name: entry.name.as_str().into(),
        address: entry.address.parse().ok(),
        zone: entry.zone.as_str().into(),
        weight: entry.weight,
        started: Some(entry.started),
        condition: entry.condition,
    };
    listing.entries.iter().map(member).collect()
}

/// An entry of the one list, as the list's actor takes it.
fn listed(member: &Member) -> Listed {
    Listed {
        name: member.name.to_string(),
        address: member
            .address
            .map_or_else(String::new, |address| address.to_string()),
        zone: member.zone.to_string(),
        weight: member.weight,
        started: member.started.unwrap_or(0.0),
        condition: member.condition,
    }
}

/// Asks every source and prints the one list, who says what of whom, and how long it holds; with
/// `go_on` again whenever it has changed.
pub async fn show(config: &Config, operator: Operator, go_on: bool) {
    let mut merge = Merge::default();
    let clock = Clock::start();
    let roster = merge.add(ROSTER, Authority::Deciding, 1, Patience::default());
    if let Some(known) = &config.known {
        merge.hear(clock.now_ms(), roster, Word::Known(members(known)));
    }
    let (words, mut heard) = mpsc::channel(WORDS);
    let mut silent = BTreeMap::new();
    for dns in operator.dns {
        let servers = dns.settings.servers.len() as u16;
        let id = merge.add(&dns.label, Authority::Listing, servers, dns.patience);
        silent.insert(id, dns.label.clone());
        let watch = Watch::new(dns.settings, Arc::new(Network::default()));
        tokio::spawn(spoken(id, watch, words.clone()));
    }
    let names = silent.clone();
    let mut until = Instant::now() + SHOW_WAIT;
    loop {
        if silent.is_empty() || Instant::now() >= until {
            print!("{}", shown(&merge.snapshot(), clock.now_ms()));
            for label in silent.values() {
                println!("source {label}: no answer");
            }
            if !go_on {
                return;
            }
            until = Instant::now() + Duration::from_secs(3600);
        }
        let due = merge
            .next_at()
            .map_or(until, |at| clock.moment(at).min(until));
        tokio::select! {
            Some((id, word)) = heard.recv() => {
                if let Some(label) = names.get(&id) {
                    println!("source {label}: {}", spelt(&word));
                }
                let before = silent.len();
                silent.remove(&id);
                let out = merge.hear(clock.now_ms(), id, word);
                if before == 0 && out.is_some() {
                    until = Instant::now();
                }
            }
            () = sleep_until(due) => drop(merge.tick(clock.now_ms())),
        }
    }
}

/// A word of a source that lists, as text.
fn spelt(word: &Word) -> String {
    let Word::Answer {
        server,
        members,
        lifetime_ms,
        whole,
    } = word
    else {
        return "failed".to_owned();
    };
    let part = if *whole { "" } else { ", not all of them" };
    let (count, lifetime_s) = (members.len(), lifetime_ms / 1000.0);
    format!("server {server} lists {count}{part}, for {lifetime_s:.0} s")
}

/// What is known, as text.
fn shown(snapshot: &Snapshot, now: f64) -> String {
    let mut text = format!("{} workers\n", snapshot.list.len());
    for (identity, member) in &snapshot.list {
        let started = member.started.filter(|started| *started > 0.0);
        let age = started.map_or("long ago".to_owned(), |started| {
            format!("{:.0} s ago", (now - started) / 1000.0)
        });
        let (name, zone, weight) = (&member.name, &member.zone, member.weight);
        text += &format!(
            "  {identity:<24} {name:<40} zone {zone} weight {weight:.2} {:?}, started {age}\n",
            member.condition
        );
    }
    for differs in &snapshot.disagreements {
        let said: Vec<String> = differs
            .said
            .iter()
            .map(|(name, claim)| format!("{name} {claim:?}"))
            .collect();
        let since = (now - differs.since) / 1000.0;
        text += &format!(
            "differ about {} for {since:.0} s: {}\n",
            differs.identity,
            said.join(", ")
        );
    }
    let counts = &snapshot.counts;
    text += &format!(
        "{} words, {} of failure; missing {}, overruled {}, dropped {}, spared {}\n",
        counts.words,
        counts.failures,
        counts.missing,
        counts.overruled,
        counts.confirmed,
        counts.spared
    );
    text
}
