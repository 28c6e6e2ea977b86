//! Callers that send slowly, wrongly, too much or not at all.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use common::{Cell, PATIENCE, check, status, submit, until};
use gentianlane::api::{Call, Reply};
use gentianlane::verdict::{Reason, Verdict};
use gentianlane_client::Client;

/// Limits small enough to meet.
const LIMITS: &str = r#""limits": { "connections": 12, "connections_per_address": 12,
    "open_requests": 12, "head": "2KiB", "body": "8KiB", "head_time": "300ms",
    "body_time": "300ms", "idle_time": "600ms" }, "stop": { "notice": "200ms" },"#;

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// All that comes back to these bytes.
fn exchange(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(to);
    stream.write_all(bytes).unwrap();
    read(&mut stream)
}

fn read(stream: &mut TcpStream) -> String {
    let mut said = Vec::new();
    stream.read_to_end(&mut said).unwrap();
    String::from_utf8(said).unwrap()
}

/// Checks that a response has this status code and a refusal with this word.
fn refused(said: &str, code: u16, word: &str) {
    let (head, body) = said.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with(&format!("HTTP/1.1 {code} ")), "{said}");
    let Ok(Reply::Refused(refusal)) = serde_json::from_str(body) else {
        panic!("no refusal: {said}");
    };
    assert_eq!(refusal.outcome.verdict, Verdict::NotRun);
    assert!(refusal.detail.contains(word), "{said}");
}

/// Checks that another caller is served as ever.
fn serves(cell: &Cell) {
    let work = submit("route-batch", "sorted");
    let answer = Client::new([cell.places[0].http]).submit(&work, PATIENCE);
    check(&answer.unwrap(), &work, &["sorted"]);
}

#[test]
fn what_no_one_can_read_gets_a_clear_error() {
    let cell = Cell::start_with(1, LIMITS);
    let to = cell.places[0].http;
    refused(
        &exchange(to, b"\x16\x03\x01\x02\x00\x01"),
        400,
        "not a valid HTTP/1",
    );
    refused(
        &exchange(to, b"HELO town\r\n\r\n"),
        400,
        "not a valid HTTP/1",
    );
    let post = |headers: &str, body: &str| {
        let head = format!("POST /v1/requests HTTP/1.1\r\nHost: cell\r\n{headers}\r\n");
        exchange(to, format!("{head}\r\n{body}").as_bytes())
    };
    refused(&post("X: y", ""), 411, "Content-Length");
    refused(
        &post("Transfer-Encoding: chunked", "0\r\n\r\n"),
        501,
        "chunked bodies aren't supported",
    );
    refused(
        &post("Content-Length: 1\r\nContent-Length: 2", "{}"),
        400,
        "not a valid HTTP/1",
    );
    refused(&post("Content-Length: -1", ""), 400, "not a valid HTTP/1");
    refused(&post("Content-Length: 8193", ""), 413, "too long");
    refused(
        &post("Content-Length: 99999999999999999999999", ""),
        413,
        "too long",
    );
    let large = format!("Content-Length: {}", 64 << 10);
    refused(&post(&large, &"x".repeat(64 << 10)), 413, "too long");
    refused(
        &post(&format!("X: {}", "y".repeat(4 << 10)), ""),
        431,
        "too long",
    );
    refused(&post("X: y\r\n".repeat(70).trim_end(), ""), 431, "headers");
    refused(
        &post("Connection: close\r\nContent-Length: 2", "{}"),
        400,
        "missing field",
    );
    let unknown = b"GET /v9 HTTP/1.0\r\n\r\n";
    refused(&exchange(to, unknown), 400, "there is no GET /v9");
    serves(&cell);
}

#[test]
fn slow_and_half_open_callers_are_ended_and_harm_no_one() {
    let cell = Cell::start_with(1, LIMITS);
    let to = cell.places[0].http;
    let mut silent = connect(to);
    let mut slow_head = connect(to);
    slow_head.write_all(b"GET /v1/workers HT").unwrap();
    let mut slow_body = connect(to);
    let head = b"POST /v1/requests HTTP/1.1\r\nContent-Length: 99\r\n\r\n{";
    slow_body.write_all(head).unwrap();
    let mut short = connect(to);
    short.write_all(b"GET /v1/wor").unwrap();
    short.shutdown(std::net::Shutdown::Write).unwrap();
    serves(&cell);
    refused(&read(&mut slow_head), 408, "too long to arrive");
    refused(&read(&mut slow_body), 408, "too long to arrive");
    refused(&read(&mut short), 400, "ended too early");
    assert_eq!(read(&mut silent), "");
    let mut dripping = connect(to);
    let ended = until("a dripping caller is ended", || {
        dripping.write_all(b"x").err().map(|error| error.kind())
    });
    assert!(matches!(
        ended,
        ErrorKind::BrokenPipe | ErrorKind::ConnectionReset
    ));
}

#[test]
fn one_address_takes_no_more_connections_than_it_may() {
    let cell = Cell::start_with(0, LIMITS);
    let to = cell.places[0].http;
    let held = until("the place is taken", || {
        let held: Vec<TcpStream> = (0..16).map(|_| connect(to)).collect();
        let mut last = connect(to);
        let said = read(&mut last);
        if said.is_empty() {
            return None;
        }
        refused(&said, 503, "too many connections");
        Some(held)
    });
    drop(held);
    until("another caller is served", || {
        (status(to, "/health") == Some(200)).then_some(())
    });
}

#[test]
fn a_connection_serves_one_request_after_another() {
    let cell = Cell::start_with(0, LIMITS);
    let get = "GET /v1/workers HTTP/1.1\r\nHost: cell\r\n\r\n";
    let last = "GET /health HTTP/1.1\r\nConnection: close\r\n\r\n";
    let said = exchange(cell.places[0].http, format!("{get}{get}{last}").as_bytes());
    assert_eq!(said.matches("HTTP/1.1 200 OK").count(), 3, "{said}");
    assert_eq!(said.matches("Connection: close").count(), 1, "{said}");
    let (head, body) = ("POST /v1/requests/wait HTTP/1.1\r\n", "{}");
    let mut waits = connect(cell.places[0].http);
    let expects =
        "Expect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\n";
    waits
        .write_all(format!("{head}{expects}").as_bytes())
        .unwrap();
    let mut go_on = [0; 25];
    waits.read_exact(&mut go_on).unwrap();
    assert_eq!(&go_on, b"HTTP/1.1 100 Continue\r\n\r\n");
    waits.write_all(body.as_bytes()).unwrap();
    refused(&read(&mut waits), 400, "missing field");
}

#[test]
fn a_node_that_stops_fails_its_health_check_and_finishes_what_is_open() {
    // A leader that loses the lead answers what it holds with `Pending`, which says
    // nothing about the node that stops; so a short silence doesn't take the lead.
    let more = r#""stop": { "notice": "3s" }, "timing": { "election": "5s" },"#;
    let mut cell = Cell::start_with(1, more);
    let node = (cell.leader() + 1) % 3;
    let to = cell.places[node].http;
    let mut work = submit("notice", "sleep=1500 flue 7");
    work.hold = gentianlane::unit::Span::from_secs(20);
    let asked = std::thread::spawn({
        let call = Call::Submit(work.clone());
        move || Client::new([to]).call(&call)
    });
    until("the work has begun", || {
        (cell.began("sleep=1500 flue 7") == 1).then_some(())
    });
    let process = cell.nodes[node].take().unwrap();
    process.signal("TERM");
    until("the health check fails", || {
        (status(to, "/health") == Some(503)).then_some(())
    });
    let late = submit("notice", "arrived late");
    let answer = Client::new([to]).submit(&late, PATIENCE).unwrap();
    check(&answer, &late, &["arrived late"]);
    let reply = asked.join().unwrap();
    let Ok(Reply::Answer(answer)) = reply else {
        panic!("no answer: {reply:?}");
    };
    check(&answer, &work, &["flue 7"]);
    assert_eq!(answer.outcome.reason, Reason::Done);
    assert!(process.end().success(), "{}", cell.log(node));
    assert!(
        cell.log(node).contains("event=drained"),
        "{}",
        cell.log(node)
    );
    assert!(!cell.log(node).contains("cut="), "{}", cell.log(node));
}
