//! What a put takes: `cargo run --release -p elderpond-storage --example puts -- FOLDER [PUTS [BYTES...]]`.
//!
//! For bodies of some sizes: the time of a put (median and 99th of a hundred, ms), what the process wrote
//! for it (kB), and what lies on disk and in memory after all of them (kB). Syncs are counted by a tool for
//! system calls: `strace -fc -e trace=fsync,fdatasync,sync_file_range`.

use std::fs;
use std::path::Path;
use std::time::Instant;

use elderpond_consensus::{Ballot, Digest, Head, Held, Mark, Numbers, Record, Tag};
use elderpond_storage::Storage;

fn record(version: u64, size: usize) -> Record {
    let mixed = |at: u64| (at ^ version << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 8;
    let body: Vec<u8> = (0..size as u64).map(|at| mixed(at) as u8).collect();
    let ballot = Ballot {
        round: version,
        node: 1,
        life: 2,
    };
    let tag = Tag {
        version,
        ballot,
        digest: Digest::of(&body),
    };
    let head = Head {
        disk: 7,
        set: None,
        active_in: 1,
        ceiling: 1 << 32,
        promised: ballot,
        accepted: None,
        committed: Some(tag),
    };
    let mark = Mark {
        order: version,
        key: format!("worker-{}", version % 8_192),
        value: vec![1],
    };
    Record {
        head: Some(head),
        held: Some(Held {
            tag,
            body: body.into(),
        }),
        marks: vec![mark],
        dropped: vec![],
        numbers: Some(Numbers {
            forgotten: version.saturating_sub(4_096),
            given: vec![tag],
        }),
    }
}

/// The number in a line of a file of this process.
fn of_process(file: &str, line: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/self/{file}")).unwrap_or_default();
    let found = text.lines().find_map(|it| it.strip_prefix(line));
    let number = found.and_then(|it| it.split_whitespace().next()?.parse().ok());
    number.unwrap_or_default()
}

fn main() {
    let mut words = std::env::args().skip(1);
    let place = words.next().expect("a folder to work in");
    let puts: usize = words
        .next()
        .map_or(100, |puts| puts.parse().expect("a count"));
    let mut sizes: Vec<usize> = words.map(|size| size.parse().expect("bytes")).collect();
    if sizes.is_empty() {
        sizes = vec![10, 1_000, 100_000, 2_000_000];
    }
    println!("body B   median ms   p99 ms   written kB a put   on disk kB   in memory kB");
    for size in sizes {
        let folder = Path::new(&place).join(format!("puts-{size}"));
        let _ = fs::remove_dir_all(&folder);
        let (mut storage, _) = Storage::open(&folder).expect("opens");
        let before = of_process("io", "wchar:");
        let mut took: Vec<f64> = (1..=puts as u64)
            .map(|version| {
                let record = record(version, size);
                let begun = Instant::now();
                storage.put(&[record]).expect("is put");
                begun.elapsed().as_secs_f64() * 1e3
            })
            .collect();
        let written = (of_process("io", "wchar:") - before) / puts as u64;
        took.sort_by(f64::total_cmp);
        println!(
            "{size:>7} {:>10.2} {:>8.2} {:>18} {:>12} {:>14}",
            took[puts / 2],
            took[puts * 99 / 100],
            written >> 10,
            storage.size().expect("is there") >> 10,
            of_process("status", "VmRSS:"),
        );
        drop(storage);
        let _ = fs::remove_dir_all(&folder);
    }
}
