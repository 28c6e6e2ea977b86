//! Starts without an answer, which may be carried out seconds later.
//!
//! A worker that is born again under its name takes such a start for its own:
//! it knows neither the deadline's clock nor what ran before. So the new life is
//! told to stop each of them before it gets any work.

use indexmap::IndexMap;

use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::job::{Size, Task};
use crate::id;
use crate::unit::{Span, Time};

/// How long after it was sent a start may be carried out: the platform's
/// twelve seconds and a margin.
const MAX_ORDER_DELAY: Span = Span::from_millis(13_000);

/// Starts without an answer, by worker.
#[derive(Debug, Default, Clone)]
pub(crate) struct UnconfirmedStarts {
    starts: IndexMap<id::Worker, Vec<Start>>,
}

#[derive(Debug, Clone)]
struct Start {
    task: Task,
    run: u64,
    /// What room it takes, if that is known.
    size: Option<Size>,
    at: Time,
}

impl UnconfirmedStarts {
    /// Takes note of a start that was sent at a time and found no answer.
    pub(crate) fn add(
        &mut self,
        worker: &id::Worker,
        task: Task,
        run: u64,
        size: Option<Size>,
        at: Time,
    ) {
        let starts = self.starts.entry(worker.clone()).or_default();
        starts.retain(|start| start.task != task || start.run != run);
        starts.push(Start {
            task,
            run,
            size,
            at,
        });
    }

    /// Forgets the starts that can't be carried out any more.
    pub(crate) fn expire(&mut self, now: Time) {
        for starts in self.starts.values_mut() {
            starts.retain(|start| now < start.at.after(MAX_ORDER_DELAY));
        }
        self.starts.retain(|_, starts| !starts.is_empty());
    }

    /// Puts all starts that a new life may still take among its runs, to be
    /// stopped.
    pub(crate) fn add_stopping(&self, session: &mut Session, now: Time) {
        let starts = self.starts.get(&session.incarnation.worker);
        for start in starts.into_iter().flatten() {
            let run = Run::stopping(start.run, start.size, now);
            let newer = session
                .runs
                .get(&start.task)
                .is_some_and(|held| held.number >= start.run);
            if now < start.at.after(MAX_ORDER_DELAY) && !newer {
                session.insert(start.task, run);
            }
        }
    }
}

impl Run {
    /// A run that has to be stopped, wherever it is.
    pub(crate) fn stopping(number: u64, size: Option<Size>, now: Time) -> Self {
        Self {
            unknown_size: size.is_none(),
            ..Self::new(number, size.unwrap_or_default(), RunState::Stopping, now)
        }
    }
}
