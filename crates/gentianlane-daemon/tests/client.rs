//! The HTTP client of cores and entries, on a thread that runs late.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

#[path = "../src/fleet"]
mod fleet {
    #[allow(dead_code, reason = "the tests send orders only")]
    pub(crate) mod client;
    pub(crate) mod deadline;
}

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use fleet::client::{Client, RequestOutcome};
use gentianlane_platform::OutgoingRequest;
use tokio::runtime::Runtime;

/// The time limit of a request.
const LIMIT: Duration = Duration::from_millis(400);

/// How long the server takes to answer; the answer to a request that is written
/// late isn't there yet when the client's thread looks for it at once.
const ANSWER_DELAY: Duration = Duration::from_millis(20);

/// How long the client's thread is blocked.
const BLOCKED: Duration = Duration::from_millis(1_000);

/// Starts a server that answers every request on a connection if `answers`, and
/// otherwise only the first.
fn serve(answers: bool) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut request = [0; 4_096];
                let mut first = true;
                // Each request is small enough for one read.
                while stream.read(&mut request).is_ok_and(|read| read > 0) {
                    if first || answers {
                        thread::sleep(ANSWER_DELAY);
                        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                        stream.write_all(response).unwrap();
                    }
                    first = false;
                }
            });
        }
    });
    address
}

fn request() -> OutgoingRequest {
    OutgoingRequest {
        path: "/v1/hold",
        target: None,
        body: b"{}".to_vec(),
    }
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// A client with an idle connection to the server.
async fn connected(address: SocketAddr) -> Client {
    let client = Client::default();
    let first = client
        .send(address, request(), Duration::from_secs(60))
        .await;
    assert!(matches!(first, RequestOutcome::Answered(200, _)));
    client
}

/// When the client's thread is blocked.
#[derive(Debug, Clone, Copy)]
enum Block {
    /// After the request was handed to its connection, and before it is written.
    BeforeWrite,
    /// While the response is under way.
    AfterWrite,
}

/// Sends a request on a thread that is blocked.
fn send_and_block(address: SocketAddr, block: Block) -> RequestOutcome {
    runtime().block_on(async {
        let client = connected(address).await;
        let sent =
            tokio::spawn(async move { client.send(address, request(), LIMIT).await });
        match block {
            // Runs between the task that sends and the connection's task, which
            // the former wakes.
            Block::BeforeWrite => {
                tokio::spawn(async { thread::sleep(BLOCKED) });
            }
            Block::AfterWrite => {
                tokio::task::yield_now().await;
                thread::sleep(BLOCKED);
            }
        }
        sent.await.unwrap()
    })
}

#[test]
fn a_request_that_a_blocked_thread_wrote_late_gets_its_answer() {
    let outcome = send_and_block(serve(true), Block::BeforeWrite);
    assert!(
        matches!(outcome, RequestOutcome::Answered(200, _)),
        "{outcome:?}"
    );
}

#[test]
fn an_answer_that_a_blocked_thread_reads_late_counts() {
    let outcome = send_and_block(serve(true), Block::AfterWrite);
    assert!(
        matches!(outcome, RequestOutcome::Answered(200, _)),
        "{outcome:?}"
    );
}

#[test]
fn a_silent_server_is_given_up_on_by_a_thread_that_was_blocked() {
    for block in [Block::BeforeWrite, Block::AfterWrite] {
        let outcome = send_and_block(serve(false), block);
        assert!(matches!(outcome, RequestOutcome::TimedOut), "{outcome:?}");
    }
}
