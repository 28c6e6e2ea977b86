//! Tests that a run that is being stopped counts until its end is listed, also if its
//! worker doesn't list it among those that run any more.

use gentianlane::fleet::call::Call;
use gentianlane::fleet::decision::Decision;
use gentianlane::fleet::job::Phase;
use gentianlane::fleet::order::{Action, Outcome};
use gentianlane::id;

use super::dispatch::{phase, task};
use super::regression::Leader;
use super::simulated_worker::job;
use super::world::{World, plan, target};

/// A world whose workers list no run that is being stopped.
fn world(workers: u16) -> World {
    let mut world = World::new(workers, 1).with_plan(plan(1, false));
    for worker in &mut world.workers {
        worker.hides_stopping = true;
    }
    world
}

/// Such a world in which the four tasks of job 7 stand still on one worker.
fn world_with_slow_worker() -> World {
    let mut world = world(3);
    for index in 0..4 {
        let runs = vec![(2_000, Outcome::Done); 2];
        world.scripted_runs.insert(task(7, index), runs);
    }
    world.submit(7, &job(4, 1_000));
    world.run(1_200);
    let worker = world.observed_runs[0].worker.clone();
    assert!(world.observed_runs.iter().all(|run| run.worker == worker));
    world.slow.insert(worker, 10);
    world
}

/// Tasks of a step that are moved from a slow worker were started elsewhere while they
/// were being stopped: second runs at one moment, under one leader.
#[test]
fn tasks_that_are_moved_from_a_slow_worker_start_after_their_ends() {
    let mut world = world_with_slow_worker();
    world.run(8_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    for index in 0..4 {
        assert_eq!(world.starts(&task(7, index)), 2);
    }
}

/// The next leader takes a run that it finds nowhere for over, while a stop by the leader
/// before is under way.
#[test]
fn a_new_leader_starts_no_task_whose_run_the_last_one_is_stopping() {
    for after in [3, 20, 60] {
        let mut world = world_with_slow_worker();
        let is_stop = |decision: &Decision| match decision {
            Decision::Stop { task: stopped, .. } => *stopped == task(7, 3),
            _ => false,
        };
        while !world.decisions.iter().any(is_stop) {
            world.run(1);
        }
        world.run(after);
        let leader = world.leader().expect("a leader");
        if let Some(node) = &mut world.cores[leader].node {
            node.transfer_leadership();
        }
        world.run(8_000);
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    }
}

/// The room of a cancelled job's tasks was given away while they were being stopped.
#[test]
fn a_run_that_is_being_stopped_keeps_its_room() {
    let mut world = world(1);
    world.run_time = 20_000;
    world.submit(7, &job(4, 1_000));
    world.run(500);
    world.submit(8, &job(4, 1_000));
    world.run(500);
    world.call(Call::Cancel(target(7)));
    world.run(3_000);
    for index in 0..4 {
        assert_eq!(world.starts(&task(8, index)), 1);
    }
}

/// The tasks of a worker that leaves were started elsewhere while they were being stopped.
#[test]
fn tasks_of_a_worker_that_leaves_start_after_their_ends() {
    let mut world = world(3);
    world.run_time = 20_000;
    world.submit(7, &job(4, 1_000));
    world.run(1_000);
    let first = world.observed_runs[0].worker.clone();
    let is_first = |worker: &id::Worker| *worker == first;
    let mut workers = world.workers.iter_mut();
    let worker = workers
        .find(|worker| is_first(&worker.incarnation.worker))
        .expect("the worker");
    worker.draining = true;
    let incarnation = worker.incarnation.clone();
    world.run(1_000);
    for _ in 0..3 {
        world.call(Call::Leave(incarnation.clone()));
        world.run(1_000);
    }
    for index in 0..4 {
        assert_eq!(world.starts(&task(7, index)), 2);
    }
}

/// A run that a worker stopped listing, as a late order of an earlier leader stops it, was
/// started again at once.
#[test]
fn a_run_that_is_not_listed_any_more_may_be_being_stopped() {
    let mut leader = Leader::new(2);
    leader.submit_job(7, job(1, 500));
    let (mut running, mut unlisted_at) = (Vec::new(), None);
    for round in 0..100 {
        for order in leader.orders(50) {
            match order.action {
                Action::Start(start) => {
                    running.push(start.run);
                    leader.confirm(order.id);
                }
                Action::Renew { .. } => {
                    let is_listed = !running.is_empty() && round < 8;
                    if !running.is_empty() && !is_listed {
                        unlisted_at.get_or_insert(round);
                    }
                    let listed = if is_listed { &running[..] } else { &[] };
                    leader.answer_runs(order.id, listed, Vec::new());
                }
                _ => {}
            }
        }
        if running.len() > 1 {
            let rounds = round - unlisted_at.unwrap_or(round);
            assert!((20..30).contains(&rounds), "after {} ms", rounds * 50);
            return;
        }
    }
    unreachable!("no second start in 5 s");
}
