//! A node whose disk takes no more.

use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Kibibytes that the process may write to one file.
const ROOM: &str = "24";

/// A process that ends with its test.
struct Guard(Child);

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a cell of one node under a limit on the length of files.
#[allow(clippy::unwrap_used, reason = "only tests call this")]
fn start(settings: &Path, room: &str) -> Guard {
    let script = "trap '' XFSZ; ulimit -S -f $1; exec $2 run --settings $3";
    let child = Command::new("bash")
        .args(["-c", script, "bash", room])
        .arg(env!("CARGO_BIN_EXE_gentianlaned"))
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    Guard(child)
}

#[allow(clippy::unwrap_used, reason = "only tests call this")]
fn write_settings(folder: &Path) -> (std::path::PathBuf, String) {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let held: Vec<TcpListener> = (0..3).map(bind).collect();
    let free: Vec<String> = held
        .iter()
        .map(|listener| listener.local_addr().unwrap().to_string())
        .collect();
    let node = json!({
        "node": 1, "voter": true, "domain": "domain-1", "http": free[0], "peer": free[1], "rpc": free[2],
    });
    let settings = json!({
        "cell": "test", "node": 1, "data": folder.join("data"), "nodes": [node],
    });
    let path = folder.join("settings.json");
    std::fs::write(&path, settings.to_string()).unwrap();
    let made = Command::new(env!("CARGO_BIN_EXE_gentianlaned"))
        .args(["init", "--settings"])
        .arg(&path)
        .status();
    assert!(made.unwrap().success());
    (path, format!("http://{}", free[0]))
}

/// The status and body of an answer, or nothing while no one listens.
fn post(url: &str, body: &Value) -> Option<(u16, String)> {
    const PATIENCE: Duration = Duration::from_secs(2);
    let request = attohttpc::post(url).timeout(PATIENCE);
    let sent = request.text(body.to_string()).send().ok()?;
    Some((sent.status().as_u16(), sent.text().ok()?))
}

fn is_ready(base: &str) -> bool {
    let sent = attohttpc::get(format!("{base}/ready")).send();
    sent.is_ok_and(|answer| answer.is_success())
}

fn wait_until(mut done: impl FnMut() -> bool) {
    const PATIENCE: Duration = Duration::from_secs(30);
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "nothing happened for {PATIENCE:?}");
        std::thread::yield_now();
    }
}

fn submit(key: u32) -> Value {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis() as u64;
    let time = format!("{:08x}-{:04x}", millis >> 16, millis & 0xffff);
    json!({
        "key": format!("{time}-7000-8000-{key:012x}"),
        "team": "norrvik", "workload": "route", "payload": "x".repeat(2_000),
    })
}

#[test]
fn a_full_disk_refuses_new_work_and_the_node_goes_on() {
    let folder = tempfile::tempdir().unwrap();
    let (settings, base) = write_settings(folder.path());
    let mut node = start(&settings, ROOM);
    wait_until(|| is_ready(&base));
    let size = json!({ "cpu": 1_000, "memory": 1_000_000 });
    let route = json!({ "kind": "batch", "size": size, "idempotent": true });
    let note = json!({ "number": 1, "base": 0, "add": {
        "workloads": { "route": route },
        "teams": { "norrvik": { "size": size } },
    } });
    let text = json!({ "text": note.to_string() });
    let (status, said) = post(&format!("{base}/v1/notes"), &text).unwrap();
    assert_eq!(status, 200, "{said}");
    let requests = format!("{base}/v1/requests");
    let mut refused = None;
    for key in 1..100 {
        let request = submit(key);
        // The request that meets the end of the disk isn't answered yet.
        let Some((_, said)) = post(&requests, &request) else {
            continue;
        };
        if said.contains("disk_full") && said.contains("not_run") {
            refused = Some((request, said));
            break;
        }
    }
    let (request, said) = refused.expect("a request is refused for want of room");
    assert!(said.contains("retry_after"), "{said}");
    let (status, again) = post(&requests, &request).unwrap();
    assert_eq!((status, &again), (503, &said));
    let health = attohttpc::get(format!("{base}/health")).send().unwrap();
    assert!(health.is_success());
    assert_eq!(node.0.try_wait().unwrap(), None, "the process ended");
    drop(node);

    let node = start(&settings, "unlimited");
    wait_until(|| is_ready(&base));
    let (_, said) = post(&requests, &request).unwrap();
    assert!(!said.contains("disk_full"), "{said}");
    let status = attohttpc::get(format!("{base}/v1/notes")).send().unwrap();
    assert!(status.text().unwrap().contains("\"revision\":1"));
    drop(node);
}
