//! Tests of when a task or a worker's room is given to others: only once no lease,
//! old or new, lets the earlier run go on.

use gentianlane::fleet::job::{Id, Schedule, Stage, Task};
use gentianlane::fleet::order::Outcome;
use gentianlane::unit::{Span, Wall};

use super::simulated_worker::job;
use super::world::{World, plan};

fn task(job: u64, index: u32) -> Task {
    let stage = Stage {
        job: Id(job),
        occurrence: 0,
        step: 0,
    };
    Task { stage, index }
}

/// Kills a leader whose wall clock is ahead once it has started a scheduled
/// occurrence, and counts the starts until after its run would have ended.
fn starts_of_early_occurrence(ahead: u64, disturb: impl Fn(&mut World)) -> usize {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let leader = world.leader().expect("a leader");
    world.wall_ahead.insert(leader, ahead);
    let mut spec = job(1, 1_000);
    spec.schedule = Some(Schedule {
        count: 2,
        first: Wall::from_millis(1_000_000 + world.now + 3_000),
        interval: Span::from_millis(60_000),
    });
    let runs = vec![(4_000, Outcome::Done); 3];
    world.scripted_runs.insert(task(7, 0), runs);
    world.submit(7, &spec);
    while world.starts(&task(7, 0)) == 0 {
        world.run(1);
    }
    world.kill(leader);
    disturb(&mut world);
    // The oracle fails on a second run beside the first.
    world.run(12_000);
    let is_done = |ended: Option<(u64, Outcome)>| {
        ended.is_some_and(|(_, outcome)| outcome == Outcome::Done)
    };
    let mut runs = world.observed_runs.iter();
    assert!(runs.any(|run| is_done(run.ended)), "ahead by {ahead} ms");
    world.starts(&task(7, 0))
}

#[test]
fn an_occurrence_that_an_earlier_leader_started_early_is_adopted() {
    for ahead in (800..2_600).step_by(100) {
        let starts = starts_of_early_occurrence(ahead, |_| {});
        assert_eq!(starts, 1, "ahead by {ahead} ms");
    }
}

#[test]
fn an_occurrence_waits_for_a_silent_worker_on_which_it_may_run_already() {
    for ahead in (800..2_600).step_by(100) {
        let starts = starts_of_early_occurrence(ahead, |world| {
            let worker = world.observed_runs[0].worker.clone();
            world.unreachable.insert(worker);
        });
        assert_eq!(starts, 2, "ahead by {ahead} ms");
    }
}
