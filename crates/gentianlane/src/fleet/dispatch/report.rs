//! Handling of workers' reports about themselves.

use crate::fleet::decision::Decision;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::worker::Report;
use crate::fleet::{Command, State};
use crate::unit::Time;

impl Dispatcher {
    /// Handles a worker's report; returns the commands by which it changes the
    /// replicated state, in order.
    ///
    /// The report that begins a drain is answered only once the drain is in the
    /// log, so that a new leader knows of every acknowledged drain.
    pub fn handle_report(
        &mut self,
        state: &State,
        report: &Report,
        now: Time,
    ) -> Vec<Command> {
        let Report {
            incarnation,
            profile,
            sequence,
            draining,
        } = report;
        let registered = state.worker(&incarnation.worker);
        let Some(registered) =
            registered.filter(|worker| worker.incarnation == *incarnation)
        else {
            let is_old = registered.is_some_and(|worker| {
                worker.incarnation.started_at > incarnation.started_at
            });
            let join = Command::Join {
                incarnation: incarnation.clone(),
                profile: profile.clone(),
            };
            return if is_old { Vec::new() } else { vec![join] };
        };
        let Some(session) = self.sessions.get_mut(&incarnation.worker) else {
            return Vec::new();
        };
        let newest = state.report_sequence(&incarnation.worker);
        if *sequence <= newest.max(session.report_sequence) {
            return Vec::new();
        }
        session.report_sequence = *sequence;
        session.last_report = now;
        // A worker leaves only after it has reported that it drains.
        session.leaving &= session.draining;
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
