//! Tests of the leader's dispatcher when orders or answers are lost or delayed,
//! and when workers or leaders fail.

use std::collections::BTreeMap;

use gentianlane::fleet::call::{Call, Reply, Target};
use gentianlane::fleet::decision::Decision;
use gentianlane::fleet::dispatch::{Blocker, Overview};
use gentianlane::fleet::job::{Id, Phase, Spec, Stage, Task};
use gentianlane::fleet::order::Outcome;
use gentianlane::fleet::plan::Plan;
use gentianlane::id;
use gentianlane::unit::Span;

use super::simulated_worker::{job, step};
use super::world::{Faults, Hang, World, plan, target};

/// How long a worker lets a gang's task wait for the others, in milliseconds.
const GANG_WAIT_MS: u64 = 4_000;

pub(crate) fn task(job: u64, index: u32) -> Task {
    let stage = Stage {
        job: Id(job),
        occurrence: 0,
        step: 0,
    };
    Task { stage, index }
}

pub(crate) fn phase(world: &mut World, job: u64) -> Option<Phase> {
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
    // Found at norrvik-panna, trouble-2 with seed 853914952207: the answer to the
    // start was lost and its retry was refused as stale, so the leader discarded
    // a run that had succeeded.
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
    // Found at norrvik-panna, workers-unsound with seed 1: a lease renewal and a
    // start were sent in the same millisecond. The renewal's status was taken
    // before the start was carried out but arrived after the start's answer, so
    // the leader took the new run for lost.
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
        // The oracle fails on a second run.
        world.run(1_500);
        assert_eq!(world.starts(&task(7, 0)), 2);
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    }
}

#[test]
fn tasks_of_a_worker_that_falls_silent_start_elsewhere_after_its_lease() {
    // Found at norrvik-panna, mix with seed 270142131089: every unanswered lease
    // renewal postponed the lease's expiry, so the lost worker's tasks were never
    // restarted.
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
    // Found at norrvik-panna, workers-cut-off with seed 1: a partition that
    // refuses connections was taken for the worker's exit, and its tasks ran
    // twice.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(3_000, Outcome::Done)]);
    world.submit(7, &job(1, 3_000));
    world.run(500);
    let worker = world.observed_runs[0].worker.clone();
    world.refusing.insert(worker.clone());
    // The oracle fails on a second run beside the first.
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

/// Cancels a long-running job while its worker is unreachable and kills the
/// leader, so that the next leader has to place another job while the cancelled
/// job's runs still use capacity.
fn check_leftover_runs_keep_capacity(long_running: &Spec, next: &Spec) {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    let mut long_running = long_running.clone();
    long_running.steps[0].long_running = true;
    world.submit(7, &long_running);
    world.run(500);
    world.submit(8, next);
    world.run(100);
    let leader = world.leader();
    assert!(leader.is_some(), "no leader holds a lease");
    let worker = world.observed_runs[0].worker.clone();
    world.unreachable.insert(worker);
    world.call(Call::Cancel(target(7)));
    world.run(30);
    if let Some(leader) = leader {
        world.kill(leader);
    }
    world.unreachable.clear();
    // The oracle checks the worker's capacity at every start.
    world.run(6_000);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
}

#[test]
fn what_a_job_that_is_over_left_behind_keeps_its_room() {
    // Found at hanafy-yard, scale-1 with seed 379412820395: a new leader counted
    // the remaining runs of a finished job as using no capacity.
    check_leftover_runs_keep_capacity(&job(1, 3_500), &job(1, 3_500));
}

#[test]
fn each_run_that_a_job_left_behind_keeps_its_room() {
    // Found at norrvik-panna, hunt-fe82-51: the first remaining run was charged
    // with the capacity of all of them, and its end released what the others
    // still used.
    check_leftover_runs_keep_capacity(&job(2, 1_700), &job(1, 3_000));
}

#[test]
fn tickets_are_renewed_with_a_single_helper() {
    // Found by the random histories: with the advice relays reserved for new
    // steps, none was left for a step whose tickets had expired.
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

/// The workers named by each advice request of a one-task job, in a fleet of 110
/// workers of which long-running tasks fill `full`.
fn workers_asked_about(full: u32) -> (World, Vec<Vec<id::Worker>>) {
    let mut world = World::new(110, 1).with_plan(plan(1, true));
    let mut long_running = job(full, 4_000);
    long_running.steps[0].long_running = true;
    world.submit(7, &long_running);
    world.run(1_000);
    assert_eq!(world.observed_runs.len(), full as usize);
    world.submit(8, &job(1, 1_000));
    world.run(1_000);
    let of_job = world
        .advice_requests
        .iter()
        .filter(|request| request.stage.job == Id(8));
    let asked = of_job.map(|request| request.workers.clone()).collect();
    (world, asked)
}

#[test]
fn a_step_is_advised_on_workers_with_room_first() {
    // Found at norrvik-panna-grown, trouble-3: each step asked about the same
    // hundred workers first, which were full, and then again about the others.
    let (world, asked) = workers_asked_about(100);
    let [named] = asked.as_slice() else {
        panic!("{} advice requests for one task", asked.len());
    };
    let is_full = |worker: &&id::Worker| {
        world.observed_runs[..100]
            .iter()
            .any(|run| run.worker == **worker)
    };
    assert!(!named.iter().take(10).any(|worker| is_full(&worker)));
    assert_eq!(world.starts(&task(8, 0)), 1);
}

#[test]
fn a_step_that_knows_enough_workers_does_not_ask_about_full_ones() {
    let (_, asked) = workers_asked_about(110);
    assert_eq!(asked.len(), 1);
}

#[test]
fn a_step_that_knows_only_full_workers_runs_where_others_get_room() {
    let mut world = World::new(110, 1).with_plan(plan(1, true));
    let mut long_running = job(100, 4_000);
    long_running.steps[0].long_running = true;
    world.submit(7, &long_running);
    world.run(1_000);
    for index in 0..10 {
        let run = vec![(1_500, Outcome::Done)];
        world.scripted_runs.insert(task(8, index), run);
    }
    world.submit(8, &job(10, 4_000));
    world.run(500);
    assert_eq!(world.observed_runs.len(), 110);
    world.submit(9, &job(1, 1_000));
    world.run(5_000);
    assert_eq!(phase(&mut world, 9), Some(Phase::Completed));
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
    // Found at hanafy-yard, trouble-2 of score df76ad46: the new leader first
    // received the failure of the earlier run, and the task waited for that entry
    // to be logged. The active run was therefore taken for superseded, and
    // another was started before it had stopped.
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
    // The failure reaches the leader, but its acknowledgement doesn't reach the
    // worker.
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
fn a_gang_does_not_wait_for_a_member_at_a_silent_worker() {
    // Found at norrvik-panna-grown, two-bursts with seed 1: the starts of one member
    // were lost, and its worker counted as silent by then. The others were stopped
    // only once that worker answered, after they had waited for 3.5 s.
    for delay in (0..2_000).step_by(100) {
        let mut world = World::new(2, 1).with_plan(plan(1, false));
        for index in 0..2 {
            world
                .scripted_runs
                .insert(task(7, index), vec![(20_000, Outcome::Done)]);
        }
        world.unreachable.insert("w1".into());
        world.run(delay);
        let mut spec = job(2, 2_500);
        spec.steps[0].gang = true;
        world.submit(7, &spec);
        world.run(6_000);
        for observed in &world.observed_runs {
            let ended = observed.ended.map(|(at, _)| at - observed.started_at);
            assert!(
                ended.is_some_and(|after| after < GANG_WAIT_MS),
                "unreachable for {delay} ms: {observed:?}"
            );
        }
    }
}

#[test]
fn a_new_leader_starts_a_gang_anew_that_the_last_one_started_in_part() {
    for delay in (0..400).step_by(50) {
        let mut world = World::new(2, 1).with_plan(plan(1, false));
        for index in 0..2 {
            let scripted_runs = vec![(20_000, Outcome::Done); 2];
            world.scripted_runs.insert(task(7, index), scripted_runs);
        }
        world.unreachable.insert("w1".into());
        let mut spec = job(2, 2_500);
        spec.steps[0].gang = true;
        world.submit(7, &spec);
        while world.observed_runs.is_empty() {
            world.run(1);
        }
        world.run(delay);
        let leader = world.leader().expect("a leader");
        world.kill(leader);
        world.unreachable.clear();
        world.run(6_000);
        // A start that was under way still reaches w1 after some of the delays, and
        // then the first run goes on.
        let first = &world.observed_runs[0];
        let waited = first.ended.map(|(at, _)| at - first.started_at);
        assert!(
            waited.is_none_or(|waited| waited < GANG_WAIT_MS),
            "leader lost after {delay} ms: {first:?}"
        );
        let active: Vec<_> = world
            .observed_runs
            .iter()
            .filter(|observed| observed.ended.is_none())
            .collect();
        assert_eq!(active.len(), 2, "leader lost after {delay} ms");
        assert_eq!(active[0].run, active[1].run);
    }
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

/// A plan with an urgent queue under `/q/` and a less urgent one under `/s/`.
pub(crate) fn two_queues(attempts: u32) -> Plan {
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

pub(crate) fn slow_target(job: u64) -> Target {
    Target {
        host: "host".to_owned(),
        path: format!("/s/{job:016x}"),
    }
}

#[test]
fn a_start_that_comes_late_finds_no_room_in_a_later_life() {
    // Found by the random histories: a start got no answer, the worker crashed
    // and restarted under its name, and the new incarnation carried out the
    // delayed start seconds later, beyond its capacity.
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

/// Runs until the leader has noticed that many restarts of a worker.
fn run_until_restarts(world: &mut World, worker: &id::Worker, restarts: usize) {
    let gone = |decision: &&Decision| {
        matches!(decision, Decision::WorkerGone { incarnation, .. }
            if incarnation.worker == *worker)
    };
    while world.decisions.iter().filter(gone).count() < restarts {
        world.run(1);
    }
}

#[test]
fn a_start_in_doubt_is_stopped_at_once_in_each_later_life() {
    // Found by the random histories, seed 2670: the stops to the second life got no
    // answer, and the third was told to stop only 400 ms after it had been reached,
    // when it had carried out the start.
    for second_life in (3_000..4_500).step_by(250) {
        let mut world = World::new(2, 2).with_plan(plan(1, false));
        world.faults.delayed_orders = 1_000;
        world.submit(7, &job(1, 500));
        world.run(40);
        world.faults = Faults::default();
        let placed = last_placed(&world).expect("a start");
        world.crash(placed.as_str());
        world.run(300);
        world.restart_worker(placed.as_str());
        run_until_restarts(&mut world, &placed, 1);
        world.unreachable.insert(placed.clone());
        world.run(second_life);
        world.crash(placed.as_str());
        world.restart_worker(placed.as_str());
        world.unreachable.clear();
        run_until_restarts(&mut world, &placed, 2);
        // The stop is under way. What comes before it can't be prevented.
        world.run(5);
        let known = world.now;
        world.run(14_000);
        let mut runs = world.observed_runs.iter();
        let late = runs.find(|run| run.run == 1 && run.started_at > known);
        assert!(late.is_none(), "second life of {second_life} ms: {late:?}");
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    }
}

/// Delays a start, has its next try fail as `fault` arranges, and lets the first
/// one be carried out seconds later.
fn check_start_in_doubt(fault: impl Fn(&mut World)) {
    for seed in 1..=8 {
        let mut world = World::new(2, seed).with_plan(plan(1, false));
        let scripted_runs = vec![(9_000, Outcome::Done); 2];
        world.scripted_runs.insert(task(7, 0), scripted_runs);
        world.faults.delayed_orders = 1_000;
        world.submit(7, &job(1, 500));
        world.run(40);
        world.faults = Faults::default();
        fault(&mut world);
        world.run(400);
        world.refusing.clear();
        world.unhealthy.clear();
        // The oracle fails on a second run beside the first.
        world.run(20_000);
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed), "seed {seed}");
    }
}

#[test]
fn a_start_in_doubt_may_be_carried_out_though_the_next_finds_no_listener() {
    check_start_in_doubt(|world| {
        let placed = last_placed(world).expect("a start");
        world.refusing.insert(placed);
    });
}

#[test]
fn a_start_in_doubt_may_be_carried_out_though_the_next_is_refused() {
    check_start_in_doubt(|world| {
        let placed = last_placed(world).expect("a start");
        world.unhealthy.insert(placed);
    });
}

#[test]
fn a_start_carried_out_without_an_answer_runs_though_the_next_try_comes_too_late() {
    // Found by the random histories, seeds 26 and 58 with unsound workers: the ticket
    // expired between two tries of a start. The second was refused for it, and the
    // run was taken for gone, though the first had been carried out.
    let mut world = World::new(2, 1).with_plan(plan(1, true));
    world.checks_tickets = true;
    world
        .scripted_runs
        .insert(task(7, 0), vec![(9_000, Outcome::Done); 2]);
    world.run(1_000);
    world.faults.lost_answers = 1_000;
    world.ticket_validity = 140;
    world.submit(7, &job(1, 500));
    world.run(100);
    assert_eq!(world.observed_runs.len(), 1);
    world.faults = Faults::default();
    world.run(300);
    world.ticket_validity = 2_000;
    // The oracle fails on a second run beside the first.
    world.run(20_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_task_is_placed_nowhere_while_a_start_in_doubt_is_being_stopped() {
    // Found by the random histories, seed 10 with unsound workers: a new incarnation
    // was told to stop a start in doubt, and listed it as running, but the task had
    // been given back by the earlier incarnation and was placed elsewhere.
    let mut late_runs = 0;
    for seed in 1..=20 {
        let mut world = World::new(2, seed).with_plan(plan(1, false));
        world.run_time = 3_000;
        world.unreachable.insert(id::Worker::from("w1"));
        world.run(2_500);
        world.faults.briefly_delayed_orders = 1_000;
        world.submit(7, &job(1, 500));
        world.run(40);
        world.workers[0].draining = true;
        world.run(460);
        world.faults = Faults::default();
        world.run(800);
        world.crash("w0");
        world.restart_worker("w0");
        run_until_restarts(&mut world, &id::Worker::from("w0"), 1);
        late_runs += usize::from(!world.workers[0].runs.is_empty());
        world.hanging.insert(id::Worker::from("w0"), Hang::Idle);
        world.unreachable.clear();
        world.run(4_000);
        world.hanging.clear();
        // The oracle fails on a second run beside the first.
        world.run(10_000);
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed), "seed {seed}");
    }
    assert!(late_runs > 0, "no start was carried out late");
}

#[test]
fn a_run_that_is_listed_beside_another_of_its_task_is_stopped() {
    // Found by the random histories, seed 37 with unsound workers: a new incarnation
    // carried out a start in doubt, but the leader remembered only the later run of
    // the task, and neither stopped nor counted the one that was listed.
    let mut late_runs = 0;
    for seed in 1..=40 {
        let mut world = World::new(1, seed).with_plan(plan(1, false));
        world.run_time = 8_000;
        world.faults.late_orders = 1_000;
        world.submit(7, &job(1, 500));
        world.run(460);
        world.faults = Faults::default();
        world.run(1_600);
        world.crash("w0");
        world.restart_worker("w0");
        let worker = id::Worker::from("w0");
        run_until_restarts(&mut world, &worker, 1);
        late_runs += usize::from(world.workers[0].runs.contains_key(&(task(7, 0), 1)));
        // The oracle fails on a second run beside the first.
        world.run(20_000);
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed), "seed {seed}");
    }
    assert!(late_runs > 0, "no start was carried out late");
}

#[test]
fn a_run_whose_end_is_cut_from_the_list_is_not_taken_for_gone() {
    // A worker lists a limited number of ends at a time. A run that had ended beyond
    // it was in neither list, and was started again.
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.workers[0].ends_limit = 2;
    world.run_time = 1_700;
    world.submit(7, &job(4, 500));
    world.run(5_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.observed_runs.len(), 4);
}

#[test]
fn a_failed_task_is_tried_on_another_worker() {
    // Found at norrvik-panna, scale-2: a task with two attempts failed twice on
    // the same worker, which fails every run and so always has free capacity.
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
    world.submit_at(slow_target(7), 7, &spec);
    world.run(1_500);
    world.submit(8, &job(1, 3_000));
    world.run(1_200);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
    let stopped = world.observed_runs.iter().filter(|observed| {
        observed
            .ended
            .is_some_and(|(_, outcome)| outcome == Outcome::Stopped)
    });
    assert_eq!(
        stopped.count(),
        1,
        "one run is preempted, no more than needed"
    );
}

#[test]
fn work_that_saves_nothing_is_not_stopped() {
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(3_000, Outcome::Done)]);
    world.submit_at(slow_target(7), 7, &job(1, 4_000));
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
    // Small tasks keep both workers busy; the large one needs a whole worker.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let mut start_times = BTreeMap::new();
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
            start_times.entry(7).or_insert(observed.started_at);
        }
    }
    assert!(
        start_times.contains_key(&7),
        "the large task didn't start while small ones kept arriving"
    );
}

/// Two workers, one of which runs a task of `duration` milliseconds.
///
/// After `after` milliseconds that worker stalls for `stall` of every ten.
fn stalling_worker(duration: u64, after: u64, stall: u64) -> (World, id::Worker) {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(duration, Outcome::Done); 2]);
    world.submit(7, &job(1, 3_000));
    world.run(after);
    let worker = world.observed_runs[0].worker.clone();
    world.slow.insert(worker.clone(), stall);
    (world, worker)
}

#[test]
fn a_task_that_stands_still_is_started_elsewhere() {
    // Found at norrvik-panna, workers-unsound: the progress in a worker's status
    // was read as CPU usage, so tasks on hanging workers were never detected as
    // stalled.
    let (mut world, worker) = stalling_worker(2_000, 1_200, 10);
    world.run(8_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 2);
    assert_ne!(world.observed_runs[1].worker, worker);
}

#[test]
fn a_task_that_crawls_is_started_elsewhere() {
    let (mut world, worker) = stalling_worker(4_000, 1_200, 9);
    world.run(12_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 2);
    assert_ne!(world.observed_runs[1].worker, worker);
}

#[test]
fn a_task_that_is_nearly_done_is_left_where_it_stands_still_for_a_while() {
    let (mut world, _) = stalling_worker(6_000, 5_600, 10);
    world.run(2_500);
    world.slow.clear();
    world.run(1_500);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 1);
}

#[test]
fn a_status_that_the_leader_reads_late_is_no_sign_of_a_slow_worker() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(16_000, Outcome::Done)]);
    world.submit(7, &job(1, 1_000));
    world.run(300);
    // One answer is read 1.5 s late, the next one at once.
    world.renewal_delay = 1_500;
    world.run(1_500);
    world.renewal_delay = 0;
    for at in 0..20 {
        world.submit(100 + at, &job(2, 1_000));
        world.run(100);
    }
    world.run(4_000);
    let blames = |decision: &&Decision| {
        matches!(
            decision,
            Decision::WorkerAvoided { .. } | Decision::Stop { .. }
        )
    };
    let blamed: Vec<_> = world.decisions.iter().filter(blames).collect();
    assert!(blamed.is_empty(), "{blamed:?}");
}

#[test]
fn a_late_job_is_not_passed_by_new_ones_until_it_is_lost() {
    // Found at norrvik-panna, scale-2: every job that could still be in time went
    // before the late ones, so that after the loss of a leader late jobs waited
    // until their results were worthless.
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    let id = |at: u64| 100 + at;
    // The load is slightly above capacity, so that eventually all jobs are late.
    for at in 0..40 {
        world.submit(id(at), &job(2, 4_000));
        world.run(560);
    }
    // Three times the latency up to which a job is in time by its estimate.
    let max_latency = 3 * (400 * 3 / 2 + 250);
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
        assert!(took <= max_latency, "job {at} took {took} ms");
    }
}

#[test]
fn a_new_leader_knows_how_long_callers_have_waited() {
    // Found at norrvik-panna, scale-2: a leader on a VM that had just started
    // computed the age of jobs from its own clock.
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(9_000, Outcome::Done)]);
    world.submit(7, &job(1, 4_000));
    world.run(300);
    // The oldest job has the highest ID, so that sorting by ID gives a wrong
    // order.
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
    // Found at norrvik-panna, scale-2: a task that needs a whole worker waited up
    // to 27 s for small tasks of a less urgent queue, though those save
    // checkpoints and could have been preempted.
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    let mut spec = job(4, 1_000);
    spec.steps[0].checkpoints = true;
    spec.steps[0].estimate = Span::from_secs(20);
    for index in 0..4 {
        world
            .scripted_runs
            .insert(task(7, index), vec![(20_000, Outcome::Done); 3]);
    }
    world.submit_at(slow_target(7), 7, &spec);
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
    assert_eq!(
        stopped.count(),
        3,
        "three runs are preempted, no more than needed"
    );
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
    world.submit_at(slow_target(7), 7, &spec);
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

/// Asserts that the long-running task which failed at `failed` (milliseconds)
/// was restarted within 3 s.
fn assert_restarted_soon(world: &World, failed: u64) {
    let restarted_at = world
        .observed_runs
        .iter()
        .filter(|observed| observed.task == task(7, 0));
    let restarted_at = restarted_at
        .map(|observed| observed.started_at)
        .max()
        .unwrap_or_default();
    assert!(restarted_at > failed, "the failed task was not restarted");
    assert!(
        restarted_at - failed < 3_000,
        "the failed task was restarted after {} ms",
        restarted_at - failed
    );
}

#[test]
fn a_task_that_lasts_comes_back_soon_however_much_waits() {
    // Found at hanafy-yard, load-2x with seed 659208982402: a long-running job
    // older than the age at which other jobs are given up was ranked as hopelessly
    // late, so its failed tasks waited as long as there was a backlog.
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    let mut long_running = job(1, 1_000);
    long_running.steps[0].long_running = true;
    world.submit_at(slow_target(7), 7, &long_running);
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
    assert_restarted_soon(&world, failed);
}

/// Counts the jobs that finish in time if one arrives every `gap` milliseconds
/// and each occupies the only worker for 300 ms.
fn jobs_in_time(gap: u64, jobs: u64) -> usize {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    for at in 0..jobs {
        world.submit(100 + at, &job(4, 1_000));
        world.run(gap);
    }
    world.run(4_000);
    let latency_limit = 400 * 3 / 2 + 250;
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
        ends.len() == 4
            && ends
                .iter()
                .all(|&end| end <= 3_000 + at * gap + latency_limit)
    };
    (0..jobs).filter(in_time).count()
}

#[test]
fn as_many_jobs_are_in_time_at_twice_and_eight_times_the_load() {
    // The load of hanafy-yard, load-2x. Under overload, ordering by deadline alone
    // runs each job just after it has become late.
    let baseline = jobs_in_time(320, 30);
    assert_eq!(baseline, 30);
    for load in [2, 8] {
        let served = jobs_in_time(320 / load, 30 * load);
        assert!(
            100 * served >= 95 * baseline,
            "{served} jobs in time at {load} times the load, {baseline} at the usual load"
        );
    }
}

/// What an operator sees of the fleet; none if the leader doesn't reply.
pub(crate) fn overview(world: &mut World) -> Option<Overview> {
    let ticket = world.call(Call::Overview);
    world.run(30);
    let Some(Reply::Overview(text)) = world.replies.get(&ticket) else {
        return None;
    };
    serde_json::from_str(text).ok()
}

#[test]
fn an_operator_sees_what_each_waiting_step_waits_for() {
    let mut world = World::new(1, 1).with_plan(two_queues(3));
    let mut long_running = job(1, 4_000);
    long_running.steps[0].long_running = true;
    world.submit_at(slow_target(7), 7, &long_running);
    world.run(500);
    world.submit(8, &job(2, 1_000));
    world.run(200);
    let overview = overview(&mut world).expect("an overview");
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
    // Found at norrvik-panna, late-orders: one start in ten got no answer and was
    // retried only after 360 ms, when most short jobs were already late.
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
    // The first order may still be carried out; it must not start a second run.
    world.run(13_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
}

#[test]
fn orders_that_a_late_leader_never_sent_are_no_sign_of_silent_workers() {
    // Found at twice the usual load: the leader's lease had ended in its own send
    // queue, and it took every worker for silent and stopped its starts.
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.submit(7, &job(2, 1_000));
    world.run(200);
    world.sends_late = true;
    world.submit(8, &job(2, 1_000));
    world.run(2_000);
    assert_eq!(world.starts(&task(8, 0)), 0);
    world.sends_late = false;
    world.run(3_000);
    for job in [7, 8] {
        assert_eq!(phase(&mut world, job), Some(Phase::Completed));
        assert_eq!(world.starts(&task(job, 0)), 1);
    }
    let blames = |decision: &&Decision| {
        matches!(
            decision,
            Decision::WorkerSilent { .. }
                | Decision::Stop { .. }
                | Decision::RunLost { .. }
        )
    };
    let blamed: Vec<_> = world.decisions.iter().filter(blames).collect();
    assert!(blamed.is_empty(), "{blamed:?}");
}

#[test]
fn a_leader_that_sends_slowly_makes_no_orders_that_it_cant_send() {
    // Found at twice the usual load: orders were made faster than they were sent,
    // waited until the leader lease had ended, and were made again.
    let mut world = World::new(30, 1).with_plan(plan(1, false));
    world.run(200);
    world.send_interval = 5;
    for at in 0..200 {
        world.submit(100 + at, &job(4, 1_000));
        world.run(10);
    }
    world.run(6_000);
    assert_eq!(world.unsent_orders, 0);
    for at in 0..200 {
        assert_eq!(phase(&mut world, 100 + at), Some(Phase::Completed));
    }
}

#[test]
fn a_burst_of_starts_that_is_sent_slowly_leaves_no_order_unsent() {
    // One pass places 600 tasks, and the leader sends 1,000 orders a second.
    let mut world = World::new(150, 1).with_plan(plan(1, false));
    world.run(1_500);
    world.send_interval = 1;
    for number in 0..150 {
        world.submit(number, &job(4, 1_000));
    }
    world.run(6_000);
    assert_eq!(world.unsent_orders, 0);
    for number in 0..150 {
        assert_eq!(phase(&mut world, number), Some(Phase::Completed));
    }
}

#[test]
fn a_run_never_sent_to_a_worker_that_falls_silent_starts_elsewhere() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.run(200);
    // The pending renewals are answered, and the next ones aren't.
    for worker in ["w0", "w1"] {
        world.unreachable.insert(id::Worker::from(worker));
    }
    world.run(1_500);
    world.sends_late = true;
    world.submit(7, &job(1, 500));
    world.run(3_000);
    let placed = world.decisions.iter().find_map(|decision| match decision {
        Decision::Start { incarnation, .. } => Some(incarnation.worker.clone()),
        _ => None,
    });
    let placed = placed.unwrap();
    let is_silent = |decision: &Decision| {
        matches!(decision, Decision::WorkerSilent { incarnation, .. }
            if incarnation.worker == placed)
    };
    assert!(world.decisions.iter().any(is_silent));
    world.unreachable.retain(|worker| *worker == placed);
    world.sends_late = false;
    world.run(10_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

/// The worker that the last start order was meant for.
pub(crate) fn last_placed(world: &World) -> Option<id::Worker> {
    let mut decisions = world.decisions.iter().rev();
    decisions.find_map(|decision| match decision {
        Decision::Start { incarnation, .. } => Some(incarnation.worker.clone()),
        _ => None,
    })
}

#[test]
fn a_start_that_was_never_sent_does_not_follow_a_worker_into_its_drain() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.sends_late = true;
    world.submit(7, &job(1, 1_000));
    world.run(200);
    let placed = last_placed(&world).expect("a start");
    let mut workers = world.workers.iter_mut();
    let worker = workers.find(|worker| worker.incarnation.worker == placed);
    worker.expect("the worker").draining = true;
    world.run(3_000);
    world.sends_late = false;
    world.run(1_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
    assert_ne!(world.observed_runs[0].worker, placed);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_start_that_was_never_sent_gets_a_new_ticket() {
    // Found at norrvik-panna-grown, load-8x with seed 2: 851 starts were refused for
    // their ticket, as they were sent up to 9.9 s after they had been made.
    for gang in [false, true] {
        let mut world = World::new(2, 1).with_plan(plan(1, true));
        world.sends_late = true;
        let mut spec = job(2, 2_500);
        spec.steps[0].gang = gang;
        world.submit(7, &spec);
        world.run(3_000);
        world.sends_late = false;
        world.run(1_500);
        assert_eq!(world.expired_tickets, 0, "gang: {gang}");
        assert_eq!(world.starts(&task(7, 0)), 1, "gang: {gang}");
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed), "gang: {gang}");
    }
}

#[test]
fn a_start_that_was_never_sent_takes_the_ticket_that_replaced_its_own() {
    // The second task finds no room, so its step renews the ticket that the first
    // one's start was made with.
    let mut world = World::new(1, 1).with_plan(plan(1, true));
    world.sends_late = true;
    world.submit(7, &job(2, 2_500));
    world.run(3_000);
    world.sends_late = false;
    world.run(1_500);
    assert_eq!(world.expired_tickets, 0);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_start_without_an_answer_is_not_repeated_on_a_worker_that_drains() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.submit(7, &job(1, 1_000));
    let placed = loop {
        world.run(1);
        if let Some(placed) = last_placed(&world) {
            break placed;
        }
    };
    world.unreachable.insert(placed.clone());
    world.run(50);
    world.unreachable.clear();
    let mut workers = world.workers.iter_mut();
    let worker = workers.find(|worker| worker.incarnation.worker == placed);
    let worker = worker.expect("the worker");
    worker.draining = true;
    let report = worker.report();
    let drained = world.call(Call::Report(report));
    world.run(50);
    assert_eq!(world.replies.get(&drained), Some(&Reply::Done));
    assert_eq!(world.starts(&task(7, 0)), 0);
    world.run(3_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
    assert_ne!(world.observed_runs[0].worker, placed);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn a_task_that_lasts_gets_its_advice_however_many_others_ask() {
    // Found at hanafy-yard, load-8x with seed 204148051360: all advice relays
    // were busy with new steps, so a long-running task whose tickets had expired
    // waited for 11 s.
    let mut world = World::new(2, 1).with_plan(plan(1, true));
    let mut long_running = job(1, 100);
    long_running.steps[0].long_running = true;
    world.submit(7, &long_running);
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
    assert_restarted_soon(&world, failed);
}

#[test]
fn a_job_that_is_over_by_an_earlier_terms_entry_is_told() {
    // Found at norrvik-panna, scale-2: all nodes lost power just after a run's end
    // was stored. The next leader applied that entry before its term began and
    // never logged that the job had finished.
    for power_loss_delay in 0..12 {
        let mut world = World::new(1, 1).with_plan(plan(1, false));
        world.submit(7, &job(1, 1_000));
        while world
            .observed_runs
            .first()
            .is_none_or(|observed| observed.ended.is_none())
        {
            world.run(1);
        }
        world.run(power_loss_delay);
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
            "power lost after {power_loss_delay} ms"
        );
    }
}

// Guards against a leader that runs out of processor time once much work waits:
// its workers were then taken for silent, and accepted jobs never ran.
#[test]
fn a_backlog_does_not_make_each_input_cost_all_steps_times_all_workers() {
    for advice in [false, true] {
        let workers = 150;
        let mut world = World::new(workers, 1).with_plan(plan(1, advice));
        for number in 0..900 {
            world.submit(number, &job(2, 1_500));
        }
        world.run(3_000);
        let effort = world.effort;
        assert!(effort.waiting_steps >= 500, "{effort:?}");
        // An input concerns one worker or one step.
        let linear = u64::from(workers) + effort.waiting_steps;
        assert!(effort.examined <= effort.inputs * linear, "{effort:?}");
    }
}

// Guards against a leader that runs out of processor time for a backlog alone, with
// few inputs or none.
#[test]
fn a_backlog_that_nothing_changes_is_examined_only_in_full_passes() {
    let (workers, jobs) = (100, 400);
    let mut world = World::new(workers, 1).with_plan(plan(1, false));
    for number in 0..u64::from(workers) {
        let scripted_runs = vec![(60_000, Outcome::Done)];
        world.scripted_runs.insert(task(number, 0), scripted_runs);
        world.submit(number, &job(1, 3_000));
    }
    world.run(600);
    let mut waiting = job(1, 1_500);
    waiting.steps[0].estimate = Span::from_secs(10);
    for number in 0..jobs {
        world.submit(1_000 + number, &waiting);
    }
    world.run(2_000);
    let before = world.effort;
    world.run(5_000);
    assert_eq!(world.effort.waiting_steps, jobs);
    // One pass each 500 ms, and one more as the log's periods are shifted.
    let full_passes = 11;
    let examined = world.effort.examined - before.examined;
    let full_pass = u64::from(workers) * jobs;
    assert!(examined <= full_passes * full_pass, "{examined}");
}

// Guards against runs that lapse while the leader has no time for placement.
#[test]
fn leases_are_renewed_and_ends_recorded_while_placement_rests() {
    let mut world = World::new(2, 1).with_plan(plan(1, true));
    world
        .scripted_runs
        .insert(task(7, 0), vec![(8_000, Outcome::Done)]);
    world.submit(7, &job(1, 500));
    world.run(500);
    assert_eq!(world.starts(&task(7, 0)), 1);
    world.placement_rests = true;
    let ticket = world.submit(8, &job(1, 500));
    world.run(9_000);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 1);
    assert_eq!(world.starts(&task(8, 0)), 0);
    world.placement_rests = false;
    world.run(2_500);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
}

#[test]
fn placement_goes_on_if_all_other_work_takes_long_too() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.flush_time = 20;
    world.run(500);
    world.submit(7, &job(1, 500));
    world.run(1_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

#[test]
fn the_count_of_waiting_jobs_follows_starts_cancels_and_a_new_leader() {
    let waiting = |world: &mut World| {
        let queue = Target {
            host: "host".to_owned(),
            path: "/q/".to_owned(),
        };
        let ticket = world.call(Call::Status(queue));
        world.run(50);
        world.replies.get(&ticket).cloned()
    };
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    for number in 1..=5 {
        let scripted_runs = vec![(3_000, Outcome::Done)];
        world.scripted_runs.insert(task(number, 0), scripted_runs);
        world.submit(number, &job(1, 4_000));
    }
    world.run(300);
    assert_eq!(waiting(&mut world), Some(Reply::Waiting(4)));
    let cancelled = (1..=5).find(|&number| world.starts(&task(number, 0)) == 0);
    world.call(Call::Cancel(target(cancelled.unwrap())));
    world.run(100);
    assert_eq!(waiting(&mut world), Some(Reply::Waiting(3)));
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(2_000);
    world.restart(leader);
    world.run(300);
    let started = (1..=5).filter(|&number| world.starts(&task(number, 0)) > 0);
    let left = 4 - started.count() as u64;
    assert_eq!(waiting(&mut world), Some(Reply::Waiting(left)));
    world.run(15_000);
    assert_eq!(waiting(&mut world), Some(Reply::Waiting(0)));
}

#[test]
fn steps_of_a_full_pool_do_not_keep_the_advice_from_those_of_another() {
    // Found at hanafy-yard-grown, load-8x with seed 161688089435: jobs that were late
    // for all value renewed their tickets for a full pool again and again, and a
    // failed task of another pool, which was empty, was never advised on again.
    let mut plan = plan(1, true);
    let queue = plan.queues.get_mut("queue").unwrap();
    queue.advice.as_mut().unwrap().ticket_validity = Span::from_millis(200);
    let mut other = queue.clone();
    (other.path_prefix, other.pool, other.priority) =
        ("/r/".to_owned(), "spare".to_owned(), 1);
    plan.queues.insert("other".to_owned(), other);
    let pool = plan.pools["pool"];
    plan.pools.insert("spare".to_owned(), pool);
    let mut world = World::new(3, 1);
    world.workers[2].profile.pool = "spare".to_owned();
    let mut world = world.with_plan(plan);
    let mut long_running = job(2, 4_000);
    long_running.steps[0].long_running = true;
    world.submit(1, &long_running);
    let scripted_runs = vec![(3_000, Outcome::Failed), (300, Outcome::Done)];
    world.scripted_runs.insert(task(7, 0), scripted_runs);
    let of_other = Target {
        host: "host".to_owned(),
        path: format!("/r/{:016x}", 7),
    };
    world.submit_at(of_other, 7, &job(1, 1_000));
    world.run(500);
    for number in 100..140 {
        world.submit(number, &job(1, 1_000));
    }
    world.run(6_000);
    assert_eq!(world.starts(&task(7, 0)), 2);
}
