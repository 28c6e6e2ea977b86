//! Tests that run numbers rise, whoever leads and however many a term has used.

use gentianlane::fleet::Command;
use gentianlane::fleet::job::{Id, Resources, Spec, Stage, Task};
use gentianlane::fleet::order::{Action, EndedRun, Order, Outcome, Start};

use super::regression::{Leader, wall};
use super::simulated_worker::{Worker, job};

/// The most tasks that a step may have.
const WIDEST_STEP: u32 = 20_000;

/// A leader with one worker that has room for every task of a test.
fn leader(term: u64) -> Leader {
    let capacity = Resources {
        millicores: 1_000_000_000,
        memory_mib: 1_000_000_000,
        accelerators: 0,
    };
    Leader::with_worker(term, Worker::new("w0", 1_000, capacity, 0))
}

fn as_start(order: &Order) -> Option<&Start> {
    match &order.action {
        Action::Start(start) => Some(start),
        _ => None,
    }
}

fn ended(sequence: u64, start: &Start, outcome: Outcome) -> EndedRun {
    EndedRun {
        sequence,
        task: start.task,
        run: start.run,
        outcome,
        checkpoint: String::new(),
    }
}

/// Confirms what a leader orders in some time, with a worker that runs nothing, and
/// returns the numbers of the runs that were to start.
fn run_numbers(leader: &mut Leader, until: usize) -> Vec<u64> {
    let mut numbers = Vec::new();
    for _ in 0..2_000 {
        for order in leader.orders(20) {
            match as_start(&order) {
                Some(start) => numbers.push(start.run),
                None if numbers.is_empty() => leader.answer_status(order.id, Vec::new()),
                None => {}
            }
            if as_start(&order).is_some() {
                leader.confirm(order.id);
            }
        }
        if numbers.len() >= until {
            break;
        }
    }
    numbers
}

/// A term's numbers overlapped with the next one's after 4,096 starts of a step, and
/// workers rejected the next leader's as old (review/10).
#[test]
fn run_numbers_of_the_widest_step_rise_with_each_of_three_leaders() {
    let mut leader = leader(1);
    leader.submit_job(7, job(WIDEST_STEP, 1));
    let mut highest = 0;
    for term in [2, 3, 4] {
        let numbers = run_numbers(&mut leader, WIDEST_STEP as usize);
        assert_eq!(numbers.len(), WIDEST_STEP as usize, "before term {term}");
        let lowest = numbers.iter().min().copied().unwrap_or_default();
        assert!(
            lowest > highest,
            "{lowest} after {highest}, before term {term}"
        );
        highest = numbers.iter().max().copied().unwrap_or_default();
        leader.succeed(term);
    }
}

/// A service used up its term's numbers by restarts, as a wide step does by starts.
#[test]
fn run_numbers_of_a_service_rise_after_thousands_of_restarts_in_a_term() {
    let mut service = job(1, 500);
    service.steps[0].long_running = true;
    let mut leader = leader(1);
    leader.submit_job(7, service);
    let mut highest = 0;
    for (next_term, most) in [(2, 4_200), (3, 2)] {
        let mut restarts = 0;
        let mut last = None;
        while restarts < most {
            for order in leader.orders(100) {
                let Some(start) = as_start(&order) else {
                    let ends = last.as_ref();
                    let end = ends.map(|start| ended(restarts, start, Outcome::Failed));
                    leader.answer_status(order.id, end.into_iter().collect());
                    continue;
                };
                assert!(start.run > highest, "{} after {highest}", start.run);
                highest = start.run;
                restarts += 1;
                last = Some(start.clone());
                leader.confirm(order.id);
            }
        }
        leader.succeed(next_term);
    }
}

/// The only task of job 7.
fn only_task() -> Task {
    let stage = Stage {
        job: Id(7),
        occurrence: 0,
        step: 0,
    };
    Task { stage, index: 0 }
}

/// The record of a failed run of it.
fn failure(run: u64) -> Command {
    Command::End {
        at: wall(),
        task: only_task(),
        run,
        done: false,
    }
}

/// How many failures of it are counted.
fn failures(leader: &Leader) -> Option<u32> {
    let job = leader.state.job(&Id(7))?;
    let unit = job.progress(&only_task().stage)?.units.first()?;
    Some(unit.failures)
}

/// A failure under the next leader wasn't counted, as its run had a lower number than
/// one that had failed under the leader before, so that a task could run too often.
#[test]
fn a_failure_counts_under_the_next_leader_though_an_earlier_version_numbered_the_last() {
    let mut leader = leader(1);
    let spec: Spec = job(1, 500);
    leader.submit_job(7, spec);
    // What a leader of an earlier version logged of the widest step.
    leader.apply(failure(u64::from(WIDEST_STEP)));
    leader.succeed(2);
    let numbers = run_numbers(&mut leader, 1);
    leader.apply(failure(numbers[0]));
    assert_eq!(failures(&leader), Some(2), "run {}", numbers[0]);
}

/// A run that has failed behind a cut is listed after the next one has failed elsewhere.
#[test]
fn a_failure_that_is_listed_after_that_of_a_later_run_counts() {
    let mut leader = leader(1);
    leader.submit_job(7, job(1, 500));
    leader.apply(failure(2));
    leader.apply(failure(1));
    assert_eq!(failures(&leader), Some(2));
    leader.apply(failure(1));
    assert_eq!(failures(&leader), Some(2), "told again");
}
