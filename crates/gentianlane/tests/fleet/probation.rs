//! Tests of workers on which runs have failed: what they may still take, and for how
//! long they are avoided.

use gentianlane::fleet::dispatch::{Avoidance, Blocker};
use gentianlane::fleet::job::{Phase, Spec, Task};
use gentianlane::fleet::order::Outcome;
use gentianlane::unit::Span;

use super::dispatch::{overview, phase, task};
use super::simulated_worker::job;
use super::world::{World, plan};

/// For how long a job may have nothing running beside room for it twice over, by the
/// users' rules, in milliseconds.
const IDLE_LIMIT_MS: u64 = 3_000;

/// The same for a task that lasts, from its last run on.
const LASTING_IDLE_LIMIT_MS: u64 = 9_000;

/// A job whose tasks run only on workers with a label.
fn labelled(count: u32, millicores: u64, label: &str) -> Spec {
    let mut spec = job(count, millicores);
    spec.steps[0].required_label = Some(label.to_owned());
    spec
}

/// A gang whose tasks run only on workers with a label.
fn gang(count: u32, millicores: u64, label: &str) -> Spec {
    let mut spec = labelled(count, millicores, label);
    spec.steps[0].gang = true;
    spec
}

/// Has the next runs of a task fail, each after some milliseconds.
fn fail_next(world: &mut World, task: Task, runs: usize, after: u64) {
    let failures = std::iter::repeat_n((after, Outcome::Failed), runs);
    world.scripted_runs.insert(task, failures.collect());
}

/// The longest time from the end of a run of a task to the start of its next one, in
/// milliseconds; to the present if there is none, unless the last run is done.
fn longest_gap(world: &World, task: &Task) -> u64 {
    let runs = world.observed_runs.iter().filter(|run| run.task == *task);
    let mut free_since = None;
    let mut longest = 0;
    for run in runs {
        if let Some(since) = free_since {
            longest = longest.max(run.started_at - since);
        }
        free_since = run.ended.map(|(at, _)| at);
        if matches!(run.ended, Some((_, Outcome::Done))) {
            return longest;
        }
    }
    longest.max(free_since.map_or(0, |since| world.now - since))
}

/// Asserts that all tasks of a job that lasts run, and none has been without a run for
/// longer than the limit.
fn check_lasts(world: &mut World, id: u64, count: u32, case: &str) {
    world.run(LASTING_IDLE_LIMIT_MS);
    for index in 0..count {
        let gap = longest_gap(world, &task(id, index));
        assert!(
            gap <= IDLE_LIMIT_MS,
            "{case}: task {index} has no run for {gap} ms"
        );
        let mut runs = world.observed_runs.iter().rev();
        let last = runs.find(|run| run.task == task(id, index));
        assert!(
            last.is_some_and(|run| run.ended.is_none()),
            "{case}: task {index}"
        );
    }
}

/// Asserts that a job completes without a gap in its first task's runs over the limit.
fn check_completes(world: &mut World, id: u64, case: &str) {
    world.run(8_000);
    let gap = longest_gap(world, &task(id, 0));
    let phase = phase(world, id);
    assert_eq!(phase, Some(Phase::Completed), "{case}: no run for {gap} ms");
    assert!(gap <= IDLE_LIMIT_MS, "{case}: no run for {gap} ms");
}

/// A world in which a gang's members end as one of them fails.
fn world(workers: u16) -> World {
    let mut world = World::new(workers, 1).with_plan(plan(1, false));
    world.breaks_gangs = true;
    world
}

/// The gang went back to the worker that fails everything, as that one had room, until
/// its attempts were used up.
#[test]
fn a_gang_waits_for_workers_on_which_it_has_not_failed() {
    let mut world = world(3);
    world.failing.insert("w0".into());
    world.run_time = 2_000;
    world.submit(6, &labelled(1, 4_000, "rack-0"));
    world.run(200);
    let mut spread = gang(2, 2_500, "kind");
    spread.steps[0].max_per_worker = Some(1);
    world.submit(7, &spread);
    check_completes(&mut world, 7, "beside a worker that fails everything");
}

/// The worker took one task at a time after the failure, so that the gang never had
/// room (review/18).
#[test]
fn a_gang_that_has_failed_on_its_only_workers_runs_again() {
    // `rack-0` is the label of one of three workers, `kind` that of all.
    for (workers, label, count, millicores) in [
        (3, "rack-0", 2, 1_000),
        (2, "kind", 4, 2_000),
        (1, "kind", 4, 1_000),
    ] {
        for lasts in [false, true] {
            let mut world = world(workers);
            let mut spec = gang(count, millicores, label);
            spec.steps[0].long_running = lasts;
            world.submit(7, &spec);
            world.run(200);
            world.fail_runs(task(7, 0));
            let case = format!("{count} on {workers} workers, lasting {lasts}");
            match lasts {
                false => check_completes(&mut world, 7, &case),
                true => check_lasts(&mut world, 7, count, &case),
            }
        }
    }
}

#[test]
fn two_gangs_that_need_the_same_workers_on_probation_take_turns() {
    let mut world = world(2);
    for id in [7, 8] {
        fail_next(&mut world, task(id, 0), 1, 200);
        world.submit(id, &gang(2, 2_500, "kind"));
    }
    world.run(8_000);
    for id in [7, 8] {
        let gap = longest_gap(&world, &task(id, 0));
        assert!(gap <= IDLE_LIMIT_MS, "job {id}: no run for {gap} ms");
        assert_eq!(phase(&mut world, id), Some(Phase::Completed), "job {id}");
    }
}

/// Of the gang's three workers one is on probation, one is reserved for a task as large as
/// it, and one drains at first.
#[test]
fn a_gang_runs_again_on_a_worker_on_probation_beside_a_reserved_one() {
    let mut world = world(3);
    world.submit(5, &labelled(4, 500, "rack-0"));
    world.workers[1].draining = true;
    world.run(1_000);
    fail_next(&mut world, task(7, 0), 1, 200);
    let mut spread = gang(2, 2_500, "kind");
    spread.steps[0].max_per_worker = Some(1);
    world.submit(7, &spread);
    world.submit(8, &labelled(1, 4_000, "rack-0"));
    check_completes(&mut world, 7, "beside a draining worker");
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
}

/// The gang had one run and was shown as running for good, instead of as failed.
#[test]
fn a_gang_that_fails_at_each_run_is_failed_after_its_attempts() {
    let mut world = world(1);
    fail_next(&mut world, task(7, 0), 9, 200);
    world.submit(7, &gang(2, 1_000, "kind"));
    world.run(8_000);
    assert_eq!(world.starts(&task(7, 0)), 3);
    assert_eq!(phase(&mut world, 7), Some(Phase::Failed));
}

/// A job of `count` tasks that last.
fn lasting(count: u32, millicores: u64, label: &str) -> Spec {
    let mut spec = labelled(count, millicores, label);
    spec.steps[0].long_running = true;
    spec
}

/// A task that lasts never completes, so that its worker took nothing beside it after a
/// failure, for as long as it ran (review/4, `probe`).
#[test]
fn a_task_that_lasts_ends_the_probation_of_its_worker() {
    for gang_size in [1, 3] {
        let mut world = world(3);
        world.submit(6, &lasting(1, 500, "rack-0"));
        world.run(200);
        world.fail_runs(task(6, 0));
        world.run(400);
        assert_eq!(world.starts(&task(6, 0)), 2);
        world.submit(7, &gang(gang_size, 500, "rack-0"));
        let submitted = world.now;
        check_completes(&mut world, 7, &format!("{gang_size} beside a lasting task"));
        let mut runs = world.observed_runs.iter();
        let first = runs.find(|run| run.task == task(7, 0));
        let waited = first.map(|run| run.started_at - submitted);
        assert!(
            waited.is_some_and(|waited| waited < IDLE_LIMIT_MS),
            "{gang_size}: {waited:?} ms"
        );
    }
}

/// Workers paused for longer the more runs failed there, and a job whose tasks failed by
/// themselves waited for 8 s beside idle workers; another job of the label with it.
#[test]
fn a_pause_after_failures_keeps_no_job_waiting_for_longer_than_allowed() {
    let mut plan = plan(1, false);
    for queue in plan.queues.values_mut() {
        queue.max_attempts = 7;
    }
    for gang_size in [1, 3] {
        let mut world = World::new(3, 1).with_plan(plan.clone());
        world.breaks_gangs = true;
        fail_next(&mut world, task(7, 0), 6, 50);
        world.submit(7, &gang(gang_size, 500, "rack-0"));
        world.run(7_000);
        world.submit(8, &labelled(1, 500, "rack-0"));
        world.run(9_000);
        for id in [7, 8] {
            let gap = longest_gap(&world, &task(id, 0));
            assert!(
                gap <= IDLE_LIMIT_MS,
                "{gang_size}, job {id}: no run for {gap} ms"
            );
            assert_eq!(phase(&mut world, id), Some(Phase::Completed), "job {id}");
        }
    }
}

/// A task kept from the workers on which it had failed, though no other had room: a
/// service's task waited for as long as other services filled these (`avoid`).
#[test]
fn a_task_returns_to_a_worker_on_which_it_failed_if_no_other_has_room() {
    let mut world = world(2);
    world.submit(6, &lasting(1, 3_500, "kind"));
    world.run(200);
    world.submit(7, &lasting(1, 1_000, "kind"));
    world.run(200);
    world.fail_runs(task(7, 0));
    check_lasts(&mut world, 7, 1, "one of two workers is full");
}

/// The other worker could run the task, but for a service that fills it for good.
#[test]
fn a_task_waits_for_no_turn_at_workers_that_services_fill() {
    for gang_size in [1, 2] {
        let mut world = world(2);
        world.submit(5, &lasting(1, 3_500, "kind"));
        world.run(200);
        world.submit(6, &lasting(1, 1_500, "kind"));
        world.run(200);
        fail_next(&mut world, task(7, 0), 1, 200);
        world.submit(7, &gang(gang_size, 700, "kind"));
        check_completes(&mut world, 7, &format!("{gang_size} beside services"));
    }
}

/// A start whose answer was lost bound the task to a worker on which it then failed, and
/// which it kept from: it had no run for 13 s (review/15).
#[test]
fn a_task_returns_to_the_worker_it_is_bound_to_though_it_failed_there() {
    let mut world = world(8);
    world.delays.push(super::world::Delay {
        worker: "w0".into(),
        kind: super::world::Kind::Start,
        millis: 20,
    });
    world.submit(7, &lasting(8, 3_000, "kind"));
    world.run(3_000);
    let bound = world
        .observed_runs
        .iter()
        .find(|run| run.worker == "w0".into());
    let bound = bound.map(|run| run.task).expect("a run on w0");
    world.fail_runs(bound);
    check_lasts(&mut world, 7, 8, "bound to w0");
}

/// A service whose tasks may run only once on each worker kept all workers reserved for
/// those that had no place left, and every other job of the pool waited (`reserve`).
#[test]
fn a_step_reserves_no_worker_that_may_not_take_its_tasks() {
    let mut world = world(4);
    for at in 1..4 {
        world.resize(at, 8_000);
    }
    world.resize(0, 2_000);
    let mut service = lasting(16, 1_500, "kind");
    service.steps[0].max_per_worker = Some(1);
    service.steps[0].estimate = Span::from_secs(60);
    world.submit(6, &service);
    world.run(2_000);
    world.submit(7, &labelled(2, 2_500, "kind"));
    world.run(IDLE_LIMIT_MS);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn an_operator_sees_which_workers_a_step_avoids_and_for_how_long() {
    let mut world = world(2);
    world.submit(6, &lasting(1, 3_500, "kind"));
    world.run(200);
    let full = world.observed_runs[0].worker.clone();
    world.submit(7, &lasting(1, 1_000, "kind"));
    world.run(200);
    world.fail_runs(task(7, 0));
    world.run(500);
    let overview = overview(&mut world).expect("an overview");
    let [step] = overview.steps.as_slice() else {
        panic!("{:?}", overview.steps);
    };
    assert_eq!(step.cause, Blocker::Avoidance);
    let [avoided] = step.avoided_workers.as_slice() else {
        panic!("{:?}", step.avoided_workers);
    };
    assert_ne!(avoided.name, full.to_string());
    assert_eq!(avoided.reason, Avoidance::FailedThere);
    assert!(
        step.avoided_ms.is_some_and(|left| left < 1_600),
        "{:?}",
        step.avoided_ms
    );
    let worker = overview.workers.iter().find(|it| it.name == avoided.name);
    assert_eq!(worker.map(|worker| worker.failures), Some(1));
}

/// A step that waits for long was examined twice against all workers, in each pass over
/// all of them, also where no worker was avoided.
#[test]
fn steps_that_fit_nowhere_are_examined_once_in_each_full_pass() {
    const STEPS: u64 = 100;
    const WORKERS: u16 = 40;
    let mut world = world(WORKERS);
    for id in 0..STEPS {
        world.submit(100 + id, &job(1, 5_000));
    }
    world.run(4_000);
    world.effort = super::world::Effort::default();
    world.run(4_000);
    // Eight passes over all workers; those that plan examine the changed ones alone.
    let once = 8 * STEPS * u64::from(WORKERS);
    let examined = world.effort.examined;
    assert!(
        examined < once * 5 / 4,
        "{examined} pairs, {once} at once each"
    );
}
