//! Random histories with runs that fail, on few workers, for gangs, tasks that last and
//! tasks as large as a worker: in calm none waits beside room for longer than the users'
//! rules allow, whichever worker is avoided, paused, reserved or draining.
//!
//! No worker crashes here and no order is lost; what such faults hold up has tests of
//! its own.

use std::collections::BTreeMap;

use gentianlane::fleet::call::Reply;
use gentianlane::fleet::job::{Id, Spec, Step, Task};
use gentianlane::fleet::order::Outcome;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::dispatch::task;
use super::fuzz::chosen_seeds;
use super::simulated_worker::job;
use super::world::{World, plan};

/// For how long a job may have nothing running beside room for it twice over, while less
/// than half of the pool is in use, in milliseconds.
const IDLE_LIMIT_MS: u64 = 3_000;

/// For how long the same may hold for a task that lasts, however much is in use.
const LASTING_IDLE_LIMIT_MS: u64 = 9_000;

/// How often the oracle looks, in milliseconds.
const SAMPLE_MS: u64 = 50;

/// For how long the faults and the submissions last, and the calm after them.
const TROUBLE_MS: u64 = 9_000;
const CALM_MS: u64 = 14_000;

/// A job of one step of any kind.
fn draw_spec(random: &mut ChaCha8Rng) -> Spec {
    let count = random.random_range(1..=3);
    let mut spec = job(count, [400, 900, 1_900][random.random_range(0..3)]);
    let step = &mut spec.steps[0];
    match random.random_range(0..5) {
        0 => step.gang = true,
        1 => step.long_running = true,
        2 => {
            step.long_running = true;
            step.gang = random.random_bool(0.5);
        }
        3 => {
            step.count = random.random_range(1..=2);
            step.gang = true;
            step.resources.millicores = [2_500, 4_000][random.random_range(0..2)];
        }
        _ => {}
    }
    if random.random_bool(0.6) {
        step.required_label = Some(format!("rack-{}", random.random_range(0..3)));
    }
    if random.random_bool(0.25) {
        step.max_per_worker = Some(1);
    }
    spec
}

/// Has the first runs of some of a job's tasks fail.
fn draw_failures(world: &mut World, random: &mut ChaCha8Rng, id: u64, step: &Step) {
    for index in 0..step.count {
        let failures = [0, 0, 1, 2, 5][random.random_range(0..5)];
        let mut runs = Vec::new();
        for _ in 0..failures {
            runs.push((random.random_range(20..1_200), Outcome::Failed));
        }
        if random.random_bool(0.2) {
            runs.push((random.random_range(2_000..6_000), Outcome::Done));
        }
        if !step.long_running {
            world.scripted_runs.insert(task(id, index), runs);
        }
    }
}

/// How often a step's task fits into what the workers have free that may run it, by what
/// these really run.
fn room(world: &World, id: u64, step: &Step) -> u32 {
    let stage = task(id, 0).stage;
    let able = world.workers.iter().filter(|worker| {
        let labels = &worker.profile.labels;
        let label = step.required_label.as_ref();
        worker.up && !worker.draining && label.is_none_or(|it| labels.contains(it))
    });
    let fits = able.map(|worker| {
        let free = worker.profile.capacity.less(&worker.used());
        let beside = u32::try_from(worker.count_of(&stage)).unwrap_or(u32::MAX);
        let most = step.max_per_worker.unwrap_or(u32::MAX);
        let times = (free.millicores / step.resources.millicores)
            .min(free.memory_mib / step.resources.memory_mib);
        let times = u32::try_from(times).unwrap_or(u32::MAX);
        times.min(most.saturating_sub(beside))
    });
    fits.sum()
}

/// Whether less than half of what the workers that stay have is in use.
fn is_quiet(world: &World) -> bool {
    let up = world.workers.iter();
    let up = up.filter(|worker| worker.up && !worker.draining);
    let (used, all) = up.fold((0, 0), |(used, all), worker| {
        let capacity = worker.profile.capacity.millicores;
        (used + worker.used().millicores, all + capacity)
    });
    used * 2 < all
}

/// The tasks that are due and have no run, each with whether it would have to be running
/// by now if that goes on: those of a job together, unless they last.
fn waiting(world: &World, id: u64, step: &Step) -> Vec<Task> {
    if world.finished_jobs.contains(&Id(id)) {
        return Vec::new();
    }
    let runs = |index: u32| {
        let mut runs = world.observed_runs.iter();
        runs.any(|run| run.task == task(id, index) && run.ended.is_none())
    };
    let is_done = |index: u32| {
        let mut runs = world.observed_runs.iter();
        runs.any(|run| {
            run.task == task(id, index) && matches!(run.ended, Some((_, Outcome::Done)))
        })
    };
    let indexes = 0..step.count;
    let idle = indexes
        .clone()
        .filter(|&index| !runs(index) && !is_done(index));
    match step.long_running && !step.gang {
        true => idle.map(|index| task(id, index)).collect(),
        false if indexes.clone().any(runs) => Vec::new(),
        false => idle.take(1).map(|index| task(id, index)).collect(),
    }
}

/// When a task was last started, or any of its job's unless they last; a run may have
/// come and gone between two looks.
fn last_start(world: &World, id: u64, task: &Task, step: &Step) -> u64 {
    let is_own = |other: &Task| match step.long_running && !step.gang {
        true => other == task,
        false => other.stage.job == Id(id),
    };
    let runs = world.observed_runs.iter().filter(|run| is_own(&run.task));
    runs.map(|run| run.started_at).max().unwrap_or_default()
}

/// Plays a history; the text says what waited too long, if anything did.
fn history(seed: u64) -> Result<(), String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let workers = random.random_range(2..=6_u16);
    let mut plan = plan(1, random.random_bool(0.3));
    for queue in plan.queues.values_mut() {
        queue.max_attempts = 7;
    }
    let mut world = World::new(workers, seed).with_plan(plan);
    world.breaks_gangs = true;
    let mut specs: BTreeMap<u64, Spec> = BTreeMap::new();
    let mut last_id = 9;
    let calm_from = world.now + TROUBLE_MS;
    while world.now < calm_from {
        if specs.len() < 2 + usize::from(workers) && random.random_bool(0.5) {
            let id = last_id + 1;
            last_id = id;
            let spec = draw_spec(&mut random);
            draw_failures(&mut world, &mut random, id, &spec.steps[0]);
            let ticket = world.submit(id, &spec);
            world.run(50);
            if world.replies.get(&ticket) == Some(&Reply::Done) {
                specs.insert(id, spec);
            }
        }
        let worker = format!("w{}", random.random_range(0..workers));
        match random.random_range(0..12) {
            0 => drop(world.failing.insert(worker.as_str().into())),
            1 | 2 => world.failing.clear(),
            3..=5 => {
                let lasting = specs.iter().filter(|(_, spec)| spec.steps[0].long_running);
                let ids: Vec<u64> = lasting.map(|(id, _)| *id).collect();
                if !ids.is_empty() {
                    let id = ids[random.random_range(0..ids.len())];
                    let index = random.random_range(0..specs[&id].steps[0].count);
                    world.fail_runs(task(id, index));
                }
            }
            6 if random.random_bool(0.2) => {
                let at = random.random_range(0..usize::from(workers));
                world.workers[at].draining = true;
            }
            7 if random.random_bool(0.15) => {
                if let Some(leader) = world.leader() {
                    world.kill(leader);
                    world.run(1_500);
                    world.restart(leader);
                }
            }
            _ => {}
        }
        world.run(random.random_range(100..700));
    }
    world.failing.clear();
    let mut idle_since: BTreeMap<Task, u64> = BTreeMap::new();
    let calm_until = world.now + CALM_MS;
    while world.now < calm_until {
        world.run(SAMPLE_MS);
        let quiet = is_quiet(&world);
        let mut idle = BTreeMap::new();
        for (&id, spec) in &specs {
            let step = &spec.steps[0];
            let needed = if step.gang { 2 * step.count } else { 2 };
            let has_room =
                (quiet || step.long_running) && room(&world, id, step) >= needed;
            for task in waiting(&world, id, step).into_iter().filter(|_| has_room) {
                let since = idle_since.get(&task).copied().unwrap_or(world.now);
                let since = since.max(last_start(&world, id, &task, step));
                let limit = match step.long_running {
                    true => LASTING_IDLE_LIMIT_MS,
                    false => IDLE_LIMIT_MS,
                };
                if world.now - since > limit {
                    return Err(format!(
                        "seed {seed}: {task} has no run from {since} to {} ms",
                        world.now
                    ));
                }
                idle.insert(task, since);
            }
        }
        idle_since = idle;
    }
    Ok(())
}

#[test]
fn avoided_workers_keep_no_task_waiting_beside_room_for_longer_than_allowed() {
    // With 551 and 1441 a paused worker's ticket had expired.
    for seed in (1..=60).chain([551, 1441]) {
        history(seed).unwrap_or_else(|fault| panic!("{fault}"));
    }
}

/// Runs more histories to search for new failures: `FLEET_SEEDS=61..2000`.
#[test]
#[ignore = "the run time depends on FLEET_SEEDS"]
fn more_histories_with_avoided_workers_keep_the_bound() {
    let mut faults = Vec::new();
    for seed in chosen_seeds().expect("FLEET_SEEDS is a range such as 61..2000") {
        faults.extend(history(seed).err());
    }
    assert!(
        faults.is_empty(),
        "{} failed:\n{}",
        faults.len(),
        faults.join("\n")
    );
}
