//! When a proxy is told versions, on links of any speed.

use elderpond_hive::VersionPace;

/// What a proxy was sent in a storm of changes, by when each version had arrived.
struct Told {
    arrived: Vec<(u64, u64)>,
    /// The longest time for which a version in force was unknown to the proxy (ms).
    longest_behind: u64,
    /// Part of the time in which a version was on the link.
    busy: f64,
}

/// A change each `gap` ms for `ms`, to a proxy that takes `takes` ms for each version.
fn storm(gap: u64, ms: u64, takes: u64) -> Told {
    let mut pace = VersionPace::new(0, true);
    let (mut newest, mut arriving) = (0, None::<(u64, u64)>);
    let mut told = Told {
        arrived: Vec::new(),
        longest_behind: 0,
        busy: 0.0,
    };
    let mut changed_at = Vec::new();
    let end = ms + 4_000;
    for now in 0..end {
        if now < ms && now.is_multiple_of(gap) {
            newest += 1;
            changed_at.push(now);
            pace.in_force(now, newest, false);
        }
        if let Some((at, version)) = arriving.filter(|(at, _)| now >= *at) {
            arriving = None;
            told.arrived.push((at, version));
            pace.taken(now, version, newest);
        }
        if pace.is_due(now, newest) {
            assert!(arriving.is_none(), "two on the way at {now}");
            pace.sent(now, newest);
            pace.written(now, newest);
            arriving = Some((now + takes, newest));
        }
        let known = told.arrived.last().map_or(0, |(_, version)| *version);
        if let Some(&since) = changed_at.get(known as usize) {
            told.longest_behind = told.longest_behind.max(now - since);
        }
        told.busy += f64::from(u8::from(arriving.is_some())) / end as f64;
    }
    assert_eq!(
        told.arrived.last().map(|it| it.1),
        Some(newest),
        "the newest arrives"
    );
    told
}

#[yare::parameterized(
    fast_link = { 3 },
    a_tenth_of_a_second = { 100 },
    a_third = { 330 },
    most_of_a_second = { 700 },
)]
fn given_a_storm_then_each_change_is_in_force_in_time_and_the_link_is_left_free(takes: u64) {
    let told = storm(80, 30_000, takes);
    assert!(
        told.longest_behind < 2_500,
        "{} ms behind",
        told.longest_behind
    );
    assert!(told.busy < 0.5, "{:.2} of the link", told.busy);
    assert!(told.arrived.is_sorted_by_key(|it| it.1));
}

#[test]
fn given_a_fast_link_then_next_to_nothing_is_held_back() {
    let told = storm(80, 10_000, 3);
    assert_eq!(told.arrived.len(), 125);
}

#[test]
fn given_a_proxy_that_never_says_that_it_took_one_then_it_is_told_the_newest_all_the_same() {
    let mut pace = VersionPace::new(4, false);
    assert!(!pace.is_due(0, 4), "it has that");
    pace.in_force(0, 5, false);
    assert!(pace.is_due(0, 5));
    pace.sent(0, 5);
    pace.written(0, 5);
    pace.in_force(1_000, 6, false);
    assert!(!pace.is_due(1_000, 6));
    assert_eq!(pace.behind(1_500), 500);
    assert!(pace.is_due(2_000, 7));
    pace.sent(2_000, 7);
    assert_eq!(pace.behind(2_500), 0);
}

#[test]
fn given_a_late_word_of_an_older_version_then_the_one_on_its_way_is_still_awaited() {
    let mut pace = VersionPace::new(0, true);
    pace.sent(0, 1);
    pace.written(0, 1);
    pace.sent(2_000, 2);
    pace.written(2_000, 2);
    pace.taken(2_100, 1, 3);
    assert!(!pace.is_due(2_200, 3));
    pace.taken(2_300, 2, 3);
    assert!(!pace.is_due(2_800, 3), "the link rests");
    assert!(pace.is_due(2_900, 3));
}

/// Guards against CONFIG: a version that a slow link took seconds for was sent once more behind itself, again
/// and again.
#[test]
fn given_a_version_that_is_not_written_yet_then_no_other_is_sent_however_long_that_takes() {
    let mut pace = VersionPace::new(0, true);
    pace.sent(0, 1);
    assert!(!pace.is_due(60_000, 2));
    pace.written(60_000, 1);
    assert!(!pace.is_due(61_999, 2));
    assert!(pace.is_due(62_000, 2));
}

/// Guards against CONFIG: whoever had been sent a version, however long ago, passed for having it.
#[test]
fn given_a_version_on_its_way_then_its_proxy_is_behind_until_it_says_that_it_has_it() {
    let mut pace = VersionPace::new(1, true);
    pace.in_force(1_000, 2, false);
    pace.sent(1_000, 2);
    pace.written(1_010, 2);
    pace.in_force(1_500, 3, false);
    assert_eq!(pace.behind(3_000), 2_000);
    assert_eq!(pace.taken(3_000, 2, 3), 2_000);
    assert_eq!(pace.behind(3_000), 2_000, "of the third, at most");
    pace.sent(4_000, 3);
    assert_eq!(pace.taken(4_100, 3, 3), 3_100);
    assert_eq!(pace.behind(4_100), 0);
}

#[test]
fn given_a_proxy_that_can_not_use_a_difference_then_it_is_told_the_whole_at_once() {
    let mut pace = VersionPace::new(7, true);
    pace.sent(0, 8);
    pace.refused();
    assert!(pace.is_due(1, 8));
    assert_eq!(pace.told(), 0);
}

/// Guards against an old start: a node back from a cut vouched before its proxy had what the cut had hidden.
#[test]
fn given_a_version_that_was_learnt_late_then_whoever_lacks_it_is_behind_at_once() {
    let mut pace = VersionPace::new(3, true);
    pace.sent(0, 5);
    pace.in_force(100, 6, true);
    assert!(pace.is_behind(100, 1_200));
    pace.taken(200, 5, 6);
    assert!(pace.is_behind(200, 1_200), "the one before is not enough");
    pace.sent(300, 6);
    pace.taken(400, 6, 6);
    assert!(!pace.is_behind(400, 1_200));
}
