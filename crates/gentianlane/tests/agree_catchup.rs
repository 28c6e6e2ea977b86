//! A node that comes back 500 notes and 10,000 placements behind.
#![allow(
    dead_code,
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a part of the harness is used, and it ends where it is contradicted"
)]

mod world;

use gentianlane::api::{Announce, Call, NoteText, Reply, Submit};
use gentianlane::id::{self, Incarnation};
use gentianlane::unit::{Size, Span};
use world::{Machine, World};

/// The seed of the election times.
const SEED: u64 = 53;

const WORKERS: u64 = 20;
const ROUNDS: u64 = 25;
const NOTES: u64 = 20;
const JOBS: u64 = 400;

/// The most bytes of one message while a node catches up.
const MESSAGE_LIMIT: usize = 320 << 10;

/// How long each round's jobs may take.
const PATIENCE: Span = Span::from_secs(60);

fn machine(number: u64) -> Machine {
    Machine::new(Announce {
        worker: id::Worker(format!("worker-{number}")),
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

fn submit(world: &World, number: u64) -> Call {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&number.to_be_bytes());
    Call::Submit(Submit {
        key: id::Key::new(world.wall(), &random),
        team: id::Team::from("town"),
        workload: id::Workload::from("photo"),
        payload: "sorted".to_owned(),
        count: None,
        deadline: None,
        trace: None,
        hold: Span::ZERO,
    })
}

fn revision(world: &World, node: id::Node) -> u64 {
    let node = world.hosts[&node].node().expect("the node runs");
    node.state().catalog().revision().0
}

/// Hands in notes and jobs through the leader, and waits until all have run.
fn work(world: &mut World, leader: id::Node, round: u64) {
    for number in 1..=NOTES {
        world.operate(leader, note(round * NOTES + number));
    }
    for number in 0..JOBS {
        let call = submit(world, round * JOBS + number);
        world.operate(leader, call);
    }
    let done = |world: &World| {
        let began: usize = world.machines.values().map(|it| it.history.len()).sum();
        let node = world.hosts[&leader].node().expect("the leader runs");
        began as u64 == (round + 1) * JOBS && node.state().job_count() == 0
    };
    assert!(world.until(PATIENCE, done), "round {round} ends");
    assert_eq!(world.leader(), Some(leader));
    world.told.clear();
}

#[test]
fn a_node_500_notes_and_10_000_placements_behind_catches_up_and_serves_nothing_stale() {
    let mut world = World::new(3, SEED);
    world.advance(Span::from_secs(5));
    let leader = world.leader().expect("a leader");
    let behind = id::Node(leader.0 % 3 + 1);
    world.hosts[&behind].kill();
    for number in 0..WORKERS {
        let machine = machine(number);
        world
            .machines
            .insert(machine.announce.worker.clone(), machine);
    }
    for round in 0..ROUNDS {
        work(&mut world, leader, round);
    }
    assert_eq!(revision(&world, leader), ROUNDS * NOTES);
    for host in world.hosts.values_mut() {
        host.compact();
    }
    world.advance(Span::from_millis(100));

    (world.largest, world.chunks) = (0, 0);
    let now = world.now;
    world.hosts[&behind].restart(now);
    let mut steps = 0;
    while revision(&world, behind) < ROUNDS * NOTES {
        let reply = world.ask(behind, Call::NoteStatus);
        assert!(matches!(reply, Some(Reply::Refused(_))), "{reply:?}");
        world.advance(world::STEP);
        steps += 1;
        assert!(steps < 2_000, "it catches up");
    }
    world.advance(Span::from_secs(1));
    assert!(world.chunks > 1, "by a snapshot in parts");
    assert!(world.largest <= MESSAGE_LIMIT, "{} bytes", world.largest);
    let state = |node| world.hosts[&node].node().expect("it runs").state();
    assert_eq!(state(behind), state(leader));
    let snapshot = world.hosts[&behind].saved.snapshot.as_ref().expect("one");
    println!(
        "snapshot_bytes={} chunks={} largest_message={} steps={steps}",
        snapshot.data.len(),
        world.chunks,
        world.largest
    );
    world.hosts[&leader].kill();
    world.advance(Span::from_secs(5));
    let next = world.leader().expect("a leader");
    assert_eq!(revision(&world, next), ROUNDS * NOTES);
    assert_eq!(world.breaches, Vec::<String>::new());
}
