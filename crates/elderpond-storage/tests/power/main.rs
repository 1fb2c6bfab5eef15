//! What a loss of power leaves, at any step: the last put that was acknowledged, or the one under way, whole.
//!
//! `POWER_DRAWS=3000 cargo test -p elderpond-storage --test power -- --nocapture` draws so many losses a
//! case; `POWER_SEED` begins elsewhere.

mod disk;

use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use disk::{Chance, Disk, Image, Kept, image, lay};
use elderpond_consensus::{Ballot, Digest, Head, Held, Mark, Numbers, Record, Stored, Tag};
use elderpond_storage::{LARGE, Step, Storage, Watch};

/// What was seen while a replica ran.
#[derive(Clone)]
enum Seen {
    Took(Step),
    /// This sync failed.
    Failed(PathBuf),
    Begun,
    Acknowledged,
    /// It opened again, and told what it holds.
    Opened(Box<Option<Stored>>),
}

type Log = Arc<Mutex<Vec<Seen>>>;

fn watch(log: &Log) -> Watch {
    let log = log.clone();
    Arc::new(move |step| {
        log.lock().unwrap().push(Seen::Took(step.clone()));
        Ok(())
    })
}

fn drawn(least: usize) -> usize {
    env::var("POWER_DRAWS").map_or(least, |draws| draws.parse().unwrap())
}

fn seed() -> u64 {
    env::var("POWER_SEED").map_or(7, |seed| seed.parse().unwrap())
}

/// A put: a new version with a body and marks, now and then with one before it in force, or marks forgotten.
fn record(
    chance: &mut Chance,
    version: u64,
    size: usize,
    marks: usize,
    before: &Option<Stored>,
) -> Record {
    let mut bytes = Chance(version);
    let mut body: Vec<u8> = (0..size / 8 + 1)
        .flat_map(|_| (bytes.below(usize::MAX) as u64).to_le_bytes())
        .collect();
    body.truncate(size);
    let round = version;
    let ballot = Ballot {
        round,
        node: 1,
        life: 2,
    };
    let digest = Digest::of(&body);
    let tag = Tag {
        version,
        ballot,
        digest,
    };
    let last = before
        .as_ref()
        .and_then(|it| it.held.last())
        .map(|it| it.tag);
    let committed = match chance.below(3) {
        0 => before.as_ref().and_then(|it| it.head.committed),
        1 => last,
        _ => Some(tag),
    };
    let head = Head {
        disk: 7,
        set: None,
        active_in: version,
        ceiling: 1 << 32,
        promised: ballot,
        accepted: None,
        committed,
    };
    let mark = |_| Mark {
        order: version,
        key: format!("worker-{}", chance.below(8_192)),
        value: vec![version as u8],
    };
    let marks: Vec<Mark> = (0..marks).map(mark).collect();
    let known = before
        .iter()
        .flat_map(|it| &it.marks)
        .map(|mark| mark.key.clone());
    let dropped = known
        .skip(chance.below(8_192))
        .take(chance.below(3))
        .collect();
    Record {
        head: Some(head),
        held: Some(Held {
            tag,
            body: body.into(),
        }),
        marks,
        dropped,
        numbers: Some(Numbers {
            forgotten: version.saturating_sub(2),
            given: vec![tag],
        }),
    }
}

/// What is stored after a put, as the records say.
fn after(before: &Option<Stored>, record: &Record) -> Option<Stored> {
    let head = record
        .head
        .clone()
        .or_else(|| Some(before.as_ref()?.head.clone()))?;
    let of = |it: &Stored| it.held.clone();
    let mut held: BTreeMap<u64, Held> = before
        .iter()
        .flat_map(of)
        .chain(record.held.clone())
        .map(|it| (it.tag.version, it))
        .collect();
    let newest = held.keys().last().copied();
    let committed = head.committed.map(|tag| tag.version);
    held.retain(|version, _| Some(*version) == newest || Some(*version) == committed);
    let marks = before
        .iter()
        .flat_map(|it| it.marks.clone())
        .chain(record.marks.clone());
    let mut marks: BTreeMap<String, Mark> = marks.map(|it| (it.key.clone(), it)).collect();
    marks.retain(|key, _| !record.dropped.contains(key));
    let numbers = record.numbers.as_ref().map(|new| {
        let old = before.iter().flat_map(|it| &it.numbers);
        let given = old.flat_map(|it| &it.given).chain(&new.given);
        let given: BTreeMap<u64, Tag> = given.map(|tag| (tag.version, *tag)).collect();
        let above = given
            .into_iter()
            .filter(|(version, _)| *version > new.forgotten);
        Numbers {
            forgotten: new.forgotten,
            given: above.map(|(_, tag)| tag).collect(),
        }
    });
    Some(Stored {
        head,
        held: held.into_values().collect(),
        marks: marks.into_values().collect(),
        numbers,
    })
}

/// In words, since bodies are large.
fn told(stored: &Option<Stored>) -> String {
    stored.as_ref().map_or("nothing".into(), |it| {
        let held: Vec<String> = it
            .held
            .iter()
            .map(|it| format!("r{} {}", it.tag.version, it.body.len()))
            .collect();
        format!(
            "head {}, {held:?}, {} marks",
            it.head.active_in,
            it.marks.len()
        )
    })
}

/// What was held after each put, the first entry before any; and what was seen.
struct Play {
    before: Disk,
    states: Vec<Option<Stored>>,
    seen: Vec<Seen>,
}

/// Puts so many records of drawn sizes; after some of them the count is told, after some the process ends.
fn play(root: &Path, chance: &mut Chance, puts: u64, sizes: &[usize], marks: usize) -> Play {
    let before = Disk::of(root);
    let log = Log::default();
    let dir = root.join("replica");
    let (mut storage, found) = Storage::open_watched(&dir, watch(&log)).unwrap();
    let mut states = vec![found];
    for version in 1..=puts {
        let last = states.last().unwrap();
        let size = sizes[chance.below(sizes.len())];
        let record = record(chance, version, size, marks, last);
        states.push(after(last, &record));
        log.lock().unwrap().push(Seen::Begun);
        storage.put(&[record]).unwrap();
        log.lock().unwrap().push(Seen::Acknowledged);
        match chance.below(6) {
            0 | 1 => storage.settle().unwrap(),
            2 => {
                drop(storage);
                let (opened, found) = Storage::open_watched(&dir, watch(&log)).unwrap();
                assert!(found == *states.last().unwrap(), "{}", told(&found));
                log.lock().unwrap().push(Seen::Opened(Box::new(found)));
                storage = opened;
            }
            _ => {}
        }
    }
    drop(storage);
    let seen = log.lock().unwrap().clone();
    Play {
        before,
        states,
        seen,
    }
}

/// How many losses there were, and what was found after them.
#[derive(Debug, Default)]
struct Found {
    losses: usize,
    last: usize,
    under_way: usize,
    lost_again: usize,
}

impl Play {
    /// Loses power so many times, at steps drawn from there on, and opens what is left.
    fn lose_power(&self, chance: &mut Chance, losses: usize, from: usize, place: &Path) -> Found {
        let mut disk = self.before.clone();
        let (mut put, mut begun) = (0, false);
        let mut found = Found::default();
        let mut at: BTreeMap<usize, usize> = BTreeMap::new();
        for _ in 0..losses {
            let mut step = from + chance.below(self.seen.len() - from);
            if chance.below(2) == 0 {
                // Where the most is at stake: just before something is synced.
                let synced = |seen: &Seen| matches!(seen, Seen::Took(Step::Sync(_)));
                let next = self.seen[step..].iter().position(synced);
                step = (step + next.unwrap_or_default())
                    .saturating_sub(1)
                    .max(from);
            }
            *at.entry(step).or_default() += 1;
        }
        for (nth, seen) in self.seen.iter().enumerate() {
            match seen {
                Seen::Took(step) => disk.take(step),
                Seen::Failed(path) => disk.fail_sync(chance, path),
                Seen::Begun => begun = true,
                Seen::Acknowledged => (put, begun) = (put + 1, false),
                Seen::Opened(held) => {
                    // What was under way when it was killed is there for good, or gone for good.
                    begun = false;
                    put = self
                        .states
                        .iter()
                        .rposition(|state| *state == **held)
                        .unwrap();
                }
            }
            for _ in 0..at.get(&nth).copied().unwrap_or_default() {
                let sector = [512, 4096][chance.below(2)];
                let kept = Kept::draw(chance, disk.parts(sector));
                let tear = chance.below(3) == 0;
                let left = disk.lose_power(chance, &kept, sector, tear);
                let (last, next) = (
                    &self.states[put],
                    self.states.get(put + 1).filter(|_| begun),
                );
                let case = format!(
                    "step {nth} of {}, put {put}, {kept:?} of {sector}, tear {tear}",
                    self.seen.len()
                );
                let opened =
                    self.open(chance, &left, place, &case, &[Some(last), next], &mut found);
                found.losses += 1;
                found.last += usize::from(&opened == last);
                found.under_way += usize::from(&opened != last);
            }
        }
        found
    }

    /// Opens what is left, loses power on the way now and then, and puts one more; what was found.
    fn open(
        &self,
        chance: &mut Chance,
        left: &Image,
        place: &Path,
        case: &str,
        allowed: &[Option<&Option<Stored>>],
        found: &mut Found,
    ) -> Option<Stored> {
        lay(place, left);
        let log = Log::default();
        let mut disk = Disk::of(place);
        let dir = place.join("replica");
        let (mut storage, mut held) = Storage::open_watched(&dir, watch(&log)).unwrap();
        let check = |storage: &Storage, held: &Option<Stored>| {
            assert!(
                allowed.contains(&Some(held)) && !storage.lost() && storage.note().is_none(),
                "{case}: {}, note {:?}, not of {:?}",
                told(held),
                storage.note(),
                allowed
                    .iter()
                    .flatten()
                    .map(|it| told(it))
                    .collect::<Vec<_>>()
            );
        };
        check(&storage, &held);
        if chance.below(4) == 0 {
            // Power is lost again while it opens, or right after.
            drop(storage);
            let steps: Vec<Seen> = log.lock().unwrap().clone();
            let end = chance.below(steps.len() + 1);
            for seen in &steps[..end] {
                let Seen::Took(step) = seen else {
                    unreachable!()
                };
                disk.take(step);
            }
            let kept = Kept::draw(chance, disk.parts(512));
            let left = disk.lose_power(chance, &kept, 512, false);
            lay(place, &left);
            (storage, held) = Storage::open(&dir).unwrap();
            check(&storage, &held);
            found.lost_again += 1;
        }
        if chance.below(4) == 0 {
            let record = record(chance, 1_000_000, 10, 1, &held);
            let more = after(&held, &record);
            storage.put(&[record]).unwrap();
            drop(storage);
            let (_, found) = Storage::open(&dir).unwrap();
            assert!(
                found == more,
                "{case}: {} is not {}",
                told(&found),
                told(&more)
            );
        }
        held
    }
}

#[yare::parameterized(
    small = { 40, &[10], 1, 120 },
    with_marks = { 12, &[10, 1_000], 2_000, 60 },
    all_marks = { 4, &[10], 20_000, 20 },
    of_100_kb = { 12, &[100_000], 3, 80 },
    of_2_mb = { 6, &[2_000_000], 3, 30 },
    of_8_mb = { 4, &[8_000_000], 3, 8 },
    mixed = { 30, &[0, 10, 1_000, 64_999, 65_000, 65_001, 300_000, 1_000_000], 20, 60 },
)]
fn given_power_is_lost_at_any_step_when_opened_then_it_is_the_last_put_or_the_one_under_way(
    puts: u64,
    sizes: &[usize],
    marks: usize,
    losses: usize,
) {
    let (root, place) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let mut chance = Chance(seed());
    let play = play(root.path(), &mut chance, puts, sizes, marks);
    let found = play.lose_power(&mut chance, drawn(losses), 0, place.path());
    println!("{} steps, {found:?}", play.seen.len());
    assert!(found.last > 0);
}

/// Has one step fail, by its place among all that are of this kind.
fn failing(log: &Log, kind: fn(&Step) -> bool, nth: usize, times: usize) -> Watch {
    let (log, met) = (log.clone(), Mutex::new(0));
    Arc::new(move |step| {
        let mut met = met.lock().unwrap();
        *met += usize::from(kind(step));
        if kind(step) && (nth..nth + times).contains(&*met) {
            if let Step::Sync(path) = step {
                log.lock().unwrap().push(Seen::Failed(path.clone()));
            }
            return Err(io::ErrorKind::StorageFull.into());
        }
        log.lock().unwrap().push(Seen::Took(step.clone()));
        Ok(())
    })
}

fn is_sync(step: &Step) -> bool {
    matches!(step, Step::Sync(_))
}

fn is_write(step: &Step) -> bool {
    matches!(step, Step::Write { .. } | Step::Length { .. })
}

fn is_name(step: &Step) -> bool {
    !is_sync(step) && !is_write(step)
}

#[yare::parameterized(
    syncs = { is_sync, 1 },
    syncs_twice = { is_sync, 2 },
    writes = { is_write, 1 },
    many_writes = { is_write, 9 },
    names = { is_name, 1 },
)]
fn given_steps_fail_when_power_is_lost_after_the_put_was_tried_again_then_what_was_acknowledged_is_there(
    kind: fn(&Step) -> bool,
    times: usize,
) {
    let (root, place) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let mut chance = Chance(seed());
    let mut nth = 0;
    let mut sum = Found::default();
    let mut failed = 0;
    loop {
        nth += 1;
        lay(root.path(), &Image::new());
        let before = Disk::of(root.path());
        let log = Log::default();
        let watch = failing(&log, kind, nth, times);
        let dir = root.path().join("replica");
        let open = || {
            (0..30)
                .find_map(|_| Storage::open_watched(&dir, watch.clone()).ok())
                .unwrap()
        };
        let (mut storage, found) = open();
        let mut states = vec![found];
        for version in 1..=4 {
            let last = states.last().unwrap();
            let record = record(&mut chance, version, 20_000, 2, last);
            states.push(after(last, &record));
            log.lock().unwrap().push(Seen::Begun);
            let tries = (0..30).position(|_| storage.put(std::slice::from_ref(&record)).is_ok());
            failed += usize::from(tries.unwrap() > 0);
            log.lock().unwrap().push(Seen::Acknowledged);
            let _ = storage.settle();
        }
        drop(storage);
        let (mut storage, found) = open();
        assert!(
            found == states[4] && storage.note().is_none(),
            "{nth}: {}",
            told(&found)
        );
        log.lock().unwrap().push(Seen::Opened(Box::new(found)));
        let more = Record::default();
        assert!((0..30).any(|_| storage.put(std::slice::from_ref(&more)).is_ok()));
        drop(storage);
        let seen = log.lock().unwrap().clone();
        let play = Play {
            before,
            states,
            seen,
        };
        let found = play.lose_power(&mut chance, drawn(600) / 200, 0, place.path());
        sum.losses += found.losses;
        sum.last += found.last;
        let met = play
            .seen
            .iter()
            .filter(|seen| matches!(seen, Seen::Took(step) if kind(step)))
            .count();
        if nth > met + times {
            break;
        }
    }
    println!("{nth} places, {failed} puts tried again, {sum:?}");
}

#[test]
fn given_it_is_killed_at_any_step_when_power_is_lost_after_it_opened_then_what_it_told_of_is_there()
{
    let (root, place) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let mut chance = Chance(seed());
    let mut sum = Found::default();
    for _ in 0..drawn(48) {
        lay(root.path(), &Image::new());
        let before = Disk::of(root.path());
        let log = Log::default();
        let dir = root.path().join("replica");
        let (mut storage, none) = Storage::open_watched(&dir, watch(&log)).unwrap();
        let mut states = vec![none];
        for version in 1..=3 {
            let last = states.last().unwrap();
            let record = record(&mut chance, version, 100_000, 2, last);
            states.push(after(last, &record));
            log.lock().unwrap().push(Seen::Begun);
            storage.put(&[record]).unwrap();
            log.lock().unwrap().push(Seen::Acknowledged);
            if version == 2 {
                grow(&dir.join("cell-1"));
                storage.settle().unwrap();
            }
        }
        let mut seen = log.lock().unwrap().clone();
        drop(storage);
        // What it had written by then is what the next one finds, whether it is on disk or not.
        let names = |at: &usize| matches!(seen[*at], Seen::Took(Step::Rename { .. }));
        let named: Vec<usize> = (0..seen.len()).filter(names).collect();
        let end = match chance.below(2) {
            0 => chance.below(seen.len()),
            _ => named[chance.below(named.len())],
        };
        seen.truncate(1 + end);
        let (mut disk, mut put, mut begun) = (before.clone(), 0, 0);
        for it in &seen {
            match it {
                Seen::Took(step) => disk.take(step),
                Seen::Begun => begun = put + 1,
                _ => put += 1,
            }
        }
        lay(
            root.path(),
            &disk.lose_power(&mut chance, &Kept::All, 4096, false),
        );
        log.lock().unwrap().clear();
        let (mut storage, held) = Storage::open_watched(&dir, watch(&log)).unwrap();
        let found = (put..=begun.max(put)).find(|put| states[*put] == held);
        let found = found.unwrap_or_else(|| panic!("put {put}: {}", told(&held)));
        states.truncate(found + 1);
        log.lock().unwrap().push(Seen::Opened(Box::new(held)));
        let record = record(&mut chance, 9, 100_000, 2, &states[found]);
        states.push(after(&states[found], &record));
        log.lock().unwrap().push(Seen::Begun);
        storage.put(&[record]).unwrap();
        log.lock().unwrap().push(Seen::Acknowledged);
        drop(storage);
        let killed = seen.len();
        seen.append(&mut log.lock().unwrap());
        let play = Play {
            before,
            states,
            seen,
        };
        let found = play.lose_power(&mut chance, 3, killed, place.path());
        sum.losses += found.losses;
        sum.last += found.last;
        sum.lost_again += found.lost_again;
    }
    println!("{sum:?}");
}

/// Makes a database look too large.
fn grow(cell: &Path) {
    let filler = fs::File::create(cell.join("filler")).unwrap();
    filler.set_len(LARGE + 1).unwrap();
}

#[test]
fn given_a_database_grown_too_large_when_power_is_lost_while_it_is_replaced_then_all_of_it_is_there()
 {
    let (root, place) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let mut chance = Chance(seed());
    let before = Disk::of(root.path());
    let log = Log::default();
    let dir = root.path().join("replica");
    let (mut storage, none) = Storage::open_watched(&dir, watch(&log)).unwrap();
    let mut states = vec![none];
    for version in 1..=3 {
        let last = states.last().unwrap();
        let record = record(&mut chance, version, 200_000, 9, last);
        states.push(after(last, &record));
        log.lock().unwrap().push(Seen::Begun);
        storage.put(&[record]).unwrap();
        log.lock().unwrap().push(Seen::Acknowledged);
        grow(&dir.join(format!("cell-{version}")));
        storage.settle().unwrap();
        assert!(
            dir.join(format!("cell-{}", version + 1)).exists()
                && storage.size().unwrap() < LARGE / 8
        );
    }
    drop(storage);
    let seen = log.lock().unwrap().clone();
    let play = Play {
        before,
        states,
        seen,
    };
    println!(
        "{:?}",
        play.lose_power(&mut chance, drawn(80), 0, place.path())
    );
}

#[test]
fn given_draws_when_counted_then_every_kind_of_step_is_among_them() {
    let root = tempfile::tempdir().unwrap();
    let play = play(root.path(), &mut Chance(seed()), 12, &[100_000], 1);
    let kinds: BTreeSet<&str> = play
        .seen
        .iter()
        .map(|seen| match seen {
            Seen::Took(Step::Folder(_)) => "folder",
            Seen::Took(Step::Create(_)) => "create",
            Seen::Took(Step::Write { .. }) => "write",
            Seen::Took(Step::Length { .. }) => "length",
            Seen::Took(Step::Sync(_)) => "sync",
            Seen::Took(Step::Rename { .. }) => "rename",
            _ => "other",
        })
        .collect();
    assert_eq!(kinds.len(), 7, "{kinds:?}");
    // All that was done is among the steps: the disk in memory holds what the folder holds.
    let mut disk = play.before.clone();
    for seen in &play.seen {
        if let Seen::Took(step) = seen {
            disk.take(step);
        }
    }
    let whole = disk.lose_power(&mut Chance(1), &Kept::All, 4096, false);
    assert!(whole == image(root.path()));
}
