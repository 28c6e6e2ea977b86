//! The commands of docs/OPERATING.md, as an operator types them.
#![allow(clippy::unwrap_used, reason = "a test ends at a fault")]

use std::collections::HashMap;
use std::env;
use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// How long all of the page's commands may take together.
const PATIENCE: Duration = Duration::from_secs(120);

/// What stands before every port of the page and its examples.
const HOST: &str = "127.0.0.1:";

/// Puts a free port in place of every port of the examples.
#[derive(Default)]
struct Ports {
    held: Vec<TcpListener>,
    known: HashMap<String, u16>,
}

impl Ports {
    fn replace(&mut self, text: &str) -> String {
        let mut parts = text.split(HOST);
        let mut out = parts.next().unwrap().to_owned();
        for part in parts {
            let end = part.find(|letter: char| !letter.is_ascii_digit());
            let (port, rest) = part.split_at(end.unwrap_or(part.len()));
            let free = *self.known.entry(port.to_owned()).or_insert_with(|| {
                let held = TcpListener::bind((HOST.trim_end_matches(':'), 0)).unwrap();
                let port = held.local_addr().unwrap().port();
                self.held.push(held);
                port
            });
            out.push_str(&format!("{HOST}{free}{rest}"));
        }
        out
    }
}

/// The page's blocks of commands that are marked as tested.
fn commands(page: &str) -> String {
    let blocks = page.split("```sh tested\n").skip(1);
    blocks
        .map(|block| block.split("```").next().unwrap())
        .collect()
}

#[test]
fn the_page_for_operators_does_what_it_says() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = tempfile::tempdir().unwrap();
    let mut ports = Ports::default();
    for name in ["n1.json", "n2.json", "n3.json", "first-note.json"] {
        let text = fs::read_to_string(root.join("examples").join(name)).unwrap();
        fs::write(folder.path().join(name), ports.replace(&text)).unwrap();
    }
    let page = fs::read_to_string(root.join("docs/OPERATING.md")).unwrap();
    let script = ports.replace(&commands(&page));
    assert!(script.lines().count() > 25, "{script}");
    drop(ports);
    let binaries = PathBuf::from(env!("CARGO_BIN_EXE_gentianlane"));
    let path = env::join_paths(
        std::iter::once(binaries.parent().unwrap().to_owned())
            .chain(env::split_paths(&env::var_os("PATH").unwrap())),
    );
    // Whatever the script leaves running ends with it.
    let guard = "trap 'kill -KILL $n1 $n2 $n3 $w 2> /dev/null || true' EXIT\n";
    let stop = "trap 'exit 9' TERM\n";
    let said = fs::File::create(folder.path().join("said")).unwrap();
    let mut shell = Command::new("sh")
        .args(["-e", "-c", &format!("{guard}{stop}{script}")])
        .current_dir(folder.path())
        .env("PATH", path.unwrap())
        .stdin(Stdio::null())
        .stdout(said.try_clone().unwrap())
        .stderr(said)
        .spawn()
        .unwrap();
    let end = Instant::now() + PATIENCE;
    let status = loop {
        if let Some(status) = shell.try_wait().unwrap() {
            break Some(status);
        }
        if Instant::now() >= end {
            let id = shell.id().to_string();
            Command::new("kill")
                .args(["-s", "TERM", &id])
                .status()
                .unwrap();
            shell.wait().unwrap();
            break None;
        }
        thread::sleep(Duration::from_millis(50));
    };
    let said = fs::read_to_string(folder.path().join("said")).unwrap();
    assert!(status.is_some_and(|status| status.success()), "{said}");
    for part in [
        "accepted as revision 1",
        "0: route 7",
        "0: flue 12",
        "0: route 8",
    ] {
        assert!(said.contains(part), "no {part:?} in:\n{said}");
    }
    let log = fs::read_to_string(folder.path().join("n1.log")).unwrap();
    assert_eq!(log.matches("event=stopped").count(), 2, "{log}");
    let began = fs::read_to_string(folder.path().join("worker-1.log")).unwrap();
    assert_eq!(began.matches("payload=\"flue 12\"").count(), 1, "{began}");
}
