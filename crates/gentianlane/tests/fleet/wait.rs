//! Waits for better places, and workers of uneven speed.

use gentianlane::fleet::decision::Decision;
use gentianlane::fleet::dispatch::Setup;
use gentianlane::fleet::dispatch::wait::{Choice, Options, choose};
use gentianlane::fleet::job::{Id, Spec};
use gentianlane::id;
use gentianlane::unit::Span;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::dispatch::task;
use super::simulated_worker::job;
use super::world::{World, plan};

const OPTIONS: Options = Options {
    run_time_here: Span::from_millis(2_000),
    run_time_there: Span::from_millis(1_000),
    free_in: Span::from_millis(200),
    waited: Span::ZERO,
    time_left: 1_500,
    others_wait: false,
    load_there: 500,
};

#[test]
fn a_wait_pays_only_if_the_task_ends_sooner_for_its_caller() {
    assert_eq!(choose(&OPTIONS), Choice::Wait(Span::from_millis(1_000)));
    // On time either way: nobody gains, unless others wait for the room.
    let relaxed = Options {
        time_left: 5_000,
        ..OPTIONS
    };
    assert_eq!(choose(&relaxed), Choice::Start);
    let contended = Options {
        others_wait: true,
        ..relaxed
    };
    assert!(matches!(choose(&contended), Choice::Wait(_)));
    // Only the place that is free is in time.
    let urgent = Options {
        time_left: 2_000,
        free_in: Span::from_millis(700),
        ..OPTIONS
    };
    assert_eq!(choose(&urgent), Choice::Start);
    // Late in any case: the earlier end counts.
    let late = Options {
        time_left: -1,
        ..OPTIONS
    };
    assert!(matches!(choose(&late), Choice::Wait(_)));
}

#[test]
fn a_task_waits_no_longer_than_it_would_save() {
    for waited in [0, 400, 800, 1_000, 5_000] {
        let options = Options {
            waited: Span::from_millis(waited),
            ..OPTIONS
        };
        match choose(&options) {
            Choice::Wait(limit) => assert!(limit.as_millis() + waited <= 1_000),
            Choice::Start => assert!(waited >= 700, "{waited}"),
        }
    }
}

/// How tasks decide between a place near their data and one away from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Never,
    Always,
    Fixed,
    Estimated,
}

/// One load on a rack with some slots, beside slots elsewhere.
#[derive(Debug, Clone, Copy)]
struct Load {
    near_slots: usize,
    /// How many of them are lost 500 ms after the first tasks come.
    lost_slots: usize,
    far_slots: usize,
    /// The mean of the milliseconds between two tasks, and how many there are.
    interval: u64,
    tasks: u64,
    run_time: u64,
    /// By how much the ends of runs are estimated too early, in thousandths.
    optimism: u64,
}

/// The mean time from coming to ending in milliseconds, on virtual time.
fn mean_time(load: Load, policy: Policy) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let far_time = load.run_time * 2;
    let (mut near, mut far): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    let mut waiting: Vec<u64> = Vec::new();
    let (mut total, mut next, mut next_at, mut millis) = (0, 0, 0, 0);
    while next < load.tasks || !waiting.is_empty() {
        while next < load.tasks && next_at <= millis {
            waiting.push(millis);
            next += 1;
            next_at += random.random_range(0..=2 * load.interval);
        }
        near.retain(|&end| end > millis);
        far.retain(|&end| end > millis);
        let slots = match millis < 500 {
            true => load.near_slots,
            false => load.near_slots - load.lost_slots,
        };
        let mut left = Vec::new();
        for came in waiting.drain(..) {
            if near.len() < slots {
                near.push(millis + load.run_time);
                total += millis + load.run_time - came;
                continue;
            }
            let mut ends = near.clone();
            ends.sort_unstable();
            let end = ends.get(left.len()).copied();
            let free_in = end.map(|end| (end - millis) * 1_000 / load.optimism);
            let is_far_free = far.len() < load.far_slots;
            let waits = match (policy, free_in) {
                (Policy::Never, _) => false,
                (Policy::Always, _) => slots > 0,
                (Policy::Fixed, _) => millis - came < 500,
                (Policy::Estimated, None) => false,
                (Policy::Estimated, Some(free_in)) => {
                    let work = load.run_time * 1_000 / load.interval;
                    let options = Options {
                        run_time_here: Span::from_millis(far_time),
                        run_time_there: Span::from_millis(load.run_time),
                        free_in: Span::from_millis(free_in),
                        waited: Span::from_millis(millis - came),
                        time_left: -1,
                        others_wait: far.len() + 1 >= load.far_slots,
                        load_there: work / slots as u64,
                    };
                    choose(&options) != Choice::Start
                }
            };
            match waits || !is_far_free {
                true => left.push(came),
                false => {
                    far.push(millis + far_time);
                    total += millis + far_time - came;
                }
            }
        }
        waiting = left;
        millis += 10;
    }
    total / load.tasks
}

/// `cargo test --test fleet comparison -- --nocapture` prints the table.
#[test]
fn in_comparison_with_never_always_and_fixed_waits_none_is_far_better() {
    let usual = Load {
        near_slots: 8,
        lost_slots: 0,
        far_slots: usize::MAX,
        interval: 150,
        tasks: 400,
        run_time: 1_000,
        optimism: 1_000,
    };
    let wanted = Load {
        interval: 90,
        ..usual
    };
    let loads = [
        ("a rack with room for all, at times full", usual),
        ("one wanted rack, room elsewhere", wanted),
        (
            "one wanted rack, little room elsewhere",
            Load {
                far_slots: 6,
                ..wanted
            },
        ),
        (
            "half of the near slots lost",
            Load {
                lost_slots: 4,
                ..usual
            },
        ),
        (
            "ends estimated three times too early",
            Load {
                optimism: 3_000,
                ..usual
            },
        ),
        (
            "ends estimated three times too late",
            Load {
                optimism: 333,
                ..usual
            },
        ),
        (
            "short tasks",
            Load {
                run_time: 200,
                interval: 30,
                ..usual
            },
        ),
        (
            "long tasks",
            Load {
                run_time: 8_000,
                interval: 1_200,
                ..usual
            },
        ),
    ];
    println!("mean ms to the end: never, always, fixed 500 ms, estimated");
    let mut sums = [0; 4];
    for (name, load) in loads {
        let policies = [
            Policy::Never,
            Policy::Always,
            Policy::Fixed,
            Policy::Estimated,
        ];
        let means = policies.map(|policy| mean_time(load, policy));
        println!("{name}: {means:?}");
        let [.., estimated] = means;
        // A task waits at most as long as it saves, so it never takes more than
        // half as long again as without a wait.
        assert!(estimated <= means[0] * 3 / 2, "{name}: {means:?}");
        for (sum, mean) in sums.iter_mut().zip(means) {
            *sum += mean * 1_000 / load.run_time;
        }
    }
    let [never, always, fixed, estimated] = sums;
    println!("sum in run times, thousandths: {sums:?}");
    assert!(estimated <= never && estimated <= always && estimated <= fixed);
}

fn setup(waits: bool) -> Setup {
    Setup {
        wait_for_places: waits,
        remote_slowdown: 3_000,
        ..Setup::default()
    }
}

/// Jobs whose data is on the rack of `w2` alone, of three workers.
fn near_w2(count: u32) -> Spec {
    let mut spec = job(count, 4_000);
    spec.steps[0].preferred_rack = Some("rack-0".to_owned());
    spec.steps[0].estimate = Span::from_millis(1_000);
    spec
}

fn start_two_near_w2(waits: bool) -> World {
    let mut world = World::new(3, 1)
        .with_dispatch(setup(waits))
        .with_plan(plan(1, false));
    assert!(
        world.workers[2]
            .profile
            .labels
            .contains(&"rack-0".to_owned())
    );
    world.run_time = 1_000;
    world.submit(7, &near_w2(1));
    world.run(600);
    world.submit(8, &near_w2(1));
    world.run(50);
    world
}

fn place_of(world: &World, job: u64) -> Option<id::Worker> {
    let mut runs = world.observed_runs.iter();
    let run = runs.rfind(|run| run.task == task(job, 0))?;
    Some(run.worker.clone())
}

#[test]
fn a_task_waits_for_its_datas_rack_and_starts_there() {
    let mut world = start_two_near_w2(true);
    assert_eq!(place_of(&world, 8), None);
    world.run(600);
    assert_eq!(place_of(&world, 8), Some("w2".into()));
    assert!(world.decisions.iter().any(
        |it| matches!(it, Decision::WaitsForPlace { stage, .. } if stage.job == Id(8))
    ));
}

#[test]
fn without_the_setting_it_starts_where_there_is_room() {
    let world = start_two_near_w2(false);
    assert!(place_of(&world, 8).is_some_and(|worker| worker != "w2".into()));
}

#[test]
fn a_wait_ends_when_the_better_worker_is_lost() {
    let mut world = start_two_near_w2(true);
    world.resets_connections = true;
    world.crash("w2");
    world.run(500);
    assert!(place_of(&world, 8).is_some_and(|worker| worker != "w2".into()));
}

/// The run on the better worker lasts far longer than estimated.
#[test]
fn a_wait_ends_at_its_bound_if_the_estimate_was_wrong() {
    let mut world = World::new(3, 1)
        .with_dispatch(setup(true))
        .with_plan(plan(1, false));
    world.run_time = 30_000;
    world.submit(7, &near_w2(1));
    world.run(100);
    world.run_time = 1_000;
    world.submit(8, &near_w2(1));
    world.run(2_200);
    assert!(place_of(&world, 8).is_some_and(|worker| worker != "w2".into()));
}

/// A task that would save 20 s on its data's rack waited for 15 s beside idle workers
/// (`rack`); with less than half in use nothing may wait beside room for 3 s.
#[test]
fn a_wait_beside_idle_workers_ends_within_the_users_limit() {
    let mut world = World::new(6, 1)
        .with_dispatch(setup(true))
        .with_plan(plan(1, false));
    let mut near = near_w2(1);
    near.steps[0].estimate = Span::from_secs(12);
    let mut filler = near.clone();
    filler.steps[0].preferred_rack = None;
    filler.steps[0].required_label = Some("rack-0".to_owned());
    // As little as this leaves the rack's load low.
    near.steps[0].resources.millicores = 1_000;
    world.run_time = 12_000;
    for id in [7, 8] {
        world.submit(id, &filler);
    }
    world.run(2_000);
    world.submit(9, &near);
    world.run(1_500);
    assert_eq!(place_of(&world, 9), None);
    world.run(1_500);
    assert!(place_of(&world, 9).is_some());
}

#[test]
fn a_new_leader_counts_what_the_job_has_waited() {
    let mut world = World::new(3, 1)
        .with_dispatch(setup(true))
        .with_plan(plan(1, false));
    world.run_time = 30_000;
    world.submit(7, &near_w2(1));
    world.run(100);
    world.run_time = 1_000;
    world.submit(8, &near_w2(1));
    world.run(100);
    let leader = world.leader().unwrap_or(0);
    world.kill(leader);
    world.run(4_000);
    assert!(place_of(&world, 8).is_some_and(|worker| worker != "w2".into()));
}

/// Batch work goes to the slow worker, urgent work to the others, once the speeds are
/// known.
#[test]
fn urgent_tasks_leave_a_slow_worker_once_its_speed_is_known() {
    let dispatch = Setup {
        learn_speeds: true,
        ..Setup::default()
    };
    let mut world = World::new(3, 1)
        .with_dispatch(dispatch)
        .with_plan(plan(1, false));
    // It stalls for six of ten milliseconds.
    world.slow.insert("w1".into(), 6);
    for id in 0..8 {
        world.submit(id, &job(12, 1_000));
        world.run(1_500);
    }
    let before = world.observed_runs.len();
    for id in 100..110 {
        world.submit(id, &job(4, 1_000));
        world.run(1_000);
    }
    let late = &world.observed_runs[before..];
    let on_slow = late.iter().filter(|run| run.worker == "w1".into()).count();
    assert!(on_slow * 10 <= late.len(), "{on_slow} of {}", late.len());
}
