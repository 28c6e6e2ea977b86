//! Stand-ins and cases of the review. Only the standard library is used.

mod cases;
mod cluster;
mod http;
mod json;
mod keys;
mod late;
mod minion;
mod restarts;

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

fn addresses(text: &str) -> Vec<std::net::SocketAddr> {
    text.split(',').filter_map(|it| it.parse().ok()).collect()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        [
            _,
            "minion",
            id,
            address,
            reported,
            backend,
            zone,
            kind,
            rack,
            cpu,
            controls,
            leave_controls,
            log,
        ] => {
            minion::run(minion::Setup {
                id: (*id).to_owned(),
                address: address.parse().unwrap(),
                reported: reported.parse().unwrap(),
                backend: (*backend).to_owned(),
                zone: (*zone).to_owned(),
                kind: (*kind).to_owned(),
                rack: (*rack).to_owned(),
                cpu: cpu.parse().unwrap(),
                controls: addresses(controls),
                leave_controls: addresses(leave_controls),
                log: (*log).to_owned(),
                hold_max_ms: cluster::HOLD_MAX_MS,
                beat_ms: 1_500,
            });
        }
        [_, "case", name, record] => {
            let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
            std::process::exit(cases::run(name, record, trouble));
        }
        _ => {
            eprintln!("usage: standin case NAME RECORD");
            std::process::exit(2);
        }
    }
}
