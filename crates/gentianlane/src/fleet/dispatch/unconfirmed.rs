//! Start orders without an answer, which a worker may still carry out seconds
//! later.
//!
//! A worker that restarts under the same name accepts a start sent to its
//! earlier incarnation: the deadline refers to another clock, and the worker
//! has no record of earlier runs. The new incarnation is therefore ordered to stop
//! each such run before it gets any tasks. As it may carry out the start before any
//! order reaches it, the task is placed on no other worker meanwhile, nor for as long
//! as the lease may last that it takes from the start.

use crate::collections::IndexMap;

use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::dispatcher::PendingOrder;
use crate::fleet::dispatch::session::{Run, RunState, Session, longest_lease};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::{Resources, Task};
use crate::fleet::order::Action;
use crate::fleet::team::Charge;
use crate::fleet::{Command, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

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
    /// What the run counts for against its team's limit, if its job has an owner.
    pub(crate) charge: Option<Charge>,
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

    /// Ends the binding to a worker that was asked at `asked_at` for all its runs, of the
    /// starts that couldn't be carried out any more by then.
    pub(crate) fn unbind_listed(&mut self, worker: &id::Worker, asked_at: Time) {
        let starts = self.starts.values_mut().flatten();
        for start in starts.filter(|start| start.worker == *worker) {
            if start.until <= asked_at {
                start.binds_until = start.binds_until.min(asked_at);
            }
        }
    }

    /// Removes the starts that can't be carried out any more.
    pub(crate) fn expire(&mut self, now: Time) {
        self.starts.retain(|_, starts| {
            starts.retain(|start| now < start.until.max(start.binds_until));
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

    /// The starts that were sent to a worker and may still be carried out.
    fn sent_to<'a>(
        &'a self,
        worker: &'a id::Worker,
        now: Time,
    ) -> impl Iterator<Item = (Task, &'a Start)> {
        let starts = self
            .starts
            .iter()
            .flat_map(|(task, starts)| starts.iter().map(move |start| (*task, start)));
        starts.filter(move |(_, start)| start.worker == *worker && now < start.until)
    }

    /// What starts count for that were sent to workers without a session, and may
    /// still be carried out by their next incarnations.
    pub(crate) fn charges_elsewhere<'a>(
        &'a self,
        has_session: impl Fn(&id::Worker) -> bool + 'a,
        now: Time,
    ) -> impl Iterator<Item = &'a Charge> {
        let starts = self.starts.values().flatten();
        let open = starts.filter(move |start| now < start.until);
        open.filter(move |start| !has_session(&start.worker))
            .filter_map(|start| start.charge.as_ref())
    }

    /// Adds every start that a new incarnation may still carry out to the
    /// session's runs, to be stopped.
    pub(crate) fn add_stopping(&self, session: &mut Session, now: Time) {
        let worker = session.incarnation.worker.clone();
        for (task, start) in self.sent_to(&worker, now) {
            let mut run = Run::stopping(start.run, start.demand, now);
            run.charge.clone_from(&start.charge);
            session.insert(task, run);
        }
    }
}

impl Dispatcher {
    /// Records a start that may be carried out without an answer, and returns it.
    pub(super) fn add_unconfirmed(
        &mut self,
        order: &PendingOrder,
        task: Task,
        run: u64,
    ) -> Start {
        let session = self.sessions.get(&order.worker);
        let current = session.and_then(|session| session.runs.get(&(task, run)));
        let stage = self.stages.get(&task.stage);
        let demand = current
            .map(|run| run.demand)
            .or_else(|| stage.map(|stage| stage.step.demand()));
        let charge = current
            .map_or_else(|| stage.and_then(Stage::charge), |run| run.charge.clone());
        let until = order.sent_at.after(MAX_ORDER_DELAY);
        let start = Start {
            worker: order.worker.clone(),
            run,
            demand,
            charge,
            until,
            binds_until: match session.is_none_or(|session| session.draining) {
                true => order.sent_at,
                // A later incarnation refuses the ticket of an earlier one.
                false => order
                    .ticket_until
                    .map_or_else(|| self.end_of_run(until), |end| end.min(until)),
            },
        };
        self.unconfirmed.add(task, start.clone());
        start
    }

    /// By when a run has ended that an incarnation which nobody reaches starts by
    /// `started_by`: the start grants a lease, which no order extends.
    fn end_of_run(&self, started_by: Time) -> Time {
        started_by.after(longest_lease(self.setup.lease_limit))
    }

    /// Proposes a start without an answer to the log, for the leaders that follow.
    ///
    /// They wait for a worker that they can't reach for as long as a lease anyway.
    pub(super) fn propose_unconfirmed(
        &mut self,
        task: Task,
        start: Start,
        now: Time,
        wall: Wall,
    ) {
        if start.binds_until > now.after(self.setup.lease) {
            self.effects.commands.push(Command::Unconfirmed {
                at: wall,
                worker: start.worker,
                task,
                run: start.run,
            });
        }
    }

    /// Has a worker's unknown incarnation refuse the starts without an answer.
    ///
    /// Its registration has each of them stopped again, until it confirms that.
    pub(super) fn stop_unconfirmed(&mut self, worker: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        // The answers to the stops come from that incarnation as well.
        if std::mem::replace(&mut session.is_replaced, true) {
            return;
        }
        let starts = self.unconfirmed.sent_to(worker, now);
        let starts: Vec<_> = starts.map(|(task, start)| (task, start.run)).collect();
        for (task, run) in starts {
            let stop = Action::Stop { task, run };
            self.send_order(worker, self.setup.order_timeout, stop, now);
        }
    }

    /// Takes over the starts without an answer that earlier leaders have recorded.
    ///
    /// Their age isn't known, as the leaders' wall clocks may differ or step.
    pub(super) fn inherit_unconfirmed(&mut self, state: &State, now: Time) {
        let until = now.after(MAX_ORDER_DELAY);
        for start in state.unconfirmed() {
            let stage = &start.task.stage;
            let job = state.job(&stage.job).filter(|job| job.is_open());
            let steps = job.map(|job| &job.spec.steps);
            let Some(step) = steps.and_then(|steps| steps.get(usize::from(stage.step)))
            else {
                continue;
            };
            let owner = state.owners().of(&stage.job);
            let registered = state.worker(&start.worker);
            let draining = registered.is_some_and(|worker| worker.draining);
            let inherited = Start {
                worker: start.worker.clone(),
                run: start.run,
                demand: Some(step.demand()),
                charge: owner.and_then(|owner| owner.charge(&start.task)),
                until,
                binds_until: match draining {
                    true => now,
                    false => self.end_of_run(until),
                },
            };
            self.unconfirmed.add(start.task, inherited);
        }
        self.unconfirmed.expire(now);
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
