//! What processes use: the most of memory, descriptors and threads that was seen of each life, and whether
//! it grows.

use std::cell::RefCell;

use crate::judge::Check;

/// Megabytes that a process may have resident, as its settings say.
const MEMORY_MB: u64 = 260;
/// Descriptors that a process may have open, as its settings say.
const DESCRIPTORS: u64 = 4100;
/// Threads that a process may have.
const THREADS: u64 = 64;
/// Looks, one a second, after which a process has what it needs.
const SETTLED: u32 = 60;
/// By how much it may use more after that, in megabytes, descriptors and threads, beside half as much again.
const MORE_MEMORY_MB: u64 = 16;
const MORE_DESCRIPTORS: u64 = 100;
const MORE_THREADS: u64 = 4;

/// What one process uses at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Megabytes resident.
    pub memory_mb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Threads.
    pub threads: u64,
}

/// One life of a machine's process.
#[derive(Debug)]
struct Life {
    name: String,
    process: u32,
    looks: u32,
    /// The most until it has what it needs, and after that.
    early: Usage,
    late: Usage,
}

/// All lives that were seen.
#[derive(Debug, Default)]
pub struct Resources(RefCell<Vec<Life>>);

impl Usage {
    /// The most of both.
    fn max(self, other: Self) -> Self {
        Self {
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
            threads: self.threads.max(other.threads),
        }
    }

    fn is_beyond(&self, most: &Self) -> bool {
        self.memory_mb > most.memory_mb
            || self.descriptors > most.descriptors
            || self.threads > most.threads
    }

    /// What a process that used this may use later.
    fn with_room(&self) -> Self {
        Self {
            memory_mb: self.memory_mb * 3 / 2 + MORE_MEMORY_MB,
            descriptors: self.descriptors * 3 / 2 + MORE_DESCRIPTORS,
            threads: self.threads * 3 / 2 + MORE_THREADS,
        }
    }
}

impl std::fmt::Display for Usage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            memory_mb,
            descriptors,
            threads,
        } = self;
        write!(
            f,
            "{memory_mb} MB, {descriptors} descriptors, {threads} threads"
        )
    }
}

impl Resources {
    /// Looks at a process, which is to be done once a second; one that has ended tells nothing.
    pub fn look(&self, name: &str, process: u32) {
        if let Some(usage) = read_usage(process) {
            self.note(name, process, usage);
        }
    }

    /// Takes in what a process was seen to use.
    pub fn note(&self, name: &str, process: u32, usage: Usage) {
        let mut lives = self.0.borrow_mut();
        let known = lives.iter().position(|life| life.process == process);
        let at = known.unwrap_or_else(|| {
            lives.push(Life {
                name: name.to_owned(),
                process,
                looks: 0,
                early: Usage::default(),
                late: Usage::default(),
            });
            lives.len() - 1
        });
        let life = &mut lives[at];
        life.looks += 1;
        match life.looks <= SETTLED {
            true => life.early = life.early.max(usage),
            false => life.late = life.late.max(usage),
        }
    }

    /// Whether each process kept to its limits, and used no more and more.
    pub fn check(&self) -> Check {
        let limits = Usage {
            memory_mb: MEMORY_MB,
            descriptors: DESCRIPTORS,
            threads: THREADS,
        };
        let mut broken = Vec::new();
        let lives = self.0.borrow();
        for life in lives.iter() {
            let most = life.early.max(life.late);
            if most.is_beyond(&limits) {
                broken.push(format!("{} used {most}", life.name));
            }
            if life.late.is_beyond(&life.early.with_room()) {
                broken.push(format!(
                    "{} used {}, and later {}",
                    life.name, life.early, life.late
                ));
            }
        }
        let all = lives.iter().map(|life| life.early.max(life.late));
        let most = all.fold(Usage::default(), Usage::max);
        let rule = "processes keep to their limits and do not grow";
        Check::new(rule, &broken, format!("the most of each: {most}"))
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
        descriptors: descriptors.count() as u64,
        threads: field("Threads:")?,
    })
}
