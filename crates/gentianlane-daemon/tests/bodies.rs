//! The limits on requests' bodies at each port, for a single caller.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use common::system::{self, System, ask};
use serde_json::json;

/// The longest body of a caller, in bytes: `max_body_bytes` of the users' pages.
const CALLER_BODY: usize = 262_144;

/// The longest head, in bytes: `max_header_bytes` of the users' pages.
const CALLER_HEAD: usize = 16_384;

const JOB: &str = "/q/00000000000000aa";
const STEPS: &str =
    r#"{"task_spec":"t","steps":[{"count":1,"cpu":5,"mem_mb":1,"estimated_ms":100}]}"#;

/// All systems of a test process have the same addresses.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The response to a head alone, whose body is announced but not sent.
fn refusal(address: SocketAddr, path: &str, length: usize) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {length}\r\n\r\n",
        address.ip()
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn a_body_of_the_limit_is_taken_and_a_longer_one_is_refused_before_it_is_sent() {
    let _alone = alone();
    let _system = System::start(&json!({ "memory_mb": 64 }));
    let padding = " ".repeat(CALLER_BODY - STEPS.len());
    let told = ask("POST", system::front(), JOB, &format!("{STEPS}{padding}")).unwrap();
    assert_eq!(told.status, 200, "{}", told.text);
    for (address, path, limit) in [
        (system::front(), JOB, CALLER_BODY),
        (system::control(), "/v1/config/replace", 4 << 20),
        (system::ready(), "/v1/ready", 4 << 10),
        (system::metrics("entry"), "/metrics", 4 << 10),
        (system::metrics("core"), "/metrics", 4 << 10),
    ] {
        let response = refusal(address, path, limit + 1);
        assert!(response.starts_with("HTTP/1.1 413 "), "{path}: {response}");
        let reason = format!("longer than {limit} bytes");
        assert!(response.contains(&reason), "{path}: {response}");
    }
    let metrics = ask("GET", system::metrics("entry"), "/metrics", "").unwrap();
    assert!(
        metrics
            .text
            .contains("gentianlane_intake_limit_bytes 8388608")
    );
}

#[test]
fn a_head_of_the_limit_is_taken() {
    let _alone = alone();
    let _system = System::start(&json!({}));
    let mut stream = TcpStream::connect(system::front()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let start = format!(
        "POST {JOB} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\nX: ",
        system::front().ip(),
        STEPS.len()
    );
    let padding = "a".repeat(CALLER_HEAD - start.len() - 4);
    let request = format!("{start}{padding}\r\n\r\n{STEPS}");
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
}

#[test]
fn a_body_in_chunks_is_refused_as_soon_as_it_is_longer_than_the_limit() {
    let _alone = alone();
    let _system = System::start(&json!({}));
    let mut stream = TcpStream::connect(system::ready()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let chunk = format!("1001\r\n{}", " ".repeat(0x1001));
    let request = format!(
        "GET /v1/ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
}

/// A caller that has sent a body of 4 MiB but for its last byte.
fn stalled() -> TcpStream {
    let mut stream = TcpStream::connect(system::control()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let head =
        "POST /v1/config/replace HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b' '; (4 << 20) - 1]).unwrap();
    stream
}

#[test]
fn a_stalled_request_that_makes_room_is_told_when_to_come_back() {
    let _alone = alone();
    // The lowest bound, which has room for one body of 4 MiB.
    let _system = System::start(&json!({ "memory_mb": 40 }));
    let mut first = stalled();
    let _second = stalled();
    let mut response = String::new();
    first.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    let response = response.to_lowercase();
    assert!(response.contains("\r\nretry-after: 1\r\n"), "{response}");
    assert!(response.contains("\r\nconnection: close\r\n"), "{response}");
}
