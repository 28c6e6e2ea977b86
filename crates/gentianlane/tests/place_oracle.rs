//! Placement under random histories, against an oracle that recounts.

mod place_fake;

use gentianlane::id;
use gentianlane::note::Quota;
use gentianlane::place::{Exit, Job, Kind, Ledger, Worker};
use gentianlane::unit::{Size, Span};
use place_fake::{Cell, GIB, Stage, batch, name, settings};
use quickcheck::{Arbitrary, Gen};

const WORKERS: usize = 12;
const SEEDS: std::ops::Range<u64> = 0..60;
const STEPS: usize = 300;

#[derive(Debug, Clone)]
enum Input {
    Announce(usize, Size),
    Lose(usize),
    Drain(usize, bool),
    Admit(Job),
    Cancel(usize),
    Decide(usize),
    Commit(usize),
    Refuse(usize),
    End(usize, Exit, bool),
    Pass(Span),
    Settle(u8, u64),
}

fn pick(g: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(g) % below
}

fn size(g: &mut Gen) -> Size {
    let accelerators = [0, 0, 0, 1, 2, 8][pick(g, 6) as usize];
    Size::new(
        250 * (1 + pick(g, 24)),
        GIB / 2 * (1 + pick(g, 24)),
        accelerators,
    )
}

fn job(g: &mut Gen) -> Job {
    let kind = [Kind::Service, Kind::Batch, Kind::Batch, Kind::Gang][pick(g, 4) as usize];
    let team = ["a", "b", "c"][pick(g, 3) as usize];
    let workload = format!("l{}", pick(g, 6));
    Job {
        kind,
        count: match kind {
            Kind::Service => 1,
            Kind::Batch => 1 + (pick(g, 8) / 7) as u32,
            Kind::Gang => 2 + pick(g, 5) as u32,
        },
        urgent: pick(g, 5) == 0,
        idempotent: pick(g, 3) > 0,
        expected: (pick(g, 3) > 0).then(|| Span::from_millis(1 + pick(g, 90_000))),
        ..batch(team, &workload, size(g))
    }
}

fn input(g: &mut Gen) -> Input {
    let at = pick(g, 1 << 20) as usize;
    match pick(g, 40) {
        0 => {
            let accelerators = [0, 0, 8][pick(g, 3) as usize];
            let cpu = 4_000 * (1 + pick(g, 4));
            Input::Announce(at % WORKERS, Size::new(cpu, 16 * GIB, accelerators))
        }
        1 if pick(g, 3) == 0 => Input::Lose(at % WORKERS),
        1 => Input::Drain(at % WORKERS, bool::arbitrary(g)),
        2 => Input::Settle(pick(g, 101) as u8, 1 + pick(g, 30)),
        3..=14 => Input::Admit(job(g)),
        15 => Input::Cancel(at),
        16..=22 => Input::Decide(1 + pick(g, 6) as usize),
        23..=28 => Input::Commit(at),
        29 => Input::Refuse(at),
        30..=35 => {
            let span = Span::from_millis(pick(g, 20_000));
            let ended = match pick(g, 5) {
                0 => Exit::Failed(span),
                1 => Exit::Stopped,
                _ => Exit::Done(span),
            };
            Input::End(at, ended, pick(g, 5) == 0)
        }
        _ => Input::Pass(Span::from_millis(pick(g, 5_000))),
    }
}

/// The job at a position among those in some stage.
fn nth(cell: &Cell, at: usize, wanted: impl Fn(&Stage) -> bool) -> Option<id::Job> {
    let jobs = cell.jobs.iter().filter(|(_, (_, stage))| wanted(stage));
    let jobs: Vec<id::Job> = jobs.map(|(id, _)| *id).collect();
    jobs.get(at % jobs.len().max(1)).copied()
}

fn apply(cell: &mut Cell, input: Input) {
    let decided = |stage: &Stage| matches!(stage, Stage::Decided(_));
    let runs = |stage: &Stage| matches!(stage, Stage::Runs(_));
    match input {
        Input::Announce(at, size) => cell.worker(at, size),
        Input::Lose(at) => cell.lose(at),
        Input::Drain(at, on) => cell.drain(at, on),
        Input::Admit(job) => {
            cell.admit(job);
        }
        Input::Cancel(at) => {
            if let Some(id) = nth(cell, at, |stage| *stage == Stage::Waits) {
                cell.cancel(id);
            }
        }
        Input::Decide(limit) => {
            assert!(cell.decide(limit).len() <= limit + WORKERS * 64);
        }
        Input::Commit(at) => {
            if let Some(id) = nth(cell, at, decided) {
                cell.commit(id);
            }
        }
        Input::Refuse(at) => {
            if let Some(id) = nth(cell, at, decided) {
                cell.refuse(id);
            }
        }
        Input::End(at, ended, again) => {
            if let Some(id) = nth(cell, at, runs) {
                cell.finish(id, ended, again);
            }
        }
        Input::Pass(span) => cell.pass(span),
        Input::Settle(packing, quota) => {
            let team = id::Team::from("a");
            let size = Size::new(quota * 1_000, quota * GIB, quota as u32);
            let quota = Quota { size, weight: 2 };
            let teams = [(&team, &quota)];
            cell.planner
                .configure(&settings(packing), teams.into_iter());
        }
    }
}

#[test]
fn random_histories_agree_with_the_recount() {
    for seed in SEEDS {
        let mut g = Gen::from_size_and_seed(64, seed);
        let mut cell = Cell::new();
        for at in 0..WORKERS {
            let accelerators = if at % 3 == 0 { 8 } else { 0 };
            cell.worker(at, Size::new(16_000, 32 * GIB, accelerators));
        }
        for step in 0..STEPS {
            let input = input(&mut g);
            let said = format!("seed {seed}, step {step}: {input:?}");
            let run = std::panic::AssertUnwindSafe(|| {
                apply(&mut cell, input);
                cell.check();
            });
            if std::panic::catch_unwind(run).is_err() {
                panic!("{said}");
            }
        }
    }
}

/// Whether the empty cell could hold all tasks of a job at once.
fn fits(cell: &Cell, job: &Job) -> bool {
    let mut tasks = 0;
    for worker in cell.workers.values() {
        let mut free = worker.size;
        while let Some(rest) = free.checked_sub(&job.size) {
            free = rest;
            tasks += 1;
        }
    }
    tasks >= job.count
}

/// Once nothing more comes and everything that runs ends, all that fits starts.
#[test]
fn random_histories_run_dry() {
    for seed in SEEDS {
        let mut g = Gen::from_size_and_seed(64, seed);
        let mut cell = Cell::new();
        for at in 0..WORKERS {
            let accelerators = if at % 3 == 0 { 8 } else { 0 };
            cell.worker(at, Size::new(16_000, 32 * GIB, accelerators));
        }
        for _ in 0..STEPS {
            apply(&mut cell, input(&mut g));
        }
        for at in 0..WORKERS {
            let accelerators = if at % 3 == 0 { 8 } else { 0 };
            cell.worker(at, Size::new(16_000, 32 * GIB, accelerators));
            cell.drain(at, false);
        }
        for _ in 0..400 {
            cell.step(64);
            let runs = |stage: &Stage| matches!(stage, Stage::Runs(_));
            while let Some(id) = nth(&cell, 0, runs) {
                cell.finish(id, Exit::Done(Span::from_secs(1)), false);
            }
            let late = |stage: &Stage| matches!(stage, Stage::Decided(_));
            while let Some(id) = nth(&cell, 0, late) {
                cell.commit(id);
            }
            cell.pass(Span::from_secs(30));
        }
        let left = cell.jobs.values().filter(|(job, _)| fits(&cell, job));
        let left: Vec<&(Job, Stage)> = left.collect();
        assert!(left.is_empty(), "seed {seed}: {left:?}");
    }
}

/// A ledger on its own never holds more than a worker had when it reserved, and
/// frees only what was reserved.
#[test]
fn a_ledger_agrees_with_the_recount() {
    for seed in SEEDS {
        let mut g = Gen::from_size_and_seed(64, seed);
        let mut ledger = Ledger::default();
        let mut held: Vec<(id::Worker, Size)> = Vec::new();
        for step in 0..STEPS {
            let names: Vec<id::Worker> = (0..1 + pick(&mut g, 3))
                .map(|_| name(pick(&mut g, 4) as usize))
                .collect();
            let wanted = size(&mut g);
            let sum = |held: &[(id::Worker, Size)], name: &id::Worker| -> Size {
                held.iter()
                    .filter(|(it, _)| it == name)
                    .map(|(_, size)| *size)
                    .sum()
            };
            match pick(&mut g, 4) {
                0 => {
                    let place = ("r".into(), "d".into(), "k".into());
                    let has = Size::new(1_000 * pick(&mut g, 17), 8 * GIB, 4);
                    let worker = Worker::new(id::Incarnation(step as u64), place, has);
                    ledger.put(&names[0], worker);
                }
                1 => {
                    let at = pick(&mut g, 1 + held.len() as u64) as usize;
                    match held.get(at).cloned() {
                        Some((name, size)) => {
                            held.swap_remove(at);
                            assert!(ledger.release(&name, &size));
                        }
                        None => {
                            let more = Size::new(1 << 40, 0, 0);
                            assert!(!ledger.release(&names[0], &more));
                        }
                    }
                }
                _ => {
                    let mut after = held.clone();
                    after.extend(names.iter().map(|name| (name.clone(), wanted)));
                    let fits = names.iter().all(|name| {
                        let worker = ledger.get(name);
                        worker.is_some_and(|it| sum(&after, name).fits(&it.size))
                    });
                    let took = ledger.reserve(&names, &wanted).is_ok();
                    assert_eq!(took, fits, "seed {seed}, step {step}");
                    if took {
                        held = after;
                    }
                }
            }
            for (name, worker) in ledger.iter() {
                assert_eq!(worker.reserved(), sum(&held, name), "seed {seed}, {step}");
            }
        }
    }
}
