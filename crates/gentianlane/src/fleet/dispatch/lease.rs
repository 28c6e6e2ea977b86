//! Leases: holds that are due, orders that are sent again, and what has ended
//! with its lease.

use crate::fleet::decision::{Decision, Why};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::job::Task;
use crate::fleet::order::{Action, Start};
use crate::fleet::{Command, State};
use crate::id;
use crate::unit::{Span, Time};

/// How often one start is sent before it is made void instead.
pub(super) const MAX_START_TRIES: u32 = 3;

/// The pause between orders about one run that find no answer.
const RUN_ORDER_INTERVAL: Span = Span::from_millis(100);

/// A worker whose lease has ended and that hasn't reported for this long is
/// forgotten.
const FORGET_AFTER: Span = Span::from_secs(20);

/// How long a hold waits for ends that were told to become durable.
const DURABILITY_WAIT: Span = Span::from_millis(60);

impl Dispatcher {
    /// Looks after every worker: orders without answer, leases that are over.
    pub(super) fn check_sessions(&mut self, state: &State, now: Time) {
        let names: Vec<id::Worker> = self.sessions.keys().cloned().collect();
        for name in names {
            self.retry_orders(&name, now);
            self.expire_lease(&name, now);
            self.forget_worker(state, &name, now);
        }
    }

    fn retry_orders(&mut self, name: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get(name) else {
            return;
        };
        if session.unanswered > 0 {
            return;
        }
        let due = |run: &Run| {
            let open = run.state != RunState::Running && run.confirmed_at.is_none();
            open && run.order.is_none() && run.retry_at <= now
        };
        let due: Vec<(Task, RunState, u32)> = session
            .runs
            .iter()
            .filter(|(_, run)| due(run))
            .map(|(task, run)| (*task, run.state, run.tries))
            .collect();
        for (task, doing, tries) in due {
            let again = tries < MAX_START_TRIES && self.stages.contains_key(&task.stage);
            match doing {
                RunState::Starting if again => self.send_start(name, &task, now),
                RunState::Starting => {
                    self.stop_run(&task, Why::NoAnswer, now);
                    self.break_gang(&task, now);
                }
                _ => self.send_stop(name, &task, now),
            }
        }
    }

    /// Sends an order to stop a run that isn't its task's present one.
    pub(super) fn stop_superseded(&mut self, name: &id::Worker, task: &Task, now: Time) {
        let Some(session) = self.sessions.get_mut(name) else {
            return;
        };
        let Some(run) = session.runs.get_mut(task) else {
            return;
        };
        run.state = RunState::Stopping;
        run.confirmed_at = None;
        run.tries = 0;
        let number = run.number;
        self.effects.decisions.push(Decision::Stop {
            task: *task,
            run: number,
            worker: name.clone(),
            why: Why::Superseded,
        });
        self.send_stop(name, task, now);
    }

    fn send_stop(&mut self, name: &id::Worker, task: &Task, now: Time) {
        let run = self
            .sessions
            .get(name)
            .and_then(|session| session.runs.get(task));
        let Some(number) = run.map(|run| run.number) else {
            return;
        };
        let stop = Action::Stop {
            task: *task,
            run: number,
        };
        let order = self.send_order(name, self.setup.order, stop, now);
        if let Some(run) = self
            .sessions
            .get_mut(name)
            .and_then(|session| session.runs.get_mut(task))
        {
            run.order = order;
            run.tries += 1;
            run.retry_at = now.after(RUN_ORDER_INTERVAL);
        }
    }

    /// Sends a run's start, for the first time or again.
    pub(super) fn send_start(&mut self, name: &id::Worker, task: &Task, now: Time) {
        let Some(stage) = self.stages.get(&task.stage) else {
            return;
        };
        let payload = stage.payload.clone();
        let saved = stage.checkpoints.get(&stage.unit_key(task.index)).cloned();
        let lease = self.setup.lease;
        let Some(session) = self.sessions.get_mut(name) else {
            return;
        };
        let heard = now.since(session.last_answer);
        let Some(deadline) = session.extend_lease(lease, now) else {
            return;
        };
        let left = session.lease_remaining(now);
        let life = session.incarnation.clone();
        let Some(run) = session.runs.get_mut(task) else {
            return;
        };
        run.tries += 1;
        run.retry_at = now.after(RUN_ORDER_INTERVAL);
        let start = Start {
            task: *task,
            run: run.number,
            payload,
            deadline,
            checkpoint: saved,
            ticket: run.ticket.clone(),
        };
        self.effects.decisions.push(Decision::Start {
            task: *task,
            run: run.number,
            life,
            heard,
            lease: left,
            tries: run.tries,
        });
        let action = Action::Start(Box::new(start));
        let order = self.send_order(name, self.setup.order, action, now);
        if let Some(run) = self
            .sessions
            .get_mut(name)
            .and_then(|session| session.runs.get_mut(task))
        {
            run.order = order;
        }
    }

    /// Once a lease has ended, nothing runs there any more.
    fn expire_lease(&mut self, name: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get_mut(name) else {
            return;
        };
        if now < session.lease_end || session.runs.is_empty() {
            return;
        }
        let runs: Vec<(Task, u64)> = session
            .runs
            .iter()
            .filter(|(_, run)| run.state != RunState::Starting || run.tries > 0)
            .map(|(task, run)| (*task, run.number))
            .collect();
        for (task, run) in runs {
            self.effects.decisions.push(Decision::Gone {
                task,
                run,
                worker: name.clone(),
                why: Why::Lease,
            });
            self.release_run(name, &task);
            self.break_gang(&task, now);
        }
    }

    fn forget_worker(&mut self, state: &State, name: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get(name) else {
            return;
        };
        let quiet = now.since(session.last_report) >= FORGET_AFTER;
        let dead = session.unanswered > 0
            && now >= session.lease_end
            && now >= self.recovery_deadline;
        if !quiet || !dead || !session.runs.is_empty() {
            return;
        }
        let life = session.incarnation.clone();
        self.remove_incarnation(&life, Why::Unreported);
        if state.life(name).is_some_and(|member| member.life == life) {
            self.effects.commands.push(Command::Leave { life });
        }
    }

    /// Sends the holds that are due.
    pub(super) fn send_due_renewals(&mut self, now: Time) {
        let due: Vec<id::Worker> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_renewal_due(session, now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.send_renewal(&name, now);
        }
    }

    fn send_renewal(&mut self, name: &id::Worker, now: Time) {
        let lease = self.setup.lease;
        let Some(session) = self.sessions.get_mut(name) else {
            return;
        };
        // A worker that doesn't answer gets no longer lease: what runs there
        // has to be over some time.
        let deadline = match session.unanswered {
            0 => session.extend_lease(lease, now),
            _ => None,
        };
        // Another life under the same name counts its ends anew, and would
        // forget ends that nobody has heard of.
        let noted = match session.unanswered {
            0 => session.forgettable_end(),
            _ => 0,
        };
        // The first hold, and one after a silence, is answered at once.
        let at_once = !session.reconciled || session.unanswered > 0;
        let stopping =
            |run: &Run| run.state == RunState::Stopping && run.confirmed_at.is_some();
        let stops = session.runs.values().any(stopping);
        let wait = match at_once || deadline.is_none() {
            true => Span::ZERO,
            false if stops => STOP_WAIT,
            false => self.setup.hold,
        };
        let timeout = wait + self.setup.answer;
        let action = Action::Hold {
            deadline,
            noted,
            wait,
        };
        let number = self.send_order(name, timeout, action, now);
        if let Some(session) = self.sessions.get_mut(name) {
            session.renewal = number.map(|number| (number, now));
        }
    }

    /// Ends the doubt about what an earlier leader started, once every life has
    /// told what it runs or can't run anything from then any more.
    pub(super) fn check_recovery(&mut self, now: Time) {
        if !self.recovering {
            return;
        }
        let told = self.sessions.values().all(|session| session.reconciled);
        if told || now >= self.recovery_deadline {
            self.recovering = false;
            for stage in self.stages.values_mut() {
                stage.recovering = false;
            }
            self.needs_placement = true;
        }
    }
}

/// How long a hold waits while a stop is under way, so that the room is known
/// to be free soon.
const STOP_WAIT: Span = Span::from_millis(250);

/// A hold is due, and the ends that were told are durable or take long.
fn is_renewal_due(session: &Session, now: Time) -> bool {
    if session.renewal.is_some() || session.next_renewal > now {
        return false;
    }
    !session.has_open_ends() || now.since(session.last_answer) >= DURABILITY_WAIT
}
