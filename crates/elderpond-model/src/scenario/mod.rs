//! What is played: sizes, machines, classes of request, rules and troubles. Spans are milliseconds.

mod read;

use elderpond::interface::{Admit, LoadField, Repeat, Retry};

use crate::chance::Law;

/// Two values, the lower first; draws lie between them.
pub type Between = (f64, f64);

/// All that a world is built from.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// What it is called.
    pub title: String,
    /// Requests come for so long.
    pub duration_ms: f64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The network.
    pub network: Network,
    /// Kinds of machine that workers run on.
    pub machines: Vec<Machine>,
    /// Classes of request.
    pub classes: Vec<ClassOf>,
    /// The clients.
    pub clients: Clients,
    /// The proxies.
    pub proxies: Proxies,
    /// The managers, and what they have to go by.
    pub managers: Managers,
    /// Slices of the key space, where there are any.
    pub slices: Option<Slices>,
    /// The figures of the rules.
    pub rules: Rules,
    /// How service is counted.
    pub score: Score,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
}

/// The network between zones, and connections over it.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// One way between zones.
    pub across_ms: f64,
    /// One way within a zone.
    pub within_ms: f64,
    /// How long a proxy waits for a connection.
    pub connect_timeout_ms: f64,
    /// A connection unused for so long is closed.
    pub idle_ms: f64,
    /// Requests that a connection carries at a time.
    pub streams: u32,
    /// Work that a new connection costs the worker, in milliseconds of a core of speed 1.
    pub handshake_work: f64,
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// What it is called.
    pub name: String,
    /// How many there are.
    pub count: usize,
    /// Cores of each.
    pub cores: usize,
    /// Speed of a core; 1 is the yardstick.
    pub speed: Between,
    /// Requests that may wait; more are turned away unseen.
    pub queue: usize,
    /// Connections that may be open.
    pub connections: Between,
    /// Part of its speed that a worker with all connections open has lost.
    pub crowding: f64,
    /// How long a key is remembered.
    pub key_memory_ms: Between,
    /// Part of its work that a request with a remembered key is spared.
    pub key_gain: Between,
    /// Keys that are remembered.
    pub keys: usize,
    /// What happens to work whose client has gone.
    pub cancel: Cancel,
}

/// What happens at a worker to work whose client has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancel {
    /// It goes on.
    Keeps,
    /// What waits is dropped; what runs goes on.
    DropsWaiting,
    /// All of it stops.
    Stops,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassOf {
    /// What it is called.
    pub name: String,
    /// Its part of the requests; only the proportions count.
    pub share: f64,
    /// What it costs.
    pub work: Law,
    /// An answer within this span earns the full worth.
    pub aim_ms: f64,
    /// The client waits no longer, all its tries together.
    pub give_up_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// Part of the worth that a late answer earns.
    pub late_share: f64,
    /// Whether a request may run again.
    pub repeat: Repeat,
    /// Part of the whole wait that one try of the client waits.
    pub patience: f64,
    /// Whether it writes.
    pub writes: bool,
}

/// The clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Requests a second, before the curve.
    pub rate: f64,
    /// How the rate goes over time.
    pub curve: Curve,
    /// Further tries of a client.
    pub retries: u32,
    /// Wait before a further try; doubled for each after the first.
    pub backoff_ms: Between,
    /// Distinct keys.
    pub keys: usize,
    /// Zipf exponent of their popularity; 0 for even.
    pub key_skew: f64,
}

/// How the rate of requests goes over time, as a factor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Curve {
    /// Always 1.
    Steady,
    /// The factor from `at` on for a span: a class opens the same lab at the bell.
    Bell {
        /// When.
        at_ms: f64,
        /// How long.
        for_ms: f64,
        /// The factor.
        factor: f64,
    },
    /// A sine between 1 - depth and 1 + depth.
    Diurnal {
        /// Its period.
        period_ms: f64,
        /// Its depth, 0 to 1.
        depth: f64,
    },
    /// The factor for a span in each period, 1 between.
    Burst {
        /// The period.
        every_ms: f64,
        /// The span.
        for_ms: f64,
        /// The factor.
        factor: f64,
    },
    /// A flash crowd: the factor at once, halved each `half` after.
    Flash {
        /// When.
        at_ms: f64,
        /// The half-life.
        half_ms: f64,
        /// The factor.
        factor: f64,
    },
}

impl Curve {
    /// The factor at a moment.
    pub fn factor(&self, now_ms: f64) -> f64 {
        match *self {
            Self::Steady => 1.0,
            Self::Bell {
                at_ms,
                for_ms,
                factor,
            } => {
                if (at_ms..at_ms + for_ms).contains(&now_ms) {
                    factor
                } else {
                    1.0
                }
            }
            Self::Diurnal { period_ms, depth } => {
                1.0 + depth * (std::f64::consts::TAU * now_ms / period_ms).sin()
            }
            Self::Burst {
                every_ms,
                for_ms,
                factor,
            } => {
                if now_ms % every_ms < for_ms {
                    factor
                } else {
                    1.0
                }
            }
            Self::Flash {
                at_ms,
                half_ms,
                factor,
            } if now_ms >= at_ms => 1.0 + (factor - 1.0) * 0.5f64.powf((now_ms - at_ms) / half_ms),
            Self::Flash { .. } => 1.0,
        }
    }
}

/// How a proxy picks a line of its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Of two drawn by weight, the one with fewer of its own requests out.
    Pair,
    /// Drawn by weight.
    Lottery,
    /// Evenly by weight.
    Wheel,
}

/// The proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Proxies {
    /// How many there are.
    pub count: usize,
    /// Zipf exponent of their traffic; 0 for even.
    pub skew: f64,
    /// How they pick.
    pub pick: Pick,
    /// Failures of its own in a row after which one avoids a worker; 0 for never.
    pub ejects: u32,
    /// For so long.
    pub eject_ms: Between,
    /// Lines of the table that one starts with.
    pub standing: usize,
    /// How long one stands still for each line that it is sent.
    pub line_us: f64,
    /// Wait before it dials again.
    pub redial_ms: Between,
    /// How long a stream that broke without a reset goes unnoticed.
    pub notice_ms: Between,
    /// A try that may be followed by another waits this multiple of the aim.
    pub first_wait: f64,
    /// How they try again where nothing is ordered.
    pub usual: Retry,
}

/// What listed weights mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Cores times speed.
    Nominal,
    /// About that.
    Rough,
    /// Always 1.
    Off,
}

/// The managers, and what they have to go by.
#[derive(Clone, Debug, PartialEq)]
pub struct Managers {
    /// How many there are.
    pub count: usize,
    /// Shortest span between two batches of events.
    pub tick_ms: f64,
    /// Lines a second that a channel carries.
    pub channel_rate: f64,
    /// Lines that may wait in it.
    pub queue_cap: f64,
    /// Lines that a message costs beyond its own.
    pub head: f64,
    /// Mean time of a message on its way.
    pub push_ms: f64,
    /// The longest such time.
    pub push_max_ms: f64,
    /// Messages that a proxy may be sent within the span; 0 for no limit.
    pub update_cap: usize,
    /// That span.
    pub update_span_ms: f64,
    /// What a level means.
    pub admit: Admit,
    /// How often reports are gathered.
    pub report_ms: f64,
    /// How late they come.
    pub report_late_ms: Between,
    /// Lines a second of them at the most.
    pub report_lines: f64,
    /// Spread of reported times, as a part.
    pub noise: f64,
    /// How late the list comes.
    pub list_late_ms: Between,
    /// How old the list is that a manager starts with.
    pub known_age_ms: f64,
    /// What listed weights mean.
    pub weights: Listing,
    /// Whether workers may be probed.
    pub probes: bool,
    /// Work that a probe costs.
    pub probe_work: f64,
    /// The values of a load report.
    pub load: Vec<LoadField>,
    /// How often a worker refreshes them.
    pub load_refresh_ms: Between,
}

/// Slices of the key space: each has a table of its own, kept in a store that outlives managers.
#[derive(Clone, Debug, PartialEq)]
pub struct Slices {
    /// How many there are.
    pub count: u16,
    /// Whether a slice's writes have a single worker at a time.
    pub one_owner: bool,
    /// How long a proxy that lost its manager goes on sending writes.
    pub tenure_ms: f64,
    /// The longest an accepted write stays in hand.
    pub write_life_ms: f64,
    /// How long a request waits for a worker before it is refused.
    pub hold_ms: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The longest a joined proxy may lack a line while a warm worker is listed ready.
    pub unserved_ms: f64,
    /// Proxies stop sending to a draining worker within this span.
    pub drain_grace_ms: f64,
    /// The longest a started worker stays cold.
    pub cold_ms: f64,
    /// The part of its capacity that it starts with.
    pub start_capacity: f64,
    /// Sent more than this multiple of its present capacity...
    pub tip_multiple: f64,
    /// ...for this long, it falls over...
    pub fall_ms: f64,
    /// ...and stays down for this long.
    pub down_ms: f64,
}

/// How service is counted: parts of the result and what comes off it.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    /// Part of the whole run.
    pub whole: f64,
    /// Part of the worst 10 s.
    pub worst_10s: f64,
    /// Part of the worst class.
    pub worst_class: f64,
    /// Part of the nines.
    pub nines: f64,
    /// Comes off in proportion to tries that cross zones, for each first try.
    pub cross_zone: f64,
    /// In proportion to work that gave no answer.
    pub waste: f64,
    /// In proportion to probes, for each first try.
    pub probe: f64,
    /// In proportion to new connections, for each first try.
    pub handshake: f64,
    /// In proportion to worth that failed only after its aim.
    pub late_fail: f64,
    /// In proportion to the part of the channels' pace that was used.
    pub orders: f64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// What it is called.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// When it begins.
    pub at_ms: f64,
    /// How long it lasts.
    pub for_ms: f64,
    /// The part of those concerned that it strikes; `count` goes before it.
    pub part: f64,
    /// How many it strikes.
    pub count: Option<usize>,
    /// Only in this zone.
    pub zone: Option<usize>,
    /// Only workers on this kind of machine.
    pub machine: Option<usize>,
    /// Only this class.
    pub class: Option<usize>,
    /// How hard; what it means depends on the kind.
    pub strength: f64,
    /// It comes and goes: on for the first span, off for the second.
    pub flap: Option<(f64, f64)>,
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Workers fail a share (strength) of their requests at once.
    FastErrors,
    /// Workers run slower by the factor.
    Slow,
    /// Something that all depend on makes every worker slower by the factor.
    SharedSlow,
    /// Another program takes the share (strength) of the machine.
    Neighbour,
    /// Workers stand still: what they hold goes on after.
    Pause,
    /// Workers take requests and answer none; what they took is lost.
    Hang,
    /// Workers die at once and come back cold.
    Crash,
    /// Workers go silent, with no reset, and come back cold.
    Vanish,
    /// Workers slow down evenly, to the factor at the end, and are restarted then.
    Ageing,
    /// Answers of the workers are lost on the way.
    OneSided,
    /// Workers report to be idle.
    FalseLoad,
    /// A zone is cut off from the others.
    Cut,
    /// All workers of a zone die and come back cold, with its proxies where strength is above 0.
    ZoneLoss,
    /// A share (strength) of one class's requests cost more: `class` and ten times the work.
    Heavy,
    /// Workers fail one class.
    ClassFail,
    /// More requests come, by the factor.
    Rush,
    /// Workers drain and are replaced by cold ones of new ids at the same addresses, evenly over the span.
    Release,
    /// Workers are told to drain, and are gone at the end of it.
    Drain,
    /// Managers die and come back with their last list.
    ManagerKill,
    /// Managers stand still.
    ManagerPause,
    /// Proxies die and come back with a standing table.
    ProxyKill,
    /// Proxies reach no manager.
    ProxyCut,
    /// Discovery tells nothing.
    ListDown,
    /// Channels run slower by the factor.
    SlowChannel,
}

impl Kind {
    /// All kinds with their names in a scenario.
    pub const NAMES: [(&'static str, Self); 24] = [
        ("fast-errors", Self::FastErrors),
        ("slow", Self::Slow),
        ("shared-slow", Self::SharedSlow),
        ("neighbour", Self::Neighbour),
        ("pause", Self::Pause),
        ("hang", Self::Hang),
        ("crash", Self::Crash),
        ("vanish", Self::Vanish),
        ("ageing", Self::Ageing),
        ("one-sided", Self::OneSided),
        ("false-load", Self::FalseLoad),
        ("cut", Self::Cut),
        ("zone-loss", Self::ZoneLoss),
        ("heavy", Self::Heavy),
        ("class-fail", Self::ClassFail),
        ("rush", Self::Rush),
        ("release", Self::Release),
        ("drain", Self::Drain),
        ("manager-kill", Self::ManagerKill),
        ("manager-pause", Self::ManagerPause),
        ("proxy-kill", Self::ProxyKill),
        ("proxy-cut", Self::ProxyCut),
        ("list-down", Self::ListDown),
        ("slow-channel", Self::SlowChannel),
    ];

    /// Its name in a scenario.
    pub fn name(self) -> &'static str {
        let found = Self::NAMES.iter().find(|(_, kind)| *kind == self);
        found.map_or("?", |(name, _)| name)
    }
}

impl Scenario {
    /// Workers at the start.
    pub fn workers(&self) -> usize {
        self.machines.iter().map(|machine| machine.count).sum()
    }

    /// What the requests of a second cost, and what all machines do in a second at the middle of
    /// their speeds, both in seconds of a core of speed 1.
    pub fn load(&self) -> (f64, f64) {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work = |class: &ClassOf| class.work.mean().unwrap_or(f64::INFINITY) * class.share;
        let work: f64 = self.classes.iter().map(work).sum();
        let asked = self.clients.rate * work / shares / 1000.0;
        let speed = |machine: &Machine| (machine.speed.0 + machine.speed.1) / 2.0;
        let there = |machine: &Machine| (machine.count * machine.cores) as f64 * speed(machine);
        (asked, self.machines.iter().map(there).sum())
    }

    /// The same with so many times the workers, proxies and requests; the channels carry and hold
    /// more in proportion.
    pub fn grown(mut self, factor: f64) -> Self {
        let grow = |count: &mut usize| *count = ((*count as f64 * factor).round() as usize).max(1);
        self.machines
            .iter_mut()
            .for_each(|machine| grow(&mut machine.count));
        grow(&mut self.proxies.count);
        grow(&mut self.clients.keys);
        self.clients.rate *= factor;
        let managers = &mut self.managers;
        for figure in [
            &mut managers.channel_rate,
            &mut managers.queue_cap,
            &mut managers.report_lines,
        ] {
            *figure *= factor;
        }
        self
    }
}
