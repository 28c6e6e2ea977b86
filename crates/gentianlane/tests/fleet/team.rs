//! Teams: keys, limits and shares.

#![allow(clippy::expect_used, reason = "a test ends at a fault")]

use gentianlane::fleet::call::{Call, Refusal, Reply, Target};
use gentianlane::fleet::decision::Decision;
use gentianlane::fleet::job::{Id, Phase, Resources, Spec};
use gentianlane::fleet::plan::Plan;
use gentianlane::fleet::team::{Access, Entry, Team};
use gentianlane::fleet::{Command, State, Ticket};
use gentianlane::id;
use gentianlane::unit::Wall;

use super::dispatch::{slow_target, task, two_queues};
use super::simulated_worker::{job, step};
use super::world::{Delay, Kind, World, plan, target};

/// A limit on processors alone.
pub(crate) fn cores(millicores: u64) -> Resources {
    Resources {
        millicores,
        ..Resources::default()
    }
}

/// A team whose key is `key-` with its name.
pub(crate) fn entry(name: &str, limit: u64, share: u64) -> Entry {
    Entry {
        name: name.into(),
        keys: vec![format!("key-{name}").into()],
        team: Team {
            share_permille: share,
            limit: cores(limit),
        },
    }
}

pub(crate) fn access(entries: impl IntoIterator<Item = Entry>) -> Access {
    Access::new(entries, []).expect("a sound list of teams")
}

/// Puts a plan with teams into force; the oracle takes their limits from now on.
pub(crate) fn replace_plan(world: &mut World, plan: Plan, access: &Access) -> Reply {
    for (name, team) in access.teams() {
        let known = world.team_limits.entry(name.clone()).or_default();
        known.millicores = known.millicores.max(team.limit.millicores);
    }
    let call = Call::ReplacePlanWithAccess(Box::new(plan), Box::new(access.clone()));
    let ticket = world.call(call);
    world.run(50);
    for (name, team) in access.teams() {
        world.team_limits.insert(name.clone(), team.limit);
    }
    world.replies.get(&ticket).cloned().expect("a reply")
}

fn world_with(workers: u16, entries: impl IntoIterator<Item = Entry>) -> World {
    let mut world = World::new(workers, 1).with_plan(plan(1, false));
    let reply = replace_plan(&mut world, plan(2, false), &access(entries));
    assert_eq!(reply, Reply::Done);
    world
}

/// Submits a job for a team, with its key.
pub(crate) fn submit_for(world: &mut World, team: &str, id: u64, spec: &Spec) -> Ticket {
    world.specs.insert(Id(id), spec.clone());
    world.job_teams.insert(Id(id), team.into());
    let call = Call::Submit {
        target: target(id),
        spec: Box::new(spec.clone()),
    };
    authorized(world, &format!("key-{team}"), call)
}

fn authorized(world: &mut World, key: &str, call: Call) -> Ticket {
    world.call(Call::Authorized(key.into(), Box::new(call)))
}

fn reply_to(world: &mut World, key: &str, call: Call) -> Reply {
    let ticket = authorized(world, key, call);
    world.run(30);
    world.replies.get(&ticket).cloned().expect("a reply")
}

pub(crate) fn phase_for(world: &mut World, team: &str, id: u64) -> Option<Phase> {
    match reply_to(world, &format!("key-{team}"), Call::Status(target(id))) {
        Reply::Phase(phase) => Some(phase),
        _ => None,
    }
}

#[test]
fn a_call_without_a_key_of_the_plan_has_no_effect() {
    let mut world = world_with(2, [entry("a", 0, 0)]);
    let spec = job(1, 1_000);
    let submit = || Call::Submit {
        target: target(7),
        spec: Box::new(job(1, 1_000)),
    };
    let keyless = world.submit(7, &spec);
    world.run(30);
    assert_eq!(world.replies.get(&keyless), Some(&Reply::Unauthorized));
    for key in ["", "key-b", "key-a ", "KEY-A"] {
        assert_eq!(
            reply_to(&mut world, key, submit()),
            Reply::Unauthorized,
            "{key}"
        );
        let status = Call::Status(target(7));
        assert_eq!(
            reply_to(&mut world, key, status),
            Reply::Unauthorized,
            "{key}"
        );
        let cancel = Call::Cancel(target(7));
        assert_eq!(
            reply_to(&mut world, key, cancel),
            Reply::Unauthorized,
            "{key}"
        );
    }
    world.run(1_000);
    assert!(world.observed_runs.is_empty());
    assert_eq!(reply_to(&mut world, "key-a", submit()), Reply::Done);
}

#[test]
fn an_unknown_queue_is_told_from_an_unknown_key() {
    let mut world = world_with(1, [entry("a", 0, 0)]);
    let elsewhere = Target {
        host: "host".to_owned(),
        path: "/nowhere/".to_owned(),
    };
    let call = Call::Status(elsewhere);
    assert_eq!(reply_to(&mut world, "none", call), Reply::NoQueue);
}

#[test]
fn a_public_queue_needs_no_key() {
    let mut world = World::new(2, 1).with_plan(plan(1, false));
    let access = Access::new([entry("a", 1_000, 0)], ["queue".to_owned()]);
    replace_plan(&mut world, plan(2, false), &access.expect("sound"));
    let ticket = world.submit(7, &job(3, 1_000));
    world.run(100);
    assert_eq!(world.replies.get(&ticket), Some(&Reply::Done));
    assert_eq!(world.observed_runs.len(), 3);
    world.run(2_000);
    assert_eq!(world.status(7), Some(Reply::Phase(Phase::Completed)));
}

#[test]
fn another_teams_job_is_as_if_it_were_not_there() {
    let mut world = world_with(2, [entry("a", 0, 0), entry("b", 0, 0)]);
    world.run_time = 2_000;
    submit_for(&mut world, "a", 7, &job(1, 1_000));
    world.run(100);
    assert_eq!(
        reply_to(&mut world, "key-b", Call::Status(target(7))),
        Reply::NoJob
    );
    assert_eq!(
        reply_to(&mut world, "key-b", Call::Cancel(target(7))),
        Reply::NoJob
    );
    world.run(3_000);
    assert_eq!(phase_for(&mut world, "a", 7), Some(Phase::Completed));
}

#[test]
fn a_withdrawn_key_stays_withdrawn_across_a_change_of_leader_and_its_jobs_run_on() {
    let mut world = world_with(2, [entry("a", 0, 0), entry("b", 0, 0)]);
    world.run_time = 4_000;
    submit_for(&mut world, "a", 7, &job(1, 1_000));
    world.run(100);
    let mut rotated = entry("a", 0, 0);
    rotated.keys = vec!["key-new".into()];
    let rules = access([rotated, entry("b", 0, 0)]);
    replace_plan(&mut world, plan(3, false), &rules);
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.run(2_500);
    world.restart(leader);
    world.run(500);
    let status = || Call::Status(target(7));
    assert_eq!(reply_to(&mut world, "key-a", status()), Reply::Unauthorized);
    assert_eq!(
        reply_to(&mut world, "key-new", status()),
        Reply::Phase(Phase::Running)
    );
    world.run(5_000);
    assert_eq!(
        reply_to(&mut world, "key-new", status()),
        Reply::Phase(Phase::Completed)
    );
}

#[test]
fn a_key_that_moves_takes_no_jobs_along() {
    let mut world = world_with(1, [entry("a", 0, 0)]);
    submit_for(&mut world, "a", 7, &job(1, 1_000));
    world.run(50);
    let mut other = entry("b", 0, 0);
    other.keys = vec!["key-a".into()];
    let mut emptied = entry("a", 0, 0);
    emptied.keys.clear();
    replace_plan(&mut world, plan(3, false), &access([emptied, other]));
    assert_eq!(
        reply_to(&mut world, "key-a", Call::Status(target(7))),
        Reply::NoJob
    );
}

#[test]
fn a_team_runs_no_more_than_its_limit_and_ends_all_its_jobs() {
    let mut world = world_with(4, [entry("a", 3_000, 0), entry("b", 0, 0)]);
    submit_for(&mut world, "a", 7, &job(10, 1_000));
    world.run(100);
    assert_eq!(world.team_usage(&"a".into()), cores(3_000).plus(&memory(3)));
    submit_for(&mut world, "b", 8, &job(8, 1_000));
    world.run(100);
    assert_eq!(
        world.starts(&task(8, 7)),
        1,
        "the other team has all it asks"
    );
    world.run(3_000);
    assert_eq!(phase_for(&mut world, "a", 7), Some(Phase::Completed));
    assert!(world.decisions.iter().any(
        |it| matches!(it, Decision::HeldByLimit { team, .. } if team.as_str() == "a")
    ));
}

/// The memory of some simulated tasks.
fn memory(tasks: u64) -> Resources {
    Resources {
        memory_mib: tasks * step(1, 0).resources.memory_mib,
        ..Resources::default()
    }
}

#[test]
fn a_gang_beyond_its_teams_limit_is_refused_at_once_and_a_large_task_runs_alone() {
    let mut world = world_with(4, [entry("a", 2_000, 0)]);
    let mut gang = job(4, 1_000);
    gang.steps[0].gang = true;
    let refused = submit_for(&mut world, "a", 7, &gang);
    world.run(30);
    assert!(matches!(
        world.replies.get(&refused),
        Some(Reply::Refused {
            reason: Refusal::TeamLimit,
            ..
        })
    ));
    submit_for(&mut world, "a", 8, &job(2, 3_000));
    world.run(200);
    assert_eq!(world.observed_runs.len(), 1);
    world.run(2_000);
    assert_eq!(phase_for(&mut world, "a", 8), Some(Phase::Completed));
}

#[test]
fn a_limit_cut_below_what_runs_starts_nothing_and_loses_nothing() {
    let mut world = world_with(4, [entry("a", 8_000, 0)]);
    world.run_time = 1_000;
    submit_for(&mut world, "a", 7, &job(16, 1_000));
    world.run(300);
    let started = world.observed_runs.len();
    assert_eq!(started, 8);
    replace_plan(&mut world, plan(3, false), &access([entry("a", 2_000, 0)]));
    world.run(500);
    assert_eq!(world.observed_runs.len(), started);
    world.run(10_000);
    assert_eq!(phase_for(&mut world, "a", 7), Some(Phase::Completed));
}

#[test]
fn a_dropped_teams_jobs_keep_its_limit_and_end() {
    let mut world = world_with(4, [entry("a", 2_000, 0), entry("b", 0, 0)]);
    submit_for(&mut world, "a", 7, &job(6, 1_000));
    world.run(100);
    replace_plan(&mut world, plan(3, false), &access([entry("b", 0, 0)]));
    world.run(3_000);
    assert!(world.finished_jobs.contains(&Id(7)));
}

/// The earlier leader's runs on a worker that the next one can't reach count as well.
#[test]
fn a_new_leader_counts_runs_on_workers_that_it_has_not_reached() {
    let mut world = world_with(4, [entry("a", 4_000, 0)]);
    world.run_time = 8_000;
    submit_for(&mut world, "a", 7, &job(3, 1_000));
    world.run(200);
    assert_eq!(world.observed_runs.len(), 3);
    let holders: Vec<id::Worker> = world
        .observed_runs
        .iter()
        .map(|run| run.worker.clone())
        .collect();
    world.unreachable.extend(holders);
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.run(1_500);
    // One task is below the limit; the next one would be above it.
    submit_for(&mut world, "a", 8, &job(4, 1_000));
    world.run(1_500);
    assert!(world.leader().is_some());
    let started = world.observed_runs.len();
    assert_eq!(started, 4, "one more fits below the limit");
    world.unreachable.clear();
    world.run(20_000);
    assert_eq!(phase_for(&mut world, "a", 8), Some(Phase::Completed));
}

/// A cancelled job's specification is gone, but its runs may not be.
#[test]
fn a_new_leader_counts_the_runs_of_a_job_that_was_cancelled() {
    let mut world = world_with(2, [entry("a", 4_000, 0)]);
    world.run_time = 20_000;
    submit_for(&mut world, "a", 7, &job(4, 1_000));
    world.run(200);
    world.unreachable.insert("w0".into());
    world.unreachable.insert("w1".into());
    authorized(&mut world, "key-a", Call::Cancel(target(7)));
    world.run(30);
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.run(1_500);
    world.unreachable.remove(&"w1".into());
    submit_for(&mut world, "a", 8, &job(2, 1_000));
    // The oracle fails on a start beyond the limit.
    world.run(15_000);
    world.unreachable.clear();
    world.run(25_000);
    assert_eq!(phase_for(&mut world, "a", 8), Some(Phase::Completed));
}

/// Small tasks would take each core of the limit as it gets free.
#[test]
fn a_gang_is_not_starved_by_its_own_teams_small_tasks() {
    let mut world = world_with(4, [entry("a", 4_000, 0)]);
    world.run_time = 400;
    for at in 0..4 {
        submit_for(&mut world, "a", 100 + at, &job(1, 1_000));
        world.run(100);
    }
    let mut gang = job(4, 1_000);
    gang.steps[0].gang = true;
    submit_for(&mut world, "a", 7, &gang);
    for at in 4..40 {
        submit_for(&mut world, "a", 100 + at, &job(1, 1_000));
        world.run(100);
    }
    assert!(world.starts(&task(7, 0)) > 0);
}

/// The mean time to completion of the jobs of team `b`, which sends two jobs a second
/// beside a team that sends some.
fn mean_time_beside(others_per_second: u64) -> u64 {
    let mut world = world_with(2, [entry("a", 0, 2_000), entry("b", 0, 4_000)]);
    world.run_time = 700;
    let mut open: Vec<(u64, u64)> = Vec::new();
    let mut times = Vec::new();
    for tick in 0..400_u64 {
        if tick % 10 == 0 {
            submit_for(&mut world, "b", tick, &job(2, 1_000));
            open.push((tick, world.now));
        }
        if others_per_second > 0 && tick % (20 / others_per_second).max(1) == 0 {
            submit_for(&mut world, "a", 10_000 + tick, &job(2, 1_000));
        }
        world.run(50);
        open.retain(|&(id, since)| {
            let is_over = world.finished_jobs.contains(&Id(id));
            if is_over {
                times.push(world.now - since);
            }
            !is_over
        });
    }
    times.iter().sum::<u64>() / times.len() as u64
}

/// A team that sends many times its share makes the others wait only for what it was
/// running before, not for what it has queued.
#[test]
fn a_team_far_beyond_its_share_hardly_delays_another() {
    let (alone, beside) = (mean_time_beside(2), mean_time_beside(14));
    assert!(
        beside <= alone + 400,
        "{beside} ms beside a hot team, {alone} ms otherwise"
    );
}

#[test]
fn what_a_team_sends_beyond_its_share_is_refused_once_it_can_not_be_served() {
    let mut world = world_with(1, [entry("a", 0, 1_000)]);
    world.run_time = 1_000;
    let mut refused = 0;
    for id in 0..300 {
        let ticket = submit_for(&mut world, "a", id, &job(2, 1_000));
        world.run(50);
        refused += u32::from(matches!(
            world.replies.get(&ticket),
            Some(Reply::Refused {
                reason: Refusal::TeamShare,
                ..
            })
        ));
    }
    assert!(refused > 50, "{refused}");
    let refusals = world
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::TeamRefused { job, .. } => Some(*job),
            _ => None,
        });
    let refused_jobs: Vec<Id> = refusals.collect();
    world.run(60_000);
    for run in &world.observed_runs {
        let job = run.task.stage.job;
        assert!(
            !refused_jobs.contains(&job),
            "{job} was refused and has run"
        );
    }
}

#[test]
fn a_state_without_teams_is_encoded_as_before_and_one_with_teams_is_read_back() {
    let mut state = State::default();
    state.apply(Command::Plan(Box::new(plan(1, false))));
    let without = state.encode().expect("encodes");
    let rules = access([entry("a", 3_000, 0), entry("b", 0, 0)]);
    state.apply(Command::PlanWithAccess(
        Box::new(plan(2, false)),
        Box::new(rules),
    ));
    state.apply(Command::SubmitFor {
        team: "a".into(),
        beyond_share: true,
        at: Wall::from_millis(5),
        job: Id(7),
        queue: "queue".to_owned(),
        spec: Box::new(job(2, 1_000)),
    });
    let with = state.encode().expect("encodes");
    let decoded = State::decode(&with).expect("decodes");
    assert_eq!(decoded, state);
    let owner = decoded.owners().of(&Id(7)).expect("an owner");
    assert!(owner.beyond_share && owner.team.as_str() == "a");
    // A plan without teams ends the access rules.
    state.apply(Command::Plan(Box::new(plan(3, false))));
    assert!(state.owners().access().is_none());
    let earlier = State::decode(&without).expect("decodes");
    assert!(earlier.owners().access().is_none());
    assert_eq!(earlier.encode().expect("encodes"), without);
}

#[test]
fn no_key_is_shown_by_a_debug_output_or_the_encoded_rules() {
    let call = Call::Authorized("key-secret".into(), Box::new(Call::Overview));
    assert!(!format!("{call:?}").contains("secret"));
    let mut holder = entry("a", 0, 0);
    holder.keys = vec!["key-secret".into()];
    assert!(!format!("{holder:?}").contains("secret"));
    let rules = access([holder]);
    let text = serde_json::to_string(&rules).expect("encodes");
    assert!(!text.contains("secret"));
}

/// The start was placed under the higher limit and is due to be sent again.
#[test]
fn a_start_without_an_answer_is_not_sent_again_after_its_limit_was_cut() {
    let mut world = world_with(1, [entry("a", 4_000, 0)]);
    world.run_time = 3_000;
    world.delays.push(Delay {
        worker: "w0".into(),
        kind: Kind::Start,
        millis: 600_000,
    });
    submit_for(&mut world, "a", 7, &job(4, 1_000));
    world.run(100);
    assert_eq!(world.observed_runs.len(), 3);
    // The oracle fails on a fourth start while three run.
    replace_plan(&mut world, plan(3, false), &access([entry("a", 1_000, 0)]));
    world.run(1_000);
    assert_eq!(world.observed_runs.len(), 3);
    world.run(12_000);
    assert_eq!(phase_for(&mut world, "a", 7), Some(Phase::Completed));
}

/// A team's own batch work, which saves, would hold its limit for as long as it runs.
#[test]
fn a_teams_urgent_job_takes_room_from_its_own_batch_work() {
    let mut world = World::new(4, 1).with_plan(plan(1, false));
    let mut queues = two_queues(3);
    queues.version = 2;
    replace_plan(&mut world, queues, &access([entry("a", 4_000, 0)]));
    world.run_time = 10_000;
    let mut batch = job(4, 1_000);
    batch.steps[0].checkpoints = true;
    world.specs.insert(Id(7), batch.clone());
    world.job_teams.insert(Id(7), "a".into());
    let submit = Call::Submit {
        target: slow_target(7),
        spec: Box::new(batch),
    };
    authorized(&mut world, "key-a", submit);
    world.run(1_500);
    assert_eq!(world.observed_runs.len(), 4);
    world.run_time = 300;
    submit_for(&mut world, "a", 8, &job(1, 1_000));
    world.run(800);
    assert!(
        world.finished_jobs.contains(&Id(8)),
        "waits for its own batch work"
    );
    world.run(20_000);
    assert!(world.finished_jobs.contains(&Id(7)));
}
