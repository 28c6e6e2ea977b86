//! All cores are killed at the same moment, and are back within a second with their
//! disks.

use gentianlane::fleet::job::Phase;
use gentianlane::fleet::order::Outcome;

use super::dispatch::{phase, task};
use super::simulated_worker::job;
use super::world::{World, plan};

/// How long the cores are down, in milliseconds.
const OUTAGES: [u64; 4] = [50, 300, 700, 1_000];

#[test]
fn what_runs_goes_on_and_what_was_accepted_starts_after_the_whole_core_was_killed() {
    for outage in OUTAGES {
        let mut world = World::new(4, 1).with_plan(plan(1, false));
        for index in 0..8 {
            let runs = vec![(4_000, Outcome::Done)];
            world.scripted_runs.insert(task(7, index), runs);
        }
        world.submit(7, &job(8, 1_000));
        world.run(1_000);
        assert_eq!(world.observed_runs.len(), 8, "all run before the outage");
        // Accepted right before the outage; its tasks may not have started.
        world.submit(8, &job(6, 1_000));
        world.run(60);
        for core in 0..3 {
            world.kill(core);
        }
        world.run(outage);
        for core in 0..3 {
            world.restart(core);
        }
        world.run(9_000);
        assert_eq!(phase(&mut world, 7), Some(Phase::Completed), "{outage} ms");
        assert_eq!(phase(&mut world, 8), Some(Phase::Completed), "{outage} ms");
        assert_eq!(
            world.observed_runs.len(),
            14,
            "no task ran twice after {outage} ms: {:?}",
            world.observed_runs
        );
        world.check_acknowledged();
    }
}
