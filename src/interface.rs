//! What a manager is told and what it can order, free of any wire protocol.
//!
//! Times are milliseconds on the host's clock, spans are milliseconds. Nothing here decides.

/// Identifies a worker: a server that does the work.
pub type WorkerId = u32;
/// Identifies a proxy: a forwarder that picks a worker for each request.
pub type ProxyId = u16;
/// Identifies a table of weighted workers; with slices, the slice.
pub type TableId = u16;
/// Identifies a network zone.
pub type ZoneId = u16;

/// What is fixed for the life of a manager.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Shortest span between two batches of events.
    pub tick_ms: f64,
    /// Classes of request, in the order of their index.
    pub classes: Vec<Class>,
    /// Whether changes of the worker list have to be asked for.
    pub subscribe: bool,
    /// With `subscribe`: not asking for this long counts as knowing the list.
    pub ask_within_ms: f64,
    /// The longest a started worker stays cold.
    pub cold_ms: f64,
    /// The least part of its capacity a worker starts with.
    pub start_capacity: f64,
    /// A cold worker sent more than this multiple of its present capacity...
    pub tip_multiple: f64,
    /// ...for this long falls over.
    pub fall_ms: f64,
    /// Proxies stop sending to a draining worker within this span.
    pub drain_grace_ms: f64,
    /// The longest a proxy may lack a worker while a warm one is listed.
    pub unserved_max_ms: f64,
    /// Whether workers may be probed.
    pub probes: bool,
    /// How long a proxy waits for a connection.
    pub connect_timeout_ms: f64,
    /// What a level means to a proxy.
    pub admit: Admit,
    /// How often reports are gathered.
    pub report_interval_ms: f64,
    /// Mean and longest time of a message on its way to a proxy.
    pub push_delay_ms: f64,
    /// The longest such time.
    pub push_delay_max_ms: f64,
    /// Lines a second that the channel to the proxies carries.
    pub channel_rate: f64,
    /// Lines that may wait in the channel.
    pub queue_cap: f64,
    /// Lines that a message costs beyond its own.
    pub head_lines: f64,
    /// Messages a proxy may be sent within `update_span_ms`; 0 for no limit.
    pub update_cap: usize,
    /// The span of `update_cap`.
    pub update_span_ms: f64,
    /// A try that may be followed by another waits this multiple of the aim.
    pub first_wait: f64,
    /// Proxies of all managers together.
    pub proxies: usize,
    /// Lines at most of the table that a proxy holds at its start.
    pub standing_lines: usize,
    /// Failures in a row after which a proxy avoids a worker for some seconds; 0 for never.
    pub ejects: u32,
    /// Number of slices of the key space; 0 for none.
    pub slices: u16,
    /// Whether a slice has a single worker at a time.
    pub single_owner: bool,
    /// How long a proxy that lost its manager goes on sending a slice's writes.
    pub tenure_ms: f64,
    /// The longest an accepted write stays in hand.
    pub write_life_ms: f64,
    /// The values of a load report, in order.
    pub load_fields: Vec<LoadField>,
}

impl Settings {
    /// A value of a load report; 0 where it is not reported.
    pub fn load(&self, field: LoadField, report: &[f64]) -> f64 {
        let place = self.load_fields.iter().position(|name| *name == field);
        place.and_then(|k| report.get(k)).copied().unwrap_or(0.0)
    }
}

/// A class of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub aim_ms: f64,
    /// The client waits no longer.
    pub give_up_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// Whether a request may run again.
    pub repeat: Repeat,
    /// Whether it may go only to workers of the proxy's own zone.
    pub home_only: bool,
    /// Whether it writes.
    pub writes: bool,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    /// At any time, anywhere.
    ReadLike,
    /// Within the window all workers (or, if not `all`, some) drop a repeat.
    Keyed {
        /// Counted from the first send.
        window_ms: f64,
        /// Whether every worker drops it.
        all: bool,
    },
    /// Never.
    Never,
}

/// What a level means to a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admit {
    /// The fraction of a class that is let in.
    Ratio,
    /// Requests a second of a class let in at each proxy.
    Rate,
    /// Levels are ignored.
    #[default]
    Off,
}

/// One value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests held.
    Active,
    /// Requests queued.
    Waiting,
    /// Busy fraction of the cores.
    Cpu,
    /// Recent service time.
    AverageMs,
    /// Requests served a second.
    Rate,
    /// Errors a second.
    ErrorRate,
    /// Anything else.
    Other,
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No longer there.
    Gone,
    /// Taking work.
    Ready,
    /// Finishing what it has; send nothing new.
    Draining,
}

/// One entry of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Which worker.
    pub worker: WorkerId,
    /// Listed weight; not above 0 if unknown.
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
    /// When it last started; 0 for long ago.
    pub started: f64,
    /// What the list says of it.
    pub condition: Condition,
}

/// How a [`Event::List`] is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last known, perhaps stale.
    Cached,
    /// A call failed; no entries.
    Failed,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Answered well.
    Ok,
    /// Turned away: draining, or too many probes at once.
    Rejected,
    /// An error, no answer, or no connection.
    Failed,
}

/// The result of a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct Probed {
    /// Which worker.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: ProbeOutcome,
    /// Time since it was sent.
    pub took_ms: f64,
    /// Load report, if any.
    pub load: Vec<f64>,
}

/// What the proxies of a zone met at a worker, summed up.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    /// Zone of the proxies.
    pub zone: ZoneId,
    /// Which worker.
    pub worker: WorkerId,
    /// Tries that ended.
    pub tries: u32,
    /// Tries without a good answer.
    pub failed: u32,
    /// Mean time of the good ones.
    pub took_ms: f64,
    /// Span it was counted over.
    pub covers_ms: f64,
    /// Latest load report, if any.
    pub load: Vec<f64>,
}

/// A proxy whose stream is up.
#[derive(Clone, Debug, PartialEq)]
pub struct Joined {
    /// Which proxy.
    pub proxy: ProxyId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Requests a second that usually come to it; rough.
    pub rate: f64,
    /// Whether it holds its standing tables only.
    pub fresh: bool,
}

/// A line of a slice's table as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stored {
    /// Which slice.
    pub slice: TableId,
    /// Which worker.
    pub worker: WorkerId,
    /// Its weight.
    pub weight: f64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the worker list.
    List {
        /// How to read `entries`.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A timer set by [`Action::Timer`] fell due.
    Timer {
        /// As given.
        token: u64,
    },
    /// A probe ended.
    Probed(Probed),
    /// A proxy's stream is up.
    Joined(Joined),
    /// A proxy's stream is down.
    Left {
        /// Which proxy.
        proxy: ProxyId,
    },
    /// A proxy has applied a marked message.
    Applied {
        /// The mark.
        mark: u64,
        /// Which proxy.
        proxy: ProxyId,
    },
    /// What the proxies of a zone met at a worker.
    Heard(Heard),
    /// Requests that came to a proxy (or, with slices, for a slice).
    Demand {
        /// Proxy, or slice.
        source: u16,
        /// Index of the class.
        class: usize,
        /// Requests that came.
        came: u32,
        /// Those let in that got no answer.
        unanswered: u32,
        /// Span it was counted over.
        covers_ms: f64,
    },
    /// A slice was put into this manager's charge, or taken from it.
    Charge {
        /// Which slice.
        slice: TableId,
        /// Whether it is now in charge.
        given: bool,
    },
    /// A line of a slice's table as the store holds it.
    Stored(Stored),
    /// A message from another manager.
    Peer,
}

/// Which tables a level applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One table.
    Table(TableId),
    /// Every joined proxy.
    All,
}

/// When a proxy tries another worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Never.
    No,
    /// Once, after proof that the first try never ran.
    Proven,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// What the host is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send [`Event::Timer`] after a span.
    Timer {
        /// From now.
        after_ms: f64,
        /// Returned with the event.
        token: u64,
    },
    /// Probe a worker.
    Probe {
        /// Which worker.
        worker: WorkerId,
    },
    /// A line for the operators.
    Log {
        /// The line.
        text: String,
    },
    /// Subscribe to changes of the list.
    Observe,
    /// Ask for the whole list.
    QueryList,
    /// Set a worker's weight in a table; 0 removes it.
    SetWeight {
        /// The table.
        table: TableId,
        /// The worker.
        worker: WorkerId,
        /// The weight.
        weight: f64,
    },
    /// Empty a table.
    Clear {
        /// The table.
        table: TableId,
    },
    /// Put a proxy on a table for some classes.
    Bind {
        /// Bit k stands for class k; 0 for all.
        classes: u16,
        /// The table.
        table: TableId,
        /// The proxy.
        proxy: ProxyId,
    },
    /// Bar every joined proxy from a worker, or let them back.
    HoldBack {
        /// The worker.
        worker: WorkerId,
        /// Whether it is barred.
        out: bool,
    },
    /// Say how much of some classes is let in, and when it is tried again.
    Allow {
        /// Where.
        scope: Scope,
        /// Bit k stands for class k; 0 for all.
        classes: u16,
        /// The level, as [`Settings::admit`] has it.
        quota: f64,
        /// When to try again.
        retry: Retry,
    },
    /// Have each proxy that this reply reaches answer with [`Event::Applied`].
    Mark {
        /// Returned with the event.
        mark: u64,
    },
}

impl Action {
    /// A [`Action::SetWeight`].
    pub fn set_weight(table: TableId, worker: WorkerId, weight: f64) -> Self {
        Self::SetWeight {
            table,
            worker,
            weight,
        }
    }

    /// An [`Action::Allow`] for the class of index `class`.
    pub fn allow(scope: Scope, class: usize, (quota, retry): (f64, Retry)) -> Self {
        Self::Allow {
            scope,
            classes: 1 << class,
            quota,
            retry,
        }
    }

    /// An [`Action::Bind`].
    pub fn bind(classes: u16, table: TableId, proxy: ProxyId) -> Self {
        Self::Bind {
            classes,
            table,
            proxy,
        }
    }

    /// An [`Action::Log`].
    pub fn log(text: String) -> Self {
        Self::Log { text }
    }
}
