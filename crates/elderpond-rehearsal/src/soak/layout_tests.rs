//! Fleets are laid out while other threads start processes.

use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use tokio::task::LocalSet;

use super::layout::lay_out;
use super::schedule::Size;

const SIZE: Size = Size {
    control_nodes: 5,
    proxies: 5,
    workers: 12,
};
/// Threads that start processes meanwhile.
const OTHERS: usize = 4;
/// Fleets that are laid out, one after the other.
const FLEETS: usize = 60;

/// Guards against soaks side by side of which one ended at once: "Address already in use".
#[test]
fn a_fleet_is_laid_out_while_other_threads_start_processes() {
    let over = Arc::new(AtomicBool::new(false));
    let others = (0..OTHERS).map(|_| {
        let over = over.clone();
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                Command::new("true").status().expect("it is on each system");
            }
        })
    });
    let others: Vec<_> = others.collect();
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().expect("a runtime");
    let laid_out = async {
        for nth in 0..FLEETS {
            let laid_out = lay_out(SIZE, None, Path::new("true"), Path::new("/")).await;
            if let Err(error) = laid_out {
                return Err(format!("fleet {nth}: {error:#}"));
            }
        }
        Ok(())
    };
    let laid_out = LocalSet::new().block_on(&runtime, laid_out);
    over.store(true, Ordering::Relaxed);
    for other in others {
        other.join().expect("it stops");
    }
    assert_eq!(laid_out, Ok(()));
}
