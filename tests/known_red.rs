//! The verdict of `.ci/known-red` on a run of the tests and on what is listed in KNOWN-RED.txt.

use std::fs;
use std::process::Command;

const LISTED: &str = "slow | cargo test slow, seed 7 | a batch in parts | issue 37\n";

/// A run of two programs: these results in the first one, and what the second one ended with.
fn log(results: &str, second: &str) -> String {
    format!(
        "     Running tests/a.rs (target/a)\n{results}test result: x.\n   Doc-tests b\n{second}"
    )
}

fn verdict(list: Option<&str>, log: &str, status: u8) -> (bool, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, said) = (folder.path().join("list"), folder.path().join("log"));
    if let Some(list) = list {
        fs::write(&file, list).expect("written");
    }
    fs::write(&said, log).expect("written");
    let run = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .args([&file, &said])
        .arg(status.to_string())
        .output()
        .expect("it runs");
    let told = String::from_utf8_lossy(&run.stderr).into_owned();
    (run.status.success(), told)
}

#[test]
fn given_no_list_and_no_failure_then_it_passes() {
    let log = log("test fast ... ok\n", "test result: ok.\n");
    assert_eq!(verdict(None, &log, 0), (true, String::new()));
    assert_eq!(verdict(Some("\n"), &log, 0), (true, String::new()));
}

#[test]
fn given_the_listed_test_fails_then_it_passes_and_prints_it() {
    let log = log(
        "test fast ... ok\ntest slow ... FAILED\n",
        "test result: ok.\n",
    );
    let (passed, told) = verdict(Some(LISTED), &log, 101);
    assert!(passed, "{told}");
    assert_eq!(
        told,
        "known red: slow: a batch in parts (cargo test slow, seed 7; issue 37)\n"
    );
}

#[yare::parameterized(
    another_fails = { LISTED, "test slow ... FAILED\ntest fast ... FAILED\n", 101, "fast: failed" },
    none_listed = { "", "test slow ... FAILED\n", 101, "slow: failed" },
    it_passes = { LISTED, "test slow ... ok\n", 0, "slow: listed in KNOWN-RED.txt, but passes" },
    it_is_ignored = { LISTED, "test slow ... ignored, later\n", 0, "but passes: take it out" },
    unknown = { LISTED, "test fast ... ok\n", 0, "slow: listed in KNOWN-RED.txt, but there is no such" },
    two_of_the_name = { LISTED, "test slow ... FAILED\ntest slow ... ok\n", 101, "more than one test" },
    four = { "a | b | c | d\ne | b | c | d\nf | b | c | d\ng | b | c | d\n", "", 0, "more than three lines" },
    no_command = { "slow | | a | issue 37\n", "test slow ... FAILED\n", 101, ":1: is not \"test | command" },
    nothing_seen = { "slow | a | issue 37\n", "test slow ... FAILED\n", 101, ":1: is not \"test | command" },
    no_issue = { "slow | a | b |\n", "test slow ... FAILED\n", 101, ":1: is not \"test | command" },
    twice = { "a | b | c | d\na | b | c | d\n", "test a ... FAILED\n", 101, ":2: a stands there twice" },
    not_built = { "", "test fast ... ok\n", 101, "ended with 101, and 0 failed" },
)]
fn given_what_does_not_fit_the_list_then_it_is_red(
    list: &str,
    results: &str,
    status: u8,
    why: &str,
) {
    let (passed, told) = verdict(Some(list), &log(results, "test result: ok.\n"), status);
    assert!(!passed && told.contains(why), "{told}");
}

#[yare::parameterized(
    dies = { &log("test slow ... FAILED\n", ""), "1 of 2 test programs ended without a result" },
    nothing = { "error: could not compile\n", "no test was run" },
)]
fn given_a_program_without_a_result_then_it_is_red(log: &str, why: &str) {
    let (passed, told) = verdict(Some(LISTED), log, 101);
    assert!(!passed && told.contains(why), "{told}");
}
