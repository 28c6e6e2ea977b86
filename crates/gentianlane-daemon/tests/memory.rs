//! The setting of a process's memory, and the metrics beside it.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

mod common;

use std::fs;
use std::process::Command;

use common::system::{self, System, ask};
use serde_json::json;
use tempfile::TempDir;

/// The value of a metric.
fn value(metrics: &str, name: &str) -> Option<u64> {
    let mut lines = metrics.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

#[test]
fn the_metrics_tell_the_memory_in_use_and_its_limit() {
    let _system = System::start(&json!({ "memory_mb": 64 }));
    for role in ["core", "entry"] {
        let told = ask("GET", system::metrics(role), "/metrics", "").unwrap();
        let limit = value(&told.text, "gentianlane_memory_limit_bytes");
        assert_eq!(limit, Some(64 << 20), "{role}");
        if cfg!(target_os = "linux") {
            let used = value(&told.text, "gentianlane_memory_resident_bytes").unwrap();
            // Less than a mebibyte would be another unit.
            assert!(used > 1 << 20, "{role}: {used}");
        }
    }
}

#[test]
fn a_process_without_memory_is_refused_with_the_line() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("entry.json");
    let check = |memory: &str| {
        let text = format!(
            r#"{{
  "node": "entry-1", "ip": "127.0.0.1", "domain": "d", "link_port": 1,
  "front": "127.0.0.1:2", "ready": "127.0.0.1:3", "seeds": [],
  "lease_limit_ms": 6000, "stop_ms": 200, "grace_s": 6,
  "memory_mb": {memory}, "losses": 1
}}"#
        );
        fs::write(&path, text).unwrap();
        let checked = Command::new(env!("CARGO_BIN_EXE_gentianlaned"))
            .args(["entry", "--check", "--settings"])
            .arg(&path)
            .output()
            .unwrap();
        let said = String::from_utf8_lossy(&checked.stderr).into_owned();
        (checked.status.success(), said)
    };
    let (fine, said) = check("1");
    assert!(fine, "{said}");
    let (fine, said) = check("0");
    assert!(!fine);
    // The report is wrapped.
    let said = said.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(said.contains("nonzero"), "{said}");
    assert!(said.contains("line 5"), "{said}");
}
