//! Plays days of a whole fleet in memory by seed; a failing one is told as the shortest story that still
//! fails, and at the end how often each trouble, manner and pair of troubles struck.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Instant;

use elderpond_simulator::{Kind, Rule, Story, Summary, play, shortest};

/// Days of a whole fleet, in memory, by seed.
#[derive(argh::FromArgs)]
struct Arguments {
    /// how many days (1,000)
    #[argh(option, default = "1_000")]
    days: u64,
    /// the first seed (0)
    #[argh(option, default = "0")]
    from: u64,
    /// threads (8)
    #[argh(option, default = "8")]
    threads: u64,
    /// begin no further day after so many seconds (3,600)
    #[argh(option, default = "3_600")]
    within_s: u64,
    /// failing days that are made shorter; of further ones only the first line is told (5)
    #[argh(option, default = "5")]
    shorten: usize,
    /// go on past breaches of this rule, counting them; may be given again (for trials)
    #[argh(option)]
    past: Vec<Rule>,
    /// print what happens
    #[argh(switch)]
    tell: bool,
}

/// What all days came to.
#[derive(Default)]
struct Total {
    played: u64,
    /// Failed days, by the rule that broke first.
    failed: BTreeMap<String, u64>,
    /// Days that went past breaches of a rule.
    passed: BTreeMap<Rule, u64>,
    sum: Summary,
    kinds: BTreeMap<Kind, u64>,
    manners: BTreeMap<&'static str, u64>,
    pairs: BTreeMap<(Kind, Kind), u64>,
}

impl Total {
    fn add(&mut self, day: Summary) {
        self.played += 1;
        let sum = &mut self.sum;
        sum.acknowledged += day.acknowledged;
        sum.departed += day.departed;
        sum.reads += day.reads;
        sum.wiped += day.wiped;
        sum.events += day.events;
        sum.caught_up += day.caught_up;
        sum.again += day.again;
        sum.refused += day.refused;
        for rule in day.passed.keys() {
            *self.passed.entry(*rule).or_default() += 1;
        }
        let kinds: BTreeSet<Kind> = day.struck.iter().map(|(kind, _)| *kind).collect();
        for (kind, how) in day.struck {
            *self.kinds.entry(kind).or_default() += 1;
            for name in how.names() {
                *self.manners.entry(name).or_default() += 1;
            }
        }
        for (nth, one) in kinds.iter().enumerate() {
            for other in kinds.iter().skip(nth + 1) {
                *self.pairs.entry((*one, *other)).or_default() += 1;
            }
        }
    }

    fn print(&self, from: u64, began: Instant) {
        let Summary {
            acknowledged,
            departed,
            reads,
            wiped,
            events,
            caught_up,
            again,
            refused,
            ..
        } = &self.sum;
        println!(
            "\n{} days from seed {from}: {} failed; {acknowledged} configurations and {departed} departures \
             acknowledged, {again} sent again, {refused} refused, {reads} reads, {wiped} disks lost, \
             {caught_up} machines asked whether they have caught up, {events} events; {:.0} s",
            self.played,
            self.failed.values().sum::<u64>(),
            began.elapsed().as_secs_f64()
        );
        if !self.failed.is_empty() {
            println!("failed by rule: {:?}", self.failed);
        }
        if !self.passed.is_empty() {
            println!("days that went past a rule: {:?}", self.passed);
        }
        println!("struck, on days that did not fail:");
        for kind in Kind::all() {
            let name = format!("{kind:?}");
            println!("  {name:16} {:6}", self.kinds.get(&kind).unwrap_or(&0));
        }
        println!("manners: {:?}", self.manners);
        let all: Vec<Kind> = Kind::all().collect();
        let pairs = all.iter().enumerate().flat_map(|(nth, one)| {
            let others = all.iter().skip(nth + 1);
            others.map(move |other| (*one.min(other), *one.max(other)))
        });
        let pairs: Vec<_> = pairs
            .filter(|it| !(it.0.closes() && it.1.closes()))
            .collect();
        let never = pairs.iter().filter(|it| !self.pairs.contains_key(it));
        let never: Vec<String> = never.map(|it| format!("{:?}+{:?}", it.0, it.1)).collect();
        println!(
            "pairs: {} of {} struck on one day",
            pairs.len() - never.len(),
            pairs.len()
        );
        if !never.is_empty() && never.len() <= 40 {
            println!("never: {}", never.join(" "));
        }
    }
}

fn main() {
    let Arguments {
        days,
        from,
        threads,
        within_s,
        shorten,
        past,
        tell,
    } = argh::from_env();
    let began = Instant::now();
    let total = Mutex::new(Total::default());
    let next = std::sync::atomic::AtomicU64::new(from);
    let work = || {
        loop {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if seed >= from + days || began.elapsed().as_secs() >= within_s {
                return;
            }
            let story = Story {
                tell,
                past: past.clone(),
                ..Story::of(seed)
            };
            match play(&story) {
                Ok(day) => total.lock().expect("no thread panics").add(day),
                Err(fault) => {
                    let rule = fault.split(':').next().unwrap_or_default().to_owned();
                    let before = {
                        let mut total = total.lock().expect("no thread panics");
                        total.played += 1;
                        let count = total.failed.entry(rule).or_default();
                        *count += 1;
                        *count
                    };
                    if before > shorten as u64 {
                        println!("seed {seed}: {fault}");
                        continue;
                    }
                    let tell = false;
                    let (story, fault) = shortest(&Story { tell, ..story }, fault);
                    println!("{story}  {fault}");
                }
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    let total = total.into_inner().expect("no thread panics");
    total.print(from, began);
    if !total.failed.is_empty() || total.played < days {
        std::process::exit(1);
    }
}
