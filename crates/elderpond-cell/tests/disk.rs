//! What is put is there after opening again; damage is set aside; the disk does not fill.

use std::fs;
use std::path::Path;
use std::sync::mpsc::channel;

use elderpond_cell::{Cell, CellError, Keeper, LARGE};
use elderpond_comb::{Ballot, Digest, Head, Held, Mark, Record, Tag};

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
    let (mut cell, stored) = Cell::open(&dir.path().join("comb")).unwrap();
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
    let read = Cell::read_only(&dir.path().join("comb")).unwrap().unwrap();
    let (cell, stored) = Cell::open(&dir.path().join("comb")).unwrap();
    let stored = stored.unwrap();
    assert_eq!(read, stored);
    assert_eq!(cell.note(), None);
    assert_eq!(stored.head, second.head.unwrap());
    assert_eq!(stored.held, [first.held.unwrap(), second.held.unwrap()]);
    assert_eq!(stored.marks, second.marks);
}

#[test]
fn given_large_bodies_when_put_then_the_files_stay_bounded() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cell, _) = Cell::open(dir.path()).unwrap();
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
    let (_, stored) = Cell::open(dir.path()).unwrap();
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
    for times in 1..=5 {
        let (mut cell, stored) = Cell::open(dir.path()).unwrap();
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
    assert_eq!(folders(dir.path(), "damaged-"), 3);
}

#[test]
fn given_an_older_state_of_sled_when_opened_then_it_is_damage() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cell, _) = Cell::open(dir.path()).unwrap();
    cell.put(&[record(1, b"one".to_vec(), None)]).unwrap();
    drop(cell);
    let old = fs::read(dir.path().join("cell-1/db")).unwrap();
    let (mut cell, _) = Cell::open(dir.path()).unwrap();
    for version in 2..5 {
        cell.put(&[record(version, b"more".to_vec(), None)])
            .unwrap();
    }
    drop(cell);
    fs::write(dir.path().join("cell-1/db"), old).unwrap();
    for entry in fs::read_dir(dir.path().join("cell-1"))
        .unwrap()
        .map(|entry| entry.unwrap())
    {
        if entry.file_name().to_str().unwrap().starts_with("snap") {
            fs::remove_file(entry.path()).unwrap();
        }
    }
    let (cell, stored) = Cell::open(dir.path()).unwrap();
    assert_eq!(stored, None);
    assert!(cell.note().is_some());
}

#[test]
fn given_a_later_format_when_opened_then_refused_by_name_and_left_alone() {
    let dir = tempfile::tempdir().unwrap();
    let (mut cell, _) = Cell::open(dir.path()).unwrap();
    cell.put(&[record(1, b"one".to_vec(), None)]).unwrap();
    drop(cell);
    let db = sled::open(dir.path().join("cell-1")).unwrap();
    let mut head = db.get("head").unwrap().unwrap().to_vec();
    head[0] = 9;
    db.insert("head", head).unwrap();
    db.flush().unwrap();
    drop(db);
    let Err(error) = Cell::open(dir.path()) else {
        panic!("opened")
    };
    assert!(
        matches!(
            error,
            CellError::Newer {
                found: 9,
                known: 1,
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
    let (mut cell, _) = Cell::open(dir.path()).unwrap();
    cell.put(&[record(1, b"one".to_vec(), None)]).unwrap();
    assert!(matches!(
        Cell::open(dir.path()),
        Err(CellError::Database { .. })
    ));
    cell.put(&[record(2, b"two".to_vec(), None)]).unwrap();
    assert_eq!(folders(dir.path(), "damaged-"), 0);
}

#[test]
fn given_a_keeper_when_writes_are_sent_then_each_is_reported_once_durable() {
    let dir = tempfile::tempdir().unwrap();
    let (cell, _) = Cell::open(dir.path()).unwrap();
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
    let (_, stored) = Cell::open(dir.path()).unwrap();
    assert_eq!(stored.unwrap().held[0].tag.version, 50);
}

#[test]
fn given_what_a_disk_held_when_an_empty_folder_is_filled_then_it_holds_the_same_and_is_filled_once()
{
    let dir = tempfile::tempdir().unwrap();
    let (from, to) = (dir.path().join("from"), dir.path().join("to"));
    let (mut cell, _) = Cell::open(&from).unwrap();
    cell.put(&[record(1, b"one".to_vec(), Some(tag(1, b"one")))])
        .unwrap();
    drop(cell);
    let stored = Cell::read_only(&from).unwrap().unwrap();
    Cell::fill(&to, &stored).unwrap();
    assert_eq!(Cell::read_only(&to).unwrap(), Some(stored.clone()));
    assert!(matches!(
        Cell::fill(&to, &stored),
        Err(CellError::NotEmpty { .. })
    ));
}

#[test]
fn given_a_database_in_use_when_only_read_then_it_is_left_alone() {
    let dir = tempfile::tempdir().unwrap();
    let _running = Cell::open(dir.path()).unwrap();
    assert!(matches!(
        Cell::read_only(dir.path()),
        Err(CellError::Open { .. })
    ));
}
