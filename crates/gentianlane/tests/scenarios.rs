//! Scenarios: one script a file under `scenarios/`, in the words that
//! `docs/SCENARIOS.md` lists.

#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "a part of the harness is used, and a test may panic"
)]

mod script;
mod world;

use std::path::{Path, PathBuf};

fn scripts() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = std::fs::read_dir(folder).unwrap();
    let mut scripts: Vec<PathBuf> = entries
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|ending| ending == "rhai"))
        .collect();
    scripts.sort();
    scripts
}

#[test]
fn every_scenario_ends_as_it_says() {
    let only = std::env::var("SCENARIO").unwrap_or_default();
    let mut failed = Vec::new();
    let mut count = 0;
    for path in scripts()
        .iter()
        .filter(|path| path.to_string_lossy().contains(&only))
    {
        count += 1;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        match script::run(path) {
            Ok(()) => println!("scenario {name}: as it says"),
            Err(said) => failed.push(format!("scenario {name}: {said}")),
        }
    }
    assert!(count > 0, "no scenario's name holds {only:?}");
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
