//! What is put is there after opening again; damage is set aside; the disk does not fill.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;

use elderpond_consensus::{
    Ballot, Digest, Head, Held, Mark, Numbers, Record, Stored, Tag, Voter, VoterSet,
};
use elderpond_storage::{Keeper, LARGE, Storage, StorageError};
use redb::ReadableTable;

fn tag(version: u64, body: &[u8]) -> Tag {
    Tag {
        version,
        ballot: Ballot {
            round: version,
            node: 1,
            life: 2,
        },
        digest: Digest::of(body),
    }
}

fn head(committed: Option<Tag>) -> Head {
    let (promised, accepted) = (Ballot::default(), None);
    Head {
        disk: 7,
        set: None,
        active_in: 3,
        ceiling: 1 << 32,
        promised,
        accepted,
        committed,
    }
}

fn record(version: u64, body: Vec<u8>, committed: Option<Tag>) -> Record {
    let tag = tag(version, &body);
    let mark = Mark {
        order: version,
        key: format!("m{}", version % 10),
        value: vec![1],
    };
    let held = Some(Held {
        tag,
        body: body.into(),
    });
    Record {
        head: Some(head(committed)),
        held,
        marks: vec![mark],
        dropped: vec![],
        numbers: Some(Numbers {
            forgotten: version.saturating_sub(4),
            given: vec![tag],
        }),
    }
}

fn folders(dir: &Path, prefix: &str) -> usize {
    let entries = fs::read_dir(dir)
        .unwrap()
        .map(|entry| entry.unwrap().file_name());
    entries
        .filter(|name| name.to_str().unwrap().starts_with(prefix))
        .count()
}

#[test]
fn given_records_put_when_opened_again_then_all_of_them_are_there() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cell, stored) = Storage::open(&dir.path().join("replica")).unwrap();
    assert_eq!(stored, None);
    let first = record(1, b"one".to_vec(), None);
    let second = record(2, b"two".to_vec(), Some(tag(1, b"one")));
    let third = Record {
        dropped: vec!["m1".into()],
        ..Record::default()
    };
    cell.put(&[first.clone(), second.clone()]).unwrap();
    cell.put(&[third]).unwrap();
    drop(cell);
    let read = Storage::read_only(&dir.path().join("replica"))
        .unwrap()
        .unwrap();
    let (cell, stored) = Storage::open(&dir.path().join("replica")).unwrap();
    let stored = stored.unwrap();
    assert_eq!(read, stored);
    assert_eq!(cell.note(), None);
    assert_eq!(stored.head, second.head.unwrap());
    assert_eq!(stored.held, [first.held.unwrap(), second.held.unwrap()]);
    assert_eq!(stored.marks, second.marks);
}

#[test]
fn given_numbers_put_when_opened_again_or_filled_then_those_kept_are_there_and_no_others() {
    let dir = tempfile::tempdir().unwrap();
    let (at, other) = (dir.path().join("replica"), dir.path().join("other"));
    let (mut storage, _) = Storage::open(&at).unwrap();
    for version in [1, 2, 300, 301, 302] {
        storage.put(&[record(version, vec![1], None)]).unwrap();
    }
    let again = Tag {
        digest: Digest::of(b"again"),
        ..tag(300, &[1])
    };
    let numbers = |forgotten, given: &[Tag]| {
        let given = given.to_vec();
        Some(Numbers { forgotten, given })
    };
    storage
        .put(&[
            Record {
                numbers: numbers(298, &[again]),
                ..Record::default()
            },
            Record {
                numbers: numbers(300, &[]),
                ..Record::default()
            },
        ])
        .unwrap();
    drop(storage);
    let kept = numbers(300, &[tag(301, &[1]), tag(302, &[1])]);
    let stored = Storage::read_only(&at).unwrap().unwrap();
    assert_eq!(stored.numbers, kept);
    Storage::fill(&other, &stored).unwrap();
    let (mut storage, stored) = Storage::open(&other).unwrap();
    assert_eq!(stored.unwrap().numbers, kept);
    let numbers_of_all = |storage: Storage| {
        drop(storage);
        Storage::read_only(&other).unwrap().unwrap().numbers
    };
    storage.put(&[record(305, vec![2], None)]).unwrap();
    let kept = numbers(301, &[tag(302, &[1]), tag(305, &[2])]);
    assert_eq!(numbers_of_all(storage), kept);
}

#[test]
fn given_large_bodies_when_put_then_the_files_stay_bounded() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cell, _) = Storage::open(dir.path()).unwrap();
    let mut largest = 0;
    let mut before = None;
    for version in 1..=60_u64 {
        let mut body = vec![0; 1_000_000];
        body.iter_mut()
            .zip(0_u64..)
            .for_each(|(b, i)| *b = ((i ^ version).wrapping_mul(0x9e37_79b9) >> 13) as u8);
        let record = record(version, body, before);
        before = record.held.as_ref().map(|held| held.tag);
        cell.put(&[record]).unwrap();
        largest = largest.max(cell.size().unwrap());
    }
    println!(
        "largest {} MB, in the end {} MB",
        largest >> 20,
        cell.size().unwrap() >> 20
    );
    assert!(largest <= LARGE, "{largest}");
    drop(cell);
    let (_, stored) = Storage::open(dir.path()).unwrap();
    let stored = stored.unwrap();
    assert_eq!(
        stored
            .held
            .iter()
            .map(|held| held.tag.version)
            .collect::<Vec<_>>(),
        [59, 60]
    );
    assert_eq!(stored.marks.len(), 10);
    assert_eq!(folders(dir.path(), "cell-"), 1);
}

fn spoil(dir: &Path, how: &str) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            spoil(&path, how);
            continue;
        }
        let bytes = fs::read(&path).unwrap();
        match how {
            "cut" => fs::write(&path, &bytes[..bytes.len() / 3]).unwrap(),
            "junk" => fs::write(&path, vec![0x5a; bytes.len()]).unwrap(),
            "flip" => fs::write(&path, bytes.iter().map(|b| b ^ 1).collect::<Vec<_>>()).unwrap(),
            _ => unreachable!(),
        }
    }
}

#[yare::parameterized(cut = { "cut" }, junk = { "junk" }, flipped = { "flip" })]
fn given_damage_when_opened_then_it_is_set_aside_and_said(how: &str) {
    let dir = tempfile::tempdir().unwrap();
    for times in 1..=10 {
        let (mut cell, stored) = Storage::open(dir.path()).unwrap();
        assert_eq!(stored, None);
        assert_eq!(cell.note().is_some(), times > 1);
        cell.put(&[record(1, vec![7; 100_000], None)]).unwrap();
        let current = fs::read_dir(dir.path()).unwrap().map(|e| e.unwrap().path());
        let current = current.filter(|p| {
            p.file_name()
                .unwrap()
                .to_str()
                .unwrap()
                .starts_with("cell-")
        });
        let current = current.last().unwrap();
        drop(cell);
        spoil(&current, how);
    }
    assert_eq!(folders(dir.path(), "damaged-"), 8);
    // The first stays, and so does the newest.
    assert!(dir.path().join("damaged-1").exists() && dir.path().join("damaged-9").exists());
}

#[test]
fn given_any_one_byte_is_changed_when_opened_then_it_is_what_was_put_or_damage() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cell, _) = Storage::open(dir.path()).unwrap();
    for version in 1..=3 {
        let body = (0..100_000_u32)
            .map(|at| (at.wrapping_mul(at) >> 7) as u8)
            .collect();
        cell.put(&[record(version, body, None)]).unwrap();
    }
    cell.settle().unwrap();
    drop(cell);
    let whole = files(dir.path());
    let stored = Storage::read_only(dir.path()).unwrap();
    let path = dir.path().join("cell-1/records");
    let mut found = [0; 2];
    for at in (0..whole[&path].len()).step_by(1_999) {
        let mut changed = whole.clone();
        changed.get_mut(&path).unwrap()[at] ^= 0x10;
        lay(dir.path(), &changed);
        let read = Storage::read_only(dir.path());
        assert!(read.is_err() || read.unwrap() == stored, "{at}");
        let (cell, opened) = Storage::open(dir.path()).unwrap();
        found[usize::from(cell.lost())] += 1;
        assert!(
            cell.lost() == cell.note().is_some() && (cell.lost() || opened == stored),
            "{at}"
        );
    }
    println!("whole, damage: {found:?}");
    assert!(found[1] > 20);
}

#[yare::parameterized(one_put = { 1 }, three_puts = { 3 })]
fn given_an_older_state_of_the_database_when_opened_then_it_is_damage(behind: u64) {
    let dir = tempfile::tempdir().unwrap();
    let (mut cell, _) = Storage::open(dir.path()).unwrap();
    cell.put(&[record(1, b"one".to_vec(), None)]).unwrap();
    drop(cell);
    let old = fs::read(dir.path().join("cell-1/records")).unwrap();
    let (mut cell, _) = Storage::open(dir.path()).unwrap();
    for version in 2..2 + behind {
        cell.put(&[record(version, b"more".to_vec(), None)])
            .unwrap();
    }
    cell.settle().unwrap();
    drop(cell);
    fs::write(dir.path().join("cell-1/records"), old).unwrap();
    let (cell, stored) = Storage::open(dir.path()).unwrap();
    assert_eq!(stored, None);
    assert!(cell.note().is_some() && cell.lost());
}

#[yare::parameterized(now = { false }, of_sled = { true })]
fn given_a_later_format_when_opened_then_refused_by_name_and_left_alone(of_sled: bool) {
    let dir = tempfile::tempdir().unwrap();
    if of_sled {
        let db = of_format_1(&dir.path().join("cell-1"));
        let mut head = db.get("head").unwrap().unwrap().to_vec();
        head[0] = 9;
        db.insert("head", head).unwrap();
        db.flush().unwrap();
    } else {
        let (mut cell, _) = Storage::open(dir.path()).unwrap();
        cell.put(&[record(1, b"one".to_vec(), None)]).unwrap();
        drop(cell);
        let db = redb::Database::create(dir.path().join("cell-1/records")).unwrap();
        let write = db.begin_write().unwrap();
        {
            let records = redb::TableDefinition::<&str, &[u8]>::new("records");
            let mut records = write.open_table(records).unwrap();
            let mut head = records.get("head").unwrap().unwrap().value().to_vec();
            head[0] = 9;
            records.insert("head", head.as_slice()).unwrap();
        }
        write.commit().unwrap();
    }
    let Err(error) = Storage::open(dir.path()) else {
        panic!("opened")
    };
    assert!(
        matches!(
            error,
            StorageError::Newer {
                found: 9,
                known: 2,
                ..
            }
        ),
        "{error}"
    );
    assert!(error.to_string().contains("cell-1"));
    assert_eq!(folders(dir.path(), "damaged-"), 0);
}

#[test]
fn given_a_database_in_use_when_opened_then_refused_and_left_alone() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cell, _) = Storage::open(dir.path()).unwrap();
    cell.put(&[record(1, b"one".to_vec(), None)]).unwrap();
    assert!(matches!(
        Storage::open(dir.path()),
        Err(StorageError::Open { .. })
    ));
    cell.put(&[record(2, b"two".to_vec(), None)]).unwrap();
    assert_eq!(folders(dir.path(), "damaged-"), 0);
}

#[test]
fn given_a_keeper_when_writes_are_sent_then_each_is_reported_once_durable() {
    let dir = tempfile::tempdir().unwrap();
    let (cell, _) = Storage::open(dir.path()).unwrap();
    let (done, reports) = channel();
    let keeper = Keeper::spawn(
        cell,
        Box::new(move |write, ok| done.send((write, ok)).unwrap()),
    )
    .unwrap();
    for write in 1..=50 {
        keeper.send(write, record(write, vec![1; 1_000], None));
    }
    drop(keeper);
    assert_eq!(
        reports.iter().collect::<Vec<_>>(),
        (1..=50).map(|write| (write, true)).collect::<Vec<_>>()
    );
    let (_, stored) = Storage::open(dir.path()).unwrap();
    assert_eq!(stored.unwrap().held[0].tag.version, 50);
}

#[test]
fn given_what_a_disk_held_when_an_empty_folder_is_filled_then_it_holds_the_same_and_is_filled_once()
{
    let dir = tempfile::tempdir().unwrap();
    let (from, to) = (dir.path().join("from"), dir.path().join("to"));
    let (mut cell, _) = Storage::open(&from).unwrap();
    cell.put(&[record(1, b"one".to_vec(), Some(tag(1, b"one")))])
        .unwrap();
    drop(cell);
    let stored = Storage::read_only(&from).unwrap().unwrap();
    Storage::fill(&to, &stored).unwrap();
    assert_eq!(Storage::read_only(&to).unwrap(), Some(stored.clone()));
    assert!(matches!(
        Storage::fill(&to, &stored),
        Err(StorageError::NotEmpty { .. })
    ));
}

#[test]
fn given_a_database_in_use_when_only_read_then_it_is_left_alone() {
    let dir = tempfile::tempdir().unwrap();
    let _running = Storage::open(dir.path()).unwrap();
    assert!(matches!(
        Storage::read_only(dir.path()),
        Err(StorageError::Open { .. })
    ));
}

/// What lies in a database of format 1: keys and values.
const FORMAT_1: [(&str, &str); 5] = [
    ("636f756e74", "011bdf05a501"),
    (
        "68656164",
        "01ecaff73f070103020a000001000a000002edfd03020a000001000a00000307038080808010ac02020901ac02\
         0209010a000004ffffffffffffffffff010101010102a0c3ff90f3f4ea8f91b3d2f5c19ed3b69c14",
    ),
    (
        "68656c642f0000000000000001",
        "014345f81d01010102a0c3ff90f3f4ea8f91b3d2f5c19ed3b69c14036f6e65",
    ),
    (
        "68656c642f000000000000012c",
        "01315db19bac02ac0201028dfed9f7d285aff6e3daf4a4c4f9cbc7afa2030d74687265652068756e64726564",
    ),
    ("6d61726b2f692d3766", "012f4132afac0204692d37660167"),
];

fn format_1() -> Stored {
    let voter = |last, disk| Voter {
        node: [10, 0, 0, last].into(),
        disk,
    };
    let set = VoterSet {
        epoch: 3,
        voters: vec![voter(1, 0), voter(2, 0xfeed)],
        previous: vec![voter(1, 0), voter(3, 7)],
    };
    let ballot = Ballot {
        round: 300,
        node: 2,
        life: 9,
    };
    let head = Head {
        set: Some(set),
        promised: ballot,
        accepted: Some((ballot, vec![voter(4, u64::MAX)])),
        ..head(Some(tag(1, b"one")))
    };
    let held = [(1, &b"one"[..]), (300, b"three hundred")].map(|(version, body)| Held {
        tag: tag(version, body),
        body: body.into(),
    });
    let mark = Mark {
        order: 300,
        key: "i-7f".into(),
        value: b"g".to_vec(),
    };
    Stored {
        head,
        held: held.into(),
        marks: vec![mark],
        numbers: None,
    }
}

fn unhex(text: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}

fn of_format_1(cell: &Path) -> sled::Db {
    let db = sled::open(cell).unwrap();
    for (key, value) in FORMAT_1 {
        db.insert(unhex(key), unhex(value)).unwrap();
    }
    db.flush().unwrap();
    db
}

#[test]
fn given_a_database_of_format_1_when_opened_then_it_holds_what_it_held_from_then_on_in_this_format()
{
    let dir = tempfile::tempdir().unwrap();
    drop(of_format_1(&dir.path().join("cell-1")));
    assert_eq!(Storage::read_only(dir.path()).unwrap(), Some(format_1()));
    let (mut cell, stored) = Storage::open(dir.path()).unwrap();
    assert_eq!((cell.note(), stored), (None, Some(format_1())));
    let mark = Mark {
        order: 301,
        key: "i-80".into(),
        value: b"d".to_vec(),
    };
    let mut more = format_1();
    more.marks.push(mark.clone());
    cell.put(&[Record {
        marks: vec![mark],
        ..Record::default()
    }])
    .unwrap();
    drop(cell);
    let cell = dir.path().join("cell-2");
    assert!(cell.join("records").exists() && !dir.path().join("cell-1").exists());
    let (cell, stored) = Storage::open(dir.path()).unwrap();
    assert_eq!((cell.note(), stored), (None, Some(more)));
}

/// Every file below, with its bytes.
fn files(dir: &Path) -> Files {
    let mut all = BTreeMap::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => all.extend(files(&path)),
            false => drop(all.insert(path.clone(), fs::read(&path).unwrap())),
        }
    }
    all
}

fn lay(dir: &Path, files: &Files) {
    fs::remove_dir_all(dir).unwrap();
    for (path, bytes) in files {
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, bytes).unwrap();
    }
}

#[test]
fn given_a_later_format_beside_when_opened_then_nothing_at_all_is_changed() {
    let dir = tempfile::tempdir().unwrap();
    Storage::fill(dir.path(), &format_1()).unwrap();
    fs::create_dir(dir.path().join("fresh-2")).unwrap();
    let beside = dir.path().join("cell-1/elderpond-count");
    let mut count = fs::read(&beside).unwrap();
    count[0] = 3;
    fs::write(&beside, count).unwrap();
    let before = files(dir.path());
    let error = Storage::open(dir.path())
        .err()
        .expect("refused")
        .to_string();
    let cell = dir.path().join("cell-1");
    assert_eq!(
        error,
        format!(
            "{} was written in format 3, by a later version; this one reads up to 2",
            cell.display()
        )
    );
    assert!(files(dir.path()) == before && dir.path().join("fresh-2").exists());
}

#[test]
fn given_the_newest_is_damaged_and_the_one_before_was_left_when_opened_then_both_are_kept() {
    let dir = tempfile::tempdir().unwrap();
    Storage::fill(dir.path(), &format_1()).unwrap();
    let before = files(&dir.path().join("cell-1"));
    fs::rename(dir.path().join("cell-1"), dir.path().join("cell-2")).unwrap();
    spoil(&dir.path().join("cell-2"), "junk");
    fs::create_dir(dir.path().join("cell-1")).unwrap();
    for (path, bytes) in &before {
        fs::write(path, bytes).unwrap();
    }
    let (cell, stored) = Storage::open(dir.path()).unwrap();
    assert_eq!((stored, folders(dir.path(), "damaged-")), (None, 2));
    assert!(cell.note().unwrap().contains("damaged-2"));
    // Nobody takes it for a disk that was never used, at the next start either.
    assert!(cell.lost());
    drop(cell);
    let (cell, stored) = Storage::open(dir.path()).unwrap();
    assert_eq!((stored, cell.note(), cell.lost()), (None, None, true));
}

#[test]
fn given_power_is_lost_while_it_moves_and_names_are_not_synced_then_nothing_is_lost() {
    let dir = tempfile::tempdir().unwrap();
    Storage::fill(dir.path(), &format_1()).unwrap();
    let cell = files(&dir.path().join("cell-1"));
    let (from, fresh) = (dir.path().join("cell-1"), dir.path().join("fresh-2"));
    for (copy, name) in [(&from, "fresh-2"), (&from, "cell-2")] {
        // The fresh one without its name, then with it while the old one is partly removed.
        let to = dir.path().join(name);
        fs::create_dir_all(&to).unwrap();
        for (path, bytes) in &cell {
            let below = path.strip_prefix(copy).unwrap();
            fs::create_dir_all(to.join(below).parent().unwrap()).unwrap();
            fs::write(to.join(below), bytes).unwrap();
        }
        if name == "cell-2" {
            fs::remove_file(from.join("records")).unwrap();
        }
        let (cell, stored) = Storage::open(dir.path()).unwrap();
        assert_eq!((cell.note(), stored), (None, Some(format_1())), "{name}");
        assert!(!fresh.exists() && folders(dir.path(), "cell-") == 1);
    }
}

type Files = BTreeMap<PathBuf, Vec<u8>>;

/// What lies on disk after each of some puts, while it is open, and what is durable then.
fn puts(dir: &Path, bodies: usize) -> Vec<(Files, Option<Stored>)> {
    let (mut cell, _) = Storage::open(dir).unwrap();
    let put = |version| {
        cell.put(&[record(version, vec![version as u8; bodies], None)])
            .unwrap();
        files(dir)
    };
    let states: Vec<_> = (1..=4).map(put).collect();
    drop(cell);
    let opened = |files: Files| {
        lay(dir, &files);
        (files, Storage::open(dir).unwrap().1)
    };
    states.into_iter().map(opened).collect()
}

/// What names the newest state is at the beginning of the file, and the rest of a put anywhere after it.
#[test]
fn given_a_put_is_torn_at_any_byte_when_opened_then_it_is_the_last_put_or_the_one_before_or_damage()
{
    let dir = tempfile::tempdir().unwrap();
    let states = puts(dir.path(), 10);
    let (last, stored) = states.last().unwrap();
    let (first, before) = &states[states.len() - 2];
    let db = dir.path().join("cell-1/records");
    let (mut old, new) = (first[&db].clone(), &last[&db]);
    old.resize(new.len(), 0);
    let differ = |at: &usize| old[*at] != new[*at];
    let places: Vec<usize> = (0..new.len()).filter(differ).collect();
    let (head, rest): (Vec<usize>, Vec<usize>) = places.iter().partition(|at| **at < 512);
    assert!(head.len() > 16 && rest.len() > 200);
    let rest = rest.iter().step_by(rest.len() / 200);
    let mut found = [0; 3];
    for at in head.iter().chain(rest).copied() {
        for fill in [None, Some(0), Some(0x5a)] {
            let mut torn = last.clone();
            let bytes = torn.get_mut(&db).unwrap();
            match fill {
                // As it was before; otherwise what differs is no content of either put.
                None => bytes[at..].copy_from_slice(&old[at..]),
                Some(with) => places
                    .iter()
                    .filter(|place| **place >= at)
                    .for_each(|place| bytes[*place] = with),
            }
            lay(dir.path(), &torn);
            let (cell, opened) = Storage::open(dir.path()).unwrap();
            let which = [&opened == stored, &opened == before, cell.lost()];
            let which = which.iter().position(|it| *it);
            found[which.unwrap_or_else(|| panic!("cut at {at}, {fill:?}: {opened:?}"))] += 1;
            assert_eq!(cell.lost(), folders(dir.path(), "damaged-") == 1);
        }
    }
    println!("last, before, damage: {found:?}");
}

#[yare::parameterized(small = { 10 }, large = { 100_000 })]
fn given_any_part_of_an_unsynced_put_is_lost_when_opened_then_it_is_there_or_the_one_before(
    bodies: usize,
) {
    const SECTOR: usize = 512;
    let dir = tempfile::tempdir().unwrap();
    let states = puts(dir.path(), bodies);
    let mut random = 7_u64;
    let mut found = [0; 2];
    for pair in states.windows(2) {
        let ((old, before), (new, after)) = (&pair[0], &pair[1]);
        for round in 0..60 {
            let mut draw = |of: u64| {
                random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
                (random >> 33) % of
            };
            let mut torn = Files::new();
            for (path, bytes) in new {
                let Some(was) = old.get(path) else {
                    if draw(2) == 0 {
                        torn.insert(path.clone(), bytes.clone());
                    }
                    continue;
                };
                let mut now = was.clone();
                now.resize(bytes.len().max(was.len()), 0);
                for at in (0..bytes.len()).step_by(SECTOR) {
                    if draw(8) < round % 9 {
                        let to = (at + SECTOR).min(bytes.len());
                        now[at..to].copy_from_slice(&bytes[at..to]);
                    }
                }
                torn.insert(path.clone(), now);
            }
            lay(dir.path(), &torn);
            let (cell, opened) = Storage::open(dir.path()).unwrap();
            let which = [&opened == after, &opened == before]
                .iter()
                .position(|it| *it);
            found[which.unwrap_or_else(|| panic!("{round}: {:?} {opened:?}", cell.note()))] += 1;
        }
    }
    println!("after, before: {found:?}");
}

/// What differs between two puts: sectors of files that were there, and files that are new, whole.
fn parts(old: &Files, new: &Files, sector: usize) -> Vec<(PathBuf, Option<usize>)> {
    let mut parts = Vec::new();
    for (path, bytes) in new {
        let Some(was) = old.get(path) else {
            parts.push((path.clone(), None));
            continue;
        };
        for at in (0..bytes.len()).step_by(sector) {
            let to = (at + sector).min(bytes.len());
            if was.get(at..to) != Some(&bytes[at..to]) {
                parts.push((path.clone(), Some(at)));
            }
        }
    }
    parts
}

/// The first, the last, one or all but one of the parts are lost: some of each, spread over all places.
#[yare::parameterized(small = { 10 }, middle = { 300_000 }, large = { 2_000_000 })]
fn given_a_sector_or_a_new_file_is_lost_by_itself_when_opened_then_it_is_there_or_the_one_before(
    bodies: usize,
) {
    let dir = tempfile::tempdir().unwrap();
    let states = puts(dir.path(), bodies);
    let (mut found, mut wrong) = ([0; 2], Vec::new());
    for (pair, sector) in states
        .windows(2)
        .flat_map(|pair| [(pair, 512), (pair, 4096)])
    {
        let ((old, before), (new, after)) = (&pair[0], &pair[1]);
        let parts = parts(old, new, sector);
        for at in (0..=parts.len()).step_by(parts.len().div_ceil(12)) {
            let kept: [fn(usize, usize) -> bool; 4] = [
                |nth, at| nth < at,
                |nth, at| nth >= at,
                |nth, at| nth == at,
                |nth, at| nth != at,
            ];
            for (way, kept) in kept.iter().enumerate() {
                let mut torn = old.clone();
                torn.retain(|path, _| new.contains_key(path));
                for (path, was) in &mut torn {
                    was.resize(new[path].len(), 0);
                }
                for (_, (path, place)) in parts.iter().enumerate().filter(|(nth, _)| kept(*nth, at))
                {
                    let bytes = &new[path];
                    match *place {
                        None => drop(torn.insert(path.clone(), bytes.clone())),
                        Some(from) => {
                            let to = (from + sector).min(bytes.len());
                            torn.get_mut(path).unwrap()[from..to].copy_from_slice(&bytes[from..to]);
                        }
                    }
                }
                lay(dir.path(), &torn);
                let (cell, opened) = Storage::open(dir.path()).unwrap();
                match [&opened == after, &opened == before]
                    .iter()
                    .position(|it| *it)
                {
                    Some(which) => found[which] += 1,
                    None => {
                        let held = opened
                            .iter()
                            .flat_map(|it| &it.held)
                            .map(|it| it.tag.version);
                        let held: Vec<u64> = held.collect();
                        wrong.push(format!(
                            "{way} {at} of {}: {held:?}, {}",
                            parts.len(),
                            cell.lost()
                        ));
                    }
                }
            }
        }
    }
    println!("after, before: {found:?}, neither: {}", wrong.len());
    assert!(wrong.is_empty(), "{wrong:#?}");
}
