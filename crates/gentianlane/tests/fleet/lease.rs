//! Tests of when a task or a worker's room is given to others: only once no lease,
//! old or new, lets the earlier run go on.

use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::decision::Decision;
use gentianlane::fleet::dispatch::Setup;
use gentianlane::fleet::job::{Id, Schedule, Spec, Stage, Task};
use gentianlane::fleet::order::Outcome;
use gentianlane::fleet::{Command, State};
use gentianlane::unit::{Span, Wall};

use super::simulated_worker::job;
use super::world::{Delay, Faults, Hang, Kind, World, plan};

pub(crate) fn task(job: u64, index: u32) -> Task {
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
    let leader = world.leader().unwrap_or(0);
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

/// A job of one task that takes a whole worker and has no end.
pub(crate) fn lasting() -> Spec {
    let mut spec = job(1, 4_000);
    spec.steps[0].long_running = true;
    spec
}

/// Waits until the next lease renewal to a worker is one that will be carried out
/// late, then restarts the worker.
pub(crate) fn restart_beside_late_grant(world: &mut World, millis: u64) {
    world.run(8_000);
    world.crash("w1");
    world.delays.push(Delay {
        worker: "w0".into(),
        kind: Kind::Grant,
        millis,
    });
    while !world.delays.is_empty() {
        world.run(1);
    }
    world.crash("w0");
    world.run(20);
    world.restart_worker("w0");
}

#[test]
fn a_grant_to_an_earlier_incarnation_may_outlast_the_lease_of_the_next() {
    for silent_after in (2_000..7_000).step_by(500) {
        let mut world = World::new(2, 1).with_plan(plan(1, false));
        restart_beside_late_grant(&mut world, silent_after + 150);
        world.run(1_000);
        world.submit(7, &lasting());
        world.run(silent_after - 1_020);
        assert_eq!(world.starts(&task(7, 0)), 1);
        world.unreachable.insert("w0".into());
        world.restart_worker("w1");
        // The oracle fails on a second run beside the first.
        world.run(25_000);
        let starts = world.starts(&task(7, 0));
        assert_eq!(starts, 2, "silent after {silent_after} ms");
    }
}

#[test]
fn a_grant_of_an_earlier_leader_may_outlast_the_lease_that_the_next_one_counts() {
    for late in (300..1_500).step_by(50) {
        let mut world = World::new(2, 1).with_plan(plan(1, false));
        restart_beside_late_grant(&mut world, late);
        world.run(600);
        let leader = world.leader().expect("a leader");
        world.kill(leader);
        while world.leader().is_none() {
            world.run(1);
        }
        world.submit(7, &lasting());
        while world.starts(&task(7, 0)) == 0 {
            world.run(1);
        }
        // The renewal that waits at the worker is cut off as well.
        world.unreachable.insert("w0".into());
        world.faults.lost_answers = 1_000;
        world.run(1_700);
        world.faults = Faults::default();
        world.restart_worker("w1");
        // The oracle fails on a second run beside the first.
        world.run(25_000);
        assert_eq!(world.starts(&task(7, 0)), 2, "late by {late} ms");
    }
}

#[test]
fn a_start_without_an_answer_may_reach_a_later_incarnation_of_a_silent_worker() {
    for late in (4_000..12_000).step_by(1_000) {
        let mut world = World::new(2, 1).with_plan(plan(1, false));
        world.run(1_000);
        world.crash("w1");
        world.run(3_000);
        world.delays.push(Delay {
            worker: "w0".into(),
            kind: Kind::Start,
            millis: late,
        });
        let runs = vec![(12_000, Outcome::Done); 3];
        world.scripted_runs.insert(task(7, 0), runs);
        world.submit(7, &job(1, 4_000));
        world.run(40);
        assert!(world.delays.is_empty());
        // A cut begins, behind which the worker restarts.
        world.unreachable.insert("w0".into());
        world.crash("w0");
        world.run(500);
        world.restart_worker("w0");
        world.restart_worker("w1");
        // The oracle fails on a second run beside the first.
        world.run(40_000);
        assert!(world.starts(&task(7, 0)) > 0, "late by {late} ms");
    }
}

#[test]
fn a_worker_that_leaves_without_a_confirmation_may_run_on() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.submit(7, &lasting());
    world.run(500);
    let worker = world.observed_runs[0].worker.clone();
    let mut workers = world.workers.iter();
    let at = workers.position(|other| other.incarnation.worker == worker);
    let at = at.expect("the worker is there");
    world.workers[at].draining = true;
    world.run(600);
    let incarnation = world.workers[at].incarnation.clone();
    let ticket = world.call(Call::Leave(incarnation));
    // The confirmation is lost. The oracle fails on a second run beside the first.
    world.run(1_000);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    world.crash(worker.as_str());
    world.run(10_000);
    assert_eq!(world.starts(&task(7, 0)), 2);
}

#[test]
fn a_late_grant_outlasts_the_lease_counted_by_a_leader_that_reaches_no_worker() {
    for late in [1_500, 2_500, 4_000] {
        let mut world = World::new(2, 1).with_plan(plan(1, true));
        world.checks_tickets = true;
        restart_beside_late_grant(&mut world, late);
        world.run(600);
        world.submit(7, &lasting());
        while world.starts(&task(7, 0)) == 0 {
            world.run(1);
        }
        let leader = world.leader().expect("a leader");
        world.kill(leader);
        world.unreachable.insert("w0".into());
        world.restart_worker("w1");
        // The oracle fails on a second run beside the first.
        world.run(25_000);
    }
}

/// The end of a run was forgotten at a renewal to the worker's earlier process, which the
/// next one carried out late, and the task was started again.
#[test]
fn a_late_renewal_to_an_earlier_process_has_the_next_one_forget_no_end() {
    for late in (2_500..6_000).step_by(500) {
        let mut world = World::new(1, 1).with_plan(plan(1, true));
        world.checks_tickets = true;
        world.submit(5, &job(1, 1_000));
        world.run(8_000);
        assert_eq!(world.starts(&task(5, 0)), 1);
        // It acknowledges the end of that run, the first one.
        world.delays.push(Delay {
            worker: "w0".into(),
            kind: Kind::Grant,
            millis: late,
        });
        while !world.delays.is_empty() {
            world.run(1);
        }
        let arrives = world.now + late;
        world.crash("w0");
        world.run(20);
        world.restart_worker("w0");
        world.run(600);
        let left = arrives - world.now;
        let runs = vec![(left - 100, Outcome::Done); 2];
        world.scripted_runs.insert(task(7, 0), runs);
        world.submit(7, &job(1, 1_000));
        while world.starts(&task(7, 0)) == 0 {
            world.run(1);
        }
        // Nobody reads that the run has ended until the late renewal has come. The renewal
        // that waits at the worker is over by then.
        world.run(left - 1_300);
        world.hanging.insert("w0".into(), Hang::CarriesOut);
        world.run(1_400);
        world.hanging.clear();
        world.run(20_000);
        assert_eq!(world.starts(&task(7, 0)), 1, "late by {late} ms");
    }
}

/// Has the only worker take the longest lease, 10 s, from a late renewal to its earlier
/// process, and a task start there. The other worker is down.
fn start_beside_late_grant(late: u64) -> World {
    let setup = Setup {
        lease_limit: Span::from_millis(10_000),
        ..Setup::default()
    };
    let mut world = World::new(2, 1)
        .with_dispatch(setup)
        .with_plan(plan(1, true));
    world.checks_tickets = true;
    for worker in &mut world.workers {
        worker.lease_limit = 10_000;
    }
    restart_beside_late_grant(&mut world, late);
    world.run(600);
    world.submit(7, &lasting());
    while world.starts(&task(7, 0)) == 0 {
        world.run(1);
    }
    world
}

/// Kills the leader, restarts its process and waits for the next one.
pub(crate) fn lose_leader(world: &mut World) {
    let leader = world.leader().unwrap_or(0);
    world.kill(leader);
    world.run(300);
    world.restart(leader);
    while world.leader().is_none() {
        world.run(1);
    }
}

#[test]
fn leaders_lost_in_a_row_count_the_lease_that_a_worker_took_from_an_old_order() {
    for late in (150..600).step_by(50) {
        let mut world = start_beside_late_grant(late);
        lose_leader(&mut world);
        lose_leader(&mut world);
        world.unreachable.insert("w0".into());
        world.restart_worker("w1");
        // The oracle fails on a second run beside the first.
        world.run(25_000);
        assert_eq!(world.starts(&task(7, 0)), 2, "late by {late} ms");
    }
}

#[test]
fn a_leader_that_is_handed_over_to_counts_the_lease_that_a_worker_took_from_an_old_order()
{
    for late in (150..600).step_by(50) {
        let mut world = start_beside_late_grant(late);
        let leader = world.leader().expect("a leader");
        if let Some(node) = &mut world.cores[leader].node {
            node.transfer_leadership();
        }
        while world.leader().is_none_or(|now| now == leader) {
            world.run(1);
        }
        world.unreachable.insert("w0".into());
        world.restart_worker("w1");
        // The oracle fails on a second run beside the first.
        world.run(25_000);
        assert_eq!(world.starts(&task(7, 0)), 2, "late by {late} ms");
    }
}

/// The lease that the present leader counted when it first heard a worker.
fn lease_when_heard(world: &World) -> Option<Span> {
    let mut decisions = world.decisions.iter().rev();
    decisions.find_map(|decision| match decision {
        Decision::WorkerResponsive { lease, .. } => Some(*lease),
        _ => None,
    })
}

#[test]
fn a_calm_takeover_counts_no_lease_from_an_old_order() {
    // The usual lease and the margins on it.
    let usual = Span::from_millis(5_000 * 21 / 20 + 50);
    for restarts in [false, true] {
        for wait in [1_000, 20_000] {
            let mut world = World::new(1, 1).with_plan(plan(1, true));
            world.run(8_000);
            if restarts {
                world.crash("w0");
                world.run(20);
                world.restart_worker("w0");
            }
            world.run(wait);
            lose_leader(&mut world);
            world.run(2_000);
            let lease = lease_when_heard(&world).expect("the worker is heard");
            let is_counted = restarts && wait < 20_000;
            assert_eq!(lease > usual, is_counted, "{restarts}, {wait}: {lease:?}");
        }
    }
}

#[test]
fn a_core_that_restarts_from_a_snapshot_knows_which_workers_have_restarted() {
    let mut state = State::default();
    let worker = super::simulated_worker::Worker::new(
        "w0",
        1_000,
        gentianlane::fleet::job::Resources::default(),
        0,
    );
    for started_at in [1, 2] {
        let mut incarnation = worker.incarnation.clone();
        incarnation.started_at = Wall::from_millis(started_at);
        let profile = worker.profile.clone();
        state.apply(Command::Join {
            incarnation,
            profile,
        });
    }
    let bytes = state.encode().expect("a snapshot");
    assert_eq!(State::decode(&bytes).expect("a state"), state);
    let mut settled = state.clone();
    let mut incarnation = worker.incarnation.clone();
    incarnation.started_at = Wall::from_millis(2);
    settled.apply(Command::Settle { incarnation });
    assert_ne!(settled, state);
}
