//! Each bad input gives an error that names the file and the field; what is asked for is told.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;

use elderpond_consensus::{
    Ballot, Digest, Head, Held, Mark, Numbers, Record, Tag, Voter, VoterSet,
};
use elderpond_storage::Storage;
use tempfile::TempDir;
use yare::parameterized;

/// What the program said, and its status.
fn elderpond(words: &[&str]) -> (i32, String) {
    let program = env!("CARGO_BIN_EXE_elderpond");
    let ended = Command::new(program)
        .args(words)
        .env_remove("ELDERPOND_BOOT")
        .output()
        .unwrap();
    let said = [ended.stdout, ended.stderr].concat();
    (
        ended.status.code().unwrap_or(-1),
        String::from_utf8(said).unwrap(),
    )
}

fn given(name: &str, text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join(name);
    fs::write(&file, text).unwrap();
    (folder, file)
}

fn word(path: &Path) -> &str {
    path.to_str().unwrap()
}

const SETTINGS: &str = r#"
node-name: "hive-1"
serves: ["control"]
ip-address: "127.0.0.1"
zone: "sali-a"
listen-addresses:
  control: "127.0.0.1:8544"
internal-port-range: [7540, 7555]
seed-nodes: ["127.0.0.1:8544"]
limits: {cpu-share: 0.6, memory-mb: 256, file-descriptors: 4096}
bounds: {drain-s: 2.5}
"#;

const DEPLOY: &str = r#"
build = "cargo build --release"
[roles.proxy]
run = "target/release/elderpond proxy"
on = "front_proxy"
share = 1.0
serves = ["front_proxy"]
[roles.hive]
run = "target/release/elderpond hive"
on = "core_proxy"
share = 1.0
serves = ["control"]
"#;

const CONFIGURATION: &str = r#"{"version-number":"r7","listener-list":[{"host":"a.example","rule-set":[
{"name":"one","kind":"safe","match-condition":{"path-prefix":"/one/"},
 "route-action":{"service":"simulator","timeout-s":2,"attempts":2}},
{"name":"two","kind":"unsafe","match-condition":{"path-prefix":"/two/"},
 "route-action":{"weighted-split":[{"service":"simulator","weight":9},{"service":"grove","weight":1}],
 "timeout-s":3,"attempts":1}}]}],"cluster-list":[{"name":"simulator"},{"name":"grove"}]}"#;

#[parameterized(
    settings = { "--settings", SETTINGS },
    deploy = { "--deploy", DEPLOY },
    configuration = { "--configuration", CONFIGURATION },
)]
fn given_a_sound_file_when_checked_then_nothing_is_wrong(kind: &str, text: &str) {
    let (_folder, file) = given("f", text);
    let (status, said) = elderpond(&["check", kind, word(&file)]);
    assert_eq!(
        (status, said),
        (0, format!("{}: nothing wrong\n", file.display()))
    );
}

#[test]
fn given_the_deploy_file_of_this_project_when_checked_then_nothing_is_wrong() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/system.toml");
    assert_eq!(elderpond(&["check", "--deploy", file]).0, 0);
}

/// One field is spoilt; what is said begins with the file and this.
#[parameterized(
    missing = { "--settings", SETTINGS, "zone:", "zoen:", "zone: is missing; is \"zoen\" meant to be it?" },
    address = { "--settings", SETTINGS, "\"127.0.0.1\"", "\"127.0.0\"",
        "ip-address: invalid IPv4 address syntax" },
    seed = { "--settings", SETTINGS, "[\"127.0.0.1:8544\"]", "[\"there\"]", "seed-nodes[0]: invalid" },
    nobody = { "--settings", SETTINGS, "[\"127.0.0.1:8544\"]", "[]", "seed-nodes: is empty" },
    ports = { "--settings", SETTINGS, "7555", "7530", "internal-port-range: has to be two ports" },
    bound = { "--settings", SETTINGS, "drain-s: 2.5", "drain-s: 0",
        "bounds.drain-s: 0.0 is out of bounds: has to be above 0.0" },
    memory = { "--settings", SETTINGS, "memory-mb: 256", "memory-mb: much",
        "limits.memory-mb: invalid type" },
    role = { "--settings", SETTINGS, "  control: \"127.0.0.1:8544\"", "  readiness: \"127.0.0.1:1\"",
        "listen-addresses.control: is missing, and a process that serves control needs it" },
    yaml = { "--settings", SETTINGS, "serves: [", "serves: ]", "is no YAML: " },
    optional = { "--settings", SETTINGS, "drain-s", "drian-s",
        "note: bounds.drian-s: is not known and ignored; did you mean \"drain-s\"?" },
    verb = { "--deploy", DEPLOY, "elderpond hive", "elderpond hvie",
        "roles.hive.run: \"hvie\" is no role of elderpond" },
    class = { "--deploy", DEPLOY, "\"core_proxy\"", "\"core-proxy\"",
        "roles.hive.on: \"core-proxy\" is no class of machines; did you mean \"core_proxy\"?" },
    share = { "--deploy", DEPLOY, "share = 1.0\nserves = [\"control\"]",
        "share = 1.5\nserves = [\"control\"]",
        "roles.hive.share: 1.5 is out of bounds" },
    unserved = { "--deploy", DEPLOY, "[\"control\"]", "[]", "roles: none of them serves \"control\"" },
    name = { "--deploy", DEPLOY, "build =", "bulid =", "build: is missing; is \"bulid\" meant to be it?" },
    helper = { "--deploy", DEPLOY, "target/release/elderpond hive", "env x",
        "roles.hive.run: \"env\" only starts" },
    toml = { "--deploy", DEPLOY, "[roles.hive]", "[roles.hive", "line 8: is no TOML" },
    version = { "--configuration", CONFIGURATION, "\"r7\"", "\"7\"", "version-number: \"7\" is no version" },
    service = { "--configuration", CONFIGURATION, "\"service\":\"grove\"", "\"service\":\"grvoe\"",
        "listener-list[0].rule-set[1].route-action: \"grvoe\" is no service of cluster-list; \
         did you mean \"grove\"?" },
    kind = { "--configuration", CONFIGURATION, "\"unsafe\"", "\"risky\"",
        "listener-list[0].rule-set[1].kind: \"risky\"" },
    attempts = { "--configuration", CONFIGURATION, "\"attempts\":2", "\"attempts\":0",
        "listener-list[0].rule-set[0].route-action.attempts: out of bounds" },
    weights = { "--configuration", CONFIGURATION,
        "\"weight\":9},{\"service\":\"grove\",\"weight\":1", "\"weight\":0",
        "listener-list[0].rule-set[1].route-action.weighted-split: the weights add up to 0" },
    prefix = { "--configuration", CONFIGURATION, "\"/one/\"", "\"/one\"",
        "listener-list[0].rule-set[0].match-condition.path-prefix: \"/one\" does not" },
    half = { "--configuration", CONFIGURATION, "{\"name\":\"grove\"}]}", "", "is cut short" },
)]
fn given_a_fault_when_checked_then_file_and_field_are_named(
    kind: &str,
    sound: &str,
    from: &str,
    to: &str,
    said: &str,
) {
    assert!(sound.contains(from), "{from}");
    let (_folder, file) = given("f", &sound.replacen(from, to, 1));
    let (status, all) = elderpond(&["check", kind, word(&file)]);
    let line = format!("{}: {said}", file.display());
    assert!(
        all.lines().any(|it| it.starts_with(&line)),
        "{line}\n in\n{all}"
    );
    assert_eq!(
        status,
        if said.starts_with("note: ") { 0 } else { 2 },
        "{all}"
    );
}

#[test]
fn given_several_faults_when_checked_then_all_are_told_at_once() {
    let text = CONFIGURATION.replace("\"attempts\":2", "\"attempts\":0");
    let text = text
        .replace("\"timeout-s\":3", "\"timeout-s\":601")
        .replace("\"r7\"", "7");
    let text = text
        .replace("\"safe\"", "\"sure\"")
        .replace("\"service\":\"grove\"", "\"service\":\"x\"");
    let (_folder, file) = given("f", &text);
    let (status, said) = elderpond(&["check", "--configuration", word(&file)]);
    for part in [
        "version-number: ",
        ".attempts: ",
        ".timeout-s: ",
        "\"sure\"",
        "\"x\" is no service",
        "5 faults",
    ] {
        assert!(said.contains(part), "{part} in\n{said}");
    }
    assert_eq!(status, 2);
}

#[parameterized(
    verb = { &["chekc"], "Unrecognized argument: chekc" },
    none = { &["check"], "ELDERPOND_BOOT" },
    absent = { &["check", "--settings", "/nowhere/f"], "/nowhere/f: No such file" },
    hive = { &["status", "--hive", "here"], "--hive \"here\": has to be an address and a port" },
    put = { &["config", "put", "--hive", "127.0.0.1:1", "/nowhere/f"], "/nowhere/f: No such file" },
    folder = { &["storage", "show", "/nowhere/d"], "/nowhere/d: No such file" },
    export = { &["storage", "import", "/nowhere/d", "/nowhere/f"], "/nowhere/f: No such file" },
)]
fn given_wrong_words_when_called_then_they_are_named(words: &[&str], said: &str) {
    let (status, all) = elderpond(words);
    assert!(status == 2 && all.contains(said), "{status} {all}");
}

#[parameterized(
    bash = { "bash", "\" storage show\") word='--help --body'" },
    zsh = { "zsh", "#compdef elderpond" },
    fish = { "fish", "complete -c elderpond -f -n '__fish_seen_subcommand_from storage; and not" },
    man = { "man", ".SS config diff" },
)]
fn given_a_shell_when_completion_is_wanted_then_it_knows_every_verb(shell: &str, part: &str) {
    let (status, said) = elderpond(&["completion", shell]);
    assert!(status == 0 && said.contains(part), "{status} {said}");
    for verb in [
        "hive",
        "proxy",
        "check",
        "status",
        "workers",
        "put",
        "import",
        "rehearse",
        "completion",
    ] {
        assert!(said.contains(verb), "{verb} in\n{said}");
    }
}

#[test]
fn given_the_older_name_of_a_subcommand_then_it_is_taken_still() {
    let (status, said) = elderpond(&["forager", "--help"]);
    assert!(
        status == 0 && said.contains("Usage: elderpond proxy"),
        "{status} {said}"
    );
    let older = DEPLOY.replace("elderpond proxy", "elderpond forager");
    let (_folder, file) = given("f", &older);
    assert_eq!(elderpond(&["check", "--deploy", word(&file)]).0, 0);
}

// ---- Hives ----

/// Answers each call with this status and body; gives its address.
fn stand_in(status: u16, body: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nretry-after: 0.2\r\n\r\n");
    let answer = head + body;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut heard = Vec::new();
            let mut piece = [0; 65536];
            let whole = |heard: &[u8]| {
                let text = String::from_utf8_lossy(heard).to_lowercase();
                let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
                let length = head.split("content-length: ").nth(1);
                let length = length.and_then(|it| it.lines().next()?.parse::<usize>().ok());
                text.contains("\r\n\r\n") && body.len() >= length.unwrap_or(0)
            };
            while !whole(&heard) {
                match stream.read(&mut piece) {
                    Ok(read @ 1..) => heard.extend(&piece[..read]),
                    _ => break,
                }
            }
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

const STATUS: &str = r#"{"node":"hive-1","address":"10.0.0.1","zone":"sali-a",
"up-ms":2500,"majority":true,"settled":true,
"stopping":false,"hives":["10.0.0.1"],"epoch":2,"votes":true,"voters":[
{"voter":{"node":"10.0.0.1","disk":0},"alive":true,"active":true,"version":7,"behind":0},
{"voter":{"node":"10.0.0.2","disk":255},"alive":false,"active":false,"version":5,"behind":2}],
"in-force":7,"marks":1,"writing-ms":null,"workers-ready":4,"foragers-here":1,
"proxies-by-wire":{"5":1,"6":2},"foragers":3,
"calls-waiting":0}"#;

const WORKERS: &str = r#"[{"id":"i-1","service":"simulator","address":"10.0.0.9:80","zone":"sali-a",
"slots":4,"state":"ready",
"listed":true,"silent-ms":300,"cold-ms":0,"weight":40,"why":"Held","tries":10,"failed":6,"took-ms":12.4}]"#;

#[test]
fn given_a_hive_when_asked_where_it_stands_then_it_is_told_in_words() {
    let (status, said) = elderpond(&["status", "--hive", &stand_in(200, STATUS)]);
    assert_eq!(status, 0, "{said}");
    for part in [
        "hive-1 at 10.0.0.1 in sali-a",
        "r7",
        "away; holds r5, behind by 2",
        "3, 1 of them here",
        "version 5: 1, version 6: 2",
    ] {
        assert!(said.contains(part), "{part} in\n{said}");
    }
    let (status, said) = elderpond(&["workers", "--hive", &stand_in(200, WORKERS)]);
    assert_eq!(status, 0, "{said}");
    for part in ["simulator", "i-1", "0.40", "6/10 failed", "Held"] {
        assert!(said.contains(part), "{part} in\n{said}");
    }
}

#[test]
fn given_json_wanted_when_a_hive_is_asked_then_its_own_words_are_printed() {
    let (status, said) = elderpond(&["status", "--json", "--hive", &stand_in(200, STATUS)]);
    assert_eq!((status, said.trim_end()), (0, STATUS));
}

#[test]
fn given_something_else_there_when_asked_then_address_and_field_are_named() {
    let hive = stand_in(200, "{\"node\":\"x\"}");
    let (status, said) = elderpond(&["status", "--hive", &hive]);
    assert!(
        status == 1 && said.contains(&hive) && said.contains("missing field `address`"),
        "{said}"
    );
}

#[parameterized(
    taken = { 200, "{}", 0, "answered 200: r7, or a higher version, is held" },
    conflict = { 409, "{\"error-message\":\"held with another content\"}", 2,
        "answered 409: held with another content" },
    away = { 503, "{\"error-message\":\"no majority\"}", 1,
        "no majority; ask again in 0.2 s; it may yet take effect" },
)]
fn given_an_answer_when_a_configuration_is_put_then_it_is_printed(
    answer: u16,
    body: &str,
    ends: i32,
    said: &str,
) {
    let (_folder, file) = given("f", CONFIGURATION);
    let (status, all) = elderpond(&[
        "config",
        "put",
        "--hive",
        &stand_in(answer, body),
        word(&file),
    ]);
    assert!(status == ends && all.contains(said), "{status} {all}");
}

#[test]
fn given_a_file_when_compared_then_each_difference_has_a_line() {
    let text = CONFIGURATION
        .replace("\"r7\"", "\"r9\"")
        .replace("\"timeout-s\":2", "\"timeout-s\":4");
    let (_folder, file) = given("f", &text.replace("/two/", "/three/"));
    let (status, said) = elderpond(&[
        "config",
        "diff",
        "--hive",
        &stand_in(200, CONFIGURATION),
        word(&file),
    ]);
    assert_eq!(status, 3, "{said}");
    for line in [
        "version r7 -> r9",
        "~ route a.example/one/ route-action timeout-s: 2.0 -> 4.0",
        "- route a.example/two/",
        "+ route a.example/three/",
    ] {
        assert!(
            said.lines().any(|it| it.starts_with(line)),
            "{line} in\n{said}"
        );
    }
    let (_folder, file) = given("f", CONFIGURATION);
    let same = elderpond(&[
        "config",
        "diff",
        "--hive",
        &stand_in(200, CONFIGURATION),
        word(&file),
    ]);
    assert_eq!(same, (0, "no difference: r7\n".into()));
}

// ---- Combs ----

fn replica() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let ballot = Ballot {
        round: 3,
        node: 1,
        life: 2,
    };
    let body = CONFIGURATION.as_bytes().to_vec();
    let tag = Tag {
        version: 7,
        ballot,
        digest: Digest::of(&body),
    };
    let voter = Voter {
        node: [10, 0, 0, 1].into(),
        disk: u64::MAX,
    };
    let set = VoterSet {
        epoch: 2,
        voters: vec![voter],
        previous: vec![],
    };
    let head = Head {
        disk: u64::MAX,
        set: Some(set),
        active_in: 2,
        ceiling: 1 << 32,
        promised: Ballot::default(),
        accepted: None,
        committed: Some(tag),
    };
    let mark = Mark {
        order: 1,
        key: "i-1".into(),
        value: b"g".to_vec(),
    };
    let (mut cell, _) = Storage::open(&folder.path().join("disk")).unwrap();
    let held = Some(Held {
        tag,
        body: body.into(),
    });
    let record = Record {
        head: Some(head),
        held,
        marks: vec![mark],
        dropped: vec![],
        numbers: Some(Numbers {
            forgotten: 3,
            given: vec![tag],
        }),
    };
    cell.put(&[record]).unwrap();
    folder
}

/// Every file below, with its bytes.
fn bytes(dir: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut all = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => all.extend(bytes(&path)),
            false => all.push((path.clone(), fs::read(&path).unwrap())),
        }
    }
    all.sort();
    all
}

#[test]
fn given_a_stopped_hive_when_its_replica_is_looked_at_then_nothing_changes() {
    let folder = replica();
    let (dir, file) = (folder.path().join("disk"), folder.path().join("f.json"));
    let before = bytes(&dir);
    for (words, part) in [
        (vec!["storage", "list", word(&dir)], "held by a majority"),
        (
            vec!["storage", "show", word(&dir)],
            "set 2: 10.0.0.1/ffffffffffffffff",
        ),
        (
            vec!["storage", "verify", word(&dir)],
            "whole: disk ffffffffffffffff, r7, 1 departures",
        ),
        (
            vec!["storage", "export", word(&dir), word(&file)],
            "r7, 1 departures",
        ),
    ] {
        let (status, said) = elderpond(&words);
        assert!(
            status == 0 && said.contains(part),
            "{words:?}: {status} {said}"
        );
    }
    let body = elderpond(&["storage", "show", word(&dir), "--body"]);
    assert_eq!(body, (0, CONFIGURATION.to_owned()));
    assert!(bytes(&dir) == before);
}

#[test]
fn given_an_export_when_imported_then_the_disk_holds_the_same_and_only_an_empty_one_is_filled() {
    let folder = replica();
    let (dir, file) = (folder.path().join("disk"), folder.path().join("f.json"));
    let new = folder.path().join("new");
    assert_eq!(
        elderpond(&["storage", "export", word(&dir), word(&file)]).0,
        0
    );
    let (status, said) = elderpond(&["storage", "import", word(&new), word(&file)]);
    assert!(
        status == 2 && said.contains("say --yes") && !new.exists(),
        "{said}"
    );
    let import = ["storage", "import", word(&new), word(&file), "--yes"];
    let (status, said) = elderpond(&import);
    assert_eq!(status, 0, "{said}");
    assert_eq!(
        Storage::read_only(&new).unwrap(),
        Storage::read_only(&dir).unwrap()
    );
    let (status, said) = elderpond(&import);
    assert!(
        status == 2 && said.contains(&format!("{}: not empty: holds \"cell-1\"", new.display())),
        "{said}"
    );
}

#[parameterized(
    half = { |text| text[..text.len() / 2].to_owned(), "half an export" },
    newer = { |text| text.replace("\"format\":2", "\"format\":3"), "format: 3, by a later version" },
    other = { |text| text.replace("elderpond-comb", "other-kind"), "kind: is an export of \"other-kind\"" },
    changed = { |text| text.replace("\"active_in\":2", "\"active_in\":1"), "digest: says" },
    none = { |_| "[]".to_owned(), "is no export of a replica" },
)]
fn given_a_spoilt_export_when_imported_then_it_is_named(spoil: fn(&str) -> String, said: &str) {
    let folder = replica();
    let (dir, file) = (folder.path().join("disk"), folder.path().join("f.json"));
    assert_eq!(
        elderpond(&["storage", "export", word(&dir), word(&file)]).0,
        0
    );
    fs::write(&file, spoil(&fs::read_to_string(&file).unwrap())).unwrap();
    let new = folder.path().join("new");
    let (status, all) = elderpond(&["storage", "import", word(&new), word(&file), "--yes"]);
    let line = format!("{}: {said}", file.display());
    assert!(
        status == 2 && all.contains(&line) && !new.exists(),
        "{status} {all}"
    );
}

#[test]
fn given_the_folder_of_another_system_when_shown_then_what_is_there_is_named() {
    let (folder, _) = given("their.db", "x");
    let (status, said) = elderpond(&["storage", "show", word(folder.path())]);
    let line = format!(
        "{}: no hive's folder: holds \"their.db\"",
        folder.path().display()
    );
    assert!(status == 2 && said.contains(&line), "{said}");
    fs::create_dir(folder.path().join("cell-1")).unwrap();
    let (status, said) = elderpond(&["storage", "verify", word(folder.path())]);
    assert!(
        status == 1 && said.contains("cell-1 is damaged: it holds no file records"),
        "{said}"
    );
}

#[test]
fn given_a_hive_that_runs_when_its_replica_is_shown_then_it_is_left_alone() {
    let folder = replica();
    let dir = folder.path().join("disk");
    let _running = Storage::open(&dir).unwrap();
    let (status, said) = elderpond(&["storage", "show", word(&dir)]);
    assert!(
        status == 1 && said.contains("cell-1: a process has it open; stop the hive first"),
        "{said}"
    );
}
