//! Start orders without an answer, which a worker may still carry out seconds
//! later.
//!
//! A worker that restarts under the same name accepts a start sent to its
//! earlier incarnation: the deadline refers to another clock, and the worker
//! has no record of earlier runs. The new incarnation is therefore ordered to stop
//! each such run before it gets any tasks. As it may carry out the start before any
//! order reaches it, the task is placed on no other worker meanwhile.

use indexmap::IndexMap;

use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::job::{Resources, Task};
use crate::id;
use crate::unit::{Span, Time};

/// How long after it was sent an order may be carried out: the platform delays
/// messages by up to 12 s, and 1 s is margin.
pub(super) const MAX_ORDER_DELAY: Span = Span::from_millis(13_000);

/// Start orders without an answer, by task.
#[derive(Debug, Default, Clone)]
pub(crate) struct UnconfirmedStarts {
    starts: IndexMap<Task, Vec<Start>>,
}

/// One such order.
#[derive(Debug, Clone)]
pub(crate) struct Start {
    pub(crate) worker: id::Worker,
    pub(crate) run: u64,
    /// The task's demand, if it is known.
    pub(crate) demand: Option<Resources>,
    /// From when on it can't be carried out any more.
    pub(crate) until: Time,
    /// Until when it binds the task to the worker.
    pub(crate) binds_until: Time,
}

/// Where a task may be placed, by its starts without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice<'a> {
    /// On any worker.
    Any,
    /// Only on this one, where each of them would arrive: the task can't run there
    /// and on another worker at a time.
    Only(&'a id::Worker),
    /// On none, as they were sent to several workers.
    None,
}

impl Choice<'_> {
    /// Whether the task may be placed on a worker.
    pub(crate) fn allows(self, worker: &id::Worker) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == worker,
            Self::None => false,
        }
    }
}

impl UnconfirmedStarts {
    /// Records a start without an answer, in place of an earlier record of the same
    /// run.
    pub(crate) fn add(&mut self, task: Task, start: Start) {
        let starts = self.starts.entry(task).or_default();
        starts.retain(|old| old.worker != start.worker || old.run != start.run);
        starts.push(start);
    }

    /// Lets the starts that were sent to a worker bind their tasks no longer.
    pub(crate) fn unbind(&mut self, worker: &id::Worker, now: Time) {
        let starts = self.starts.values_mut().flatten();
        for start in starts.filter(|start| start.worker == *worker) {
            start.binds_until = start.binds_until.min(now);
        }
    }

    /// Removes the starts that can't be carried out any more.
    pub(crate) fn expire(&mut self, now: Time) {
        self.starts.retain(|_, starts| {
            starts.retain(|start| now < start.until);
            !starts.is_empty()
        });
    }

    /// Where a task may be placed.
    pub(crate) fn choice(&self, task: &Task, now: Time) -> Choice<'_> {
        let starts = self.starts.get(task).into_iter().flatten();
        let mut binding = starts.filter(|start| now < start.binds_until);
        let Some(first) = binding.next() else {
            return Choice::Any;
        };
        match binding.all(|start| start.worker == first.worker) {
            true => Choice::Only(&first.worker),
            false => Choice::None,
        }
    }

    /// The starts that were sent to a worker and may still be carried out, each as
    /// its task and run.
    pub(crate) fn sent_to(&self, worker: &id::Worker, now: Time) -> Vec<(Task, u64)> {
        let starts = self
            .starts
            .iter()
            .flat_map(|(task, starts)| starts.iter().map(move |start| (*task, start)));
        starts
            .filter(|(_, start)| start.worker == *worker && now < start.until)
            .map(|(task, start)| (task, start.run))
            .collect()
    }

    /// Adds every start that a new incarnation may still carry out to the
    /// session's runs, to be stopped.
    pub(crate) fn add_stopping(&self, session: &mut Session, now: Time) {
        let worker = session.incarnation.worker.clone();
        for (&task, starts) in &self.starts {
            let starts = starts.iter();
            for start in
                starts.filter(|start| start.worker == worker && now < start.until)
            {
                let run = Run::stopping(start.run, start.demand, now);
                session.insert(task, run);
            }
        }
    }
}

impl Run {
    /// A run to be stopped whether or not it has started; a missing demand
    /// counts as zero and marks the run's demand as unknown.
    pub(crate) fn stopping(number: u64, demand: Option<Resources>, now: Time) -> Self {
        Self {
            unknown_demand: demand.is_none(),
            ..Self::new(number, demand.unwrap_or_default(), RunState::Stopping, now)
        }
    }
}
