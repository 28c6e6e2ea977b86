//! Handling of workers' reports about themselves.

use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::claim::Reception;
use crate::fleet::worker::Report;
use crate::fleet::{Command, State, Ticket, Worker};
use crate::unit::Time;

/// How many reports of a worker may be lost at once, beside those for which there was
/// time since the last one.
const SEQUENCE_SLACK: u64 = 1_000;

impl Dispatcher {
    /// Handles a worker's report that came by a call.
    ///
    /// A report of a registered incarnation at its registered address is believed.
    /// Any other one registers what it says only once the process at its address has
    /// answered as that incarnation.
    ///
    /// The report that begins a drain is answered only once the drain is in the
    /// log, so that a new leader knows of every acknowledged drain.
    pub fn handle_report(
        &mut self,
        state: &State,
        report: &Report,
        ticket: Ticket,
        now: Time,
    ) -> Reception {
        let registered = state.worker(&report.incarnation.worker);
        let own = registered.filter(|worker| worker.incarnation == report.incarnation);
        if own.is_none() {
            self.log_report_after_end(&report.incarnation, now);
        }
        match own {
            Some(worker) if worker.profile.address == report.profile.address => {
                Reception::Change(self.handle_own_report(state, worker, report, now))
            }
            // An incarnation that isn't registered and drains gets no task either way.
            None if report.draining
                || self.removals.has_drained(&report.incarnation)
                || state.has_drained(&report.incarnation) =>
            {
                Reception::Change(Vec::new())
            }
            _ => self.check_claim(report, ticket, now),
        }
    }

    /// Handles the report of a registered incarnation; returns the commands by which it
    /// changes the replicated state, in order.
    fn handle_own_report(
        &mut self,
        state: &State,
        registered: &Worker,
        report: &Report,
        now: Time,
    ) -> Vec<Command> {
        let Report {
            incarnation,
            profile,
            sequence,
            draining,
        } = report;
        let is_named = |pool: &str| {
            state
                .plan()
                .is_some_and(|plan| plan.pools.contains_key(pool))
        };
        // A worker's pool is fixed while its process runs.
        if profile.pool != registered.profile.pool && !is_named(&profile.pool) {
            self.effects.decisions.push(Decision::ReportRejected {
                incarnation: incarnation.clone(),
                address: profile.address,
                cause: Cause::UnknownPool,
            });
            return Vec::new();
        }
        let Some(session) = self.sessions.get_mut(&incarnation.worker) else {
            return Vec::new();
        };
        let newest = state.report_sequence(&incarnation.worker);
        if *sequence <= newest.max(session.report_sequence) {
            return Vec::new();
        }
        // A worker sends less than one report a millisecond.
        let silence = now.since(session.last_report).as_millis();
        let gap = sequence - session.report_sequence;
        if session.report_sequence > 0 && gap > silence.saturating_add(SEQUENCE_SLACK) {
            self.effects.decisions.push(Decision::ReportRejected {
                incarnation: incarnation.clone(),
                address: profile.address,
                cause: Cause::SequenceGap,
            });
            return Vec::new();
        }
        session.report_sequence = *sequence;
        session.last_report = now;
        // A worker leaves only after it has reported that it drains.
        session.leaving_since = session.leaving_since.filter(|_| session.draining);
        let mut commands = Vec::new();
        if registered.profile != *profile {
            let from = session.profile.capacity;
            // A smaller capacity holds at once; a larger one may be taken back by a
            // leader that doesn't know of it.
            session.profile.capacity = from.least(&profile.capacity);
            if from != profile.capacity {
                self.effects.decisions.push(Decision::CapacityChanged {
                    incarnation: incarnation.clone(),
                    from,
                    to: profile.capacity,
                    used: session.used,
                });
            }
            commands.push(Command::Update {
                incarnation: incarnation.clone(),
                profile: profile.clone(),
                sequence: *sequence,
            });
        }
        if *draining {
            session.draining = true;
            if !registered.draining {
                commands.push(Command::Drain {
                    incarnation: incarnation.clone(),
                });
            }
        }
        commands
    }
}
