//! The slopes behind `docs/CAPACITY.md`: what a leader, a follower and a worker
//! cost by workers, tasks and jobs.
//!
//! `cargo bench -p gentianlane --bench capacity` prints one line a size. Three
//! nodes stand in one process and their messages are carried by hand, so that
//! processor time, messages and bytes are those of the core alone.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "a bench may panic"
)]

use std::time::{Duration, Instant};

use gentianlane::api::{
    Announce, Call, Ending, Finish, NoteText, Order, Output as Text, Renew, Reply, Submit,
};
use gentianlane::cell::{Node, Output, Setup, Ticket};
use gentianlane::consensus::{self, DurableState, Timing};
use gentianlane::id::{self, Incarnation, Token};
use gentianlane::lease::Fingerprint;
use gentianlane::unit::{Size, Span, Time, Wall};
use gentianlane::wire::{Frame, VERSION};
use gentianlane::{lease, place};
use indexmap::IndexMap;

/// Bytes in a page of `/proc/self/statm`.
const PAGE: u64 = 4_096;

/// Civil time when the bench begins, in milliseconds since 1970.
const EPOCH: u64 = 1_800_000_000_000;

/// How long after a renewal a message to other nodes follows at the latest.
const HEARTBEAT: Span = Span::from_millis(250);

/// How often the workers ask for orders until every standing task runs.
const START_ROUNDS: u64 = 100;

/// How many jobs a lifecycle measurement runs.
const JOBS: u64 = 2_000;

/// The workers and tasks of each measurement; the last is the aim's size.
const SIZES: [(u64, u64); 4] = [(95, 1_500), (190, 3_000), (380, 6_000), (760, 12_000)];

const NOTE: &str = r#"{
  "number": 1, "base": 0,
  "add": {
    "workloads": {
      "standing": { "kind": "batch", "size": { "cpu": 100, "memory": 1000000 }, "idempotent": true },
      "photo": { "kind": "batch", "size": { "cpu": 100, "memory": 1000000 }, "idempotent": true }
    },
    "teams": { "town": { "size": { "cpu": 99000000, "memory": 999000000000, "accelerators": 1200 } } }
  }
}"#;

/// Processor time, messages and bytes of one node.
#[derive(Debug, Default, Clone, Copy)]
struct Cost {
    cpu: Duration,
    frames: u64,
    bytes: u64,
    stored: u64,
}

/// Three nodes whose messages are carried by hand.
struct Cell {
    nodes: Vec<Node>,
    costs: Vec<Cost>,
    replies: IndexMap<Ticket, Reply>,
    now: Time,
    tickets: u64,
    leader: usize,
}

impl Cell {
    fn new() -> Self {
        let now = Time::from_millis(0);
        let ids = [1, 2, 3].map(id::Node);
        let nodes = ids.map(|node| {
            let consensus = consensus::Setup {
                node,
                voters: ids.into_iter().collect(),
                learners: Vec::new(),
                timing: Timing::default(),
                seed: node.0,
            };
            let place = place::Setup { seed: node.0 };
            let setup = Setup {
                consensus,
                lease: lease::Timing::default(),
                place,
            };
            Node::new(setup, DurableState::default(), now)
        });
        let mut cell = Self {
            nodes: nodes.into(),
            costs: vec![Cost::default(); 3],
            replies: IndexMap::new(),
            now,
            tickets: 0,
            leader: 0,
        };
        cell.advance(Span::from_secs(5));
        cell.leader = cell
            .nodes
            .iter()
            .position(|node| node.consensus().holds_lease(cell.now))
            .unwrap();
        cell
    }

    fn wall(&self) -> Wall {
        Wall::from_millis(EPOCH + self.now.as_millis())
    }

    fn advance(&mut self, span: Span) {
        const STEP: Span = Span::from_millis(10);
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(STEP);
            let wall = self.wall();
            for at in 0..3 {
                let begun = Instant::now();
                self.nodes[at].tick(self.now, wall);
                self.costs[at].cpu += begun.elapsed();
            }
            self.settle();
        }
    }

    /// Makes a call to the leader, without carrying anything yet.
    fn call(&mut self, call: Call) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let (now, wall) = (self.now, self.wall());
        let begun = Instant::now();
        self.nodes[self.leader].call(ticket, call, now, wall);
        self.costs[self.leader].cpu += begun.elapsed();
        ticket
    }

    fn settle(&mut self) {
        let (now, wall) = (self.now, self.wall());
        loop {
            let mut messages = Vec::new();
            for at in 0..3 {
                let begun = Instant::now();
                let outputs = self.nodes[at].flush(now, wall);
                self.costs[at].cpu += begun.elapsed();
                for output in outputs {
                    match output {
                        Output::Send(to, message) => messages.push((at, to, message)),
                        Output::Reply(ticket, reply, _) => {
                            self.replies.insert(ticket, reply);
                        }
                        Output::Store(entries) => {
                            let bytes = postcard::to_allocvec(&entries).unwrap();
                            self.costs[at].stored += bytes.len() as u64;
                        }
                        _ => {}
                    }
                }
            }
            if messages.is_empty() {
                return;
            }
            for (from, to, message) in messages {
                let frame = Frame {
                    version: VERSION,
                    cell: id::Cell::from("bench"),
                    from: id::Node(from as u64 + 1),
                    incarnation: Incarnation(1),
                    to,
                    message: message.clone(),
                };
                self.costs[from].frames += 1;
                self.costs[from].bytes += frame.encode().unwrap().len() as u64;
                let at = to.0 as usize - 1;
                let begun = Instant::now();
                self.nodes[at].receive(id::Node(from as u64 + 1), message, now);
                self.costs[at].cpu += begun.elapsed();
            }
        }
    }

    fn reply(&mut self, ticket: Ticket) -> Reply {
        self.replies.swap_remove(&ticket).expect("a reply")
    }

    fn follower(&self) -> usize {
        (self.leader + 1) % 3
    }

    fn reset(&mut self) {
        self.costs = vec![Cost::default(); 3];
    }
}

/// A fake worker: the tokens that it was told to start.
struct Machine {
    announce: Announce,
    running: Vec<Token>,
    /// The mark of the tokens that the leader knows.
    listed: Option<Fingerprint>,
}

fn machine(number: u64) -> Machine {
    let announce = Announce {
        worker: id::Worker(format!("worker-{number:04}")),
        incarnation: Incarnation(1),
        size: Size::new(64_000, 128 << 30, 2),
        region: id::Region(format!("region-{}", number % 2)),
        domain: id::Domain(format!("domain-{}", number % 5)),
        rack: id::Rack(format!("rack-{}", number / 5)),
        address: String::new(),
    };
    Machine {
        announce,
        running: Vec::new(),
        listed: None,
    }
}

fn renewal(machine: &Machine) -> Call {
    let running = machine.running.clone();
    let mark = Fingerprint::of(&running);
    let unchanged = machine.listed.filter(|listed| *listed == mark);
    Call::Renew(Renew {
        worker: machine.announce.worker.clone(),
        incarnation: Incarnation(1),
        running: if unchanged.is_some() {
            Vec::new()
        } else {
            running
        },
        unchanged,
        used: Size::default(),
        hold: Span::ZERO,
    })
}

/// Every worker renews once and takes its orders; JSON bytes of both ways.
///
/// The renewals come together and are answered at the next heartbeat.
fn renew_all(cell: &mut Cell, machines: &mut [Machine]) -> (u64, u64) {
    let (mut asked, mut told) = (0, 0);
    let mut tickets = Vec::new();
    for machine in machines.iter() {
        let call = renewal(machine);
        asked += serde_json::to_vec(&call).unwrap().len() as u64;
        tickets.push(cell.call(call));
    }
    cell.settle();
    cell.advance(HEARTBEAT);
    for (machine, ticket) in machines.iter_mut().zip(tickets) {
        let reply = cell.reply(ticket);
        told += serde_json::to_vec(&reply).unwrap().len() as u64;
        let Reply::Lease(lease) = reply else {
            panic!("no lease: {reply:?}");
        };
        machine.listed = Some(Fingerprint::of(&machine.running));
        for order in lease.orders {
            if let Order::Start { token, .. } = order {
                machine.running.push(token);
            }
        }
        machine.running.sort_unstable();
    }
    (asked, told)
}

fn submit(cell: &mut Cell, number: u64, workload: &str) -> Call {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&number.to_be_bytes());
    Call::Submit(Submit {
        key: id::Key::new(cell.wall(), &random),
        team: id::Team::from("town"),
        workload: id::Workload::from(workload),
        payload: "flue-12 route-7 2026-12-03".to_owned(),
        count: None,
        deadline: None,
        trace: None,
        hold: Span::ZERO,
    })
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * PAGE
}

/// Finishes every task that runs beyond the standing ones.
fn finish_all(cell: &mut Cell, machines: &mut [Machine], standing: u64) {
    for machine in machines {
        let (keep, done): (Vec<Token>, Vec<Token>) = machine
            .running
            .drain(..)
            .partition(|token| token.task.job.0 <= standing);
        machine.running = keep;
        for token in done {
            cell.call(Call::Finish(Finish {
                worker: machine.announce.worker.clone(),
                incarnation: Incarnation(1),
                token,
                ending: Ending::Done,
                output: Text::new("42 reminders sorted".to_owned()),
            }));
        }
    }
    cell.settle();
}

fn micros(cpu: Duration, count: u64) -> f64 {
    cpu.as_secs_f64() * 1e6 / count as f64
}

fn measure(workers: u64, tasks: u64) {
    let before = resident();
    let mut cell = Cell::new();
    cell.call(Call::Note(NoteText {
        text: NOTE.to_owned(),
    }));
    cell.settle();
    let mut machines: Vec<Machine> = (0..workers).map(machine).collect();
    for machine in &machines {
        cell.call(Call::Announce(machine.announce.clone()));
    }
    cell.settle();
    for number in 0..tasks {
        let call = submit(&mut cell, number, "standing");
        cell.call(call);
    }
    cell.settle();
    let mut running: usize = 0;
    for _ in 0..START_ROUNDS {
        cell.advance(Span::from_millis(100));
        renew_all(&mut cell, &mut machines);
        running = machines.iter().map(|machine| machine.running.len()).sum();
        if running as u64 == tasks {
            break;
        }
    }
    assert_eq!(running as u64, tasks, "every standing task runs");
    let memory = resident().saturating_sub(before) / 3;

    renew_all(&mut cell, &mut machines);
    cell.reset();
    let (asked, told) = renew_all(&mut cell, &mut machines);
    let renewal = micros(cell.costs[cell.leader].cpu, workers);

    cell.reset();
    for chunk in 0..JOBS / 100 {
        for number in 0..100 {
            let call = submit(&mut cell, tasks + chunk * 100 + number, "photo");
            cell.call(call);
        }
        cell.settle();
        renew_all(&mut cell, &mut machines);
        finish_all(&mut cell, &mut machines, tasks);
    }
    let leader = cell.costs[cell.leader];
    let follower = cell.costs[cell.follower()];
    let renewals = renewal * (workers * (JOBS / 100)) as f64;
    let job = (leader.cpu.as_secs_f64() * 1e6 - renewals) / JOBS as f64;

    cell.reset();
    cell.advance(Span::from_secs(10));
    let idle = cell.costs[cell.leader];
    let quiet = cell.costs[cell.follower()];
    println!(
        "workers={workers} tasks={tasks} memory_node={} renewal_leader_us={renewal:.2} \
         renewal_bytes={} lease_bytes={} job_leader_us={job:.2} job_follower_us={:.2} \
         job_log_bytes={} job_frames_peer={:.2} job_bytes_peer={} \
         idle_leader_us_s={:.1} idle_follower_us_s={:.1} idle_bytes_peer_s={}",
        memory,
        asked / workers,
        told / workers,
        micros(follower.cpu, JOBS),
        leader.stored / JOBS,
        leader.frames as f64 / 2.0 / JOBS as f64,
        leader.bytes / 2 / JOBS,
        micros(idle.cpu, 10),
        micros(quiet.cpu, 10),
        idle.bytes / 2 / 10,
    );
}

/// Each size is measured in a process of its own, so that the memory of one
/// isn't what another has left behind.
fn main() {
    let mut sizes = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok());
    if let (Some(workers), Some(tasks)) = (sizes.next(), sizes.next()) {
        return measure(workers, tasks);
    }
    for (workers, tasks) in SIZES {
        let bench = std::env::current_exe().unwrap();
        let numbers = [workers, tasks].map(|number| number.to_string());
        let status = std::process::Command::new(bench)
            .args(numbers)
            .status()
            .unwrap();
        assert!(status.success(), "the size {workers} failed");
    }
}
