//! Placement measured against first fit in order of arrival, in virtual time.
//!
//! `cargo bench -p gentianlane --bench place -- SITE` runs one of `norrvik`,
//! `hanafy`, `aim` and `slopes`. Declared run times are between a tenth and ten
//! times the true ones, two percent of the workers fail every task, a wave of
//! jobs is withdrawn and a rack is lost. The seed is printed.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::unreachable,
    reason = "a bench may panic"
)]

#[path = "place_driver/outcome.rs"]
mod outcome;
#[path = "place_driver/run.rs"]
mod run;
#[path = "place_driver/site.rs"]
mod site;

use gentianlane::unit::Span;
use outcome::{Outcome, quantile};
use run::{Trouble, run, sides};
use site::{Site, jobs};

const SEED: u64 = 4;

/// What is asked for of processors and of accelerators, as parts of what is
/// there: less of both, more of accelerators, and more of both.
const LOADS: [(f64, f64); 3] = [(0.75, 0.75), (0.8, 1.3), (1.3, 1.3)];

fn main() {
    let names: Vec<String> = std::env::args().skip(1).collect();
    let names = names.iter().filter(|name| !name.starts_with('-'));
    println!("seed {SEED}");
    for name in names {
        match name.as_str() {
            "norrvik" => compare(&Site::norrvik(), Span::from_secs(1_800), 1_000),
            "hanafy" => compare(&Site::hanafy(), Span::from_secs(1_800), 1_000),
            "aim" => compare(&Site::aim(760), Span::from_secs(240), 5_000),
            "slopes" => slopes(),
            other => panic!("{other} isn't one of norrvik, hanafy, aim and slopes"),
        }
    }
}

fn compare(site: &Site, span: Span, wave: usize) {
    for load in LOADS {
        let plans = jobs(site, load, span, SEED);
        let count = plans.len();
        println!("\n## {}, load {load:?}, {count} jobs in {span}", site.name);
        for black_holes in [None, Some(50)] {
            for (name, side) in sides() {
                let trouble = Trouble {
                    black_holes,
                    wave,
                    rack: true,
                };
                let mut outcome = run(site, &plans, side, span, trouble);
                let bad = match black_holes {
                    None => "no worker fails every task",
                    Some(_) => "two workers in a hundred fail every task",
                };
                println!("\n### {name}, {bad}");
                report(&mut outcome);
            }
        }
    }
}

fn report(outcome: &mut Outcome) {
    outcome.waits.sort_keys();
    for (sort, waits) in &outcome.waits {
        let p50 = quantile(waits, 0.5);
        let p99 = quantile(waits, 0.99);
        let mean = waits.iter().sum::<u64>() / waits.len().max(1) as u64;
        let longest = waits.iter().max().copied().unwrap_or_default();
        let count = waits.len();
        println!(
            "wait of {sort}: p50 {p50} ms, p99 {p99} ms, mean {mean} ms, longest \
             {longest} ms of {count}"
        );
    }
    let parts = ["processors", "memory", "accelerators"];
    for (part, (reserved, used)) in parts.iter().zip(outcome.packing()) {
        println!("{part}: {reserved:.1}% reserved, {used:.1}% used");
    }
    println!(
        "{} started, {} done, {} given up, {} preempted, {} run again",
        outcome.started,
        outcome.done,
        outcome.given_up,
        outcome.preempted,
        outcome.run_again,
    );
    let (mean, p99) = (outcome.mean(), outcome.p99());
    let longest = outcome.rounds.iter().max().copied().unwrap_or_default();
    let rate = 1.0 / mean.as_secs_f64();
    println!(
        "a decision: mean {mean:?}, p99 {p99:?}, {rate:.0} a second; longest round \
         {longest:?}; at the end {} tasks run and {} jobs wait",
        outcome.running, outcome.waiting,
    );
}

/// How the cost of a decision grows with workers and with the queue.
fn slopes() {
    let quiet = Trouble {
        black_holes: None,
        wave: 0,
        rack: false,
    };
    let span = Span::from_secs(240);
    let mut points = [Vec::new(), Vec::new()];
    println!("\n## cost by workers, load (0.75, 0.75)");
    for workers in [95, 190, 380, 760, 1_520] {
        let site = Site::aim(workers);
        let plans = jobs(&site, LOADS[0], span, SEED);
        for (at, (name, side)) in sides().into_iter().enumerate().take(2) {
            let outcome = run(&site, &plans, side, span, quiet);
            let (mean, p99) = (outcome.mean(), outcome.p99());
            let tasks = outcome.running;
            println!(
                "{workers} workers, {tasks} tasks, {name}: mean {mean:?}, p99 {p99:?}"
            );
            points[at].push((workers as f64, mean.as_secs_f64()));
        }
    }
    println!(
        "slope: first fit {:.2}, planner {:.2}",
        slope(&points[0]),
        slope(&points[1])
    );
    println!("\n## cost by waiting jobs, 190 workers, load (1.3, 1.3)");
    let mut points = Vec::new();
    for wave in [500, 1_000, 2_000, 4_000, 8_000] {
        let site = Site::aim(190);
        let plans = jobs(&site, LOADS[2], span, SEED);
        let trouble = Trouble { wave, ..quiet };
        let [_, (_, side), _] = sides();
        let outcome = run(&site, &plans, side, span, trouble);
        let (mean, p99) = (outcome.mean(), outcome.p99());
        println!("{wave} more jobs: mean {mean:?}, p99 {p99:?}");
        points.push((wave as f64, mean.as_secs_f64()));
    }
    println!("slope: planner {:.2}", slope(&points));
}

/// The slope of a line through points on logarithmic scales.
fn slope(points: &[(f64, f64)]) -> f64 {
    let points: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let above: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let below: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    above / below
}
