//! What `gentianlaned check` and `run` say to settings files.
#![allow(clippy::unwrap_used, reason = "a test ends at a fault")]

use std::fs;
use std::process::{Command, Output};

/// The exit code for settings that are refused.
const REFUSED: i32 = 3;

/// Three nodes in three domains, of which the first is configured.
const SOUND: &str = r#"{
  "cell": "town", // a comment
  "node": 1,
  "data": "/tmp/never-used",
  "nodes": [
    { "node": 1, "voter": true, "domain": "a", "http": "127.0.0.1:7001", "peer": "127.0.0.1:7002", "rpc": "127.0.0.1:7003" },
    { "node": 2, "voter": true, "domain": "b", "http": "127.0.0.1:7004", "peer": "127.0.0.1:7005", "rpc": "127.0.0.1:7006" },
    { "node": 3, "voter": true, "domain": "c", "http": "127.0.0.1:7007", "peer": "127.0.0.1:7008", "rpc": "127.0.0.1:7009" }
  ]
}"#;

fn daemon(command: &[&str], text: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("n1.json");
    fs::write(&path, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_gentianlaned"))
        .args(command)
        .arg(path)
        .env("NO_COLOR", "1")
        .output()
        .unwrap()
}

/// Checks that both `check` and `run` refuse a text and say all of this.
fn refuses(text: &str, said: &[&str]) {
    for command in [&["check"][..], &["run", "--settings"]] {
        let output = daemon(command, text);
        let report = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(REFUSED), "{report}");
        for part in said {
            assert!(report.contains(part), "no {part:?} in:\n{report}");
        }
    }
}

/// The sound settings with one part put in another's place.
fn with(part: &str, other: &str) -> String {
    assert!(SOUND.contains(part), "{part}");
    SOUND.replacen(part, other, 1)
}

#[test]
fn sound_settings_pass() {
    let output = daemon(&["check"], SOUND);
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    assert!(said.contains("node n1 of cell town"), "{said}");
    assert!(!said.contains("warning"), "{said}");
}

#[test]
fn what_is_no_json_is_refused_at_its_line() {
    refuses(
        &with("\"node\": 1,", "\"node\": ,"),
        &[":3:", "expected value"],
    );
    refuses("[]", &[":1:1", "an object"]);
    refuses("", &["EOF"]);
}

#[test]
fn several_faults_are_told_at_once_and_where() {
    let text = with(
        "\"node\": 1,",
        "\"node\": 1, \"colour\": 3,\n  \"cell\": \"x\",",
    );
    let text = text.replace("\"127.0.0.1:7004\"", "\"127.0.0.1:7001\"");
    let text = text.replace("\"127.0.0.1:7009\"", "\"127.0.0.1:0\"");
    let said = [
        "4 faults",
        "unknown field `colour`",
        "`cell` is given twice",
        "127.0.0.1:7001 is already used by n1",
        "127.0.0.1:0 can't be reached by other nodes",
        " 3 |",
        " 4 |",
        " 8 |",
    ];
    refuses(&text, &said);
}

#[test]
fn missing_and_misplaced_parts_are_refused() {
    refuses(&with("\"cell\": \"town\",", ""), &["`cell` is missing"]);
    refuses(
        &with(", \"rpc\": \"127.0.0.1:7006\"", ""),
        &["`rpc` is missing"],
    );
    refuses(&with("\"domain\": \"b\", ", ""), &["`domain` is missing"]);
    refuses(
        &with("\"domain\": \"b\"", "\"domain\": \"\""),
        &["n2 has no failure domain"],
    );
    refuses(
        &with("\"node\": 1,", "\"node\": 9,"),
        &["n9 isn't among the nodes"],
    );
    refuses(
        &with("{ \"node\": 2", "{ \"node\": 3"),
        &["n3 is named twice"],
    );
    refuses(
        &with("127.0.0.1:7001", "town:80"),
        &["invalid socket address"],
    );
    let data = "\"data\": \"/tmp/never-used\",";
    refuses(
        &with(data, ""),
        &["n1 is a voter and needs a `data` folder"],
    );
    refuses(
        &SOUND.replace("true", "false"),
        &["none of the nodes is a voter"],
    );
}

#[test]
fn times_and_sizes_need_their_units_and_ranges() {
    let more = |section: &str| with("\"node\": 1,", &format!("\"node\": 1, {section},"));
    let wrong = [
        (
            r#""timing": { "heartbeat": "5 parsec" }"#,
            "`5 parsec` isn't a duration",
        ),
        (r#""timing": { "heartbeat": 100 }"#, "expected a string"),
        (
            r#""timing": { "heartbeat": "100" }"#,
            "`100` isn't a duration",
        ),
        (
            r#""timing": { "election": "20min" }"#,
            "`election`: 1200000 ms isn't within",
        ),
        (
            r#""timing": { "election": "200ms" }"#,
            "`election` is shorter than 3 times `heartbeat`",
        ),
        (
            r#""timing": { "drift": "600ms" }"#,
            "`drift` is more than half of `election`",
        ),
        (
            r#""lease": { "span": "1s", "drift": "1s" }"#,
            "`drift` isn't shorter than",
        ),
        (r#""limits": { "body": "9 KB" }"#, "`9 KB` isn't a size"),
        (
            r#""limits": { "head": "1MiB" }"#,
            "`head`: 1048576 isn't within",
        ),
        (
            r#""limits": { "connections": 0 }"#,
            "`connections`: 0 isn't within",
        ),
        (
            r#""limits": { "connections": 8, "connections_per_address": 9 }"#,
            "`connections_per_address` is more than all",
        ),
        (
            r#""limits": { "connections": 8, "open_requests": 9 }"#,
            "`open_requests` is more than all",
        ),
        (
            r#""stop": { "limit": "11min" }"#,
            "`limit`: 660000 ms isn't within",
        ),
        (
            r#""telemetry": { "metrics": "here" }"#,
            "invalid socket address",
        ),
    ];
    for (section, said) in wrong {
        refuses(&more(section), &[said, " 3 |"]);
    }
    let right = r#""timing": { "heartbeat": "200ms", "election": "2s" },
        "lease": { "span": "1min" }, "limits": { "body": "1MiB", "idle_time": "30s" },
        "stop": { "notice": "0s" }, "telemetry": { "traces": "127.0.0.1:4318" }"#;
    let output = daemon(&["check"], &more(right));
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn unwise_voters_are_warned_of() {
    let said = |text: &str| {
        let output = daemon(&["check"], text);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let even = with(
        "\"node\": 3, \"voter\": true",
        "\"node\": 3, \"voter\": false",
    );
    assert!(said(&even).contains("warning: 2 voters tolerate no more failures than 1"));
    let one = even.replace("\"domain\": \"b\"", "\"domain\": \"a\"");
    assert!(said(&one).contains("warning: all voters are in one failure domain"));
}
