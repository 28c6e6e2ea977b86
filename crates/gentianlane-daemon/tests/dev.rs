//! The sample cell, as a newcomer starts it.

use std::process::Command;

#[test]
fn the_sample_cell_answers_every_sample_job() {
    let folder = tempfile::tempdir().unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_gentianlaned"))
        .args(["dev", "--once", "--data"])
        .arg(folder.path())
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{said}");
    assert!(said.contains("gang: ran, done"), "{said}");
    assert!(said.contains("misfit: not run, fits no worker"), "{said}");
}
