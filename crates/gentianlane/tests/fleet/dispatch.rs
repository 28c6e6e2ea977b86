//! What the leader does when orders, answers, workers and leaders fail.

use std::collections::BTreeMap;

use gentianlane::fleet::call::{Call, Reply, Target};
use gentianlane::fleet::dispatch::{Blocker, Overview};
use gentianlane::fleet::job::{Id, Phase, Spec, Stage, Task};
use gentianlane::fleet::order::Outcome;
use gentianlane::fleet::plan::Plan;
use gentianlane::id;
use gentianlane::unit::Span;

use super::simulated_worker::{job, step};
use super::world::{Faults, World, plan, target};

fn task(job: u64, index: u32) -> Task {
    let stage = Stage {
        job: Id(job),
        occurrence: 0,
        step: 0,
    };
    Task { stage, index }
}

fn phase(world: &mut World, job: u64) -> Option<Phase> {
    match world.status(job) {
        Some(Reply::Phase(phase)) => Some(phase),
        _ => None,
    }
}

#[test]
fn a_job_is_stored_run_and_shown_completed() {
    let mut world = World::new(3, 1).with_plan(plan(1, true));
    let mut spec = job(4, 1_000);
    let mut second = step(2, 2_000);
    second.depends_on = vec![0];
    spec.steps.push(second);
    let ticket = world.submit(7, &spec);
    world.run(40);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    world.run(1_200);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.observed_runs.len(), 6);
}

#[test]
fn a_job_that_is_sent_again_stays_one_job() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    for _ in 0..3 {
        let ticket = world.submit(7, &job(2, 500));
        world.run(200);
        assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    }
    world.run(1_000);
    assert_eq!(world.observed_runs.len(), 2);
}

#[test]
fn a_run_that_ended_while_its_start_was_unanswered_is_not_started_again() {
    // Found at norrvik-panna, trouble-2 with seed 853914952207: the start's
    // answer was lost, the repeated start was refused as old, and the leader
    // took the run for void though it had ended well.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.faults.lost_answers = 1_000;
    world.submit(7, &job(1, 500));
    world.run(500);
    world.faults = Faults::default();
    world.run(2_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_run_that_a_hold_of_the_same_moment_leaves_out_is_not_taken_for_gone() {
    // Found at norrvik-panna, workers-unsound with seed 1: the hold and the
    // start left in one millisecond, the start's answer came in it too, and the
    // hold's answer, made before the start was carried out, came last.
    for late in 0..10 {
        let mut world = World::new(1, 1).with_plan(plan(1, false));
        (
            world.message_delay,
            world.renewal_delay,
            world.rounds_per_step,
        ) = (0, 5, 4);
        let scripted_runs = vec![(100, Outcome::Failed), (400, Outcome::Done)];
        world.scripted_runs.insert(task(7, 0), scripted_runs);
        world
            .scripted_runs
            .insert(task(8, 0), vec![(100 + late, Outcome::Done)]);
        world.submit(7, &job(1, 500));
        world.submit(8, &job(1, 500));
        // The oracle finds a second run.
        world.run(1_500);
        assert_eq!(world.starts(&task(7, 0)), 2);
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    }
}

#[test]
fn tasks_of_a_worker_that_falls_silent_start_elsewhere_after_its_lease() {
    // Found at norrvik-panna, mix with seed 270142131089: every unanswered hold
    // put the lease's end off, so that the lost worker's tasks never started
    // again.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let mut spec = job(1, 3_000);
    spec.steps[0].long_running = true;
    world.submit(7, &spec);
    world.run(500);
    let worker = world.observed_runs[0].worker.clone();
    world.unreachable.insert(worker.clone());
    world.run(9_000);
    assert_eq!(world.starts(&task(7, 0)), 2);
    assert_ne!(world.observed_runs[1].worker, worker);
}

#[test]
fn a_worker_that_refuses_connections_may_run_on() {
    // Found at norrvik-panna, workers-cut-off with seed 1: a cut that refuses
    // connections was taken for the worker's end, and its tasks ran twice.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(3_000, Outcome::Done)]);
    world.submit(7, &job(1, 3_000));
    world.run(500);
    let worker = world.observed_runs[0].worker.clone();
    world.refusing.insert(worker.clone());
    // The oracle finds a second run beside the first.
    world.run(1_500);
    world.refusing.clear();
    world.run(3_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn tasks_of_a_worker_that_refuses_for_good_start_elsewhere_after_its_lease() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let mut spec = job(1, 3_000);
    spec.steps[0].long_running = true;
    world.submit(7, &spec);
    world.run(500);
    let worker = world.observed_runs[0].worker.clone();
    world.refusing.insert(worker.clone());
    world.run(9_000);
    assert_eq!(world.starts(&task(7, 0)), 2);
    assert_ne!(world.observed_runs[1].worker, worker);
}

/// A lasting job is withdrawn while its worker can't be reached, and the next
/// leader has another one to place beside what it left behind.
fn leaves_runs_behind(lasting: &Spec, next: &Spec) {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    let mut lasting = lasting.clone();
    lasting.steps[0].long_running = true;
    world.submit(7, &lasting);
    world.run(500);
    world.submit(8, next);
    world.run(100);
    let leader = world.leader();
    assert!(leader.is_some(), "a leader");
    let worker = world.observed_runs[0].worker.clone();
    world.unreachable.insert(worker);
    world.call(Call::Cancel(target(7)));
    world.run(30);
    if let Some(leader) = leader {
        world.kill(leader);
    }
    world.unreachable.clear();
    // The oracle checks the room at every start.
    world.run(6_000);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
}

#[test]
fn what_a_job_that_is_over_left_behind_keeps_its_room() {
    // Found at hanafy-yard, scale-1 with seed 379412820395: a new leader took
    // the runs of a job that was over for runs without size.
    leaves_runs_behind(&job(1, 3_500), &job(1, 3_500));
}

#[test]
fn each_run_that_a_job_left_behind_keeps_its_room() {
    // Found at norrvik-panna, hunt-fe82-51: the first such run stood for all
    // room, and its end freed what the others still had.
    leaves_runs_behind(&job(2, 1_700), &job(1, 3_000));
}

#[test]
fn tickets_are_renewed_with_a_single_helper() {
    // Found by the random histories: helpers that were kept for new steps left
    // none for a step whose tickets had run out.
    let mut world = World::new(1, 1).with_plan(plan(1, true));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(4_000, Outcome::Done)]);
    world.submit(7, &job(1, 4_000));
    world.run(200);
    world.submit(8, &job(1, 4_000));
    world.run(6_000);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
}

#[test]
fn a_new_leader_adopts_what_runs() {
    let mut world = World::new(3, 1).with_plan(plan(1, false));
    let mut spec = job(3, 1_000);
    spec.steps[0].long_running = true;
    world.submit(7, &spec);
    world.run(500);
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.run(6_000);
    assert!(world.leader().is_some());
    assert_eq!(world.observed_runs.len(), 3);
    assert!(
        world
            .observed_runs
            .iter()
            .all(|observed| observed.ended.is_none())
    );
}

#[test]
fn a_new_leader_adopts_what_runs_beside_an_earlier_failure_that_is_told_again() {
    // Found at hanafy-yard, trouble-2 of score df76ad46: the failure of the run
    // before was told to the new leader first and had the task wait for the
    // log, so the run that went on was taken for superseded, and another was
    // started before that one had stopped.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let scripted_runs = vec![(100, Outcome::Failed), (6_000, Outcome::Done)];
    world.scripted_runs.insert(task(7, 0), scripted_runs);
    world.submit(7, &job(1, 3_000));
    while world
        .observed_runs
        .first()
        .is_none_or(|observed| observed.ended.is_none())
    {
        world.run(1);
    }
    let first = world.observed_runs[0].worker.clone();
    // The failure is told, and the worker doesn't hear that it is noted.
    world.run(8);
    world.unreachable.insert(first);
    while world.observed_runs.len() < 2 {
        world.run(1);
    }
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.unreachable.clear();
    world.run(9_000);
    assert_eq!(world.starts(&task(7, 0)), 2);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_task_fails_as_often_as_it_may_and_no_more() {
    let mut world = World::new(3, 1).with_plan(plan(1, false));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(100, Outcome::Failed); 9]);
    world.submit(7, &job(1, 500));
    world.run(4_000);
    assert_eq!(world.starts(&task(7, 0)), 3);
    assert_eq!(phase(&mut world, 7), Some(Phase::Failed));
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let mut spec = job(3, 2_500);
    spec.steps[0].gang = true;
    world.submit(7, &spec);
    world.run(1_000);
    assert!(world.observed_runs.is_empty());
    let mut spec = job(2, 2_500);
    spec.steps[0].gang = true;
    world.submit(8, &spec);
    world.run(200);
    assert_eq!(world.observed_runs.len(), 2);
    assert_eq!(world.observed_runs[0].run, world.observed_runs[1].run);
}

#[test]
fn a_worker_that_is_born_again_gets_no_second_run() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let mut spec = job(2, 3_000);
    spec.steps[0].long_running = true;
    world.submit(7, &spec);
    world.run(500);
    let name = world.observed_runs[0].worker.to_string();
    world.crash(&name);
    world.run(100);
    world.restart_worker(&name);
    world.run(3_000);
    let running = world
        .observed_runs
        .iter()
        .filter(|observed| observed.ended.is_none())
        .count();
    assert_eq!(running, 2);
}

#[test]
fn a_cancelled_job_stops() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let mut spec = job(4, 1_000);
    spec.steps[0].long_running = true;
    world.submit(7, &spec);
    world.run(500);
    let ticket = world.call(Call::Cancel(target(7)));
    world.run(600);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    assert!(
        world
            .observed_runs
            .iter()
            .all(|observed| observed.ended.is_some())
    );
    assert_eq!(phase(&mut world, 7), Some(Phase::Cancelled));
}

#[test]
fn the_highest_plan_stays_in_force() {
    let mut world = World::new(1, 1).with_plan(plan(5, false));
    let older = world.call(Call::ReplacePlan(Box::new(plan(3, false))));
    world.run(100);
    assert_eq!(world.replies.get(&older), Some(&Reply::Done));
    let mut broken = plan(9, false);
    broken.pools.clear();
    let broken = world.call(Call::ReplacePlan(Box::new(broken)));
    world.run(100);
    assert!(matches!(
        world.replies.get(&broken),
        Some(Reply::Malformed(_))
    ));
    let read = world.call(Call::ReadPlan);
    world.run(100);
    assert_eq!(
        world.replies.get(&read),
        Some(&Reply::Plan("plan 5".to_owned()))
    );
}

/// A plan with an urgent queue under `/q/` and one that isn't under `/s/`.
fn two_queues(attempts: u32) -> Plan {
    let mut plan = plan(1, false);
    for queue in plan.queues.values_mut() {
        queue.max_attempts = attempts;
    }
    let mut slow = plan.queues["queue"].clone();
    slow.path_prefix = "/s/".to_owned();
    slow.priority = 2;
    slow.stretch_permille = 4_000;
    slow.latency_target = Span::from_millis(3_000);
    plan.queues.insert("slow".to_owned(), slow);
    plan
}

fn slow(job: u64) -> Target {
    Target {
        host: "host".to_owned(),
        path: format!("/s/{job:016x}"),
    }
}

#[test]
fn a_start_that_comes_late_finds_no_room_in_a_later_life() {
    // Found by the random histories: the start's answer never came, the worker
    // crashed and was born again under its name, and took the start seconds
    // later beside what it had been given meanwhile.
    let mut world = World::new(1, 3).with_plan(plan(1, false));
    world.faults.delayed_orders = 1_000;
    world.submit(7, &job(1, 3_000));
    world.run(100);
    world.faults = Faults::default();
    world.call(Call::Cancel(target(7)));
    world.run(700);
    world.crash("w0");
    world.run(50);
    world.restart_worker("w0");
    world.run(1_000);
    let mut spec = job(1, 3_000);
    spec.steps[0].long_running = true;
    world.submit(8, &spec);
    world.run(14_000);
    assert_eq!(world.starts(&task(7, 0)), 0);
    assert_eq!(world.starts(&task(8, 0)), 1);
}

#[test]
fn a_failed_task_is_tried_on_another_worker() {
    // Found at norrvik-panna, scale-2: a task with two attempts failed twice on
    // the worker that fails all it starts, since that one always has room.
    let mut world = World::new(3, 1).with_plan(two_queues(2));
    world.failing.insert("w0".into());
    for id in 0..12 {
        world.submit(20 + id, &job(2, 1_500));
        world.run(60);
    }
    world.run(6_000);
    for id in 0..12 {
        assert_eq!(
            phase(&mut world, 20 + id),
            Some(Phase::Completed),
            "job {id}"
        );
    }
}

#[test]
fn urgent_work_stops_work_that_saves_its_progress() {
    let mut world = World::new(2, 1).with_plan(two_queues(3));
    let mut spec = job(2, 4_000);
    spec.steps[0].checkpoints = true;
    spec.steps[0].estimate = Span::from_secs(20);
    for index in 0..2 {
        world
            .scripted_runs
            .insert(task(7, index), vec![(20_000, Outcome::Done); 3]);
    }
    world.submit_at(slow(7), 7, &spec);
    world.run(1_500);
    world.submit(8, &job(1, 3_000));
    world.run(1_200);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
    let stopped = world.observed_runs.iter().filter(|observed| {
        observed
            .ended
            .is_some_and(|(_, outcome)| outcome == Outcome::Stopped)
    });
    assert_eq!(stopped.count(), 1, "only as much as is needed stops");
}

#[test]
fn work_that_saves_nothing_is_not_stopped() {
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(3_000, Outcome::Done)]);
    world.submit_at(slow(7), 7, &job(1, 4_000));
    world.run(1_500);
    world.submit(8, &job(1, 3_000));
    world.run(4_000);
    let ends = world
        .observed_runs
        .iter()
        .filter_map(|observed| observed.ended);
    assert!(
        ends.into_iter()
            .all(|(_, outcome)| outcome == Outcome::Done)
    );
}

#[test]
fn a_large_task_gets_its_turn_among_small_ones() {
    // Small tasks keep two workers full; a large one needs a whole worker.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let mut begun = BTreeMap::new();
    for id in 0..60 {
        world.submit(100 + id, &job(2, 1_000));
        if id == 10 {
            world.submit(7, &job(1, 4_000));
        }
        world.run(65);
        if let Some(observed) = world
            .observed_runs
            .iter()
            .find(|observed| observed.task == task(7, 0))
        {
            begun.entry(7).or_insert(observed.started_at);
        }
    }
    assert!(
        begun.contains_key(&7),
        "the large task waits for the last small one"
    );
}

/// Two workers, of which the first runs a task that takes `takes` milliseconds
/// and after `after` of them stands still for `still` of every ten.
fn slowed(takes: u64, after: u64, still: u64) -> (World, id::Worker) {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(takes, Outcome::Done); 2]);
    world.submit(7, &job(1, 3_000));
    world.run(after);
    let worker = world.observed_runs[0].worker.clone();
    world.slow.insert(worker.clone(), still);
    (world, worker)
}

#[test]
fn a_task_that_stands_still_is_started_elsewhere() {
    // Found at norrvik-panna, workers-unsound: what a worker tells of a task's
    // progress was taken for its share of the processor, so that tasks on
    // workers that hang were never seen to stand still.
    let (mut world, worker) = slowed(2_000, 1_200, 10);
    world.run(8_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 2);
    assert_ne!(world.observed_runs[1].worker, worker);
}

#[test]
fn a_task_that_crawls_is_started_elsewhere() {
    let (mut world, worker) = slowed(4_000, 1_200, 9);
    world.run(12_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 2);
    assert_ne!(world.observed_runs[1].worker, worker);
}

#[test]
fn a_task_that_is_nearly_done_is_left_where_it_stands_still_for_a_while() {
    let (mut world, _) = slowed(6_000, 5_600, 10);
    world.run(2_500);
    world.slow.clear();
    world.run(1_500);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 1);
}

#[test]
fn a_late_job_is_not_passed_by_new_ones_until_it_is_lost() {
    // Found at norrvik-panna, scale-2: whatever could be in time went before
    // what was late already, so that after the loss of a leader late jobs
    // waited until they were worth nothing.
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    let id = |at: u64| 100 + at;
    // A little more comes than fits, so that all are late after a while.
    for at in 0..40 {
        world.submit(id(at), &job(2, 4_000));
        world.run(560);
    }
    // Three times what a job may take to be in time, by its caller's estimate.
    let last_call = 3 * (400 * 3 / 2 + 250);
    for at in 0..35 {
        let of_job = |observed: &&super::world::ObservedRun| {
            observed.task.stage.job == Id(id(at)) && observed.ended.is_some()
        };
        let ends = world
            .observed_runs
            .iter()
            .filter(of_job)
            .filter_map(|observed| observed.ended);
        let end = ends.map(|(end, _)| end).max().expect("the job has ended");
        let took = end - (3_000 + at * 560);
        assert!(took <= last_call, "job {at} took {took} ms");
    }
}

#[test]
fn a_new_leader_knows_how_long_callers_have_waited() {
    // Found at norrvik-panna, scale-2: a leader whose VM had just started took
    // jobs for as old as its own clock.
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(9_000, Outcome::Done)]);
    world.submit(7, &job(1, 4_000));
    world.run(300);
    // The oldest has the highest number, so that numbers give no right order.
    for at in 0..8 {
        world.submit(108 - at, &job(1, 4_000));
        world.run(250);
    }
    for at in 0..3 {
        world.kill(at);
    }
    world.run(300);
    for at in 0..3 {
        world.power_on(at);
    }
    world.run(12_000);
    let started_at = |at: u64| {
        let of_job = |observed: &&super::world::ObservedRun| {
            observed.task.stage.job == Id(100 + at)
        };
        world
            .observed_runs
            .iter()
            .find(of_job)
            .map(|observed| observed.started_at)
    };
    let order: Vec<u64> = (1..=8).rev().filter_map(started_at).collect();
    assert!(order.is_sorted(), "{order:?}");
}

#[test]
fn a_large_task_empties_the_worker_that_is_kept_for_it() {
    // Found at norrvik-panna, scale-2: a task that needs a whole worker waited
    // up to 27 s among small ones of a less urgent queue, though those save
    // their progress.
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    let mut spec = job(4, 1_000);
    spec.steps[0].checkpoints = true;
    spec.steps[0].estimate = Span::from_secs(20);
    for index in 0..4 {
        world
            .scripted_runs
            .insert(task(7, index), vec![(20_000, Outcome::Done); 3]);
    }
    world.submit_at(slow(7), 7, &spec);
    world.run(1_500);
    let mut large = job(1, 3_000);
    large.steps[0].gang = true;
    world.submit(8, &large);
    world.run(1_600);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
    let stopped = world.observed_runs.iter().filter(|observed| {
        observed
            .ended
            .is_some_and(|(_, outcome)| outcome == Outcome::Stopped)
    });
    assert_eq!(stopped.count(), 3, "only as many as is needed stop");
}

#[test]
fn a_large_task_waits_for_what_ends_soon() {
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    let mut spec = job(4, 1_000);
    spec.steps[0].checkpoints = true;
    spec.steps[0].estimate = Span::from_secs(2);
    for index in 0..4 {
        world
            .scripted_runs
            .insert(task(7, index), vec![(2_000, Outcome::Done); 3]);
    }
    world.submit_at(slow(7), 7, &spec);
    world.run(1_500);
    let mut large = job(1, 3_000);
    large.steps[0].gang = true;
    world.submit(8, &large);
    world.run(1_600);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
    let ends = world
        .observed_runs
        .iter()
        .filter_map(|observed| observed.ended);
    assert!(
        ends.into_iter()
            .all(|(_, outcome)| outcome == Outcome::Done)
    );
}

/// The lasting task that failed at a time was started again within 3 s.
fn assert_came_back(world: &World, failed: u64) {
    let again = world
        .observed_runs
        .iter()
        .filter(|observed| observed.task == task(7, 0));
    let again = again
        .map(|observed| observed.started_at)
        .max()
        .unwrap_or_default();
    assert!(again > failed, "it never came back");
    assert!(
        again - failed < 3_000,
        "it came back after {} ms",
        again - failed
    );
}

#[test]
fn a_task_that_lasts_comes_back_soon_however_much_waits() {
    // Found at hanafy-yard, load-2x with seed 659208982402: once a lasting job
    // was older than any other may become it counted as lost, and its tasks
    // that failed waited for as long as there was a backlog.
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    let mut lasting = job(1, 1_000);
    lasting.steps[0].long_running = true;
    world.submit_at(slow(7), 7, &lasting);
    world.run(500);
    for at in 0..40 {
        world.submit(100 + at, &job(4, 1_000));
        world.run(280);
    }
    world.fail_runs(task(7, 0));
    let failed = world.now;
    for at in 40..60 {
        world.submit(100 + at, &job(4, 1_000));
        world.run(280);
    }
    assert_came_back(&world, failed);
}

/// How many of some jobs that take a worker for 300 ms each are in time, if one
/// comes each `gap` milliseconds.
fn in_time(gap: u64, jobs: u64) -> usize {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    for at in 0..jobs {
        world.submit(100 + at, &job(4, 1_000));
        world.run(gap);
    }
    world.run(4_000);
    let goal = 400 * 3 / 2 + 250;
    let in_time = |at: &u64| {
        let of_job = |observed: &&super::world::ObservedRun| {
            observed.task.stage.job == Id(100 + at)
        };
        let ends = world
            .observed_runs
            .iter()
            .filter(of_job)
            .filter_map(|observed| observed.ended);
        let ends: Vec<u64> = ends.map(|(end, _)| end).collect();
        ends.len() == 4 && ends.iter().all(|&end| end <= 3_000 + at * gap + goal)
    };
    (0..jobs).filter(in_time).count()
}

#[test]
fn as_many_jobs_are_in_time_at_twice_and_eight_times_the_load() {
    // The load of hanafy-yard, load-2x: in the order of deadlines alone, each
    // job is served when it has just become late.
    let usual = in_time(320, 30);
    assert_eq!(usual, 30);
    for times in [2, 8] {
        let served = in_time(320 / times, 30 * times);
        assert!(
            100 * served >= 95 * usual,
            "{served} of {usual} at {times}x"
        );
    }
}

#[test]
fn an_operator_sees_what_each_waiting_step_waits_for() {
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    let mut lasting = job(1, 4_000);
    lasting.steps[0].long_running = true;
    world.submit_at(slow(7), 7, &lasting);
    world.run(500);
    world.submit(8, &job(2, 1_000));
    world.run(200);
    let ticket = world.call(Call::Overview);
    world.run(30);
    let Some(Reply::Overview(text)) = world.replies.get(&ticket) else {
        panic!("no overview");
    };
    let overview: Overview = serde_json::from_str(text).expect("an overview");
    let [step] = overview.steps.as_slice() else {
        panic!("{:?}", overview.steps);
    };
    assert_eq!(step.name, "0000000000000008.0.0");
    assert_eq!((step.waiting, step.running), (2, 0));
    assert_eq!(step.cause, Blocker::Room);
    assert!(step.waited_ms >= 190);
    let counts = |name: &str| {
        let mut queues = overview.queues.iter();
        let queue = queues.find(|queue| queue.name == name);
        queue.map(|queue| (queue.jobs, queue.waiting, queue.running))
    };
    assert_eq!(counts("queue"), Some((1, 2, 0)));
    assert_eq!(counts("slow"), Some((1, 0, 1)));
}

#[test]
fn a_start_without_an_answer_is_sent_again_soon() {
    // Found at norrvik-panna, late-orders: one start in ten found no answer, and
    // was sent again after 360 ms, by when most short jobs were late.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.faults.delayed_orders = 1_000;
    let submitted = world.now;
    world.submit(7, &job(1, 1_000));
    world.run(60);
    world.faults = Faults::default();
    world.run(500);
    let started_at = world
        .observed_runs
        .iter()
        .find(|observed| observed.task == task(7, 0));
    let waited = started_at.map(|observed| observed.started_at - submitted);
    assert!(waited.is_some_and(|waited| waited <= 200), "{waited:?}");
    // The first order may still be carried out, and changes nothing.
    world.run(13_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
}

#[test]
fn a_task_that_lasts_gets_its_advice_however_many_others_ask() {
    // Found at hanafy-yard, load-8x with seed 204148051360: all who can ask for
    // advice were busy with new steps, so that a lasting task whose tickets had
    // run out waited for 11 s.
    let mut world = World::new(2, 1).with_plan(plan(1, true));
    let mut lasting = job(1, 100);
    lasting.steps[0].long_running = true;
    world.submit(7, &lasting);
    world.run(3_000);
    for at in 0..50 {
        world.submit(100 + at, &job(1, 10));
        world.run(10);
    }
    world.fail_runs(task(7, 0));
    let failed = world.now;
    for at in 50..450 {
        world.submit(100 + at, &job(1, 10));
        world.run(10);
    }
    assert_came_back(&world, failed);
}

#[test]
fn a_job_that_is_over_by_an_earlier_terms_entry_is_told() {
    // Found at norrvik-panna, scale-2: an end that was stored when all power was
    // lost was applied by the next leader before it began, and no line said
    // that its job was over.
    for cut in 0..12 {
        let mut world = World::new(1, 1).with_plan(plan(1, false));
        world.submit(7, &job(1, 1_000));
        while world
            .observed_runs
            .first()
            .is_none_or(|observed| observed.ended.is_none())
        {
            world.run(1);
        }
        world.run(cut);
        for at in 0..3 {
            world.kill(at);
        }
        world.run(300);
        for at in 0..3 {
            world.power_on(at);
        }
        world.run(3_000);
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
        assert!(
            world.finished_jobs.contains(&Id(7)),
            "power lost after {cut} ms"
        );
    }
}
