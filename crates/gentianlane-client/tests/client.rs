//! The client against an entry VM that goes away.

use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use gentianlane::api::Submit;
use gentianlane::id;
use gentianlane::unit::{Span, Wall};
use gentianlane::verdict::Verdict;
use gentianlane_client::Client;

fn submit() -> Submit {
    Submit {
        key: id::Key::new(Wall::from_millis(1_800_000_000_000), &[2; 10]),
        team: "town".into(),
        workload: "notice".into(),
        payload: String::new(),
        count: None,
        deadline: None,
        trace: None,
        hold: Span::ZERO,
    }
}

#[test]
fn a_request_that_may_have_arrived_is_not_called_not_run_by_a_later_try() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        drop(listener);
        stream.read(&mut [0; 64]).unwrap()
    });
    let refusal = Client::new([entry]).submit(&submit(), Duration::from_millis(400));
    let refusal = refusal.unwrap_err();
    assert!(server.join().unwrap() > 0);
    assert_eq!(refusal.outcome.verdict, Verdict::MayHaveRun, "{refusal:?}");
}

#[test]
fn a_request_that_was_never_sent_has_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = listener.local_addr().unwrap();
    drop(listener);
    let refusal = Client::new([entry]).submit(&submit(), Duration::from_millis(100));
    assert_eq!(refusal.unwrap_err().outcome.verdict, Verdict::NotRun);
}
