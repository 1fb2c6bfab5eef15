//! Scenarios as INI files.

use elderpond::interface::{Admit, LoadField, Repeat, Retry};
use elderpond_config::{Document, Faults, Range, Section, Share, Span, Value};

use super::*;

/// Sections that a scenario may have.
const SECTIONS: [&str; 11] = [
    "scenario", "network", "workers", "class", "clients", "proxies", "managers", "slices", "rules",
    "score", "trouble",
];

/// Loads that a `[managers]` section may name, by their names in the settings.
const LOADS: [&str; 6] = ["active", "waiting", "cpu", "avg_ms", "rps", "err_rps"];

impl Value for Law {
    fn read(text: &str) -> Result<Self, String> {
        let allowed = || {
            "a law of work: fixed 20ms, uniform 20ms 30ms, exponential 20ms, lognormal 20ms 0.8 \
             (median, spread) or pareto 10ms 2.2 (least, tail index)"
                .to_owned()
        };
        let parts: Vec<&str> = text.split_whitespace().collect();
        let span = |text: &str| Span::read(text).map(|span| span.0).map_err(|_| allowed());
        let number = |text: &str| f64::read(text).map_err(|_| allowed());
        let law = match parts[..] {
            ["fixed", value] => Self::Fixed(span(value)?),
            ["uniform", low, high] => Self::Uniform(span(low)?, span(high)?),
            ["exponential", mean] => Self::Exponential(span(mean)?),
            ["lognormal", median, spread] => Self::LogNormal(span(median)?, number(spread)?),
            ["pareto", least, index] => Self::Pareto(span(least)?, number(index)?),
            _ => return Err(allowed()),
        };
        match law {
            Self::Uniform(low, high) if low > high => Err(allowed()),
            Self::Pareto(_, index) if index <= 1.0 => {
                Err("a pareto law with a tail index above 1: below, it has no mean".to_owned())
            }
            law => Ok(law),
        }
    }
    fn stand_in() -> Self {
        Self::Fixed(1.0)
    }
}

/// `read-like`, `never`, or `keyed all 1.5s` / `keyed zone 1.5s`.
struct RepeatWord(Repeat);

impl Value for RepeatWord {
    fn read(text: &str) -> Result<Self, String> {
        let allowed = || "read-like, never, keyed all SPAN or keyed zone SPAN".to_owned();
        let parts: Vec<&str> = text.split_whitespace().collect();
        let keyed = |all, span: &str| {
            let window_ms = Span::read(span).map_err(|_| allowed())?.0;
            Ok::<Repeat, String>(Repeat::Keyed { window_ms, all })
        };
        Ok(Self(match parts[..] {
            ["read-like"] => Repeat::ReadLike,
            ["never"] => Repeat::Never,
            ["keyed", "all", span] => keyed(true, span)?,
            ["keyed", "zone", span] => keyed(false, span)?,
            _ => return Err(allowed()),
        }))
    }
    fn stand_in() -> Self {
        Self(Repeat::Never)
    }
}

/// Two spans: `3s 2s`.
struct Flap(f64, f64);

impl Value for Flap {
    fn read(text: &str) -> Result<Self, String> {
        let allowed = || "two spans above 0, on and off (as in 3s 2s)".to_owned();
        let spans: Result<Vec<Span>, String> = text.split_whitespace().map(Span::read).collect();
        match spans.map_err(|_| allowed())?[..] {
            [Span(on), Span(off)] if on > 0.0 && off > 0.0 => Ok(Self(on, off)),
            _ => Err(allowed()),
        }
    }
    fn stand_in() -> Self {
        Self(1.0, 1.0)
    }
}

fn span(section: &Section, key: &str, default: f64) -> f64 {
    section.or(key, Span(default)).0
}

fn spans(section: &Section, key: &str, default: Between) -> Between {
    let range = section.or(
        key,
        Range {
            low: Span(default.0),
            high: Span(default.1),
        },
    );
    (range.low.0, range.high.0)
}

fn numbers(section: &Section, key: &str, default: Between) -> Between {
    let range = section.or(
        key,
        Range {
            low: default.0,
            high: default.1,
        },
    );
    (range.low, range.high)
}

fn share(section: &Section, key: &str, default: f64) -> f64 {
    section.or(key, Share(default)).0
}

fn above_0(section: &Section, key: &str, value: f64) -> f64 {
    section.check(key, value > 0.0, "must be above 0");
    value
}

fn count(section: &Section, key: &str, default: usize, most: usize) -> usize {
    let count = section.or(key, default);
    section.check(
        key,
        (1..=most).contains(&count),
        &format!("must be from 1 to {most}"),
    );
    count.clamp(1, most)
}

impl Scenario {
    /// Reads a scenario; `file` is what faults call it.
    ///
    /// # Errors
    /// All that is wrong with it, with file, line, key and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        Self::parse_over(file, text, |name| {
            Err(format!("no file `{name}` is to be had here"))
        })
    }

    /// The same, where `base` in `[scenario]` may name a file that this one is put over; `open` has
    /// its text, or says why not.
    ///
    /// # Errors
    /// All that is wrong with both, with file, line, key and what is allowed.
    pub fn parse_over(
        file: &str,
        text: &str,
        open: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Self, Faults> {
        let mut document = Document::parse(file, text)?;
        let base: Option<String> = document
            .section("scenario")
            .and_then(|head| head.maybe("base"));
        if let Some(base) = base {
            match open(&base) {
                Ok(text) => document = document.over(Document::parse(&base, &text)?),
                Err(cause) => document
                    .section_or_empty("scenario")
                    .check("base", false, &cause),
            }
        }
        let scenario = read(&document);
        document.finish(&SECTIONS)?;
        Ok(scenario)
    }
}

fn read(document: &Document) -> Scenario {
    let head = document.section_or_empty("scenario");
    head.has("base");
    let zones: Vec<String> = head.or("zones", vec!["a".to_owned()]);
    head.check(
        "zones",
        !zones.is_empty() && zones.len() < 128,
        "must name 1 to 127 zones",
    );
    let machines: Vec<Machine> = document.sections("workers").map(machine).collect();
    let classes: Vec<ClassOf> = document.sections("class").map(class).collect();
    if machines.is_empty() {
        document.lacks("no [workers NAME] section: there is nobody to do the work");
    }
    if classes.is_empty() || classes.len() > 16 {
        document.lacks("1 to 16 [class NAME] sections are needed");
    }
    let troubles = document.sections("trouble");
    let troubles =
        troubles.map(|(name, section)| trouble(name, &section, &zones, &machines, &classes));
    Scenario {
        title: head.or("title", String::new()),
        duration_ms: above_0(&head, "duration", head.required::<Span>("duration").0),
        network: network(&document.section_or_empty("network")),
        clients: clients(&document.section_or_empty("clients")),
        proxies: proxies(&document.section_or_empty("proxies")),
        managers: managers(&document.section_or_empty("managers")),
        slices: slices(document, &machines, &classes),
        rules: rules(&document.section_or_empty("rules")),
        score: score(&document.section_or_empty("score")),
        troubles: troubles.collect(),
        zones,
        machines,
        classes,
    }
}

fn network(section: &Section) -> Network {
    Network {
        across_ms: span(section, "across", 2.0),
        within_ms: span(section, "within", 0.3),
        connect_timeout_ms: span(section, "connect_timeout", 250.0),
        idle_ms: span(section, "idle", 15_000.0),
        streams: section.or("streams", 100u32).max(1),
        handshake_work: span(section, "handshake_work", 0.0),
    }
}

fn machine((name, section): (&str, Section)) -> Machine {
    let cancel = section.word("cancel", &["keeps", "drops-waiting", "stops"]);
    let speed = numbers(&section, "speed", (1.0, 1.0));
    section.check("speed", speed.0 > 0.0, "must be above 0");
    Machine {
        name: name.to_owned(),
        count: section.required("count"),
        cores: count(&section, "cores", 1, 1024),
        speed,
        queue: section.or("queue", 100_000),
        connections: numbers(&section, "connections", (100_000.0, 100_000.0)),
        crowding: share(&section, "crowding", 0.0),
        key_memory_ms: spans(&section, "key_memory", (0.0, 0.0)),
        key_gain: {
            let gain = section.or(
                "key_gain",
                Range {
                    low: Share(0.0),
                    high: Share(0.0),
                },
            );
            (gain.low.0, gain.high.0)
        },
        keys: section.or("keys", 0),
        cancel: [Cancel::Keeps, Cancel::DropsWaiting, Cancel::Stops][cancel],
    }
}

fn class((name, section): (&str, Section)) -> ClassOf {
    let (aim, give_up): (Span, Span) = (section.required("aim"), section.required("give_up"));
    section.check("aim", aim.0 > 0.0, "must be above 0");
    section.check("give_up", give_up >= aim, "must not be below the aim");
    ClassOf {
        name: name.to_owned(),
        share: above_0(&section, "share", share(&section, "share", 1.0)),
        work: section.required("work"),
        aim_ms: aim.0,
        give_up_ms: give_up.0,
        worth: section.or("worth", 1.0),
        late_share: share(&section, "late_share", 0.0),
        repeat: section.required::<RepeatWord>("repeat").0,
        patience: above_0(&section, "patience", share(&section, "patience", 1.0)),
        writes: section.or("writes", false),
    }
}

fn clients(section: &Section) -> Clients {
    let curve = match section.word("curve", &["steady", "bell", "diurnal", "burst", "flash"]) {
        1 => Curve::Bell {
            at_ms: span(section, "curve_at", 0.0),
            for_ms: section.required::<Span>("curve_for").0,
            factor: section.required("curve_factor"),
        },
        2 => Curve::Diurnal {
            period_ms: above_0(
                section,
                "curve_period",
                section.required::<Span>("curve_period").0,
            ),
            depth: section.required::<Share>("curve_depth").0,
        },
        3 => Curve::Burst {
            every_ms: above_0(
                section,
                "curve_every",
                section.required::<Span>("curve_every").0,
            ),
            for_ms: section.required::<Span>("curve_for").0,
            factor: section.required("curve_factor"),
        },
        4 => Curve::Flash {
            at_ms: span(section, "curve_at", 0.0),
            half_ms: above_0(
                section,
                "curve_half",
                section.required::<Span>("curve_half").0,
            ),
            factor: section.required("curve_factor"),
        },
        _ => Curve::Steady,
    };
    Clients {
        rate: above_0(section, "rate", section.required("rate")),
        curve,
        retries: section.or("retries", 0),
        backoff_ms: spans(section, "backoff", (0.0, 0.0)),
        keys: count(section, "keys", 1, 100_000_000),
        key_skew: section.or("key_skew", 0.0),
    }
}

fn proxies(section: &Section) -> Proxies {
    let pick = section.word("pick", &["pair", "lottery", "wheel"]);
    let usual = section.word("usual_retry", &["proven", "no", "once", "twice"]);
    Proxies {
        count: count(section, "count", 1, usize::from(u16::MAX)),
        skew: section.or("skew", 0.0),
        pick: [Pick::Pair, Pick::Lottery, Pick::Wheel][pick],
        ejects: section.or("ejects", 0),
        eject_ms: spans(section, "eject", (5000.0, 5000.0)),
        standing: count(section, "standing", 6, 100_000),
        line_us: span(section, "line", 0.0) * 1000.0,
        redial_ms: spans(section, "redial", (700.0, 2300.0)),
        notice_ms: spans(section, "notice", (180.0, 2700.0)),
        first_wait: section.or("first_wait", 1.0),
        usual: [Retry::Proven, Retry::No, Retry::Once, Retry::Twice][usual],
    }
}

fn managers(section: &Section) -> Managers {
    let admit = section.word("admit", &["off", "ratio", "rate"]);
    let weights = section.word("weights", &["rough", "nominal", "off"]);
    let load: Vec<String> = section.or("load", vec!["cpu".to_owned(), "waiting".to_owned()]);
    for name in &load {
        let known = LOADS.contains(&&**name);
        section.check("load", known, &format!("must be of {}", LOADS.join(", ")));
    }
    let load: Vec<LoadField> = load
        .iter()
        .map(|name| elderpond_settings::load_field(name))
        .collect();
    let (push, push_max) = (
        span(section, "push", 200.0),
        span(section, "push_max", 500.0),
    );
    section.check("push_max", push_max >= push, "must not be below `push`");
    Managers {
        count: count(section, "count", 1, 64),
        tick_ms: span(section, "tick", 2.0),
        channel_rate: above_0(section, "channel_rate", section.or("channel_rate", 6400.0)),
        queue_cap: above_0(section, "queue_cap", section.or("queue_cap", 6400.0)),
        head: section.or("head", 3.0),
        push_ms: push,
        push_max_ms: push_max,
        update_cap: section.or("update_cap", 0),
        update_span_ms: span(section, "update_span", 10_000.0),
        admit: [Admit::Off, Admit::Ratio, Admit::Rate][admit],
        report_ms: above_0(section, "report", span(section, "report", 2000.0)),
        report_late_ms: spans(section, "report_late", (330.0, 1400.0)),
        report_lines: above_0(section, "report_lines", section.or("report_lines", 1000.0)),
        noise: share(section, "noise", 0.05),
        list_late_ms: spans(section, "list_late", (1000.0, 3000.0)),
        known_age_ms: span(section, "known_age", 0.0),
        weights: [Listing::Rough, Listing::Nominal, Listing::Off][weights],
        probes: section.or("probes", true),
        probe_work: span(section, "probe_work", 5.0),
        load,
        load_refresh_ms: {
            let refresh = spans(section, "load_refresh", (260.0, 1200.0));
            section.check("load_refresh", refresh.0 > 0.0, "must be above 0");
            (refresh.0.max(1.0), refresh.1.max(1.0))
        },
    }
}

fn slices(document: &Document, machines: &[Machine], classes: &[ClassOf]) -> Option<Slices> {
    let section = document.section("slices")?;
    let slices = Slices {
        count: section.required("count"),
        one_owner: section.or("one_owner", false),
        tenure_ms: span(&section, "tenure", 2500.0),
        write_life_ms: span(&section, "write_life", 4000.0),
        hold_ms: span(&section, "hold", 300.0),
    };
    section.check("count", slices.count > 0, "must be above 0");
    if slices.one_owner {
        // Or a write could be in hand when the platform has promised that it is not.
        let stops = machines
            .iter()
            .all(|machine| machine.cancel == Cancel::Stops);
        section.check(
            "one_owner",
            stops,
            "needs `cancel = stops` in every [workers]",
        );
        let longest = classes
            .iter()
            .filter(|class| class.writes)
            .map(|class| class.give_up_ms);
        let fits = longest.fold(0.0, f64::max) <= slices.write_life_ms;
        section.check(
            "write_life",
            fits,
            "must not be below the `give_up` of a class that writes",
        );
    }
    if let Some(managers) = document.section("managers") {
        let one = managers.or("count", 1usize) == 1;
        managers.check("count", one, "must be 1 where there are [slices]");
    }
    Some(slices)
}

fn rules(section: &Section) -> Rules {
    Rules {
        unserved_ms: span(section, "unserved", 2100.0),
        drain_grace_ms: span(section, "drain_grace", 2000.0),
        cold_ms: span(section, "cold", 18_000.0),
        start_capacity: above_0(
            section,
            "start_capacity",
            share(section, "start_capacity", 0.2),
        ),
        tip_multiple: above_0(section, "tip_multiple", section.or("tip_multiple", 2.5)),
        fall_ms: above_0(section, "fall", span(section, "fall", 1500.0)),
        down_ms: span(section, "down", 20_000.0),
    }
}

fn score(section: &Section) -> Score {
    Score {
        whole: section.or("whole", 0.5),
        worst_10s: section.or("worst_10s", 0.3),
        worst_class: section.or("worst_class", 0.2),
        nines: section.or("nines", 0.0),
        cross_zone: section.or("cross_zone", 0.0),
        waste: section.or("waste", 0.0),
        probe: section.or("probe", 0.0),
        handshake: section.or("handshake", 0.0),
        late_fail: section.or("late_fail", 0.0),
        orders: section.or("orders", 0.0),
    }
}

fn trouble(
    name: &str,
    section: &Section,
    zones: &[String],
    machines: &[Machine],
    classes: &[ClassOf],
) -> Trouble {
    let kinds: Vec<&str> = Kind::NAMES.iter().map(|(name, _)| *name).collect();
    if !section.has("kind") {
        section.check(
            "kind",
            false,
            &format!("must be one of {}", kinds.join(", ")),
        );
    }
    let kind = Kind::NAMES[section.word("kind", &kinds)].1;
    let index = |key: &str, names: Vec<&str>| section.has(key).then(|| section.word(key, &names));
    let zone = index("zone", zones.iter().map(|zone| &**zone).collect());
    let machine = index(
        "workers",
        machines.iter().map(|machine| &*machine.name).collect(),
    );
    let class = index("class", classes.iter().map(|class| &*class.name).collect());
    if matches!(kind, Kind::Cut | Kind::ZoneLoss) {
        section.check("zone", zone.is_some(), "must name the zone that it strikes");
    }
    if matches!(kind, Kind::Heavy | Kind::ClassFail) {
        section.check(
            "class",
            class.is_some(),
            "must name the class that it strikes",
        );
    }
    let strength = section.or("strength", default_strength(kind));
    let factor = matches!(
        kind,
        Kind::Slow | Kind::SharedSlow | Kind::Ageing | Kind::Rush | Kind::SlowChannel
    );
    let fits = if factor {
        strength > 0.0
    } else {
        strength <= 1.0
    };
    let allowed = ["must be a part from 0 to 1", "must be a factor above 0"][usize::from(factor)];
    section.check("strength", fits, allowed);
    let flap: Option<Flap> = section.maybe("flap");
    Trouble {
        name: name.to_owned(),
        kind,
        at_ms: section.required::<Span>("at").0,
        for_ms: above_0(section, "for", section.required::<Span>("for").0),
        part: share(section, "part", 1.0),
        count: section.maybe("count"),
        zone,
        machine,
        class,
        strength,
        flap: flap.map(|Flap(on, off)| (on, off)),
    }
}

fn default_strength(kind: Kind) -> f64 {
    match kind {
        Kind::Slow | Kind::Ageing => 4.0,
        Kind::SharedSlow => 1.3,
        Kind::Rush | Kind::SlowChannel => 2.0,
        Kind::Neighbour => 0.5,
        Kind::Heavy => 0.02,
        Kind::ZoneLoss => 0.0,
        _ => 1.0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEAST: &str = "[scenario]\nduration = 10s\n[workers w]\ncount = 2\n\
        [class read]\nwork = fixed 10ms\naim = 100ms\ngive_up = 1s\nrepeat = read-like\n\
        [clients]\nrate = 10\n";

    #[test]
    fn the_least_scenario_has_defaults_for_the_rest() {
        let scenario = Scenario::parse("least.ini", LEAST).unwrap();
        assert_eq!(
            (
                scenario.workers(),
                scenario.zones.len(),
                scenario.duration_ms
            ),
            (2, 1, 10_000.0)
        );
        assert_eq!(scenario.load(), (0.1, 2.0));
        assert_eq!(scenario.classes[0].work, Law::Fixed(10.0));
    }

    #[test]
    fn every_fault_names_its_line_and_what_is_allowed() {
        let text = format!(
            "{LEAST}retires = 1\n[trouble x]\nkind = cut\nat = 1s\nfor = 0s\nstrength = 2\n\
             [class write]\nwork = pareto 10ms 0.5\naim = 2s\ngive_up = 1s\nrepeat = keyed all\n"
        );
        let faults = Scenario::parse("bad.ini", &text).unwrap_err();
        let lines: Vec<usize> = faults.0.iter().map(|fault| fault.line).collect();
        assert_eq!(lines, [12, 13, 16, 17, 19, 21, 22], "{faults}");
        for part in [
            "bad.ini:12: [clients] retires: no such key; did you mean `retries`?",
            "[trouble x] zone: `` must name the zone that it strikes",
            "`pareto 10ms 0.5` must be a pareto law with a tail index above 1",
            "`keyed all` must be read-like, never, keyed all SPAN or keyed zone SPAN",
        ] {
            assert!(faults.to_string().contains(part), "{part} in\n{faults}");
        }
        assert!(
            Scenario::parse("none.ini", "")
                .unwrap_err()
                .to_string()
                .contains("[workers NAME]")
        );
    }

    #[test]
    fn laws_are_written_with_their_parameters() {
        assert_eq!(
            Law::read("uniform 220ms 300ms"),
            Ok(Law::Uniform(220.0, 300.0))
        );
        assert_eq!(
            Law::read("lognormal 20ms 0.8"),
            Ok(Law::LogNormal(20.0, 0.8))
        );
        for bad in ["", "fixed", "fixed 5", "uniform 2s 1s", "zipf 1s"] {
            assert!(Law::read(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn curves_rise_and_fall() {
        let bell = Curve::Bell {
            at_ms: 10.0,
            for_ms: 5.0,
            factor: 3.0,
        };
        assert_eq!(
            [9.0, 10.0, 14.9, 15.0].map(|at| bell.factor(at)),
            [1.0, 3.0, 3.0, 1.0]
        );
        let flash = Curve::Flash {
            at_ms: 10.0,
            half_ms: 10.0,
            factor: 5.0,
        };
        assert_eq!(
            [0.0, 10.0, 20.0].map(|at| flash.factor(at)),
            [1.0, 5.0, 3.0]
        );
        let burst = Curve::Burst {
            every_ms: 10.0,
            for_ms: 2.0,
            factor: 4.0,
        };
        assert_eq!([0.0, 3.0, 11.0].map(|at| burst.factor(at)), [4.0, 1.0, 4.0]);
        assert_eq!(
            Curve::Diurnal {
                period_ms: 4.0,
                depth: 0.5
            }
            .factor(1.0),
            1.5
        );
    }
}
