//! Loads of a large fleet: what a small one does a few at a time has to grow with the
//! number of workers.

use gentianlane::fleet::job::Phase;
use gentianlane::fleet::order::Outcome;
use gentianlane::unit::Span;

use super::dispatch::{phase, slow_target, task, two_queues};
use super::simulated_worker::job;
use super::world::World;

/// A burst of urgent jobs while tasks that save checkpoints hold all capacity.
#[test]
fn a_burst_of_urgent_work_stops_enough_work_at_once() {
    let mut world = World::new(160, 1).with_plan(two_queues(3));
    let mut held = job(2, 2_000);
    held.steps[0].checkpoints = true;
    held.steps[0].estimate = Span::from_secs(20);
    for id in 100..260 {
        for index in 0..2 {
            let runs = vec![(20_000, Outcome::Done); 3];
            world.scripted_runs.insert(task(id, index), runs);
        }
        world.submit_at(slow_target(id), id, &held);
    }
    world.run(3_000);
    world.submit(8, &job(40, 2_000));
    // A wait before preemption, a stop and the run take about 600 ms; in rounds of
    // twelve it would be four times the first two.
    world.run(800);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
    let stopped = world.observed_runs.iter().filter(|observed| {
        let ended = observed.ended;
        ended.is_some_and(|(_, outcome)| outcome == Outcome::Stopped)
    });
    assert_eq!(stopped.count(), 40, "as many as there are urgent tasks");
}

/// Many tasks that need a whole worker each, while small ones take every gap.
#[test]
fn many_large_tasks_get_workers_kept_for_them_at_once() {
    let mut world = World::new(60, 1).with_plan(two_queues(3));
    let mut small = job(90, 2_000);
    small.steps[0].estimate = Span::from_secs(3);
    for id in 100..116 {
        for index in 0..90 {
            let length = 1_500 + (u64::from(index) * 613 + id * 97) % 3_000;
            let runs = vec![(length, Outcome::Done)];
            world.scripted_runs.insert(task(id, index), runs);
        }
        world.submit_at(slow_target(id), id, &small);
    }
    world.run(2_500);
    for id in 0..30 {
        let mut large = job(1, 4_000);
        large.steps[0].gang = true;
        large.steps[0].estimate = Span::from_secs(4);
        world.submit(40 + id, &large);
    }
    world.run(4_000);
    let large = world
        .observed_runs
        .iter()
        .filter(|observed| (40..70).contains(&observed.task.stage.job.0));
    let starts: Vec<u64> = large.map(|observed| observed.started_at).collect();
    let first = starts.iter().min().copied().unwrap_or_default();
    // With four reservations at a time these go to the same few workers in turn.
    let soon = starts.iter().filter(|&&start| start <= first + 1_700);
    assert_eq!(soon.count(), 30, "{starts:?}");
}
