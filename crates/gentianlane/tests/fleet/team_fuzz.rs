//! Random histories with teams and limits: the oracle in `world` finds no start that
//! takes a team further beyond its limit than the users allow, while leaders are lost,
//! workers crash or are cut off, answers are lost, jobs are cancelled and limits change.

use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::job::{Id, Spec};

use super::simulated_worker::{job, step};
use super::team::{access, entry, replace_plan, submit_for};
use super::world::{Faults, World, plan, target};

/// The length of a history, in rounds of 250 ms.
const ROUNDS: u64 = 60;

/// The names and usual limits of the teams, in millicores; zero is no limit.
const TEAMS: [(&str, u64); 3] = [("a", 4_000), ("b", 8_000), ("c", 0)];

fn spec(world: &mut World) -> Spec {
    let count = 1 + world.random_below(5) as u32;
    let mut spec = job(count, 300 + 200 * world.random_below(5) as u64);
    if world.chance(300) {
        let mut second = step(1 + world.random_below(3) as u32, 600);
        second.depends_on = vec![0];
        spec.steps.push(second);
    }
    spec.steps[0].gang = world.chance(200);
    spec
}

fn history(seed: u64) {
    let mut world = World::new(8, seed).with_plan(plan(1, false));
    let usual = || access(TEAMS.map(|(name, limit)| entry(name, limit, 0)));
    replace_plan(&mut world, plan(2, false), &usual());
    let mut version = 2;
    let mut accepted = Vec::new();
    let mut dead: Option<usize> = None;
    for round in 0..ROUNDS {
        let id = seed * 1_000 + round;
        let (team, _) = TEAMS[world.random_below(TEAMS.len())];
        let spec = spec(&mut world);
        world.run_time = 200 + 200 * world.random_below(8) as u64;
        let ticket = submit_for(&mut world, team, id, &spec);
        world.run(250);
        if world.replies.get(&ticket) == Some(&Reply::Done) {
            accepted.push((team, id));
        }
        // The first team keeps its limit full, so that a run too many shows.
        let filler = job(4, 500);
        let ticket = submit_for(&mut world, "a", id + 500, &filler);
        world.run(50);
        if world.replies.get(&ticket) == Some(&Reply::Done) {
            accepted.push(("a", id + 500));
        }
        world.faults = Faults {
            lost_answers: if world.chance(200) { 100 } else { 0 },
            ..Faults::default()
        };
        if world.chance(200) && !accepted.is_empty() {
            let (team, id) = accepted.swap_remove(world.random_below(accepted.len()));
            let cancel = Box::new(Call::Cancel(target(id)));
            world.call(Call::Authorized(format!("key-{team}").into(), cancel));
        }
        if world.chance(150) && world.leader().is_some() {
            version += 1;
            let factor = 1 + world.random_below(3) as u64;
            let cut = access(TEAMS.map(|(name, limit)| entry(name, limit / factor, 0)));
            replace_plan(&mut world, plan(version, false), &cut);
        }
        match dead {
            Some(at) if world.chance(400) => {
                world.restart(at);
                dead = None;
            }
            None if world.chance(120) => {
                let at = world.leader().unwrap_or(0);
                world.kill(at);
                dead = Some(at);
                // Workers that the next leader can't reach, with the runs of this one.
                for worker in [0, 3] {
                    let name = world.workers[worker].incarnation.worker.clone();
                    world.unreachable.insert(name);
                }
            }
            _ => {}
        }
        if world.chance(100) {
            let at = world.random_below(world.workers.len());
            let name = world.workers[at].incarnation.worker.clone();
            if !world.unreachable.remove(&name) {
                world.unreachable.insert(name);
            }
        }
        if world.chance(60) {
            let at = world.random_below(world.workers.len());
            world.crash_for(at, 1_500);
        }
    }
    if let Some(at) = dead {
        world.restart(at);
    }
    world.unreachable.clear();
    world.faults = Faults::default();
    world.run(3_000);
    replace_plan(&mut world, plan(version + 1, false), &usual());
    world.run(120_000);
    for (_, id) in accepted {
        assert!(
            world.finished_jobs.contains(&Id(id)),
            "seed {seed}: job {id} hasn't ended"
        );
    }
}

#[test]
fn random_histories_with_teams_keep_the_limits() {
    for seed in 1..13 {
        history(seed);
    }
}

/// `FLEET_SEEDS=1..1000` sets the seeds.
#[test]
#[ignore = "a long run, for use by hand"]
fn more_histories_with_teams_keep_the_limits() {
    let seeds = std::env::var("FLEET_SEEDS").unwrap_or_else(|_| "13..100".to_owned());
    let (first, end) = seeds.split_once("..").expect("a range");
    let (first, end): (u64, u64) = (
        first.parse().expect("a number"),
        end.parse().expect("a number"),
    );
    for seed in first..end {
        println!("seed {seed}");
        history(seed);
    }
}
