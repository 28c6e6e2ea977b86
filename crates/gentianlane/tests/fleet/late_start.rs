//! Starts that get no answer and are carried out seconds later, by an incarnation
//! of their worker that no leader has reached.

use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::decision::Decision;
use gentianlane::fleet::dispatch::{Blocker, Overview};
use gentianlane::fleet::job::{Id, Phase, Stage, Task};
use gentianlane::fleet::order::Outcome;
use gentianlane::fleet::{Command, State};
use gentianlane::id;
use gentianlane::unit::Wall;

use super::dispatch::{last_placed, phase};
use super::simulated_worker::job;
use super::world::{Faults, World, plan, target};

/// The task of the only job.
const TASK: Task = Task {
    stage: Stage {
        job: Id(7),
        occurrence: 0,
        step: 0,
    },
    index: 0,
};

/// How long before its late start arrives a worker restarts, in milliseconds; no
/// leader reaches it by then.
const LEAD_MS: u64 = 3;

/// A world in which the starts of a task, and the stops that follow, are delayed;
/// gives the worker that they were sent to.
fn world_with_late_start(seed: u64) -> (World, Option<id::Worker>) {
    let mut world = World::new(2, seed).with_plan(plan(1, false));
    let scripted_runs = vec![(9_000, Outcome::Done); 4];
    world.scripted_runs.insert(TASK, scripted_runs);
    world.faults.delayed_orders = 1_000;
    world.submit(7, &job(1, 500));
    world.run(400);
    world.faults = Faults::default();
    let placed = last_placed(&world);
    (world, placed)
}

/// Replaces the leader; runs until the next one leads.
fn change_leader(world: &mut World) {
    let leader = world.leader().unwrap_or(0);
    world.kill(leader);
    while world.leader().is_none() {
        world.run(1);
    }
    world.restart(leader);
}

/// What the only waiting step waits for, as an operator sees it.
fn cause_of_wait(world: &mut World) -> Option<Blocker> {
    let ticket = world.call(Call::Overview);
    world.run(30);
    let Some(Reply::Overview(text)) = world.replies.get(&ticket) else {
        return None;
    };
    let overview: Overview = serde_json::from_str(text).ok()?;
    overview.steps.first().map(|step| step.cause)
}

/// Restarts a worker just before its last late start arrives, and checks that the
/// task ends. The oracle fails on a second run beside the first.
fn restart_for_late_start(world: &mut World, worker: &id::Worker, seed: u64) {
    let late_starts = world.late_starts(&TASK);
    assert!(!late_starts.is_empty(), "seed {seed}: no late start");
    let due = late_starts.last().map_or(0, |due| due - LEAD_MS);
    world.run(due.saturating_sub(world.now));
    world.restart_worker(worker.as_str());
    world.run(30_000);
    assert_eq!(phase(world, 7), Some(Phase::Completed), "seed {seed}");
}

#[test]
fn a_late_start_of_this_leader_runs_beside_no_other_in_a_later_incarnation() {
    for seed in 1..=8 {
        let (mut world, placed) = world_with_late_start(seed);
        let placed = placed.expect("a start");
        world.crash(placed.as_str());
        restart_for_late_start(&mut world, &placed, seed);
    }
}

#[test]
fn a_late_start_of_an_earlier_leader_runs_beside_no_other_in_a_later_incarnation() {
    for seed in 1..=8 {
        let (mut world, placed) = world_with_late_start(seed);
        let placed = placed.expect("a start");
        world.crash(placed.as_str());
        change_leader(&mut world);
        restart_for_late_start(&mut world, &placed, seed);
    }
}

#[test]
fn a_late_start_runs_beside_no_other_though_its_worker_answered_the_next_leader() {
    for seed in 1..=8 {
        let (mut world, placed) = world_with_late_start(seed);
        let placed = placed.expect("a start");
        change_leader(&mut world);
        let reached = |decision: &Decision| {
            matches!(decision, Decision::WorkerResponsive { incarnation, .. }
                if incarnation.worker == placed)
        };
        world.decisions.clear();
        while !world.decisions.iter().any(reached) {
            world.run(1);
        }
        world.run(300);
        world.crash(placed.as_str());
        restart_for_late_start(&mut world, &placed, seed);
    }
}

#[test]
fn a_late_start_finds_no_room_at_an_incarnation_that_has_not_registered() {
    for seed in 1..=8 {
        let (mut world, placed) = world_with_late_start(seed);
        let placed = placed.expect("a start");
        world.call(Call::Cancel(target(7)));
        let due = world.late_starts(&TASK).last().copied();
        let due = due.expect("a late start");
        // The leader notices a crash when a renewal is overdue, after 1.6 s, and asks
        // again every 250 ms.
        world.run(due.saturating_sub(world.now + 2_000));
        world.crash(placed.as_str());
        world.silent.insert(placed.clone());
        world.restart_worker(placed.as_str());
        world.run(3_000);
        let runs = &world.observed_runs;
        let late = runs.iter().find(|run| run.started_at >= due);
        assert!(late.is_none(), "seed {seed}: {late:?}");
    }
}

#[test]
fn an_operator_sees_that_a_task_waits_for_a_late_start() {
    let (mut world, placed) = world_with_late_start(1);
    let placed = placed.expect("a start");
    world.crash(placed.as_str());
    world.run(6_000);
    assert_eq!(cause_of_wait(&mut world), Some(Blocker::LateStart));
    assert_eq!(world.starts(&TASK), 0);
    // Until 13 s after the start, and for the longest lease from then on.
    world.run(12_000);
    assert_eq!(cause_of_wait(&mut world), Some(Blocker::LateStart));
    world.run(3_000);
    assert_eq!(cause_of_wait(&mut world), None);
    assert_eq!(world.starts(&TASK), 1);
}

/// A task waited for the longest lease of a late start though its worker had listed its runs.
#[test]
fn a_task_waits_for_a_late_start_no_longer_than_until_its_worker_lists_its_runs() {
    let (mut world, placed) = world_with_late_start(1);
    let placed = placed.expect("a start");
    let due = world.late_starts(&TASK).last().copied();
    // The late start is for a process that has ended; the next one lists its runs.
    world.crash(placed.as_str());
    world.run(100);
    world.restart_worker(placed.as_str());
    world.silent.insert(placed.clone());
    world.refusing.insert(placed.clone());
    world.run(due.map_or(0, |due| due.saturating_sub(world.now) + 500));
    world.refusing.clear();
    world.silent.clear();
    world.run(3_000);
    assert_ne!(cause_of_wait(&mut world), Some(Blocker::LateStart));
}

#[test]
fn a_snapshot_keeps_the_starts_without_an_answer() {
    let mut state = State::default();
    state.apply(Command::Unconfirmed {
        at: Wall::from_millis(1_000),
        worker: "w0".into(),
        task: TASK,
        run: 1,
    });
    let bytes = state.encode().expect("a snapshot");
    assert_eq!(State::decode(&bytes), Ok(state));
}

#[test]
fn a_snapshot_without_starts_from_an_earlier_version_is_read() {
    let bytes = postcard::to_allocvec(&State::default()).expect("a snapshot");
    assert_eq!(State::decode(&bytes), Ok(State::default()));
}

#[test]
fn a_worker_that_drained_may_restart_and_carry_out_a_late_start() {
    for seed in 1..=8 {
        let (mut world, placed) = world_with_late_start(seed);
        let placed = placed.expect("a start");
        let mut workers = world.workers.iter_mut();
        let worker = workers.find(|worker| worker.incarnation.worker == placed);
        worker.expect("the worker").draining = true;
        world.run(600);
        world.crash(placed.as_str());
        restart_for_late_start(&mut world, &placed, seed);
    }
}

#[test]
fn a_leader_may_be_lost_before_it_records_that_a_start_got_no_answer() {
    for seed in 1..=8 {
        let mut world = World::new(2, seed).with_plan(plan(1, false));
        let scripted_runs = vec![(9_000, Outcome::Done); 4];
        world.scripted_runs.insert(TASK, scripted_runs);
        world.faults.delayed_orders = 1_000;
        world.submit(7, &job(1, 500));
        let placed = loop {
            world.run(1);
            if let Some(placed) = last_placed(&world) {
                break placed;
            }
        };
        world.run(20);
        world.faults = Faults::default();
        change_leader(&mut world);
        world.run(100);
        world.crash(placed.as_str());
        restart_for_late_start(&mut world, &placed, seed);
    }
}
