//! Workers whose capacity shrinks and grows while they run.

use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::job::{Phase, Resources};
use gentianlane::fleet::worker::Report;

use super::dispatch::{phase, task};
use super::simulated_worker::job;
use super::world::{Delay, Kind, World, plan};

/// The capacity of a worker with some millicores.
fn capacity(millicores: u64) -> Resources {
    Resources {
        millicores,
        memory_mib: 4_000,
        accelerators: 0,
    }
}

/// Gives the only worker another capacity, which it reports at once. Returns the
/// report that it would have sent before.
fn resize(world: &mut World, millicores: u64) -> Report {
    let worker = &mut world.workers[0];
    let earlier = worker.report();
    worker.profile.capacity = capacity(millicores);
    let report = worker.report();
    world.call(Call::Report(report));
    world.run(50);
    earlier
}

/// Replaces the leader; runs until the next one has asked the worker for its runs.
fn change_leader(world: &mut World) {
    let leader = world.leader().unwrap_or(0);
    world.kill(leader);
    world.run(2_500);
    world.restart(leader);
    assert!(world.leader().is_some());
}

#[test]
fn a_worker_that_shrinks_and_grows_takes_what_fits() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.run_time = 2_000;
    resize(&mut world, 1_000);
    world.submit(7, &job(4, 1_000));
    world.run(1_000);
    assert_eq!(world.observed_runs.len(), 1);
    resize(&mut world, 3_000);
    world.run(500);
    assert_eq!(world.observed_runs.len(), 3);
    world.run(5_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_late_report_does_not_undo_a_shrink() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.next_report = u64::MAX;
    let earlier = resize(&mut world, 1_000);
    world.call(Call::Report(earlier));
    world.run(50);
    // The oracle fails on a start beyond the capacity.
    world.submit(7, &job(4, 1_000));
    world.run(8_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_late_report_does_not_undo_a_shrink_at_the_next_leader() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.next_report = u64::MAX;
    let earlier = resize(&mut world, 1_000);
    change_leader(&mut world);
    world.call(Call::Report(earlier));
    world.run(50);
    world.submit(7, &job(4, 1_000));
    world.run(8_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_start_without_an_answer_is_not_sent_again_to_a_worker_that_has_shrunk() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.delays.push(Delay {
        worker: "w0".into(),
        kind: Kind::Start,
        millis: 600_000,
    });
    world.submit(7, &job(1, 3_000));
    world.run(60);
    resize(&mut world, 2_000);
    world.run(3_000);
    assert_eq!(world.starts(&task(7, 0)), 0);
    resize(&mut world, 4_000);
    world.run(20_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_drain_that_comes_with_another_capacity_is_in_the_log_once_acknowledged() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.next_report = u64::MAX;
    let worker = &mut world.workers[0];
    worker.profile.capacity = capacity(1_000);
    worker.draining = true;
    let report = worker.report();
    let ticket = world.call(Call::Report(report));
    world.run(30);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    let leader = world.leader().expect("a leader");
    let node = world.cores[leader].node.as_ref().expect("a node");
    let draining = node.state().worker(&"w0".into());
    assert!(draining.is_some_and(|worker| worker.draining));
}
