//! Workers that announce that their processes end: what they run counts as active
//! until its end is shown. The oracle fails on a second run beside the first.

use gentianlane::fleet::Ticket;
use gentianlane::fleet::call::{Call, Refusal, Reply};
use gentianlane::fleet::decision::{Cause, Decision};
use gentianlane::fleet::job::{Id, Phase, Spec, Stage, Task};
use gentianlane::fleet::order::Outcome;
use gentianlane::fleet::worker::Incarnation;
use gentianlane::unit::Wall;

use super::dispatch::{phase, task};
use super::simulated_worker::{Worker, job};
use super::team::{access, entry, replace_plan};
use super::world::{Hang, World, plan};

/// Within what time a task that lasts has to be at work again after its last run has
/// ended, in milliseconds.
const LASTING_LIMIT_MS: u64 = 9_000;

/// How long a task may wait after its run was stopped on a worker that leaves, in
/// milliseconds: the latency target of the plan's queue.
const WAIT_LIMIT_MS: u64 = 250;

/// How long a stop of a step's first task takes, in milliseconds.
const STOP_MS: u64 = 150;

/// After what time without an answer a worker repeats a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Within what time a departure has to be confirmed, in milliseconds.
const CONFIRMATION_LIMIT_MS: u64 = 4_000;

/// A job of one task that takes a whole worker and has no end.
fn lasting() -> Spec {
    let mut spec = job(1, 4_000);
    spec.steps[0].long_running = true;
    spec
}

/// A world in which the worker at the index that is returned has drained while it
/// runs the only task of job 7.
fn world_with_drained_worker(spec: &Spec) -> (World, usize) {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.run(500);
    world.submit(7, spec);
    world.run(500);
    let at = worker_of_first_run(&world);
    world.workers[at].draining = true;
    world.run(600);
    (world, at)
}

fn worker_of_first_run(world: &World) -> usize {
    let worker = &world.observed_runs[0].worker;
    let mut workers = world.workers.iter();
    let at = workers.position(|other| other.incarnation.worker == *worker);
    at.unwrap_or(0)
}

/// Has a worker announce that it leaves; it reports no more.
fn announce(world: &mut World, at: usize) -> Ticket {
    let incarnation = world.workers[at].incarnation.clone();
    world.silent.insert(incarnation.worker.clone());
    let ticket = world.call(Call::Leave(incarnation));
    world.run(5);
    ticket
}

/// Has a worker announce that it leaves until that is confirmed, as it does after a second
/// without an answer or a refusal.
fn leave(world: &mut World, at: usize) {
    let since = world.now;
    let mut is_confirmed = false;
    while !is_confirmed && world.now - since < CONFIRMATION_LIMIT_MS {
        let ticket = announce(world, at);
        let repeat_at = world.now + CALL_TIMEOUT_MS;
        while world.now < repeat_at && !world.replies.contains_key(&ticket) {
            world.run(1);
        }
        is_confirmed = world.replies.get(&ticket) == Some(&Reply::Done);
    }
    assert!(is_confirmed, "not after {} ms", world.now - since);
}

/// Ends a worker's process.
fn end(world: &mut World, at: usize) {
    let name = world.workers[at].incarnation.worker.to_string();
    world.crash(&name);
}

/// When a task's runs have started, in milliseconds.
fn start_times(world: &World, task: Task) -> Vec<u64> {
    let runs = world.observed_runs.iter();
    let runs = runs.filter(|run| run.task == task);
    runs.map(|run| run.started_at).collect()
}

/// What showed that workers have ended.
fn causes(world: &World) -> Vec<Cause> {
    let decisions = world.decisions.iter();
    let causes = decisions.filter_map(|decision| match decision {
        Decision::WorkerGone { cause, .. } => Some(*cause),
        _ => None,
    });
    causes.collect()
}

/// The runs of a worker that announced its end were started elsewhere while it ran on.
#[test]
fn a_worker_that_leaves_and_answers_no_order_keeps_its_runs_until_its_lease_ends() {
    let (mut world, at) = world_with_drained_worker(&lasting());
    let name = world.workers[at].incarnation.worker.clone();
    world.hanging.insert(name, Hang::Idle);
    announce(&mut world, at);
    let left = world.now;
    world.run(4_000);
    assert_eq!(world.starts(&task(7, 0)), 1, "it runs on");
    world.run(20_000);
    let starts = start_times(&world, task(7, 0));
    assert!(starts[1] - left <= LASTING_LIMIT_MS, "{starts:?}");
}

/// What the leader learns of a worker whose process goes on with its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    /// Its listener is closed.
    ConnectionRefused,
    /// Another worker listens at its address.
    OtherWorker,
}

const SIGNS: [Sign; 2] = [Sign::ConnectionRefused, Sign::OtherWorker];

/// Has a worker's address give a sign while its runs go on; it reports no more.
fn show(world: &mut World, at: usize, sign: Sign) {
    let name = world.workers[at].incarnation.worker.clone();
    match sign {
        Sign::ConnectionRefused => world.refusing.insert(name),
        Sign::OtherWorker => world.displaced.insert(name),
    };
}

/// Runs the world until the lease of the worker that runs job 7 has ended; its task must
/// not start elsewhere before, and then soon.
fn check_lease_is_awaited(world: &mut World, since: u64, sign: Sign) {
    world.run(4_000);
    assert_eq!(world.starts(&task(7, 0)), 1, "it runs on: {sign:?}");
    world.run(20_000);
    let starts = start_times(world, task(7, 0));
    assert_eq!(starts.len(), 2, "{sign:?}");
    assert!(
        starts[1] - since <= LASTING_LIMIT_MS,
        "{sign:?}: {starts:?}"
    );
}

/// A drained worker closed its listener, and its tasks were started elsewhere while its
/// runs went on.
#[test]
fn a_drained_worker_that_refuses_connections_keeps_its_runs_until_its_lease_ends() {
    for sign in SIGNS {
        let (mut world, at) = world_with_drained_worker(&lasting());
        show(&mut world, at, sign);
        let since = world.now;
        check_lease_is_awaited(&mut world, since, sign);
    }
}

/// So did one that had announced its end, and wasn't told that this was noted.
#[test]
fn a_leaving_worker_that_refuses_connections_keeps_its_runs_until_its_lease_ends() {
    for sign in SIGNS {
        let (mut world, at) = world_with_drained_worker(&lasting());
        show(&mut world, at, sign);
        world.call(Call::Leave(world.workers[at].incarnation.clone()));
        let since = world.now;
        check_lease_is_awaited(&mut world, since, sign);
    }
}

/// Another worker answered at the address of one that hadn't drained, whose runs went on.
#[test]
fn a_worker_whose_address_another_one_has_keeps_its_runs_until_its_lease_ends() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.run(500);
    world.submit(7, &lasting());
    world.run(500);
    let at = worker_of_first_run(&world);
    show(&mut world, at, Sign::OtherWorker);
    let since = world.now;
    check_lease_is_awaited(&mut world, since, Sign::OtherWorker);
}

/// A worker started again under its name, at another address, while its earlier process,
/// which had closed its listener, went on with its runs.
#[test]
fn a_worker_that_starts_again_elsewhere_ends_no_run_of_its_earlier_process() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    world.run(500);
    world.submit(7, &lasting());
    world.run(500);
    let at = worker_of_first_run(&world);
    let mut earlier = world.workers[at].clone();
    earlier.hidden = true;
    let name = earlier.incarnation.worker.to_string();
    let capacity = earlier.profile.capacity;
    world.workers.push(earlier);
    world.workers[at] = Worker::new(&name, 2_000, capacity, world.now);
    let since = world.now;
    check_lease_is_awaited(&mut world, since, Sign::OtherWorker);
}

/// A new leader knew of no runs on a drained worker that refused it, and removed it.
#[test]
fn the_next_leader_awaits_the_lease_of_a_drained_worker_that_refuses_connections() {
    for sign in SIGNS {
        let (mut world, at) = world_with_drained_worker(&lasting());
        let leader = world.leader().unwrap_or(0);
        world.kill(leader);
        show(&mut world, at, sign);
        let since = world.now;
        check_lease_is_awaited(&mut world, since, sign);
    }
}

/// A task waited for the lease's end although the worker had left as announced.
#[test]
fn the_tasks_of_a_worker_that_has_left_start_elsewhere_at_once() {
    for resets_connections in [true, false] {
        let (mut world, at) = world_with_drained_worker(&lasting());
        world.resets_connections = resets_connections;
        let announced = world.now;
        leave(&mut world, at);
        let confirmed = world.now;
        assert!(
            confirmed - announced <= CALL_TIMEOUT_MS,
            "by the first call"
        );
        let first = &world.observed_runs[0];
        assert!(matches!(first.ended, Some((_, Outcome::Stopped))));
        end(&mut world, at);
        world.run(10_000);
        let starts = start_times(&world, task(7, 0));
        let limit = STOP_MS + WAIT_LIMIT_MS;
        assert!(starts[1] - announced <= limit, "{starts:?}");
        assert_eq!(causes(&world), [Cause::Left]);
    }
}

/// A worker was told that it may end while its runs were still being stopped, so that
/// nobody learnt of their ends.
#[test]
fn a_departure_is_confirmed_only_once_the_ends_of_the_runs_are_in_the_log() {
    let (mut world, at) = world_with_drained_worker(&lasting());
    let ticket = announce(&mut world, at);
    world.run(STOP_MS - 50);
    assert_eq!(world.replies.get(&ticket), None, "its run is being stopped");
    world.run(300);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    let gone = |decision: &Decision| matches!(decision, Decision::RunLost { .. });
    assert!(!world.decisions.iter().any(gone), "its end is listed");
}

/// A worker that lists no ends wasn't told for good that it may end.
#[test]
fn the_departure_of_a_worker_that_answers_no_order_is_confirmed() {
    let (mut world, at) = world_with_drained_worker(&lasting());
    let name = world.workers[at].incarnation.worker.clone();
    world.hanging.insert(name, Hang::Idle);
    leave(&mut world, at);
    assert_eq!(world.starts(&task(7, 0)), 1, "its run may go on");
}

/// A new leader didn't stop the runs that it found on a worker that had announced its end.
#[test]
fn a_departure_that_is_repeated_at_the_next_leader_is_confirmed() {
    let (mut world, at) = world_with_drained_worker(&lasting());
    let leader = world.leader().unwrap_or(0);
    world.kill(leader);
    announce(&mut world, at);
    leave(&mut world, at);
    world.run(WAIT_LIMIT_MS);
    assert_eq!(world.starts(&task(7, 0)), 2);
}

/// The next leader knew of no runs on a worker that had left, as it was removed.
#[test]
fn the_next_leader_waits_for_the_runs_of_a_worker_that_has_announced_its_end() {
    for (answers, lasts) in [(true, 300), (false, 3_000), (true, 3_000)] {
        let (mut world, at) = world_with_drained_worker(&lasting());
        let name = world.workers[at].incarnation.worker.clone();
        if !answers {
            world.hanging.insert(name, Hang::Idle);
        }
        announce(&mut world, at);
        let leader = world.leader().unwrap_or(0);
        world.kill(leader);
        world.run(lasts);
        end(&mut world, at);
        let ended = world.now;
        world.run(15_000);
        let starts = start_times(&world, task(7, 0));
        assert_eq!(starts.len(), 2, "answers {answers}, lasts {lasts}");
        assert!(starts[1].saturating_sub(ended) <= LASTING_LIMIT_MS);
        assert_eq!(causes(&world), [Cause::Left]);
    }
}

/// An announcement without a start time, of an earlier incarnation, ended the work of
/// the present one.
#[test]
fn a_late_departure_of_an_earlier_incarnation_costs_the_present_one_no_run() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.run(500);
    world.crash("w0");
    world.restart_worker("w0");
    world.run(6_000);
    let runs = vec![(3_000, Outcome::Done)];
    world.scripted_runs.insert(task(7, 0), runs);
    world.submit(7, &job(1, 500));
    world.run(100);
    let ticket = world.call(Call::Leave(Incarnation {
        worker: "w0".into(),
        started_at: Wall::default(),
    }));
    world.run(4_000);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 1);
    world.submit(8, &job(1, 500));
    world.run(1_000);
    assert_eq!(
        phase(&mut world, 8),
        Some(Phase::Completed),
        "it is used again"
    );
}

/// One of an incarnation that isn't registered had an effect, or was refused.
#[test]
fn departures_that_are_repeated_or_concern_nobody_are_confirmed() {
    let (mut world, at) = world_with_drained_worker(&lasting());
    let mut other = world.workers[at].incarnation.clone();
    other.started_at = Wall::from_millis(17);
    for incarnation in [
        other,
        Incarnation {
            worker: "unknown".into(),
            started_at: Wall::default(),
        },
    ] {
        let ticket = world.call(Call::Leave(incarnation));
        world.run(1_000);
        assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
        assert_eq!(world.starts(&task(7, 0)), 1);
    }
    let earlier: Vec<Ticket> = (0..3).map(|_| announce(&mut world, at)).collect();
    leave(&mut world, at);
    for ticket in earlier {
        let reply = world.replies.get(&ticket);
        let is_told = match reply {
            Some(Reply::Refused { reason, .. }) => *reason == Refusal::Leaving,
            _ => reply == Some(&Reply::Done),
        };
        assert!(is_told, "{reply:?}");
    }
    end(&mut world, at);
    leave(&mut world, at);
    world.run(5_000);
    assert_eq!(world.starts(&task(7, 0)), 2);
    leave(&mut world, at);
}

/// The name or the address of a worker that had left was used again while it wasn't
/// shown that its runs had ended.
#[test]
fn a_worker_whose_name_or_address_is_used_again_has_ended() {
    for renames in [false, true] {
        let (mut world, at) = world_with_drained_worker(&lasting());
        world.renames = renames;
        world.crash_for(at, 20);
        world.run(10);
        let incarnation = world.workers[at].incarnation.clone();
        world.call(Call::Leave(incarnation));
        world.run(10_000);
        assert_eq!(world.starts(&task(7, 0)), 2, "renames {renames}");
        world.submit(8, &job(1, 4_000));
        world.run(2_000);
        let name = world.workers[at].incarnation.worker.clone();
        let mut runs = world.observed_runs.iter();
        assert!(
            runs.any(|run| run.worker == name && run.ended.is_some()),
            "the new one is used: renames {renames}"
        );
    }
}

/// The other members of a gang went on, or ran beside the next run's, when one of them
/// was on a worker that left.
#[test]
fn a_gang_is_started_anew_once_the_member_on_a_worker_that_leaves_has_ended() {
    let mut world = World::new(3, 1).with_plan(plan(1, false));
    world.run(500);
    let mut spec = job(2, 3_000);
    spec.steps[0].gang = true;
    let member = |index| Task {
        stage: Stage {
            job: Id(7),
            occurrence: 0,
            step: 0,
        },
        index,
    };
    for index in 0..2 {
        let runs = vec![(8_000, Outcome::Done); 2];
        world.scripted_runs.insert(member(index), runs);
    }
    world.submit(7, &spec);
    world.run(500);
    let at = worker_of_first_run(&world);
    world.workers[at].draining = true;
    world.run(600);
    announce(&mut world, at);
    world.run(4_000);
    end(&mut world, at);
    world.run(16_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    for index in 0..2 {
        assert_eq!(world.starts(&member(index)), 2);
    }
}

/// What a team used on a worker that had announced its end no longer counted, so that
/// it ran more than it may. The oracle fails on that.
#[test]
fn a_run_on_a_worker_that_leaves_counts_against_its_teams_limit() {
    let mut world = World::new(3, 1).with_plan(plan(1, false));
    let teams = access([entry("a", 4_000, 100_000)]);
    assert_eq!(
        replace_plan(&mut world, plan(2, false), &teams),
        Reply::Done
    );
    world.run(500);
    for job_id in [7, 8] {
        let key = "key-a".to_owned();
        world.job_teams.insert(Id(job_id), "a".into());
        world.specs.insert(Id(job_id), lasting());
        let submit = Call::Submit {
            target: super::world::target(job_id),
            spec: Box::new(lasting()),
        };
        world.call(Call::Authorized(key.into(), Box::new(submit)));
        world.run(300);
    }
    assert_eq!(world.starts(&task(8, 0)), 0, "the team is at its limit");
    let at = worker_of_first_run(&world);
    world.workers[at].draining = true;
    world.run(600);
    let name = world.workers[at].incarnation.worker.clone();
    world.hanging.insert(name, Hang::Idle);
    announce(&mut world, at);
    world.run(3_000);
    assert_eq!(world.observed_runs.len(), 1, "the run may be active");
    end(&mut world, at);
    world.run(3_000);
    assert_eq!(world.observed_runs.len(), 2);
}
