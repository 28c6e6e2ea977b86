//! What the workers and callers of a soak have seen, in the order of time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use derive_more::Display;

/// How a run ends at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum How {
    #[display("done")]
    Done,
    #[display("failed")]
    Failed,
    #[display("stopped")]
    Stopped,
    #[display("lapsed")]
    Lapsed,
    #[display("broken")]
    Broken,
    #[display("alone")]
    Alone,
    /// With its process; no worker lists it.
    #[display("gone")]
    Gone,
}

/// What happened to a run, or to its worker.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum What {
    /// `late`: the order may have waited in a socket while its worker stood still.
    #[display("start late={late} over_capacity={over_capacity}")]
    Start { late: bool, over_capacity: bool },
    #[display("end how={_0}")]
    End(How),
    /// The end was acknowledged by `last_seen`.
    #[display("noted")]
    Noted,
    /// The worker's lease has ended, whether or not anything ran.
    #[display("lease_over")]
    LeaseOver,
    #[display("{_0}")]
    Fault(String),
}

#[derive(Debug, Clone, Display)]
#[display("{:.3} {worker} {task} run={run} {what}", at.as_secs_f64())]
pub(crate) struct Event {
    pub(crate) at: Duration,
    /// The incarnation of a worker, or another process.
    pub(crate) worker: String,
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) what: What,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Plain,
    Gang,
    /// Its tasks run until the job is cancelled.
    Lasting,
}

#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) kind: Kind,
    /// The tasks of all its steps.
    pub(crate) tasks: u64,
    pub(crate) accepted: bool,
    /// Whether an attempt to submit it had another outcome than a refusal.
    pub(crate) in_doubt: bool,
    pub(crate) cancel_sent: bool,
    pub(crate) cancelled: Option<Duration>,
    /// When it was first shown as completed, and as failed.
    pub(crate) completed: Option<Duration>,
    pub(crate) failed: Option<Duration>,
}

/// The members of a gang that are present in one run.
#[derive(Debug, Default)]
pub(crate) struct Gang {
    pub(crate) members: BTreeSet<String>,
    pub(crate) complete: Option<Instant>,
    pub(crate) done: bool,
    pub(crate) broken: bool,
}

pub(crate) struct Record {
    pub(crate) began: Instant,
    events: Mutex<Vec<Event>>,
    jobs: Mutex<BTreeMap<String, Job>>,
    /// By job, occurrence, step and run.
    gangs: Mutex<BTreeMap<(String, u64), Gang>>,
    /// How many runs of each task have failed.
    failures: Mutex<BTreeMap<String, u64>>,
}

impl Record {
    pub(crate) fn new() -> Self {
        Self {
            began: Instant::now(),
            events: Mutex::default(),
            jobs: Mutex::default(),
            gangs: Mutex::default(),
            failures: Mutex::default(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub(crate) fn event(&self, worker: &str, task: &str, run: u64, what: What) {
        self.event_at(self.now(), worker, task, run, what);
    }

    pub(crate) fn event_at(
        &self,
        at: Duration,
        worker: &str,
        task: &str,
        run: u64,
        what: What,
    ) {
        self.events.lock().unwrap().push(Event {
            at,
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            what,
        });
    }

    pub(crate) fn fault(&self, process: &str, what: impl Into<String>) {
        self.event(process, "-", 0, What::Fault(what.into()));
    }

    /// All events so far, in the order of time.
    pub(crate) fn events(&self) -> Vec<Event> {
        let mut events = self.events.lock().unwrap().clone();
        events.sort_by_key(|event| event.at);
        events
    }

    pub(crate) fn jobs(&self) -> MutexGuard<'_, BTreeMap<String, Job>> {
        self.jobs.lock().unwrap()
    }

    /// Counts a run of a task as failed, unless as many have failed as are to.
    pub(crate) fn fails(&self, task: &str, wanted: u64) -> bool {
        let mut failures = self.failures.lock().unwrap();
        let failed = failures.entry(task.to_owned()).or_default();
        let fails = *failed < wanted;
        *failed += u64::from(fails);
        fails
    }

    pub(crate) fn gangs(&self) -> MutexGuard<'_, BTreeMap<(String, u64), Gang>> {
        self.gangs.lock().unwrap()
    }
}

/// The job of a task ID.K.STEP.INDEX.
pub(crate) fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}
