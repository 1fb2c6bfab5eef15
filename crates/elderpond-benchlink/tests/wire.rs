//! The binary as the bench sees it: frames in, frames out, plain words about bad input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONFIG: &str = r#"{"tick_ms": 2.0, "membership_mode": "automatic", "unheard_of": [1],
 "services": [{"aim_ms": 500.0, "give_up_ms": 1500.0, "worth": 1.0, "repeat": "read_like"}],
 "guarantees": {"cold_ms": 9000.0, "fall_ms": 1500.0, "start_capacity": 0.2,
  "stop_sending_within_ms": 2000.0, "tip_multiple": 3.0},
 "limits": {"probes": true}, "report": {"fields": ["cpu", "new"], "how": "inline"},
 "specifics": {"admit": "ratio", "channel_rate": 5000.0, "first_wait": 1.0, "head": 3.0,
  "interval_ms": 1000.0, "queue_cap": 5000.0, "unserved_max_ms": 2000.0}}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_elderpond-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // A fault ends the program before it has read everything.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the binary ends")
}

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    let mut bytes = vec![code];
    bytes.extend((fields.len() as u32).to_be_bytes());
    bytes.extend(fields);
    bytes
}

fn frame(clock: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut bytes = (body.len() as u32 + 12).to_be_bytes().to_vec();
    bytes.extend(clock.to_be_bytes());
    bytes.extend(body);
    bytes
}

fn select(instance: u32) -> Vec<u8> {
    record(16, &instance.to_be_bytes())
}

fn create(config: &str) -> Vec<u8> {
    let mut fields = 9u64.to_be_bytes().to_vec();
    fields.extend((config.len() as u32).to_be_bytes());
    fields.extend(config.as_bytes());
    record(1, &fields)
}

fn directory(workers: &[u32]) -> Vec<u8> {
    let mut fields = vec![0];
    fields.extend((workers.len() as u32).to_be_bytes());
    for worker in workers {
        fields.extend(1f32.to_be_bytes());
        fields.extend([0; 14]);
        fields.extend(worker.to_be_bytes());
        fields.push(1);
    }
    record(15, &fields)
}

fn members() -> Vec<u8> {
    record(2, &[0, 2, 0, 0, 0, 0, 0, 0, 0, 1])
}

fn joins(proxy: u8) -> Vec<u8> {
    joins_of(proxy.into(), 1.0)
}

fn joins_of(proxy: u16, rate: f32) -> Vec<u8> {
    let mut fields = proxy.to_be_bytes().to_vec();
    fields.extend([0, 0]);
    fields.extend(rate.to_be_bytes());
    fields.push(1);
    record(7, &fields)
}

fn start(instance: u32) -> Vec<u8> {
    [
        select(instance),
        create(CONFIG),
        directory(&[11, 12]),
        members(),
    ]
    .concat()
}

/// The records of one reply, without their frame.
fn reply_records(output: &[u8]) -> &[u8] {
    &output[8..]
}

fn assert_refused(input: &[u8], words: &str) {
    let output = run(input);
    let text = String::from_utf8(output.stderr).expect("plain text");
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains(words), "{text:?} lacks {words:?}");
    assert!(text.contains("byte "), "{text:?} names no offset");
}

#[test]
fn input_that_ends_between_frames_ends_well() {
    let output = run(&[]);
    assert!(output.status.success());
    let output = run(&[frame(1.0, &[]), frame(2.0, &[])].concat());
    assert!(output.status.success());
    assert_eq!(
        output.stdout,
        [0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 8, 0, 0, 0, 0]
    );
}

#[test]
fn a_start_lays_the_table_and_a_joiner_is_bound() {
    let input = [
        frame(5000.0, &[start(3)]),
        frame(5002.0, &[select(3), joins(7)]),
    ]
    .concat();
    let output = run(&input);
    assert!(output.status.success(), "{output:?}");
    let codes = codes(&output.stdout);
    assert_eq!(codes[0].iter().filter(|code| **code == 72).count(), 2);
    assert!(codes[0].contains(&65), "a timer is set");
    assert_eq!(codes[1], [78, 75, 77], "bound, and asked for an answer");
}

#[test]
fn only_an_instance_with_an_event_acts() {
    let input = [
        frame(5000.0, &[start(1), start(2)]),
        frame(90_000.0, &[select(2), joins(7)]),
        frame(90_002.0, &[select(1), record(6, &[])]),
    ];
    let output = run(&input.concat());
    assert!(output.status.success(), "{output:?}");
    let replies = split(&output.stdout);
    assert_eq!(replies[1][8..17], [78, 0, 0, 0, 4, 0, 0, 0, 2]);
    assert_eq!(replies[2], [0, 0, 0, 8, 0, 0, 0, 0]);
}

#[test]
fn instances_act_alike_together_and_apart() {
    let day = |instances: &[u32]| {
        let starts: Vec<Vec<u8>> = instances.iter().map(|id| start(*id)).collect();
        let mut input = frame(5000.0, &starts);
        for step in 1..200u8 {
            let events: Vec<Vec<u8>> = instances
                .iter()
                .map(|id| [select(*id), joins(step % 9), heard(11, step), heard(12, 1)].concat())
                .collect();
            input.extend(frame(5000.0 + f64::from(step) * 300.0, &events));
        }
        let output = run(&input);
        assert!(output.status.success(), "{output:?}");
        output.stdout
    };
    let (together, first, second) = (day(&[1, 2]), day(&[1]), day(&[2]));
    let apart = split(&first).into_iter().zip(split(&second));
    for (both, (one, two)) in split(&together).into_iter().zip(apart) {
        assert_eq!(
            reply_records(both),
            [reply_records(one), reply_records(two)].concat()
        );
    }
}

#[test]
fn malformed_input_is_refused_in_plain_words() {
    let whole = frame(5000.0, &[start(1)]);
    assert_refused(&whole[..3], "ends within a frame");
    assert_refused(&whole[..whole.len() - 1], "ends within a frame");
    assert_refused(&[0xff; 64], "ends within a frame");
    assert_refused(&[0, 0, 0, 5, 0], "shorter than its header");
    assert_refused(&frame(f64::NAN, &[]), "clock");
    assert_refused(&frame(1.0, &[record(99, &[])]), "unknown event code 99");
    assert_refused(&frame(1.0, &[record(16, &[0, 0])]), "too short");
    assert_refused(&frame(1.0, &[record(16, &[0, 0, 0, 1, 9])]), "too many");
    assert_refused(&frame(1.0, &[vec![16, 0, 0, 0, 200, 1]]), "cut off");
    assert_refused(&frame(1.0, &[joins(1)]), "before any FOR");
    assert_refused(&frame(1.0, &[select(8), joins(1)]), "instance 8");
    assert_refused(
        &frame(1.0, &[select(1), create(CONFIG), members()]),
        "list number 0",
    );
    assert_refused(
        &frame(1.0, &[record(15, &[0, 255, 255, 255, 255])]),
        "too short",
    );
    let odd = record(7, &[0, 1, 0, 0, 0, 0, 0, 0, 7]);
    assert_refused(&frame(1.0, &[start(1), odd]), "flag has no value 7");
}

#[test]
fn malformed_settings_are_refused_in_plain_words() {
    let with = |config: &str| frame(1.0, &[select(1), create(config)]);
    assert_refused(&with("not json"), "settings: expected");
    assert_refused(&with("{}"), "settings: missing field");
    assert_refused(
        &with(&CONFIG.replace("\"cold_ms\"", "\"x\"")),
        "missing field `cold_ms`",
    );
    assert_refused(
        &with(&CONFIG.replace("read_like", "sometimes")),
        "sometimes",
    );
    assert_refused(&with(&CONFIG.replace("5000.0", "\"many\"")), "invalid type");
}

#[test]
fn a_large_frame_of_joins_is_answered_and_a_cut_one_refused() {
    let workers: Vec<u32> = (1..=400).collect();
    let config = CONFIG.replace(
        "\"head\"",
        "\"proxy_count\": 900, \"initial_set\": 8, \"head\"",
    );
    let mut records = vec![select(0), create(&config), directory(&workers), members()];
    // Rates that are no numbers at all come too.
    let rates = [1.0, 0.0, f32::NAN, f32::INFINITY, -3.0];
    records.extend((0..900u16).map(|proxy| joins_of(proxy, rates[usize::from(proxy % 5)])));
    let whole = frame(5.0, &records);
    let output = run(&whole);
    assert!(output.status.success());
    let bound = codes(&output.stdout)[0]
        .iter()
        .filter(|code| **code == 75)
        .count();
    assert!(bound > 100, "{bound} bound at once");
    for cut in [whole.len() / 3, whole.len() - 1] {
        assert_refused(&whole[..cut], "ends within a frame");
    }
    let mut overrun = records.clone();
    overrun.push(vec![7, 0, 0, 0, 200, 0]);
    assert_refused(&frame(5.0, &overrun), "cut off");
}

fn heard(worker: u32, failed: u8) -> Vec<u8> {
    let mut fields = vec![0, 0, 0, 0, 0, 200];
    fields.extend(1000f64.to_be_bytes());
    fields.extend(worker.to_be_bytes());
    fields.extend([0, 0, 0, failed]);
    fields.extend(90f64.to_be_bytes());
    fields.push(0);
    record(10, &fields)
}

/// The replies of an output.
fn split(mut output: &[u8]) -> Vec<&[u8]> {
    let mut replies = Vec::new();
    while !output.is_empty() {
        let length = u32::from_be_bytes(output[..4].try_into().unwrap()) as usize;
        let (reply, rest) = output.split_at(length);
        replies.push(reply);
        output = rest;
    }
    replies
}

/// The action codes of each reply.
fn codes(output: &[u8]) -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    for reply in split(output) {
        let (mut codes, mut rest) = (Vec::new(), reply_records(reply));
        while !rest.is_empty() {
            let length = u32::from_be_bytes(rest[1..5].try_into().unwrap()) as usize;
            codes.push(rest[0]);
            rest = &rest[5 + length..];
        }
        all.push(codes);
    }
    all
}
