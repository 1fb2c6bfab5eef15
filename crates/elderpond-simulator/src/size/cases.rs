//! The events that are counted, one at a time.

use elderpond_control_wire::{FromHive, pack};
use elderpond_forage::{KnownWorkers, PickTuning};
use elderpond_registry::{Change, Entry};

use super::field::{Field, Size, configuration};
use super::tally::{Count, most};

/// Bytes of a worker's line in a whole table, deflated.
const LINE: u64 = 8;

/// What one event cost.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The event.
    pub case: &'static str,
    /// Messages and bytes.
    pub cost: Count,
    /// What it has to touch at this size, in the case's own unit.
    pub touches: u64,
    /// What has to be encoded anew, in the case's own unit; 0 where that does not matter.
    pub makes: u64,
}

impl Row {
    /// Bytes for each thing touched; messages where no byte is sent.
    pub fn each(&self) -> f64 {
        let cost = match self.cost.bytes {
            0 => self.cost.messages,
            bytes => bytes,
        };
        cost as f64 / self.touches.max(1) as f64
    }
}

/// All cases at a size.
pub fn rows(size: Size) -> Vec<Row> {
    let (bees, workers, hives) = (size.foragers as u64, size.workers as u64, size.hives as u64);
    let mut rows = Vec::new();
    let mut row = |case, cost: Count, touches: u64, makes: u64| {
        rows.push(Row {
            case,
            cost,
            touches,
            makes,
        });
    };
    let mut field = Field::settled(size);

    field.run(5_000);
    let calm = field.take();
    let beats = calm.of(&["beat"]).messages;
    let part = |count: Count, of: u64| Count {
        messages: count.messages.div_ceil(of),
        bytes: count.bytes.div_ceil(of),
        made: count.made.div_ceil(of),
    };
    row(
        "a beat, told to hives",
        part(calm.of(&["heard"]), beats),
        hives,
        1,
    );
    let follow = bees.div_ceil(hives);
    row(
        "a second of a hive, out",
        part(most(&calm.hives), 5),
        follow + workers,
        workers,
    );
    row(
        "a second of a hive, in",
        part(most(&calm.to_hives), 5),
        follow + workers,
        0,
    );
    row(
        "a second of a forager, in",
        part(most(&calm.to_foragers), 5),
        hives,
        0,
    );
    row(
        "a second of a forager, out",
        part(most(&calm.foragers), 5),
        workers.min(60),
        0,
    );

    field.ill(0, true);
    field.run(6_000);
    let told = field.take();
    let change = told.of(&["change", "met"]);
    let changes = told.of(&["change"]).messages.div_ceil(bees).max(1);
    row(
        "a changed weight",
        part(change, changes),
        bees + hives,
        hives,
    );
    field.ill(0, false);
    field.run(20_000);
    field.take();

    field.drain(1);
    field.run(900);
    let told = field.take().of(&["change", "lives", "replica: mark"]);
    row("a draining worker", told, bees + hives, hives);
    assert_eq!(field.listing(1), 0, "a forager still sends to it");

    let version = ["version", "replica: other"];
    for (case, routes, number) in [("10 routes", 10, 2), ("2,000 routes", 2_000, 3)] {
        field.order(number, routes);
        field.run(900);
        assert!(field.all_have(number), "a forager lacks the version");
        let body = configuration(number, routes).len() as u64;
        row(
            case,
            field.take().of(&version),
            (bees + hives) * body,
            hives * body,
        );
    }

    let joins = ["hello", "whole", "version"];
    field.kill_forager(0);
    field.run(2_000);
    field.take();
    field.start_forager(0, 0);
    field.run(900);
    let version = FromHive::Version {
        version: 3,
        body: configuration(3, 2_000),
    };
    let routes = pack(&version).len() as u64;
    row(
        "one forager joins",
        field.take().of(&joins),
        workers * LINE + routes,
        workers * LINE + routes,
    );

    (0..size.foragers).for_each(|bee| field.kill_forager(bee));
    field.run(1_000);
    field.take();
    (0..size.foragers).for_each(|bee| field.start_forager(bee, bee as u64 * 400 / bees));
    field.run(2_000);
    let told = field.take();
    let all = bees * (workers * LINE + routes);
    row(
        "all foragers join",
        told.of(&joins),
        all,
        hives * workers * LINE * 8,
    );
    row(
        "all join: the busiest hive",
        most(&told.hives),
        all / hives,
        workers * LINE * 8,
    );
    assert!(field.all_have(3), "a forager has no version");

    let lost = ((hives - 1) / 2).min(2); // what is left is a majority
    (1..=lost as usize).for_each(|hive| field.kill_hive(hive));
    field.run(5_000);
    let followers = field.followers();
    assert_eq!(
        followers.iter().sum::<usize>(),
        size.foragers,
        "nobody is alone"
    );
    let moved = (bees * lost).div_ceil(hives);
    let told = field.take();
    row(
        "hives lost",
        told.of(&joins),
        moved * workers * LINE,
        hives * workers * LINE * 8,
    );
    let fullest = followers.iter().max().copied().unwrap_or(0) as u64;
    let even = Count {
        messages: fullest,
        ..Count::default()
    };
    row(
        "hives lost: most foragers at one",
        even,
        bees.div_ceil(hives - lost),
        0,
    );

    // each of the others tells it all that it knows
    field.start_hive(1, false);
    field.run(5_000);
    row(
        "a hive joins: lives",
        field.take().of(&["all lives"]),
        workers * 100 * (hives - 1),
        workers * 100 * (hives - 1),
    );
    rows
}

/// Foragers' views of so many workers, to be weighed and picked from.
pub fn patches(workers: usize, count: usize) -> Vec<KnownWorkers> {
    let lines = (0..workers).map(|worker| Entry {
        id: format!("s{}-worker-{worker:05}", worker % 3),
        service: format!("s{}", worker % 3),
        address: format!("10.9.{}.{}:8080", worker / 200, worker % 200 + 1)
            .parse()
            .expect("an address"),
        zone: ["a", "b", "c"][worker / 3 % 3].into(),
        slots: 4,
        cold_ms: 0,
        weight: 100,
    });
    let table = Change {
        lines: lines.collect(),
        ..Change::default()
    };
    let workers = |_| {
        let mut workers = KnownWorkers::new("a", PickTuning::default());
        workers.replace(0, true, &table);
        workers
    };
    (0..count).map(workers).collect()
}
