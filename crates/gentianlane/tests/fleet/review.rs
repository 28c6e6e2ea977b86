//! Doubts of the review of issue 46, each as a failure that is to be guarded against. The
//! oracle fails on a second run beside the first.

use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::decision::Decision;
use gentianlane::fleet::dispatch::Setup;
use gentianlane::fleet::job::Spec;
use gentianlane::fleet::order::Outcome;
use gentianlane::id;
use gentianlane::unit::Span;

use super::dispatch::{last_placed, task};
use super::simulated_worker::{Worker, job};
use super::world::{Delay, Hang, Kind, World, plan};

/// A job of one task that takes a whole worker and has no end.
fn lasting() -> Spec {
    let mut spec = job(1, 4_000);
    spec.steps[0].long_running = true;
    spec
}

fn worker_of_first_run(world: &World) -> usize {
    let name = &world.observed_runs[0].worker;
    let mut workers = world.workers.iter();
    let at = workers.position(|worker| worker.incarnation.worker == *name);
    at.unwrap_or(0)
}

/// Has the worker that runs job 7 start again under its name, at another address unless
/// `stays`, while its earlier process, which nobody reaches, goes on.
fn start_again(world: &mut World, stays: bool) {
    let at = worker_of_first_run(world);
    let mut earlier = world.workers[at].clone();
    let name = earlier.incarnation.worker.to_string();
    let capacity = earlier.profile.capacity;
    let port = match stays {
        true => earlier.profile.address.port(),
        false => 2_000,
    };
    // For the oracle, as orders and reports of the two would be mixed up.
    let alias = id::Worker::from("earlier");
    earlier.incarnation.worker = alias.clone();
    earlier.profile.address = ([127, 0, 0, 1], 9_999).into();
    world.observed_runs[0].worker = alias.clone();
    world.silent.insert(alias);
    world.workers.push(earlier);
    world.workers[at] = Worker::new(&name, port, capacity, world.now);
}

/// Has a worker start again under its name while its earlier process runs on; `kills` ends
/// the leader once the new process is registered.
fn check_earlier_process_is_awaited(stays: bool, kills: bool) {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.run(500);
    world.submit(7, &lasting());
    world.run(500);
    start_again(&mut world, stays);
    let is_replaced = |world: &World| {
        let mut decisions = world.decisions.iter();
        decisions.any(|it| matches!(it, Decision::WorkerGone { .. }))
    };
    while !is_replaced(&world) {
        world.run(1);
    }
    if kills {
        let leader = world.leader().unwrap_or(0);
        world.kill(leader);
    }
    world.run(15_000);
    assert_eq!(world.starts(&task(7, 0)), 2);
}

/// The next leader knew of no run of the earlier process of a worker that had started
/// again under its name at another address.
#[test]
fn the_next_leader_awaits_the_lease_of_the_earlier_process_of_a_worker_elsewhere() {
    check_earlier_process_is_awaited(false, true);
}

/// A process that had closed its listener went on with its runs while the next one under
/// its name took its address.
#[test]
fn a_worker_that_starts_again_at_its_address_ends_no_run_of_its_earlier_process() {
    check_earlier_process_is_awaited(true, false);
}

/// A worker that had left as announced was registered again, as one that doesn't drain,
/// by a report that it had sent before its drain, and got tasks.
#[test]
fn a_report_from_before_the_drain_registers_no_worker_that_leaves() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.run(500);
    let late = world.workers[0].report();
    world.workers[0].draining = true;
    world.run(1_000);
    let name = world.workers[0].incarnation.worker.clone();
    world.silent.insert(name.clone());
    let incarnation = world.workers[0].incarnation.clone();
    let ticket = world.call(Call::Leave(incarnation));
    world.run(300);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    // The confirmation is lost, so the process goes on for some seconds.
    world.call(Call::Report(late));
    world.run(500);
    for id in [7, 8] {
        world.submit(id, &lasting());
    }
    world.run(1_000);
    let mut runs = world.observed_runs.iter();
    assert!(
        !runs.any(|run| run.worker == name),
        "a task was started on a worker that had drained and left"
    );
}

/// A worker that leaves as announced and reports until it is told that it may end was
/// logged as one that was removed wrongly.
#[test]
fn a_worker_that_reports_until_its_departure_is_confirmed_is_not_logged_as_alive() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.run(500);
    world.submit(7, &lasting());
    world.run(500);
    let at = worker_of_first_run(&world);
    world.workers[at].draining = true;
    world.run(600);
    let incarnation = world.workers[at].incarnation.clone();
    let ticket = world.call(Call::Leave(incarnation.clone()));
    while !world.replies.contains_key(&ticket) {
        world.next_report = 0;
        world.run(1);
    }
    // One that was under way.
    let report = world.workers[at].report();
    world.call(Call::Report(report));
    world.crash(incarnation.worker.as_str());
    world.run(100);
    let warned = |it: &&Decision| matches!(it, Decision::WorkerAlive { .. });
    assert_eq!(world.decisions.iter().find(warned), None);
}

/// An order that was made while too many waited to be sent was sent once they were gone,
/// when what it started had been given to others.
#[test]
fn an_order_that_waited_for_a_backlog_starts_nothing_beside_another_run() {
    let setup = Setup {
        order_timeout: Span::from_millis(2_500),
        ..Setup::default()
    };
    let mut world = World::new(80, 1)
        .with_dispatch(setup)
        .with_plan(plan(1, false));
    world.run(1_000);
    let names: Vec<id::Worker> = world
        .workers
        .iter()
        .map(|worker| worker.incarnation.worker.clone())
        .collect();
    let hangs = names.iter().map(|name| (name.clone(), Hang::Idle));
    world.hanging.extend(hangs);
    world.submit(7, &lasting());
    let placed = loop {
        world.run(1);
        if let Some(placed) = last_placed(&world) {
            break placed;
        }
    };
    world.run(5);
    // The renewals that follow aren't sent for a while.
    world.send_interval = 1_000_000;
    world.run(17_000);
    world.hanging.clear();
    world.silent.insert(placed.clone());
    world.crash(placed.as_str());
    world.restart_worker(placed.as_str());
    world.send_interval = 0;
    world.run(10_000);
}

/// The removal of a silent worker ended the binding of a start without an answer, which a
/// later incarnation carried out.
#[test]
fn a_silent_workers_removal_unbinds_no_start_that_may_still_arrive() {
    for removed in [false, true] {
        let mut world = World::new(2, 1).with_plan(plan(1, false));
        world.run(1_000);
        world.crash("w1");
        // The reports of the other one are lost from now on.
        if removed {
            world.silent.insert("w0".into());
        }
        world.run(16_000);
        world.delays.push(Delay {
            worker: "w0".into(),
            kind: Kind::Start,
            millis: 7_000,
        });
        let runs = vec![(12_000, Outcome::Done); 3];
        world.scripted_runs.insert(task(7, 0), runs);
        world.submit(7, &job(1, 4_000));
        world.run(40);
        assert!(world.delays.is_empty());
        let sent = world.now;
        world.unreachable.insert("w0".into());
        world.crash("w0");
        world.run(1_000);
        world.restart_worker("w1");
        world.run((sent + 6_900).saturating_sub(world.now));
        // The late start comes before the worker's first report.
        world.restart_worker("w0");
        println!("removed: {removed}");
        world.run(30_000);
    }
}

/// Has another worker answer one order to the only worker, the next after `order` has been
/// made, and runs on.
fn misdirect_next_order(world: &mut World, millis: u64) {
    let name = world.workers[0].incarnation.worker.clone();
    world.displaced.insert(name.clone());
    world.run(4);
    world.displaced.remove(&name);
    world.run(millis);
}

/// A start that another worker answered, at the address that the worker had then, was
/// never repeated, and its task waited for as long as the worker went on.
#[test]
fn a_start_that_another_worker_answered_once_holds_up_no_task() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.run(1_000);
    world.submit(7, &lasting());
    while last_placed(&world).is_none() {
        world.run(1);
    }
    misdirect_next_order(&mut world, 60_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
}

/// A stop that another worker answered was never repeated, and the task of a cancelled job
/// ran on.
#[test]
fn a_stop_that_another_worker_answered_once_is_repeated() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.run(1_000);
    world.submit(7, &lasting());
    world.run(1_000);
    assert_eq!(world.starts(&task(7, 0)), 1);
    world.call(Call::Cancel(super::world::target(7)));
    let stopped = |world: &World| {
        let mut decisions = world.decisions.iter();
        decisions.any(|it| matches!(it, Decision::Stop { .. }))
    };
    while !stopped(&world) {
        world.run(1);
    }
    misdirect_next_order(&mut world, 60_000);
    assert!(world.observed_runs[0].ended.is_some());
}

/// A world whose only worker, w0, has started again at its address and runs jobs 7 and 8.
/// Its earlier process, at index 0, is hidden and runs nothing.
fn world_with_earlier_process() -> World {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.run(20_000);
    world.crash("w1");
    let mut earlier = world.workers[0].clone();
    earlier.hidden = true;
    let (port, capacity) = (earlier.profile.address.port(), earlier.profile.capacity);
    world
        .workers
        .push(Worker::new("w0", port, capacity, world.now));
    world.workers[0] = earlier;
    world.run(10_000);
    for id in [7, 8] {
        let mut spec = job(1, 2_000);
        spec.steps[0].long_running = true;
        world.submit(id, &spec);
        world.run(1_000);
        assert_eq!(world.starts(&task(id, 0)), 1);
    }
    world
}

/// Cancels job 8; the stop goes over a connection that the earlier process has kept.
fn cancel_over_kept_connection(world: &mut World) {
    world.next_report = world.now + 500;
    world.call(Call::Cancel(super::world::target(8)));
    let is_stopped = |world: &World| {
        let mut decisions = world.decisions.iter();
        decisions.any(|it| matches!(it, Decision::Stop { .. }))
    };
    while !is_stopped(world) {
        world.run(1);
    }
    world.workers[0].hidden = false;
    world.run(3);
    world.workers[0].hidden = true;
}

/// A stop that the earlier process of a worker had confirmed was never repeated, and the
/// task of a cancelled job ran on.
#[test]
fn a_stop_that_an_earlier_process_confirms_is_repeated() {
    let mut world = world_with_earlier_process();
    cancel_over_kept_connection(&mut world);
    world.run(30_000);
    let mut runs = world.observed_runs.iter();
    let run = runs.find(|run| run.task == task(8, 0)).expect("a run");
    assert!(run.ended.is_some());
}

/// The clock of an earlier process, in its answer to a stop, counted as that of the
/// present one, whose lease then lasted for longer than the leader reckoned.
#[test]
fn an_answer_of_an_earlier_process_shortens_no_lease_that_is_counted() {
    let mut world = world_with_earlier_process();
    cancel_over_kept_connection(&mut world);
    world.restart_worker("w1");
    world.run(5_000);
    world.unreachable.insert("w0".into());
    world.run(15_000);
    assert_eq!(world.starts(&task(7, 0)), 2);
}
