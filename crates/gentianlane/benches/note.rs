//! How long reading and checking a release note takes.

use std::time::Instant;

use gentianlane::note::Note;

/// How often each note is read.
const ROUNDS: u32 = 20;

fn note(workloads: u32) -> String {
    let workload = |number| {
        format!(
            r#""route-{number}": {{ "kind": "batch", "idempotent": true,
  "size": {{ "cpu": 1000, "memory": 1000000 }} }}"#
        )
    };
    let workloads: Vec<String> = (0..workloads).map(workload).collect();
    let workloads = workloads.join(",\n");
    format!(
        r#"{{ "number": 1, "base": 0, "add": {{ "workloads": {{ {workloads} }} }} }}"#
    )
}

fn main() {
    for workloads in [1, 10, 100, 1_000, 5_000] {
        let text = note(workloads);
        let began = Instant::now();
        let read = (0..ROUNDS).filter(|_| Note::read(&text).is_ok()).count();
        let micros = began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        let bytes = text.len();
        println!("note workloads={workloads} bytes={bytes} us={micros:.0} read={read}");
    }
}
