//! The instances of this process. They share nothing but the lists, which belong to the wire.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use bytes::Buf;
use elderpond::Manager;
use elderpond::interface::{Action, Entry, Event, ListKind};

use crate::decode::{self, FrameError, HEADER, Malformed, Record};
use crate::encode::Reply;

/// One past the highest list number.
const LISTS: u8 = 16;

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    managers: BTreeMap<u32, Manager>,
    lists: BTreeMap<u8, Vec<Entry>>,
}

impl Host {
    /// Hands a frame's events to their instances and gathers the reply. `start` is the frame's
    /// place in the input.
    pub fn batch(&mut self, frame: &[u8], start: u64) -> Result<Vec<u8>, FrameError> {
        let mut rest = frame;
        rest.advance(4);
        let now = rest.get_f64();
        if !now.is_finite() {
            return Err(Malformed::Clock.at(start + 4));
        }
        debug_assert_eq!(frame.len() - rest.len(), HEADER);
        let mut inbox = BTreeMap::new();
        let mut selected = None;
        while !rest.is_empty() {
            let at = start + (frame.len() - rest.len()) as u64;
            decode::record(&mut rest)
                .and_then(|record| self.sort(record, &mut selected, &mut inbox))
                .map_err(|fault| fault.at(at))?;
        }
        let mut reply = Reply::new();
        for (instance, events) in inbox {
            self.handle(instance, now, &events, &mut reply);
        }
        Ok(reply.finish())
    }

    fn sort(
        &mut self,
        record: Record,
        selected: &mut Option<u32>,
        inbox: &mut BTreeMap<u32, Vec<Event>>,
    ) -> Result<(), Malformed> {
        let event = match record {
            Record::For(instance) => {
                *selected = Some(instance);
                return Ok(());
            }
            Record::Directory { number, entries } => {
                if number >= LISTS {
                    return Err(Malformed::List(number));
                }
                self.lists.insert(number, entries);
                return Ok(());
            }
            Record::Create { seed, settings } => {
                let instance = selected.ok_or(Malformed::NoInstance)?;
                self.managers
                    .insert(instance, Manager::new(seed, *settings));
                inbox.insert(instance, Vec::new());
                return Ok(());
            }
            Record::Exit => {
                let instance = selected.ok_or(Malformed::NoInstance)?;
                self.managers.remove(&instance);
                inbox.remove(&instance);
                return Ok(());
            }
            Record::Members { number, kind } => Event::List {
                kind,
                entries: match kind {
                    ListKind::Failed => Vec::new(),
                    _ => self
                        .lists
                        .get(&number)
                        .cloned()
                        .ok_or(Malformed::List(number))?,
                },
            },
            Record::Event(event) => event,
        };
        let instance = selected.ok_or(Malformed::NoInstance)?;
        if !self.managers.contains_key(&instance) {
            return Err(Malformed::Unknown(instance));
        }
        inbox.entry(instance).or_default().push(event);
        Ok(())
    }

    fn handle(&mut self, instance: u32, now: f64, events: &[Event], reply: &mut Reply) {
        let Some(manager) = self.managers.get_mut(&instance) else {
            return;
        };
        let mut actions: Vec<Action> = Vec::new();
        let outcome = catch_unwind(AssertUnwindSafe(|| {
            manager.handle(now, events, &mut actions);
        }));
        if outcome.is_ok() && actions.is_empty() {
            return;
        }
        reply.instance(instance);
        match outcome {
            Ok(()) => actions.iter().for_each(|action| reply.action(action)),
            Err(panic) => reply.exception(&panic_text(panic.as_ref())),
        }
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<&str>() {
        (*text).to_owned()
    } else if let Some(text) = panic.downcast_ref::<String>() {
        text.clone()
    } else {
        "the decision code failed".to_owned()
    }
}
