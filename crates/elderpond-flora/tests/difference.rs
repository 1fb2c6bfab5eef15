//! Differences lead from any version that is remembered to the newest, or are refused.

use elderpond_flora::{Configuration, Difference, DifferenceError, History, Routes, Version, read};
use yare::parameterized;

/// Numbers drawn the same for each seed.
struct Chance(u64);

impl Chance {
    fn below(&mut self, count: u64) -> u64 {
        self.0 = self.0.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        (self.0 >> 33) % count
    }
}

/// A route as the operator writes it; its host and prefix may be those of another one.
fn rule(chance: &mut Chance) -> (String, String) {
    let host = ["a.example", "B.example", "b.example"][chance.below(3) as usize];
    let prefix = chance.below(12);
    let timeout = 1 + chance.below(2);
    let kind = ["safe", "unsafe"][chance.below(2) as usize];
    let goes_to = match chance.below(3) {
        0 => r#""service":"one""#.to_owned(),
        1 => r#""service":"two""#.to_owned(),
        _ => format!(
            r#""weighted-split":[{{"service":"one","weight":{}}},{{"service":"two","weight":50}}]"#,
            chance.below(3)
        ),
    };
    let rule = format!(
        r#"{{"name":"r{prefix}","kind":"{kind}","priority":{},
"match-condition":{{"path-prefix":"/{prefix}/"}},
"route-action":{{{goes_to},"timeout-s":{timeout},"attempts":2}}}}"#,
        chance.below(2)
    );
    (host.to_owned(), rule)
}

fn configuration(version: u64, rules: &[(String, String)], limit: u64) -> Configuration {
    let listeners = rules
        .iter()
        .map(|(host, rule)| format!(r#"{{"host":"{host}","rule-set":[{rule}]}}"#));
    let listeners: Vec<_> = listeners.collect();
    let body = format!(
        r#"{{"version-number":"r{version}","limits":{{"idle-timeout-s":{}}},"listener-list":[{}],
"cluster-list":[{{"name":"one","connection-limit":{limit}}},{{"name":"two"}}]}}"#,
        1 + limit,
        listeners.join(",")
    );
    read(body.as_bytes()).expect("it is valid")
}

/// All that a version says, in one order.
fn content(routes: &Routes) -> (Vec<String>, Vec<String>) {
    let mut all: Vec<_> = routes.all().map(|route| format!("{route:?}")).collect();
    let mut services: Vec<_> = routes.services().map(|it| format!("{it:?}")).collect();
    all.sort();
    services.sort();
    (all, services)
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 }, five = { 5 })]
fn given_any_changes_when_a_difference_is_applied_then_it_leads_to_the_newest_version(seed: u64) {
    let mut chance = Chance(seed);
    let mut rules: Vec<_> = (0..24).map(|_| rule(&mut chance)).collect();
    let first = configuration(1, &rules, 0);
    let mut before = vec![Routes::new(&first)];
    let mut history = History::new(first);
    let mut applied = 0;
    for version in 2..60 {
        for _ in 0..chance.below(3) {
            let at = chance.below(rules.len() as u64) as usize;
            match chance.below(3) {
                0 if rules.len() > 12 => drop(rules.remove(at)),
                1 => rules.push(rule(&mut chance)),
                _ => rules[at] = rule(&mut chance),
            }
        }
        let newest = configuration(version, &rules, chance.below(2));
        let expected = Routes::new(&newest);
        history.advance(newest);
        for base in before.iter().rev().take(8) {
            let Some(difference) = history.since(base.version) else {
                continue; // over half has changed
            };
            let mut routes = base.clone();
            let sent = Difference::decode(&difference.encode()).expect("as it was written");
            assert_eq!(routes.apply(&sent), Ok(()));
            assert_eq!(content(&routes), content(&expected));
            assert_eq!(routes.version_digest(), expected.version_digest());
            assert_eq!(routes.limits, expected.limits);
            applied += 1;
        }
        before.push(expected);
    }
    assert!(applied > 100, "{applied} only");
}

#[test]
fn given_another_version_or_content_when_a_difference_is_applied_then_nothing_changes() {
    let mut chance = Chance(9);
    let rules: Vec<_> = (0..20).map(|_| rule(&mut chance)).collect();
    let mut history = History::new(configuration(4, &rules, 0));
    history.advance(configuration(5, &rules, 1));
    let difference = history.since(Version(4)).expect("one service differs");
    let mut other_content = Routes::new(&configuration(4, &rules[1..], 0));
    let mut other_version = Routes::new(&configuration(3, &rules, 0));
    for (routes, held) in [(&mut other_content, 4), (&mut other_version, 3)] {
        let before = content(routes);
        let refused = DifferenceError::OtherBase {
            from: Version(4),
            held: Version(held),
        };
        assert_eq!(routes.apply(&difference), Err(refused));
        assert_eq!((routes.version, content(routes)), (Version(held), before));
    }
    let mut torn = difference.clone();
    torn.services.clear();
    let mut routes = Routes::new(&configuration(4, &rules, 0));
    assert_eq!(
        routes.apply(&torn),
        Err(DifferenceError::OtherResult(Version(5)))
    );
    assert_eq!(routes.version, Version(4));
    assert_eq!(routes.apply(&difference), Ok(()));
}

#[test]
fn given_most_has_changed_or_a_version_that_is_not_remembered_then_there_is_no_difference() {
    let mut chance = Chance(3);
    let mut draw = || -> Vec<_> { (0..20).map(|_| rule(&mut chance)).collect() };
    let mut history = History::new(configuration(1, &draw(), 0));
    history.advance(configuration(2, &draw(), 0));
    assert!(history.since(Version(1)).is_none(), "most has changed");
    assert!(history.since(Version(2)).is_none(), "it is the newest");
    let rules = draw();
    for version in 3..70 {
        history.advance(configuration(version, &rules, version % 2));
    }
    assert!(history.since(Version(3)).is_none(), "too long ago");
    assert!(history.since(Version(68)).is_some());
}

/// Guards against CONFIG and DRAIN on fleets with many routes: each change was told with all of them.
#[test]
fn given_thousands_of_routes_when_one_changes_then_what_is_told_does_not_grow_with_them() {
    let rules = |count: usize, timeout: u64| -> Vec<(String, String)> {
        let rule = |at: usize| {
            let timeout = if at == 0 { timeout } else { 3 };
            format!(
                r#"{{"name":"r{at}","kind":"safe","match-condition":{{"path-prefix":"/p{at}/"}},
"route-action":{{"service":"one","timeout-s":{timeout},"attempts":2}}}}"#
            )
        };
        (0..count)
            .map(|at| ("a.example".to_owned(), rule(at)))
            .collect()
    };
    let told = |count| {
        let mut history = History::new(configuration(1, &rules(count, 1), 0));
        history.advance(configuration(2, &rules(count, 2), 0));
        history
            .since(Version(1))
            .expect("one route differs")
            .encode()
            .len()
    };
    assert!(
        told(11_200) <= told(200) + 32,
        "{} and {} bytes",
        told(11_200),
        told(200)
    );
}
