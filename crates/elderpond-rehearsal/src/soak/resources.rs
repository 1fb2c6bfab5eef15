//! What processes use: the most of memory, descriptors and threads that was seen of any life.

use std::cell::RefCell;

use crate::judge::Check;

/// Megabytes that a process may have resident, as its settings say.
const MEMORY_MB: u64 = 260;
/// Descriptors that a process may have open, as its settings say.
const DESCRIPTORS: usize = 4100;
/// Threads that a process may have.
const THREADS: u64 = 64;

/// What one process uses at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Megabytes resident.
    pub memory_mb: u64,
    /// Open descriptors.
    pub descriptors: usize,
    /// Threads.
    pub threads: u64,
}

/// The most that was seen, by machine.
#[derive(Debug, Default)]
pub struct Resources(RefCell<Vec<(String, Usage)>>);

impl Resources {
    /// Looks at a process; one that has ended tells nothing.
    pub fn look(&self, name: &str, process: u32) {
        if let Some(usage) = read_usage(process) {
            self.note(name, usage);
        }
    }

    /// Takes in what a process was seen to use.
    pub fn note(&self, name: &str, usage: Usage) {
        let mut all = self.0.borrow_mut();
        let at = all.iter().position(|(known, _)| known == name);
        let at = at.unwrap_or_else(|| {
            all.push((name.to_owned(), Usage::default()));
            all.len() - 1
        });
        let most = &mut all[at].1;
        most.memory_mb = most.memory_mb.max(usage.memory_mb);
        most.descriptors = most.descriptors.max(usage.descriptors);
        most.threads = most.threads.max(usage.threads);
    }

    /// Whether each process kept to its limits.
    pub fn check(&self) -> Check {
        let all = self.0.borrow();
        let over = |usage: &Usage| {
            usage.memory_mb > MEMORY_MB
                || usage.descriptors > DESCRIPTORS
                || usage.threads > THREADS
        };
        let told = |(name, usage): &(String, Usage)| {
            format!(
                "{name}: {} MB, {} descriptors, {} threads",
                usage.memory_mb, usage.descriptors, usage.threads
            )
        };
        let broken: Vec<String> = all.iter().filter(|(_, it)| over(it)).map(told).collect();
        let most = all.iter().max_by_key(|(_, usage)| usage.memory_mb);
        let counted = most.map_or_else(String::new, |most| format!("the most {}", told(most)));
        Check::new("processes keep to their limits", &broken, counted)
    }
}

fn read_usage(process: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?;
    Some(Usage {
        memory_mb: field("VmRSS:")? / 1024,
        descriptors: descriptors.count(),
        threads: field("Threads:")?,
    })
}
