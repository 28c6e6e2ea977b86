//! Tests that nothing of a job starts once its cancellation is confirmed, wherever its
//! submission was by then.

use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::job::{Id, Phase, Spec};
use gentianlane::fleet::{Command, Event, State, Ticket};
use gentianlane::unit::Wall;

use super::simulated_worker::{job, step};
use super::world::{World, plan, target};

/// For how long a start may follow a confirmed cancellation, in milliseconds: it may be
/// on its way to the worker.
const CANCEL_MS: u64 = 3_000;

/// A job of three steps, each of which follows the one before.
fn chain() -> Spec {
    let mut spec = job(1, 500);
    for before in 0..2 {
        let mut next = step(1, 500);
        next.depends_on = vec![before];
        spec.steps.push(next);
    }
    spec
}

fn world(workers: u16) -> World {
    let mut world = World::new(workers, 1).with_plan(plan(1, false));
    world.run_time = 2_000;
    world
}

/// Waits for the reply to a call, which is sent again without one, as entries do.
fn reply(world: &mut World, call: &Call) -> Reply {
    for _ in 0..100 {
        let ticket = world.call(call.clone());
        world.run(100);
        match world.replies.get(&ticket) {
            Some(Reply::NotLeader(_) | Reply::Indeterminate) | None => {}
            Some(reply) => return reply.clone(),
        }
    }
    unreachable!("no reply to {call:?} in 10 s");
}

fn cancel(world: &mut World) -> Reply {
    reply(world, &Call::Cancel(target(7)))
}

fn submit(world: &mut World) -> Reply {
    world.specs.insert(Id(7), chain());
    let spec = Box::new(chain());
    let target = target(7);
    reply(world, &Call::Submit { target, spec })
}

/// Checks that nothing starts later than a start may be on its way.
fn check_nothing_starts(world: &mut World, confirmed_at: u64) {
    world.run(10_000);
    let late = |start: &u64| *start > confirmed_at + CANCEL_MS;
    let mut starts = world.observed_runs.iter().map(|run| run.started_at);
    assert_eq!(starts.find(late), None, "cancelled at {confirmed_at} ms");
}

fn is_rejected(reply: &Reply) -> bool {
    matches!(reply, Reply::Malformed(text) if text.contains("cancelled"))
}

/// The leader answered that there is no such job, which it was storing (review/9).
#[test]
fn a_job_that_is_cancelled_while_it_is_stored_does_not_run() {
    for gap in [0, 1, 2, 3, 5] {
        let mut world = world(2);
        world.submit(7, &chain());
        world.run(gap);
        let ticket = world.call(Call::Cancel(target(7)));
        let before = world.now;
        while !world.replies.contains_key(&ticket) {
            world.run(1);
        }
        assert_eq!(world.replies[&ticket], Reply::Done, "{gap} ms");
        let confirmed_at = world.now;
        assert!(confirmed_at < before + 100);
        check_nothing_starts(&mut world, confirmed_at);
        let shown = world.status(7);
        assert_eq!(shown, Some(Reply::Phase(Phase::Cancelled)), "{gap} ms");
    }
}

/// A submission that an entry had kept was accepted after a DELETE was answered 410.
#[test]
fn a_job_that_arrives_after_its_cancellation_is_rejected() {
    for lost_leaders in 0..3 {
        for later in [0, 500, 20_000] {
            let mut world = world(2);
            assert_eq!(cancel(&mut world), Reply::NoJob);
            let confirmed_at = world.now;
            for _ in 0..lost_leaders {
                let leader = world.leader().expect("a leader");
                world.kill(leader);
                world.run(1_500);
                world.restart(leader);
            }
            world.run(later);
            let reply = submit(&mut world);
            assert!(
                is_rejected(&reply),
                "{reply:?} after {lost_leaders}, {later}"
            );
            check_nothing_starts(&mut world, confirmed_at);
            assert_eq!(world.status(7), Some(Reply::NoJob));
            assert!(world.observed_runs.is_empty());
        }
    }
}

#[test]
fn a_cancellation_and_a_submission_at_the_same_moment_agree_in_either_order() {
    let mut world = world(2);
    world.specs.insert(Id(7), chain());
    let cancelled = world.call(Call::Cancel(target(7)));
    let submitted = world.submit(7, &chain());
    world.run(100);
    assert_eq!(world.replies[&cancelled], Reply::NoJob);
    assert!(is_rejected(&world.replies[&submitted]));
    let confirmed_at = world.now;
    check_nothing_starts(&mut world, confirmed_at);
    // Another cancellation changes nothing.
    assert_eq!(cancel(&mut world), Reply::NoJob);
    assert_eq!(world.status(7), Some(Reply::NoJob));
}

/// What a lost leader had proposed commits under the next one, or never.
#[test]
fn a_job_that_a_lost_leader_proposed_does_not_run_once_it_is_cancelled() {
    for after in 0..8 {
        let mut world = world(2);
        let leader = world.leader().expect("a leader");
        world.submit(7, &chain());
        world.run(after);
        world.isolated.insert(leader);
        world.run(2_500);
        let reply = cancel(&mut world);
        assert!(matches!(reply, Reply::Done | Reply::NoJob), "{reply:?}");
        let confirmed_at = world.now;
        world.isolated.clear();
        check_nothing_starts(&mut world, confirmed_at);
        let reply = submit(&mut world);
        let confirmed_at = world.now;
        assert!(reply == Reply::Done || is_rejected(&reply), "{reply:?}");
        check_nothing_starts(&mut world, confirmed_at.saturating_sub(CANCEL_MS));
    }
}

#[test]
fn a_cancellation_outlives_the_loss_of_all_cores() {
    let mut world = world(2);
    assert_eq!(cancel(&mut world), Reply::NoJob);
    (0..3).for_each(|at| world.kill(at));
    world.run(500);
    (0..3).for_each(|at| world.restart(at));
    world.run(3_000);
    let reply = submit(&mut world);
    assert!(is_rejected(&reply), "{reply:?}");
}

/// The leader dropped what was over by its wall clock, which had stepped ahead: an
/// accepted job was answered 410, and its submission, sent again, would have run again.
#[test]
fn what_is_over_is_kept_though_the_leaders_wall_clock_steps() {
    for (lost_leaders, ahead) in [(0, true), (0, false), (1, true)] {
        let mut world = world(2);
        if !ahead {
            (0..3).for_each(|at| {
                world.wall_ahead.insert(at, 3_000_000);
            });
        }
        world.submit(8, &job(1, 500));
        world.run(3_000);
        assert_eq!(cancel(&mut world), Reply::NoJob);
        for at in 0..3 {
            world
                .wall_ahead
                .insert(at, if ahead { 2_400_000 } else { 0 });
        }
        for _ in 0..lost_leaders {
            let leader = world.leader().expect("a leader");
            world.kill(leader);
            world.run(1_500);
            world.restart(leader);
        }
        for _ in 0..3 {
            world.run(70_000);
            let shown = world.status(8);
            assert_eq!(shown, Some(Reply::Phase(Phase::Completed)));
            let reply = submit(&mut world);
            assert!(is_rejected(&reply), "{reply:?}");
        }
    }
}

/// What is over is kept for ten minutes and dropped within three more.
#[test]
fn what_is_over_is_dropped_in_the_end() {
    let mut world = world(1);
    world.submit(8, &job(1, 500));
    world.run(3_000);
    assert_eq!(cancel(&mut world), Reply::NoJob);
    world.run(600_000);
    assert_eq!(world.status(8), Some(Reply::Phase(Phase::Completed)));
    world.run(180_000);
    assert_eq!(world.status(8), Some(Reply::NoJob));
    assert_eq!(submit(&mut world), Reply::Done);
}

/// Cancellations of ids that were never submitted, as a faulty caller sends them.
#[test]
fn cancellations_of_unknown_jobs_are_bounded_and_block_no_other_job() {
    let mut world = world(2);
    let tickets: Vec<Ticket> = (0..70_000)
        .map(|id| world.call(Call::Cancel(target(1_000 + id))))
        .collect();
    world.run(2_000);
    let known = |ticket: &&Ticket| world.replies.get(ticket) == Some(&Reply::NoJob);
    let known = tickets.iter().filter(known).count();
    assert!((60_000..=70_000).contains(&known), "{known}");
    let reply = reply(&mut world, &Call::Cancel(target(999)));
    assert!(matches!(reply, Reply::Refused { .. }), "{reply:?}");
    assert_eq!(submit(&mut world), Reply::Done);
    assert_eq!(cancel(&mut world), Reply::Done);
}

const AT: Wall = Wall::from_millis(1_000_000);

fn withdraw(at: Wall, team: Option<&str>) -> Command {
    Command::Withdraw {
        at,
        job: Id(7),
        queue: "queue".to_owned(),
        team: team.map(Into::into),
    }
}

fn submit_command(team: Option<&str>) -> Command {
    let (at, job, queue) = (AT, Id(7), "queue".to_owned());
    let spec = Box::new(chain());
    match team {
        None => Command::Submit {
            at,
            job,
            queue,
            spec,
        },
        Some(team) => Command::SubmitFor {
            team: team.into(),
            beyond_share: false,
            at,
            job,
            queue,
            spec,
        },
    }
}

fn new_state() -> State {
    let mut state = State::default();
    state.apply(Command::Plan(Box::new(plan(1, false))));
    state
}

#[test]
fn a_cancelled_id_is_kept_in_a_snapshot_until_it_expires() {
    let mut state = new_state();
    let without = state.encode().expect("encodes");
    state.apply(withdraw(AT, None));
    let with = state.encode().expect("encodes");
    let mut state = State::decode(&with).expect("decodes");
    let rejected = vec![Event::SubmissionRejected(Id(7))];
    assert_eq!(state.apply(submit_command(None)), rejected);
    state.apply(Command::Expire { before: AT });
    assert_eq!(state.apply(submit_command(None)), rejected);
    let before = Wall::from_millis(AT.as_millis() + 1);
    state.apply(Command::Expire { before });
    assert_eq!(
        state.encode().expect("encodes"),
        without,
        "as earlier versions"
    );
    let submitted = vec![Event::JobSubmitted(Id(7))];
    assert_eq!(state.apply(submit_command(None)), submitted);
}

#[test]
fn a_cancellation_by_another_team_blocks_no_job() {
    for (cancels, submits, is_rejected) in [
        (Some("a"), Some("a"), true),
        (Some("b"), Some("a"), false),
        (None, Some("a"), false),
        (Some("a"), None, false),
    ] {
        let mut state = new_state();
        state.apply(withdraw(AT, cancels));
        let events = state.apply(submit_command(submits));
        let expected = match is_rejected {
            true => Event::SubmissionRejected(Id(7)),
            false => Event::JobSubmitted(Id(7)),
        };
        assert_eq!(events, vec![expected], "{cancels:?}, {submits:?}");
    }
}

/// The record of a cancelled id costs no more in the log than the end of a run.
#[test]
fn the_record_of_a_cancelled_id_is_small() {
    let withdraw = |id| Command::Withdraw {
        at: AT,
        job: Id(id),
        queue: "queue".to_owned(),
        team: None,
    };
    let record = withdraw(u64::MAX).encode().expect("encodes").len();
    let mut state = new_state();
    let without = state.encode().expect("encodes").len();
    for id in 0..1_000 {
        state.apply(withdraw(u64::MAX - id));
    }
    let with = state.encode().expect("encodes").len();
    assert!(record <= 40, "{record} bytes in the log");
    assert!(
        with - without <= 20_000,
        "{} bytes for 1,000",
        with - without
    );
    println!("{record} bytes in the log, {} for 1,000", with - without);
}
