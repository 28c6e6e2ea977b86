//! Workers that crash, and the runs that are lost with them.

use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::worker::Incarnation;

impl Dispatcher {
    /// Logs that an incarnation has ended without having announced it, with the runs
    /// that it had.
    pub(super) fn log_crash(&mut self, incarnation: &Incarnation, cause: Cause) {
        let session = self.sessions.get(&incarnation.worker);
        let Some(session) = session
            .filter(|session| session.incarnation == *incarnation && !session.draining)
        else {
            return;
        };
        self.effects.decisions.push(Decision::WorkerCrashed {
            incarnation: incarnation.clone(),
            cause,
            runs: session.runs.len(),
        });
        for ((task, run), lost) in &session.runs {
            self.effects.decisions.push(Decision::RunCrashed {
                task: *task,
                run: *run,
                worker: incarnation.worker.clone(),
                ran: session.last_answer.since(lost.started_at),
            });
        }
    }
}
