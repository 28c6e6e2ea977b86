//! Leases across changes of the leader: no task in two places.

use crate::world::{Peer, TERM, World};
use gentianlane::api::{Call, Drain};
use gentianlane::unit::Span;

/// How long anything may take to come about.
const PATIENCE: Span = Span::from_secs(60);

/// A world in which a caller's task runs, and the worker that runs it.
fn running(workload: &'static str, seed: u64) -> (World, usize) {
    let mut world = World::new(3, 3, seed);
    let caller = world.want(workload, "sleep=900000", None);
    assert!(world.until(PATIENCE, |world| world.place(caller).is_some()));
    let worker = world.place(caller).unwrap_or_default();
    (world, worker)
}

/// Puts the leader to sleep until another leads.
fn change_leader(world: &mut World) {
    let old = world.leader().unwrap_or_default();
    world.hosts[old].awake_at = world.now.after(PATIENCE);
    let other = |world: &World| world.leader().is_some_and(|at| at != old);
    assert!(world.until(PATIENCE, other));
}

fn assert_true(world: &World) {
    assert_eq!(world.oracle.faults, Vec::<String>::new());
}

#[test]
fn a_new_leader_waits_out_the_lease_of_a_silent_worker() {
    for seed in 1..=8 {
        println!("seed {seed}");
        let (mut world, worker) = running("batch", seed);
        world.net.mute.push(worker);
        change_leader(&mut world);
        let moved = |world: &World| world.place(0).is_some_and(|place| place != worker);
        assert!(world.until(PATIENCE, moved), "seed {seed}");
        world.net.mute.clear();
        world.run(TERM.duration + TERM.duration);
        assert_true(&world);
    }
}

#[test]
fn a_worker_paused_past_its_lease_while_the_leader_changes_gives_no_second_place() {
    for seed in 1..=8 {
        println!("seed {seed}");
        let (mut world, worker) = running("batch", seed);
        (world.net.twice, world.net.late) = (30, 20);
        world.workers[worker].awake_at = world.now.after(Span::from_secs(20));
        change_leader(&mut world);
        world.run(Span::from_secs(30));
        assert!(world.oracle.runs(&world.callers[0].wish.payload) >= 2);
        assert_true(&world);
    }
}

#[test]
fn work_that_may_run_once_is_not_started_again_after_its_worker_was_paused() {
    for seed in 1..=8 {
        println!("seed {seed}");
        let (mut world, worker) = running("notice", seed);
        world.workers[worker].awake_at = world.now.after(Span::from_secs(20));
        change_leader(&mut world);
        let heard = |world: &World| world.callers[0].heard > 2;
        assert!(world.until(PATIENCE, heard));
        world.run(Span::from_secs(30));
        assert_eq!(world.oracle.runs(&world.callers[0].wish.payload), 1);
        assert_true(&world);
    }
}

#[test]
fn orders_that_are_lost_doubled_and_late_start_each_task_once() {
    for seed in 1..=8 {
        println!("seed {seed}");
        let mut world = World::new(3, 3, seed);
        (world.net.loss, world.net.twice, world.net.late) = (20, 40, 20);
        for workload in ["notice", "duo", "notice", "duo", "notice"] {
            world.want(workload, "sleep=200", None);
        }
        let heard = |world: &World| world.callers.iter().all(|caller| caller.heard > 0);
        assert!(
            world.until(PATIENCE, heard),
            "seed {seed}\n{}",
            world.describe()
        );
        world.run(Span::from_secs(10));
        assert_true(&world);
    }
}

#[test]
fn a_worker_that_returns_while_the_log_takes_it_out_gets_no_orders() {
    for seed in 1..=2 {
        for offset in 0..60 {
            println!("seed {seed}, offset {offset}");
            let mut world = World::new(3, 2, seed);
            drain(&mut world, 1, true);
            world.net.mute.push(0);
            world.run(Span::from_millis(600));
            world.want("notice", "sleep=900000", None);
            world.run(Span::from_millis(400));
            drain(&mut world, 1, false);
            let ended = |world: &World| !world.workers[0].state.has_lease(world.now);
            assert!(world.until(PATIENCE, ended));
            world.run(TERM.clock_drift_margin + Span::from_millis(10 * offset));
            world.net.mute.clear();
            world.workers[0].next = world.now;
            let runs = |world: &World| world.place(0).is_some();
            assert!(world.until(PATIENCE, runs), "{}", world.describe());
            world.run(Span::from_secs(5));
            assert_true(&world);
        }
    }
}

fn drain(world: &mut World, worker: usize, on: bool) {
    let worker = world.workers[worker].name.clone();
    let leader = world.leader().unwrap_or_default();
    world.call_host(leader, Peer::Nobody, Call::Drain(Drain { worker, on }));
    world.run(Span::from_millis(200));
}
