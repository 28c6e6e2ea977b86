//! A node that comes back 500 notes and 10,000 placements behind.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a harness ends where it is contradicted"
)]

use std::collections::VecDeque;

use gentianlane::agree::{self, Body, Message, Saved, Timing};
use gentianlane::api::{
    Announce, Call, Ending, Finish, NoteText, Order, Output as Text, Renew, Reply, Submit,
};
use gentianlane::cell::{Node, Output, Setup, Ticket};
use gentianlane::id::{self, Incarnation};
use gentianlane::unit::{Size, Span, Time, Wall};
use gentianlane::{lease, place};

/// The seed of the election times.
const SEED: u64 = 53;

/// Civil time at the beginning, in milliseconds since 1970.
const EPOCH: u64 = 1_800_000_000_000;

const WORKERS: u64 = 20;
const ROUNDS: u64 = 25;
const NOTES: u64 = 20;
const JOBS: u64 = 400;

/// The most bytes of one message while a node catches up.
const MESSAGE_LIMIT: usize = 320 << 10;

struct Cell {
    nodes: Vec<Option<Node>>,
    saved: Vec<Saved>,
    messages: VecDeque<(usize, id::Node, Message)>,
    replies: Vec<(Ticket, Reply)>,
    now: Time,
    tickets: u64,
    largest: usize,
    chunks: usize,
}

fn start(number: u64, saved: Saved, now: Time) -> Node {
    let agree = agree::Setup {
        node: id::Node(number),
        voters: (1..=3).map(id::Node).collect(),
        learners: Vec::new(),
        timing: Timing {
            repair: Span::from_secs(3_600),
            ..Timing::default()
        },
        seed: SEED + number,
    };
    let setup = Setup {
        agree,
        lease: lease::Term::default(),
        place: place::Setup { seed: SEED },
    };
    Node::new(setup, saved, now)
}

/// How many steps a call may take: a renewal is answered once a message that
/// was sent after it came is confirmed, at the next heartbeat at the latest.
const STEPS: usize = 30;

impl Cell {
    fn new() -> Self {
        let now = Time::from_millis(0);
        let nodes = (1..=3).map(|number| Some(start(number, Saved::default(), now)));
        Self {
            nodes: nodes.collect(),
            saved: vec![Saved::default(); 3],
            messages: VecDeque::new(),
            replies: Vec::new(),
            now,
            tickets: 0,
            largest: 0,
            chunks: 0,
        }
    }

    fn wall(&self) -> Wall {
        Wall::from_millis(EPOCH + self.now.as_millis())
    }

    fn leader(&self) -> Option<usize> {
        let leads = |node: &Option<Node>| {
            node.as_ref().is_some_and(|it| it.agree().leads(self.now))
        };
        self.nodes.iter().position(leads)
    }

    fn step(&mut self) {
        self.now = self.now.after(Span::from_millis(10));
        let (now, wall) = (self.now, self.wall());
        for node in self.nodes.iter_mut().flatten() {
            node.tick(now, wall);
        }
        self.settle();
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.step();
        }
    }

    fn settle(&mut self) {
        loop {
            for at in 0..3 {
                self.flush(at);
            }
            let Some((from, to, message)) = self.messages.pop_front() else {
                return;
            };
            let from = id::Node(from as u64 + 1);
            if let Some(node) = &mut self.nodes[to.0 as usize - 1] {
                node.receive(from, message, self.now);
            }
        }
    }

    fn flush(&mut self, at: usize) {
        let (now, wall) = (self.now, self.wall());
        let Some(node) = &mut self.nodes[at] else {
            return;
        };
        let saved = &mut self.saved[at];
        for output in node.flush(now, wall) {
            match output {
                Output::Save(ballot) => saved.ballot = ballot,
                Output::Store(entries) => {
                    let first = entries[0].index;
                    saved.entries.retain(|entry| entry.index < first);
                    saved.entries.extend(entries);
                }
                Output::Snapshot(snapshot) => {
                    let last = snapshot.last.index;
                    saved.entries.retain(|entry| entry.index > last);
                    saved.snapshot = Some(snapshot);
                }
                Output::Send(to, message) => {
                    let bytes = postcard::to_allocvec(&message).unwrap().len();
                    self.largest = self.largest.max(bytes);
                    self.chunks += usize::from(matches!(message.body, Body::Chunk(_)));
                    self.messages.push_back((at, to, message));
                }
                Output::Reply(ticket, reply, _) => self.replies.push((ticket, reply)),
                Output::Role(_) => {}
            }
        }
    }

    fn call(&mut self, at: usize, call: Call) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let (now, wall) = (self.now, self.wall());
        let node = self.nodes[at].as_mut().expect("the node runs");
        node.call(ticket, call, now, wall);
        ticket
    }

    fn ask(&mut self, at: usize, call: Call) -> Reply {
        let ticket = self.call(at, call);
        self.settle();
        for _ in 0..STEPS {
            let place = self.replies.iter().position(|(known, _)| *known == ticket);
            if let Some(place) = place {
                return self.replies.swap_remove(place).1;
            }
            self.step();
        }
        panic!("no reply within {STEPS} steps")
    }

    fn revision(&self, at: usize) -> u64 {
        let node = self.nodes[at].as_ref().expect("the node runs");
        node.state().book().revision().0
    }
}

fn name(number: u64) -> id::Worker {
    id::Worker(format!("worker-{number}"))
}

fn announce(number: u64) -> Call {
    Call::Announce(Announce {
        worker: name(number),
        incarnation: Incarnation(1),
        size: Size::new(64_000, 128 << 30, 0),
        region: id::Region::from("region"),
        domain: id::Domain(format!("domain-{}", number % 3)),
        rack: id::Rack(format!("rack-{}", number / 5)),
        address: String::new(),
    })
}

fn note(number: u64) -> Call {
    let change = match number {
        1 => r#""add": { "workloads": { "photo": { "kind": "batch",
            "size": { "cpu": 1000, "memory": 1000000 }, "idempotent": true } },
            "teams": { "town": { "size": { "cpu": 9000000, "memory": 9000000000000,
            "accelerators": 10 } } } }"#
            .to_owned(),
        _ => format!(
            r#""change": {{ "workloads": {{ "photo": {{ "kind": "batch",
            "size": {{ "cpu": {}, "memory": 1000000 }}, "idempotent": true }} }} }}"#,
            1_000 + number
        ),
    };
    let base = number - 1;
    let text = format!(r#"{{ "number": {number}, "base": {base}, {change} }}"#);
    Call::Note(NoteText { text })
}

fn submit(number: u64, wall: Wall) -> Call {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&number.to_be_bytes());
    Call::Submit(Submit {
        key: id::Key::new(wall, &random),
        team: id::Team::from("town"),
        workload: id::Workload::from("photo"),
        payload: "flue".to_owned(),
        count: None,
        deadline: None,
        hold: Span::ZERO,
    })
}

/// Every worker takes its orders and ends all tasks at once; how many.
fn work(cell: &mut Cell, leader: usize) -> u64 {
    let mut done = 0;
    for number in 0..WORKERS {
        let renew = Call::Renew(Renew {
            worker: name(number),
            incarnation: Incarnation(1),
            running: Vec::new(),
            unchanged: None,
            used: Size::default(),
            hold: Span::ZERO,
        });
        let reply = cell.ask(leader, renew);
        let Reply::Lease(lease) = reply else {
            panic!("no lease: {reply:?}");
        };
        for order in lease.orders {
            let Order::Start { token, .. } = order else {
                continue;
            };
            done += 1;
            cell.call(
                leader,
                Call::Finish(Finish {
                    worker: name(number),
                    incarnation: Incarnation(1),
                    token,
                    ending: Ending::Done,
                    output: Text::new("sorted".to_owned()),
                }),
            );
        }
        cell.settle();
    }
    done
}

#[test]
fn a_node_500_notes_and_10_000_placements_behind_catches_up_and_serves_nothing_stale() {
    let mut cell = Cell::new();
    cell.run(5_000);
    let leader = cell.leader().expect("a leader");
    let behind = (leader + 1) % 3;
    cell.nodes[behind] = None;
    for number in 0..WORKERS {
        cell.call(leader, announce(number));
    }
    cell.settle();
    let (mut placed, mut jobs) = (0, 0);
    for round in 0..ROUNDS {
        for number in 1..=NOTES {
            let reply = cell.ask(leader, note(round * NOTES + number));
            assert!(matches!(reply, Reply::Note(_)), "{reply:?}");
        }
        for _ in 0..JOBS {
            jobs += 1;
            let call = submit(jobs, cell.wall());
            cell.call(leader, call);
        }
        cell.settle();
        while placed < jobs {
            cell.step();
            placed += work(&mut cell, leader);
        }
        assert_eq!(cell.leader(), Some(leader));
    }
    assert_eq!((placed, cell.revision(leader)), (10_000, 500));
    for node in cell.nodes.iter_mut().flatten() {
        assert!(node.compact());
    }
    cell.settle();

    (cell.largest, cell.chunks) = (0, 0);
    let saved = cell.saved[behind].clone();
    cell.nodes[behind] = Some(start(behind as u64 + 1, saved, cell.now));
    let mut steps = 0;
    while cell.revision(behind) < 500 {
        let reply = cell.ask(behind, Call::NoteStatus);
        assert!(matches!(reply, Reply::Refused(_)), "{reply:?}");
        cell.step();
        steps += 1;
        assert!(steps < 1_000, "it catches up");
    }
    cell.run(1_000);
    assert!(cell.chunks > 1, "by a snapshot in parts");
    assert!(cell.largest <= MESSAGE_LIMIT, "{} bytes", cell.largest);
    let state = |at: usize| cell.nodes[at].as_ref().expect("it runs").state();
    assert_eq!(state(behind), state(leader));

    let snapshot = cell.saved[behind].snapshot.as_ref().expect("a snapshot");
    println!(
        "snapshot_bytes={} chunks={} largest_message={} steps={steps}",
        snapshot.data.len(),
        cell.chunks,
        cell.largest
    );
    cell.nodes[leader] = None;
    cell.run(5_000);
    let next = cell.leader().expect("a leader");
    assert_eq!(cell.revision(next), 500);
}
