//! Metrics and traces, as stand-in collectors receive them.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

mod common;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Instant;

use common::{Cell, PATIENCE, is_ready, status, submit, until};
use serde_json::Value;

/// The trace and the span that the caller works in.
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";

/// Takes one export and answers it; gives its spans.
fn take(stream: TcpStream) -> Vec<Value> {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if line.trim().is_empty() {
            break;
        }
        let line = line.to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    reader.get_mut().write_all(answer).unwrap();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let spans = &body["resourceSpans"][0]["scopeSpans"][0]["spans"];
    spans.as_array().unwrap().clone()
}

/// A stand-in for a collector of traces; its thread ends with the test.
fn collector() -> (u16, Receiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let (sender, spans) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            for span in take(stream.unwrap()) {
                if sender.send(span).is_err() {
                    return;
                }
            }
        }
    });
    (port, spans)
}

/// A stand-in for a collector of metrics; its thread ends with the test.
///
/// It reads from before the cell starts: a socket that no one reads holds some
/// hundred datagrams, and the system drops the rest.
fn metrics() -> (SocketAddr, Receiver<String>) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let (sender, metrics) = channel();
    thread::spawn(move || {
        loop {
            let mut bytes = [0; 2_048];
            let count = socket.recv(&mut bytes).unwrap();
            let text = std::str::from_utf8(&bytes[..count]).unwrap();
            if sender.send(text.to_owned()).is_err() {
                return;
            }
        }
    });
    (address, metrics)
}

/// Waits until each of these parts was in some metric.
fn parts(metrics: &Receiver<String>, wanted: &[&str]) {
    let end = Instant::now() + PATIENCE;
    let mut missing = wanted.to_vec();
    while !missing.is_empty() {
        assert!(Instant::now() < end, "no {missing:?}");
        let metric = metrics.recv_timeout(PATIENCE).unwrap();
        missing.retain(|part| !metric.contains(part));
    }
}

/// The spans of the caller's trace by their hops, once all of these have come.
///
/// Spans of other traces come for ever, as workers renew their leases.
fn hops(spans: &Receiver<Value>, wanted: &[&str]) -> HashMap<String, Value> {
    let end = Instant::now() + PATIENCE;
    let mut hops: HashMap<String, Value> = HashMap::new();
    while !wanted.iter().all(|hop| hops.contains_key(*hop)) {
        assert!(Instant::now() < end, "of {wanted:?} only {:?}", hops.keys());
        let span = spans.recv_timeout(PATIENCE).unwrap();
        if span["traceId"] == TRACE {
            hops.insert(span["name"].as_str().unwrap().to_owned(), span);
        }
    }
    hops
}

#[test]
fn each_hop_of_a_call_has_a_span_in_the_callers_trace() {
    let (port, spans) = collector();
    let more = format!(r#""telemetry": {{ "traces": "127.0.0.1:{port}" }},"#);
    let cell = Cell::start_with(0, &more);
    let follower = (cell.leader() + 1) % 3;
    let to = cell.places[follower].http;
    let response = attohttpc::get(format!("http://{to}/v1/workers"))
        .header("traceparent", format!("00-{TRACE}-{CALLER}-01"))
        .send();
    assert!(response.unwrap().is_success());
    let hops = hops(&spans, &["entry", "forward", "control"]);
    assert_eq!(hops["entry"]["parentSpanId"], CALLER);
    assert_eq!(hops["forward"]["parentSpanId"], hops["entry"]["spanId"]);
    assert_eq!(hops["control"]["parentSpanId"], hops["forward"]["spanId"]);
    let call = &hops["control"]["attributes"][0]["value"]["stringValue"];
    assert_eq!(call, "workers");
}

#[test]
fn an_order_has_a_span_in_its_requests_trace() {
    let (port, spans) = collector();
    let more = format!(r#""telemetry": {{ "traces": "127.0.0.1:{port}" }},"#);
    let cell = Cell::start_with(1, &more);
    let to = cell.places[cell.leader()].http;
    let submit = submit("route-batch", "sorted");
    let response = attohttpc::post(format!("http://{to}/v1/requests"))
        .header("traceparent", format!("00-{TRACE}-{CALLER}-01"))
        .json(&submit)
        .unwrap()
        .send();
    assert!(response.unwrap().is_success());
    let hops = hops(&spans, &["entry", "order"]);
    assert_eq!(hops["entry"]["parentSpanId"], CALLER);
    assert_eq!(hops["order"]["parentSpanId"], hops["entry"]["spanId"]);
}

#[test]
fn a_collector_that_never_answers_holds_up_no_call() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = silent.local_addr().unwrap().port();
    let (address, metrics) = metrics();
    let more = format!(
        r#""telemetry": {{ "traces": "127.0.0.1:{port}", "metrics": "{address}" }},"#
    );
    let cell = Cell::start_with(0, &more);
    let to = cell.places[0].http;
    for _ in 0..2_400 {
        assert_eq!(status(to, "/v1/members"), Some(200));
    }
    // Spans of the start may be dropped before the first call, so no part tells
    // that the others have come.
    let wanted = [
        "gentianlane.spans.dropped:",
        "gentianlane.calls:1|c|#node:n1,call:members,verdict:none",
        "gentianlane.calls.time:",
        "gentianlane.control.waiting:",
        "gentianlane.journal.sync:",
        "gentianlane.roles:1|c|#node:",
        "verdict:none",
    ];
    parts(&metrics, &wanted);
}

#[test]
fn frames_of_another_cell_and_garbage_are_counted() {
    let metrics = UdpSocket::bind("127.0.0.1:0").unwrap();
    metrics.set_read_timeout(Some(PATIENCE)).unwrap();
    let more = format!(
        r#""telemetry": {{ "metrics": "{}" }},"#,
        metrics.local_addr().unwrap()
    );
    let cell = Cell::start_with(0, &more);
    let place = cell.places[0];
    let mut stream = TcpStream::connect(place.peer).unwrap();
    stream.write_all(&[3, 0, 0, 0, 9, 9, 9]).unwrap();
    until("the frame is counted", || {
        let mut bytes = [0; 2_048];
        let count = metrics.recv(&mut bytes).unwrap();
        let seen = std::str::from_utf8(&bytes[..count]).unwrap();
        seen.contains("frames.refused:1|c|#node:n1").then_some(())
    });
    assert!(is_ready(place.http));
}
