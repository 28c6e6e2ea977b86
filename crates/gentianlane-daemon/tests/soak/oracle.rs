//! The rules, judged by what workers and callers have seen.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;

use crate::fleet::ATTEMPTS;
use crate::record::{Event, How, Job, Kind, Record, What, job_of};

/// How long after a confirmed cancel a task of the job may still be started.
const CANCEL: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub(crate) enum Rule {
    #[display("TWICE")]
    Twice,
    #[display("TWICE, after an end that was noted")]
    AfterDone,
    #[display("BUDGET")]
    Budget,
    #[display("ORDER")]
    Order,
    #[display("LIMIT")]
    Limit,
    #[display("UNASKED, never submitted")]
    Unasked,
    #[display("UNASKED, cancelled")]
    Cancelled,
    #[display("REFUSED")]
    Refused,
    #[display("MIXED")]
    Mixed,
    #[display("LOST, failed")]
    Failed,
    #[display("LOST, not completed")]
    Unfinished,
    #[display("a process panicked")]
    Panic,
}

#[derive(Debug, Clone, Display)]
#[display("{rule}: {subject}: {what}")]
pub(crate) struct Breach {
    pub(crate) rule: Rule,
    /// A task or a job.
    pub(crate) subject: String,
    pub(crate) what: String,
}

/// A run on one incarnation of a worker.
struct Run<'a> {
    worker: &'a str,
    number: u64,
    start: Duration,
    end: Option<(Duration, How)>,
    noted: bool,
}

/// The runs of each task, in the order of their starts.
fn runs(events: &[Event]) -> BTreeMap<&str, Vec<Run<'_>>> {
    let mut tasks: BTreeMap<&str, Vec<Run<'_>>> = BTreeMap::new();
    let mut lease_ends: BTreeMap<&str, Duration> = BTreeMap::new();
    for event in events {
        let runs = tasks.entry(&event.task).or_default();
        let mut same = runs
            .iter_mut()
            .filter(|it| it.worker == event.worker && it.number == event.run);
        match event.what {
            What::Start { .. } => runs.push(Run {
                worker: &event.worker,
                number: event.run,
                start: event.at,
                end: None,
                noted: false,
            }),
            What::End(how) => {
                if let Some(run) = same.next_back() {
                    run.end = Some((event.at, how));
                }
            }
            // An end is forgotten with the lease under which it was listed.
            What::Noted => {
                let lease_end = lease_ends.get(event.worker.as_str());
                if let Some(run) = same.next_back() {
                    let end = run.end.map(|(at, _)| at);
                    run.noted = lease_end.is_none_or(|at| end.is_some_and(|it| it > *at));
                }
            }
            What::LeaseOver => {
                lease_ends.insert(&event.worker, event.at);
            }
            What::Fault(_) => {}
        }
    }
    tasks
}

/// All that broke a rule.
pub(crate) fn judge(record: &Record, panics: Vec<String>) -> Vec<Breach> {
    let events = record.events();
    let jobs = record.jobs().clone();
    let mut breaches = Vec::new();
    let mut found = |rule, subject: &str, what: String| {
        let subject = subject.to_owned();
        breaches.push(Breach {
            rule,
            subject,
            what,
        });
    };
    for line in panics {
        found(Rule::Panic, "panicked at", line);
    }
    let tasks = runs(&events);
    for (task, runs) in &tasks {
        for (at, later) in runs.iter().enumerate() {
            for run in &runs[..at] {
                let overlap = run.end.is_none_or(|(end, _)| end > later.start);
                let done = matches!(run.end, Some((_, How::Done)));
                let rule = match (overlap, done && run.noted) {
                    (true, _) => Rule::Twice,
                    (false, true) => Rule::AfterDone,
                    (false, false) => continue,
                };
                let ends = [run, later].map(|it| it.end.map_or(Duration::MAX, |it| it.0));
                let both = ends[0].min(ends[1]).saturating_sub(later.start);
                let what = format!(
                    "run {} on {} from {:.3}, run {} on {} from {:.3}, both for {} ms",
                    run.number,
                    run.worker,
                    run.start.as_secs_f64(),
                    later.number,
                    later.worker,
                    later.start.as_secs_f64(),
                    both.as_millis()
                );
                found(rule, task, what);
            }
        }
    }
    for (task, runs) in &tasks {
        let lasts = jobs
            .get(job_of(task))
            .is_some_and(|job| job.kind == Kind::Lasting);
        let failed = runs
            .iter()
            .filter(|run| run.noted && matches!(run.end, Some((_, How::Failed))));
        let ends = failed.filter_map(|run| run.end).map(|(at, _)| at);
        let last = ends.clone().max().unwrap_or_default();
        let is_spent = ends.count() as u64 >= ATTEMPTS && !lasts;
        if let Some(run) = runs.iter().find(|run| is_spent && run.start > last) {
            let what = format!("run {} on {}", run.number, run.worker);
            found(Rule::Budget, task, what);
        }
        let Some((step, first)) = runs.first().and_then(|run| {
            let mut parts = task.split('.').skip(2);
            Some((parts.next()?.parse::<u64>().ok()?, run.start))
        }) else {
            continue;
        };
        let is_of_earlier_step = |other: &str| {
            let mut parts = other.split('.').skip(2);
            let number = parts.next().and_then(|it| it.parse::<u64>().ok());
            job_of(other) == job_of(task) && number.is_some_and(|it| it < step)
        };
        let is_open = |runs: &[Run<'_>]| {
            let is_done =
                |run: &Run<'_>| matches!(run.end, Some((at, How::Done)) if at <= first);
            !runs.iter().any(is_done)
        };
        let mut others = tasks.iter().filter(|(other, _)| is_of_earlier_step(other));
        if let Some((other, _)) = others.find(|(_, runs)| is_open(runs)) {
            found(Rule::Order, task, format!("before the end of {other}"));
        }
    }
    for event in &events {
        let What::Start {
            late,
            over_capacity,
        } = event.what
        else {
            continue;
        };
        let what = event.to_string();
        if over_capacity {
            found(Rule::Limit, &event.task, what.clone());
        }
        match jobs.get(job_of(&event.task)) {
            None => found(Rule::Unasked, &event.task, what),
            Some(job) if !job.accepted && !job.in_doubt => {
                found(Rule::Refused, &event.task, what);
            }
            Some(job) => {
                let limit = job.cancelled.map(|at| at + CANCEL);
                if !late && limit.is_some_and(|limit| event.at > limit) {
                    found(Rule::Cancelled, &event.task, what);
                }
            }
        }
    }
    for (id, job) in &jobs {
        if let Some(at) = job.failed {
            found(Rule::Failed, id, format!("shown as failed at {at:?}"));
        }
        if job.accepted && !job.cancel_sent && job.failed.is_none() {
            match job.completed {
                Some(at) if !is_done(id, job, &events, at) => {
                    found(Rule::Mixed, id, format!("shown as completed at {at:?}"));
                }
                Some(_) => {}
                None => found(Rule::Unfinished, id, format!("{job:?}")),
            }
        }
    }
    breaches
}

/// Whether all tasks of a job had ended done; one member's end stands for its gang's.
fn is_done(id: &str, job: &Job, events: &[Event], at: Duration) -> bool {
    let ends = events
        .iter()
        .filter(|it| it.at <= at && it.what == What::End(How::Done));
    let done: BTreeSet<&str> = ends
        .map(|it| it.task.as_str())
        .filter(|task| job_of(task) == id)
        .collect();
    match job.kind {
        Kind::Gang => !done.is_empty(),
        Kind::Plain | Kind::Lasting => done.len() as u64 == job.tasks,
    }
}

/// The number of tasks of a job that run now.
pub(crate) fn active(id: &str, record: &Record) -> u64 {
    let events = record.events();
    let tasks = runs(&events);
    let of_job = tasks.iter().filter(|(task, _)| job_of(task) == id);
    let active = of_job.filter(|(_, runs)| runs.iter().any(|run| run.end.is_none()));
    active.count() as u64
}
