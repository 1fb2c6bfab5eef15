//! Plays days of a whole fleet in memory by seed; a failing one is told as the shortest story that still
//! fails.

use std::sync::atomic::{AtomicU64, Ordering};

use elderpond_simulator::{Story, play, shortest};

/// Days of a whole fleet in memory, by seed.
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
    /// print what happens
    #[argh(switch)]
    tell: bool,
}

fn main() {
    let Arguments {
        days,
        from,
        threads,
        tell,
    } = argh::from_env();
    let began = std::time::Instant::now();
    let [failed, events, acknowledged, departed, wiped] = [const { AtomicU64::new(0) }; 5];
    std::thread::scope(|scope| {
        for thread in 0..threads.max(1) {
            let (failed, events, acknowledged) = (&failed, &events, &acknowledged);
            let (departed, wiped) = (&departed, &wiped);
            scope.spawn(move || {
                for seed in (from..from + days).filter(|seed| seed % threads.max(1) == thread) {
                    let story = Story {
                        tell,
                        ..Story::of(seed)
                    };
                    match play(&story) {
                        Ok(day) => {
                            events.fetch_add(day.events, Ordering::Relaxed);
                            acknowledged.fetch_add(day.acknowledged, Ordering::Relaxed);
                            departed.fetch_add(day.departed, Ordering::Relaxed);
                            wiped.fetch_add(day.wiped, Ordering::Relaxed);
                        }
                        Err(fault) => {
                            failed.fetch_add(1, Ordering::Relaxed);
                            let (story, fault) = shortest(
                                &Story {
                                    tell: false,
                                    ..story
                                },
                                fault,
                            );
                            println!("{story}  {fault}");
                        }
                    }
                }
            });
        }
    });
    println!(
        "{days} days from seed {from}: {} failed; {} configurations and {} departures acknowledged, \
         {} disks lost, {} events; {:.0} s",
        failed.load(Ordering::Relaxed),
        acknowledged.load(Ordering::Relaxed),
        departed.load(Ordering::Relaxed),
        wiped.load(Ordering::Relaxed),
        events.load(Ordering::Relaxed),
        began.elapsed().as_secs_f64()
    );
    if failed.into_inner() > 0 {
        std::process::exit(1);
    }
}
