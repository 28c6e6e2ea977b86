//! Start orders without an answer, which a worker may still carry out seconds
//! later.
//!
//! A worker that restarts under the same name accepts a start sent to its
//! earlier incarnation: the deadline refers to another clock, and the worker
//! has no record of earlier runs. The new incarnation is therefore ordered to stop
//! each such run before it gets any tasks.

use indexmap::IndexMap;

use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::job::{Resources, Task};
use crate::id;
use crate::unit::{Span, Time};

/// How long after it was sent a start may be carried out: the platform delays
/// messages by up to 12 s, and 1 s is margin.
pub(super) const MAX_ORDER_DELAY: Span = Span::from_millis(13_000);

/// Start orders without an answer, by worker.
#[derive(Debug, Default, Clone)]
pub(crate) struct UnconfirmedStarts {
    starts: IndexMap<id::Worker, Vec<Start>>,
}

#[derive(Debug, Clone)]
struct Start {
    task: Task,
    run: u64,
    /// The task's demand, if it is known.
    demand: Option<Resources>,
    sent_at: Time,
}

impl UnconfirmedStarts {
    /// Records a start without an answer, in place of an earlier record of the
    /// same run.
    pub(crate) fn add(
        &mut self,
        worker: &id::Worker,
        task: Task,
        run: u64,
        demand: Option<Resources>,
        sent_at: Time,
    ) {
        let starts = self.starts.entry(worker.clone()).or_default();
        starts.retain(|start| start.task != task || start.run != run);
        starts.push(Start {
            task,
            run,
            demand,
            sent_at,
        });
    }

    /// Removes the starts that can't be carried out any more.
    pub(crate) fn expire(&mut self, now: Time) {
        for starts in self.starts.values_mut() {
            starts.retain(|start| now < start.sent_at.after(MAX_ORDER_DELAY));
        }
        self.starts.retain(|_, starts| !starts.is_empty());
    }

    /// Adds every start that a new incarnation may still carry out to the
    /// session's runs, to be stopped.
    pub(crate) fn add_stopping(&self, session: &mut Session, now: Time) {
        let starts = self.starts.get(&session.incarnation.worker);
        for start in starts.into_iter().flatten() {
            let run = Run::stopping(start.run, start.demand, now);
            let newer = session
                .runs
                .get(&start.task)
                .is_some_and(|current| current.number >= start.run);
            if now < start.sent_at.after(MAX_ORDER_DELAY) && !newer {
                session.insert(start.task, run);
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
