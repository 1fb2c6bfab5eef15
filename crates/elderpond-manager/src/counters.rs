//! What was taken in, sent, answered, dropped and retried, by peer and kind.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Counts since the start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: Count,)+
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let counts = [$((stringify!($name), self.$name.get())),+];
                let mut counts = counts.iter().filter(|(_, count)| *count > 0);
                if let Some((name, count)) = counts.next() {
                    write!(f, "{name}={count}")?;
                }
                counts.try_for_each(|(name, count)| write!(f, " {name}={count}"))
            }
        }
    };
}

/// One count.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Counts one more.
    pub fn one(&self) {
        self.add(1);
    }

    /// Counts `n` more.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// Raises the count to `n`, where it is less.
    pub fn raise(&self, n: u64) {
        self.0.fetch_max(n, Ordering::Relaxed);
    }

    /// Makes the count `n`: of what there is now, not of what has happened.
    pub fn set(&self, n: usize) {
        self.0.store(n as u64, Ordering::Relaxed);
    }

    /// Counts one more, and says so seldom: each time that the count has doubled. What peers do
    /// wrong without end must not fill the log.
    pub fn seldom(&self, say: impl FnOnce(u64)) {
        self.one();
        let count = self.get();
        if count.is_power_of_two() {
            say(count);
        }
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

counters! {
    /// Configurations read again and taken.
    reloads,
    /// Configurations that could not be used: the old one went on.
    reloads_bad,
    /// Connections at the manager's address that are open now.
    listener_open,
    /// Connections taken at the manager's address.
    listener_connections,
    /// Those shed to make room for others of their kind.
    listener_shed,
    /// Strangers turned away: not joined in time, or for what they said.
    strangers_rejected,
    /// Failures to take a connection.
    listener_failed,
    /// Signs of life answered.
    listener_heartbeats,
    /// Connections that named themselves collectors.
    collector_connections,
    /// Reports of workers taken in.
    collector_upstream,
    /// Reports of demand taken in.
    collector_client,
    /// Lines dropped: a field is missing, mistyped or out of range.
    collector_spoilt,
    /// Lines dropped: they name what was never listed.
    collector_unlisted,
    /// Lines dropped: of an unknown type.
    collector_unknown,
    /// Collectors' connections closed: what came on them could not be read any more.
    collector_unreadable,
    /// Reports dropped because the module's mailbox was full.
    reports_dropped,
    /// Orders handed to the relay.
    orders_made,
    /// Calls to the relay begun.
    calls_sent,
    /// Calls answered in full.
    calls_taken,
    /// Calls answered in part.
    calls_short,
    /// Calls rejected before the run.
    calls_throttled,
    /// Calls that the relay did not understand.
    calls_invalid,
    /// Calls that broke, or whose answer could not be read.
    calls_broken,
    /// Calls without an answer in time.
    calls_silent,
    /// Calls to be sent again.
    calls_repeated,
    /// Calls without orders, to find out whether the relay answers.
    calls_empty,
    /// Orders that the relay took.
    orders_taken,
    /// Orders dropped: the relay could not use them, or they named nothing known.
    orders_dropped,
    /// Orders folded away by newer ones while the relay was out of reach.
    orders_folded,
    /// The most replies that waited for the relay.
    calls_waiting_most,
    /// The longest that a reply waited until it was taken, in milliseconds.
    calls_longest_ms,
    /// The longest that the relay took over an answer, in microseconds.
    answers_longest_us,
    /// Connections to the relay opened for calls.
    relay_connects,
    /// Those that did not come up.
    relay_unreached,
    /// Proxies that are joined now.
    news_joined,
    /// Streams of news opened.
    news_opened,
    /// Those among them that took over from one that still stood.
    news_moved,
    /// Streams of news lost.
    news_lost,
    /// Proxies that attached.
    news_attach,
    /// Those that a stream found standing as the one before had left them.
    news_kept,
    /// Proxies that detached.
    news_detach,
    /// Proxies found gone when the news was opened again.
    news_vanished,
    /// Marks acknowledged.
    news_done,
    /// Lines of news dropped: malformed, or with names out of range.
    news_bad_lines,
    /// Lists and changes taken in.
    lists_taken,
    /// Whole lists among them.
    lists_whole,
    /// Workers whose names are known now, those gone of late included.
    list_names,
    /// Calls to discovery that failed or were not answered in time.
    lists_failed,
    /// Entries dropped: they cannot be read, or their zone is unknown.
    list_entries_dropped,
    /// Sources of workers beside the platform's list that are followed now.
    sources_followed,
    /// Words taken in from them.
    sources_words,
    /// Of these, of failure.
    sources_failed,
    /// Workers about whom sources differ now.
    sources_differing,
    /// Queries that the sources of service records have sent.
    dns_queries,
    /// Those over TCP, after an answer that was cut off.
    dns_over_tcp,
    /// Those to a second server, because the first was slow.
    dns_hedged,
    /// The most queries of one source under way at a time.
    dns_most_at_once,
    /// Answers dropped: they cannot be read.
    dns_unreadable,
    /// Answers dropped: of another id.
    dns_wrong_id,
    /// Answers dropped: of another question or class.
    dns_wrong_question,
    /// Questions without an answer.
    dns_silent,
    /// Questions that a server refused or failed.
    dns_refused,
    /// Probes begun.
    probes_sent,
    /// Probes answered well.
    probes_ok,
    /// Probes turned away.
    probes_rejected,
    /// Probes failed.
    probes_failed,
    /// Probes whose answers could not be read.
    probes_spoilt,
    /// Probes not begun: too many under way, or no address known.
    probes_dropped,
    /// Batches handed to the module.
    batches,
    /// Events in them.
    events,
    /// Timers set by the module.
    timers,
    /// The longest that the module took over a batch, in microseconds.
    batch_longest_us,
    /// Log lines dropped.
    log_dropped,
    /// Invariants found broken.
    invariants_broken,
}

impl Counters {
    /// What must hold: asserted in debug builds, counted in release builds.
    pub fn hold(&self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.invariants_broken.one();
            log::error!("does not hold: {what}");
        }
    }
}
