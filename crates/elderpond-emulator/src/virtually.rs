//! Plays a scenario in simulated time, with deciders in the same process.

use elderpond::interface::{Action, Event, ListKind};
use elderpond_model::time::{Time, us};
use elderpond_model::{Report, Scenario, Step, World};

use crate::policy::{self, Decider, Kind};

/// Makes the decider of a manager that starts: its number, its seed.
pub type Maker<'a> = dyn FnMut(usize, u64, &World) -> Box<dyn Decider> + 'a;

/// Plays a run with deciders of a kind. `progress` is told the simulated milliseconds gone.
pub fn play(
    scenario: Scenario,
    seed: u64,
    kind: Kind,
    progress: &mut dyn FnMut(f64),
) -> (Report, World) {
    let mut make = |_, seed, world: &World| policy::start(kind, seed, world.settings());
    play_with(scenario, seed, &mut make, progress)
}

/// Plays a run with deciders of any make.
pub fn play_with(
    scenario: Scenario,
    seed: u64,
    make: &mut Maker,
    progress: &mut dyn FnMut(f64),
) -> (Report, World) {
    let mut world = World::new(scenario, seed);
    let mut deciders: Vec<Option<Box<dyn Decider>>> = Vec::new();
    deciders.resize_with(world.scenario().managers.count, || None);
    let mut orders: Vec<Action> = Vec::new();
    let mut limit: Time = 0;
    loop {
        let (manager, at_ms, events) = match world.next(limit) {
            Step::Over => return (world.report(), world),
            Step::Reached => {
                progress(limit as f64 / 1000.0);
                limit += us(1000.0);
                continue;
            }
            Step::Stop { manager } => {
                deciders[manager] = None;
                continue;
            }
            Step::Start {
                manager,
                at_ms,
                seed,
                known,
            } => {
                deciders[manager] = Some(make(manager, seed, &world));
                let kind = ListKind::Cached;
                (
                    manager,
                    at_ms,
                    vec![Event::List {
                        kind,
                        entries: known,
                    }],
                )
            }
            Step::Batch {
                manager,
                at_ms,
                events,
            } => (manager, at_ms, events),
        };
        if let Some(decider) = &mut deciders[manager] {
            decider.decide(at_ms, &events, &world, &mut orders);
            world.obey(manager, &orders);
        }
        orders.clear();
    }
}
