//! The command line against a cell in one process.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use serde_json::Value;
use tempfile::TempDir;

/// A sample cell; killed and reaped when dropped.
struct Cell {
    daemon: Child,
    entries: Vec<String>,
    folder: TempDir,
}

impl Cell {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut daemon = Command::new(daemon())
            .args(["dev", "--data"])
            .arg(folder.path().join("cell"))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut entries = Vec::new();
        for line in BufReader::new(daemon.stdout.take().unwrap()).lines() {
            let line = line.unwrap();
            assert!(!line.contains("WRONG"), "{line}");
            if let Some((_, entry)) = line.split_once("takes calls at http://") {
                entries.push(entry.to_owned());
            }
            if line.starts_with("the cell runs") {
                break;
            }
        }
        Self {
            daemon,
            entries,
            folder,
        }
    }

    fn ask(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gentianlane"));
        for entry in &self.entries {
            command.args(["--entry", entry]);
        }
        command.args(arguments).output().unwrap()
    }

    /// What a command prints that ends with this exit code.
    fn says(&self, arguments: &[&str], code: i32) -> String {
        let output = self.ask(arguments);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{arguments:?}: {output:?}"
        );
        String::from_utf8(output.stdout).unwrap()
    }

    fn json(&self, arguments: &[&str], code: i32) -> Value {
        let mut all = vec!["--json"];
        all.extend(arguments);
        serde_json::from_str(&self.says(&all, code)).unwrap()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        let _ = self.daemon.kill();
        let _ = self.daemon.wait();
    }
}

/// The daemon's binary, built beside the command line's.
fn daemon() -> PathBuf {
    let own = PathBuf::from(env!("CARGO_BIN_EXE_gentianlane"));
    let daemon = own.with_file_name("gentianlaned");
    assert!(
        daemon.exists(),
        "build the workspace first: {}",
        daemon.display()
    );
    daemon
}

#[test]
fn each_command_says_what_the_cell_says() {
    let cell = Cell::start();
    let submit = |workload, payload| ["submit", "--team", "town", workload, payload];
    let said = cell.json(&submit("route-batch", "route 7"), 0);
    assert_eq!(said["with"]["outputs"][0]["text"], "route 7");
    let key = said["with"]["key"].as_str().unwrap();
    assert_eq!(cell.json(&["wait", key], 0), said);
    assert_eq!(cell.json(&["cancel", key], 0), said);
    let said = cell.says(&submit("notice", "flue 9"), 0);
    assert!(said.contains("ran, done\n0: flue 9"), "{said}");
    assert_eq!(
        cell.json(&submit("route-batch", "fail"), 5)["reply"],
        "answer"
    );
    assert_eq!(
        cell.json(&submit("castle", "x"), 3)["with"]["outcome"]["verdict"],
        "not_run"
    );
    let workers = cell.json(&["workers"], 0);
    assert_eq!(workers["with"].as_array().unwrap().len(), 6);
    let table = cell.says(&["workers"], 0);
    assert!(
        table.starts_with("WORKER") && table.contains("worker-1"),
        "{table}"
    );
    let jobs = cell.json(&["jobs"], 0);
    let listener = &jobs["with"][0];
    assert_eq!(listener["workload"], "listener");
    assert_eq!(cell.json(&["tasks"], 0), jobs);
    let job = listener["job"].to_string();
    assert!(cell.says(&["explain", &job], 0).contains("runs as attempt"));
    assert!(cell.says(&["members"], 0).contains("leader"));
    assert!(cell.says(&["top"], 0).contains("workers   6, 0 draining"));
    assert_eq!(cell.says(&["drain", "worker-6"], 0), "done\n");
    assert_eq!(cell.json(&["top"], 0)["draining"], 1);
    assert_eq!(cell.says(&["drain", "worker-6", "--undo"], 0), "done\n");
    assert_eq!(cell.json(&["top"], 0)["draining"], 0);
}

#[test]
fn notes_are_checked_applied_and_waited_for() {
    let cell = Cell::start();
    let file = |name: &str, text: &str| {
        let path = cell.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let second = file("second.json", r#"{ "number": 2, "base": 1 } // empty"#);
    let unlike = file(
        "unlike.json",
        r#"{ "number": 2, "base": 1, "add": { "settings": { "packing": 7 } } }"#,
    );
    let broken = file("broken.json", "{\n  \"numbr\": 2 }");
    assert!(
        cell.says(&["note", "check", &second], 0)
            .starts_with("note 2 reads well")
    );
    let output = cell.ask(&["note", "check", &broken]);
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8(output.stderr).unwrap().contains("numbr"));
    assert_eq!(
        cell.says(&["note", "apply", &second], 0),
        "accepted as revision 2\n"
    );
    assert_eq!(
        cell.says(&["note", "apply", &second], 0),
        "accepted as revision 2\n"
    );
    assert!(
        cell.says(&["note", "apply", &unlike], 3)
            .contains("took the number")
    );
    cell.says(&["note", "apply", &broken], 3);
    cell.says(&["note", "apply", "/no/such/file"], 1);
    let status = cell.json(&["note", "status", "--wait"], 0);
    assert_eq!(status["with"]["revision"], 2);
    let nodes = status["with"]["nodes"].as_array().unwrap();
    assert!(nodes.len() == 3 && nodes.iter().all(|node| node["in_force"] == true));
}

#[test]
fn a_load_adds_up_and_is_drawn() {
    let cell = Cell::start();
    let picture = cell.folder.path().join("latency.svg");
    let picture = picture.to_str().unwrap();
    let load = [
        "load",
        "--team",
        "town",
        "--work",
        "route-batch=3",
        "--work",
        "notice=1",
        "--rate",
        "60",
        "--seconds",
        "2",
        "--resends",
        "20",
        "--cancels",
        "10",
        "--svg",
        picture,
    ];
    let report = cell.json(&load, 0);
    let counts = &report["counts"];
    let count = |name: &str| counts[name].as_u64().unwrap();
    assert_eq!(report["planned"], 120);
    assert_eq!(count("sent"), 120);
    let bad = count("wrong") + count("differed") + count("unanswered");
    assert_eq!(bad, 0, "{report}");
    assert_eq!(
        count("done") + count("not_run") + count("may_have_run"),
        120
    );
    assert!(count("done") >= 120 - count("cancelled"), "{report}");
    assert!(count("resent") > 0 && count("cancelled") > 0, "{report}");
    let latency = |name: &str| report["latency"][name].as_u64().unwrap();
    assert!(latency("p50") <= latency("p99") && latency("p99") <= latency("max"));
    let picture = fs::read_to_string(picture).unwrap();
    assert!(picture.starts_with("<svg") && picture.contains("<polyline"));
}

#[test]
fn a_data_folder_is_looked_at_without_its_node() {
    let mut cell = Cell::start();
    let folder = cell.folder.path().join("cell/n1");
    let folder = folder.to_str().unwrap().to_owned();
    cell.daemon.kill().unwrap();
    cell.daemon.wait().unwrap();
    let said = cell.json(&["data", "check", &folder], 0);
    assert_eq!(said["node"], 1);
    assert!(said["entries"].as_u64().unwrap() > 0, "{said}");
    assert!(
        cell.says(&["data", "describe", &folder], 0)
            .contains("node n1 of cell dev")
    );
    let segment = cell
        .folder
        .path()
        .join("cell/n1")
        .join(said["segments"][0]["file"].as_str().unwrap());
    let mut bytes = fs::read(&segment).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&segment, &bytes).unwrap();
    let said = cell.json(&["data", "check", &folder], 1);
    assert!(
        said["fault"].as_str().unwrap().contains("damaged"),
        "{said}"
    );
    assert_eq!(fs::read(&segment).unwrap(), bytes);
}

#[test]
fn what_goes_wrong_has_its_exit_code() {
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gentianlane"));
        command.args(arguments).output().unwrap()
    };
    assert_eq!(run(&["no-such-word"]).status.code(), Some(2));
    assert_eq!(run(&["--entry", "nowhere", "jobs"]).status.code(), Some(2));
    assert_eq!(run(&["jobs"]).status.code(), Some(1));
    let refused = ["--entry", "127.0.0.1:1", "jobs"];
    assert_eq!(run(&refused).status.code(), Some(1));
    let load = ["load", "--team", "town", "--work", "x=0"];
    assert_eq!(run(&load).status.code(), Some(1));
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell]);
        assert!(output.status.success());
        assert!(
            String::from_utf8(output.stdout)
                .unwrap()
                .contains("gentianlane")
        );
    }
}
