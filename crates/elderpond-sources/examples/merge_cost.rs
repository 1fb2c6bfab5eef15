//! Prints what a change costs to merge, what a snapshot costs, and what a merge of three sources keeps,
//! by the number of workers: `cargo run --release -p elderpond-sources --example merge_cost`.

use std::net::SocketAddr;
use std::time::Instant;

use elderpond::interface::Condition;
use elderpond_sources::{Authority, Member, Merge, Patience, Word};

const ROUNDS: usize = 2000;

fn member(number: u32, condition: Condition) -> Member {
    Member {
        name: format!("w-{number}").into(),
        address: Some(SocketAddr::from((
            std::net::Ipv4Addr::from(0x0a00_0000 + number),
            8080,
        ))),
        zone: "a".into(),
        weight: 1.0,
        started: Some(0.0),
        condition,
    }
}

/// Memory of this process, in KiB, where the system tells it.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn main() {
    println!("workers   us a change   us a snapshot   ms a whole list   KiB kept");
    for workers in [100u32, 1000, 20_000] {
        let before = resident();
        let mut merge = Merge::default();
        let roster = merge.add("roster", Authority::Deciding, 1, Patience::default());
        let others = [
            merge.add("dns", Authority::Listing, 1, Patience::default()),
            merge.add("more", Authority::Listing, 1, Patience::default()),
        ];
        let all = || -> Vec<Member> {
            (0..workers)
                .map(|number| member(number, Condition::Ready))
                .collect()
        };
        merge.hear(0.0, roster, Word::Whole(all()));
        for other in others {
            let (server, lifetime_ms, whole) = (0, 5000.0, true);
            merge.hear(
                0.0,
                other,
                Word::Answer {
                    server,
                    members: all(),
                    lifetime_ms,
                    whole,
                },
            );
        }
        let list = all();
        let begun = Instant::now();
        merge.hear(1.0, roster, Word::Whole(list));
        let whole_ms = begun.elapsed().as_secs_f64() * 1000.0;
        let begun = Instant::now();
        for round in 0..ROUNDS {
            let condition = if round % 2 == 0 {
                Condition::Draining
            } else {
                Condition::Ready
            };
            let number = (round / 2) as u32 % workers;
            merge.hear(
                2.0 + round as f64,
                roster,
                Word::Changes(vec![member(number, condition)]),
            );
        }
        let change_us = begun.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
        let begun = Instant::now();
        let snapshots: Vec<_> = (0..ROUNDS).map(|_| merge.snapshot()).collect();
        let snapshot_us = begun.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
        let kept = resident()
            .zip(before)
            .map_or(0, |(now, before)| now.saturating_sub(before));
        println!("{workers:<9} {change_us:>11.1} {snapshot_us:>15.2} {whole_ms:>17.2} {kept:>10}");
        drop(snapshots);
    }
}
