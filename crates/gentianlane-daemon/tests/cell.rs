//! Three daemons and their stand-in workers as separate processes.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Cell, PATIENCE, check, submit, until};
use gentianlane::api::{Answer, Call, NoteText, Reply, Submit};
use gentianlane::unit::Span;
use gentianlane::verdict::Verdict;
use gentianlane_client::{Client, Fault};

/// How long a cell is watched that may not answer.
const BRIEFLY: Duration = Duration::from_secs(5);

/// A release note that follows the sample's and adds a workload.
const SECOND: &str = r#"{ "number": 2, "base": 1, "add": { "workloads": { "second": {
  "kind": "batch", "size": { "cpu": 100, "memory": 1048576 }, "idempotent": true } } } }"#;

#[test]
fn every_entry_gives_every_caller_its_whole_answer() {
    let cell = Cell::start(4);
    for entry in cell.entries() {
        let mut client = Client::new([entry]);
        let name = entry.port();
        let batch = submit("route-batch", &format!("sleep=5 route {name} sorted"));
        let gang = submit("image-run", &format!("sleep=5 photos {name}"));
        let notice = submit("notice", &format!("flue {name}"));
        let text = format!("route {name} sorted");
        check(&client.submit(&batch, PATIENCE).unwrap(), &batch, &[&text]);
        let text = format!("photos {name}");
        check(
            &client.submit(&gang, PATIENCE).unwrap(),
            &gang,
            &[&*text; 4],
        );
        let text = format!("flue {name}");
        check(
            &client.submit(&notice, PATIENCE).unwrap(),
            &notice,
            &[&text],
        );
        let misfit = client.submit(&submit("castle", "one"), PATIENCE).unwrap();
        assert_eq!(misfit.outcome.verdict, Verdict::NotRun);
        for other in cell.entries() {
            let again = Client::new([other]).submit(&notice, PATIENCE).unwrap();
            check(&again, &notice, &[&text]);
        }
        assert_eq!(cell.began(&text), 1);
    }
}

#[test]
fn every_caller_gets_its_one_answer_when_the_leader_is_killed() {
    let mut cell = Cell::start(4);
    let leader = cell.leader();
    let notices: Vec<Submit> = (0..24)
        .map(|number| submit("notice", &format!("sleep=400 flue {number}")))
        .collect();
    thread::scope(|scope| {
        let asked: Vec<_> = notices
            .iter()
            .enumerate()
            .map(|(number, notice)| {
                let mut entries: Vec<_> = cell.entries().collect();
                entries.rotate_left(number % 3);
                let mut client = Client::new(entries);
                scope.spawn(move || client.submit(notice, PATIENCE))
            })
            .collect();
        until("work has begun", || {
            (cell.began(&notices[0].payload) == 1).then_some(())
        });
        cell.nodes[leader].take().unwrap().kill();
        for (thread, notice) in asked.into_iter().zip(&notices) {
            let answer = thread.join().unwrap().unwrap();
            let text = notice.payload.trim_start_matches("sleep=400 ");
            check(&answer, notice, &[text]);
        }
    });
    for notice in &notices {
        let again = cell.client().submit(notice, PATIENCE).unwrap();
        assert_eq!(again.outcome.verdict, Verdict::Ran);
        assert_eq!(cell.began(&notice.payload), 1, "{}", notice.payload);
    }
}

#[test]
fn a_leader_that_wakes_after_its_lease_sends_nothing_stale() {
    let mut cell = Cell::start(3);
    let leader = cell.leader();
    let place = cell.places[leader];
    let paused = cell.nodes[leader].take().unwrap();
    paused.signal("STOP");
    let mut asked: Vec<TcpStream> = (0..16).map(|_| ask_note_status(&place)).collect();
    let others: Vec<_> = cell
        .entries()
        .filter(|&entry| entry != place.http)
        .collect();
    let mut client = Client::new(others);
    let text = SECOND.to_owned();
    let call = Call::Note(NoteText { text });
    until("another leads and rules", || match client.call(&call) {
        Ok(Reply::Note(_)) => Some(()),
        _ => None,
    });
    let work = submit("second", "sorted");
    check(&client.submit(&work, PATIENCE).unwrap(), &work, &["sorted"]);
    paused.signal("CONT");
    for stream in &mut asked {
        let mut said = String::new();
        stream.read_to_string(&mut said).unwrap();
        assert!(said.contains("\r\n\r\n{"), "{said}");
        assert!(!said.contains("\"revision\":1"), "{said}");
    }
    let mut woken = Client::new([place.http]);
    let again = woken.submit(&work, PATIENCE).unwrap();
    check(&again, &work, &["sorted"]);
    assert_eq!(cell.began("sorted"), 1);
}

/// Sends a question for the note in force, and leaves its reply unread.
fn ask_note_status(place: &common::Place) -> TcpStream {
    let mut stream = TcpStream::connect(place.http).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let head = "GET /v1/notes HTTP/1.1\r\nHost: cell\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

#[test]
fn replacing_every_daemon_under_load_cuts_no_answer_and_doubles_no_notice() {
    let mut cell = Cell::start_with(4, r#""stop": { "notice": "300ms" },"#);
    let over = AtomicBool::new(false);
    let over = &over;
    let entries: Vec<_> = cell.entries().collect();
    let answers: Vec<(Submit, Answer)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|caller| {
                let client = Client::new(entries.clone());
                scope.spawn(move || send_until(over, client, caller))
            })
            .collect();
        for node in 0..3 {
            let process = cell.nodes[node].take().unwrap();
            process.signal("TERM");
            assert!(process.end().success(), "{}", cell.log(node));
            cell.run(node);
            cell.serves();
        }
        over.store(true, Ordering::Relaxed);
        callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap())
            .collect()
    });
    assert!(answers.len() >= 18, "only {} answers", answers.len());
    for (notice, answer) in &answers {
        check(answer, notice, &[&notice.payload]);
        assert_eq!(cell.began(&notice.payload), 1, "{}", notice.payload);
    }
}

/// Sends notices one after another; an answer that is cut ends the test.
fn send_until(
    over: &AtomicBool,
    mut client: Client,
    caller: usize,
) -> Vec<(Submit, Answer)> {
    let mut answers = Vec::new();
    while !over.load(Ordering::Relaxed) {
        let mut notice = submit("notice", &format!("caller {caller} {}", answers.len()));
        notice.hold = Span::from_secs(2);
        let call = Call::Submit(notice.clone());
        let answer = until("the notice is answered", || match client.call(&call) {
            Ok(Reply::Answer(answer)) => Some(answer),
            Ok(_) | Err(Fault::Unreachable(_)) => None,
            Err(fault) => panic!("cut: {fault}"),
        });
        answers.push((notice, answer));
    }
    answers
}

#[test]
fn a_cell_that_was_killed_whole_finds_everything_again() {
    let mut cell = Cell::start(3);
    let done = submit("notice", "before");
    let first = cell.client().submit(&done, PATIENCE).unwrap();
    check(&first, &done, &["before"]);
    cell.apply(SECOND);
    cell.nodes
        .iter_mut()
        .for_each(|node| node.take().unwrap().kill());
    (0..3).for_each(|node| cell.run(node));
    cell.serves();
    let mut client = cell.client();
    let again = client.submit(&done, PATIENCE).unwrap();
    assert_eq!(again, first);
    let Ok(Reply::NoteStatus(status)) = client.call(&Call::NoteStatus) else {
        panic!("no note status");
    };
    assert_eq!(status.revision.0, 2);
    let work = submit("second", "after");
    check(&client.submit(&work, PATIENCE).unwrap(), &work, &["after"]);
    assert_eq!(cell.began("before"), 1);
}

#[test]
fn a_wiped_node_does_not_vote_away_what_was_acknowledged() {
    let mut cell = Cell::start(3);
    let leader = cell.leader();
    let (behind, wiped) = ((leader + 1) % 3, (leader + 2) % 3);
    cell.nodes[behind].take().unwrap().kill();
    let notice = submit("notice", "only once");
    let first = cell.client().submit(&notice, PATIENCE).unwrap();
    check(&first, &notice, &["only once"]);
    cell.nodes[wiped].take().unwrap().kill();
    std::fs::remove_dir_all(cell.path(&format!("n{wiped}"))).unwrap();
    cell.nodes[leader].take().unwrap().kill();
    cell.run(behind);
    cell.run(wiped);
    // The record is nowhere but at the node that is down: the cell has to
    // wait for that node and may not serve without it.
    let entries = [cell.places[behind].http, cell.places[wiped].http];
    let end = Instant::now() + BRIEFLY;
    while Instant::now() < end {
        let said = Client::new(entries).call(&Call::NoteStatus);
        let served = matches!(said, Ok(Reply::NoteStatus(_)));
        assert!(!served, "{said:?}");
    }
    let said = cell.log(wiped);
    assert!(said.contains("its content is gone"), "{said}");
    cell.run(leader);
    let again = cell.client().submit(&notice, PATIENCE).unwrap();
    check(&again, &notice, &["only once"]);
    assert_eq!(cell.began("only once"), 1);
}
