//! Published weights: what nectar is told, and what it wants.

use bytes::Bytes;
use elderpond_control_wire::{FromHive, HiveToHive, Line};
use elderpond_flora::History;
use elderpond_nectar::{Condition, Load, Outcome, ServiceAims};
use elderpond_registry::{Change, Life, Number, State};

use super::{Action, Asked, Hive, InForce, Map};
use crate::Millis;
use crate::journal::What;

/// A probe that another hive did not make for this long is made here.
const WISHED: Millis = 2500;

fn load(line: &Line) -> Option<Load> {
    line.load.map(|(running, waiting, slots)| Load {
        running,
        waiting,
        slots,
    })
}

impl Hive {
    pub(super) fn now_in_force(&mut self, version: u64, body: Bytes, out: &mut Vec<Action>) {
        if self
            .in_force
            .as_ref()
            .is_some_and(|held| held.version >= version)
        {
            return;
        }
        let read = match elderpond_flora::read(&body) {
            Ok(read) => read,
            Err(fault) => {
                out.push(Action::Log(format!(
                    "r{version} is held but not valid: {fault}"
                )));
                return;
            }
        };
        self.journal.note(self.now, What::InForce(version));
        let in_force = InForce::after(self.in_force.take(), body, read);
        self.heed_services(in_force.content());
        self.in_force = Some(in_force);
        self.proxies_lack(version);
        self.tell_versions(out);
    }

    /// Takes in which services there are, and what is asked of them.
    fn heed_services(&mut self, content: &History) {
        let mut aims = Vec::new();
        let mut shortest: Map<&str, f64> = Map::default();
        for rule in content.rules() {
            let action = &rule.route_action;
            let aim_ms = rule.target_latency_s * 1000.0;
            for (service, _) in action.weighted_services() {
                aims.push(ServiceAims {
                    service: service.to_owned(),
                    aim_ms,
                    give_up_ms: action.timeout_s * 1000.0,
                    safe: rule.kind == "safe",
                });
                let known = shortest.entry(service).or_insert(f64::INFINITY);
                *known = known.min(aim_ms);
            }
        }
        self.nectar.services(self.now, &aims);
        let services = content.services().map(|cluster| {
            let asked = Asked {
                aim_ms: shortest
                    .get(cluster.name.as_str())
                    .copied()
                    .unwrap_or(f64::INFINITY),
                health: cluster.health_check_path.clone(),
            };
            (cluster.name.clone(), asked)
        });
        self.services = services.collect();
    }

    /// Tells nectar how a life stands.
    pub(super) fn list(&mut self, number: Number, life: &Life) {
        let condition = match life.state {
            State::Ready if self.registry.listed(number) => Condition::Ready,
            State::Ready | State::Draining => Condition::Draining,
            State::Gone => Condition::Gone,
        };
        if condition == Condition::Gone {
            self.weights.remove(&number);
            self.wished.remove(&number);
        }
        let zone = self.zone(&life.zone);
        (self.nectar).worker(self.now, number.0, &life.service, zone, condition);
    }

    /// The published weight of a worker, in hundredths.
    pub(super) fn weight(&self, number: Number) -> u8 {
        hundredths(self.nectar.weight(number.0))
    }

    pub(super) fn report(&mut self, lines: &[Line], covers_ms: u32, zone: u16) {
        let told: Vec<elderpond_nectar::Line> = (lines.iter())
            .map(|line| elderpond_nectar::Line {
                worker: line.worker.0,
                tries: line.tries,
                failed: line.failed,
                shed: line.shed,
                took_ms: f64::from(line.took_ms),
                load: load(line),
                zone,
            })
            .collect();
        (self.nectar).report(self.now, &told, f64::from(covers_ms));
    }

    /// Whether other hives are to hear of these readings: they are bad, or the worker is held down.
    pub(super) fn telling(&self, line: &Line) -> bool {
        if line.failed > 0 || self.weights.get(&line.worker).is_some_and(|it| *it < 100) {
            return true;
        }
        let life = self.registry.life(self.now, line.worker);
        let asked = life.and_then(|life| self.services.get(&life.service));
        asked.is_some_and(|asked| f64::from(line.took_ms) > asked.aim_ms)
    }

    /// Has nectar decide, and tells foragers the new weights.
    pub(super) fn look(&mut self, out: &mut Vec<Action>) {
        let mut outcomes = Vec::new();
        self.nectar.look(self.now, &mut outcomes);
        let mut change = Change::default();
        for outcome in outcomes {
            match outcome {
                Outcome::Weight { worker, weight } => {
                    let (number, weight) = (Number(worker), hundredths(weight));
                    let told = self.weights.get(&number).copied().unwrap_or(100);
                    if self.registry.listed(number) && told != weight {
                        self.weights.insert(number, weight);
                        change.weights.push((number, weight));
                        let id = self.registry.life(self.now, number).map(|life| life.id);
                        let what = What::Weight(id.unwrap_or_default(), weight);
                        self.journal.note(self.now, what);
                    }
                }
                Outcome::Probe { worker } => self.wish(Number(worker), out),
                Outcome::Log { service, text } => {
                    let text = format!("{service}: {text}");
                    self.journal.note(self.now, What::Said(text));
                }
            }
        }
        if !change.is_empty() {
            self.whole = None;
            self.tell_foragers(&FromHive::Change(change), out);
        }
    }

    // ---- Probes ----

    /// A probe is wanted. The hives agree who makes it: of those alive the one with the highest digest of
    /// its address and the worker.
    fn wish(&mut self, number: Number, out: &mut Vec<Action>) {
        let rank = |node: &std::net::Ipv4Addr| {
            let mixed = (number.0 ^ u64::from(node.to_bits())).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (mixed ^ (mixed >> 29), *node)
        };
        let mine = self.membership.alive().max_by_key(rank) == Some(self.place.me);
        if !mine {
            let since = *self.wished.entry(number).or_insert(self.now);
            if self.now < since + WISHED {
                return;
            }
        }
        self.wished.remove(&number);
        let Some(life) = self.registry.life(self.now, number) else {
            return;
        };
        let Some(asked) = self.services.get(&life.service) else {
            return;
        };
        if asked.health.starts_with('/') && self.registry.listed(number) {
            out.push(Action::Probe {
                worker: number,
                id: life.id,
                address: life.address,
                path: asked.health.clone(),
            });
        }
    }

    pub(super) fn probed(
        &mut self,
        worker: Number,
        ok: bool,
        took_ms: f64,
        load: Option<Load>,
        out: &mut Vec<Action>,
    ) {
        (self.nectar).probed(self.now, worker.0, ok, took_ms, load);
        let line = Line {
            worker,
            tries: 1,
            failed: u32::from(!ok),
            shed: 0,
            took_ms: took_ms as u32,
            load: load.map(|load| (load.running, load.waiting, load.slots)),
        };
        let lines = vec![line];
        let covers_ms = 0; // marks the answer of a probe
        self.send_all(&HiveToHive::Met { covers_ms, lines }, out);
    }

    pub(super) fn others_probed(&mut self, lines: &[Line]) {
        for line in lines {
            self.wished.remove(&line.worker);
            let (ok, took) = (line.failed == 0, f64::from(line.took_ms));
            (self.nectar).probed(self.now, line.worker.0, ok, took, load(line));
        }
    }
}

fn hundredths(weight: f32) -> u8 {
    (weight.clamp(0.0, 1.0) * 100.0).round() as u8
}
