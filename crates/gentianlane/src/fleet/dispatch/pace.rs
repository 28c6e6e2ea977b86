//! How hard tasks that fill idle time work beside tasks that serve.
//!
//! Answers a serving task whose tail nears its limit while others fill the rest
//! of its worker: the fillers give way at once, and come back in steps.

use crate::fleet::decision::Decision;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::session::{RunState, Session};
use crate::fleet::job::Task;
use crate::fleet::order::Action;
use crate::id;
use crate::unit::{Span, Time};

/// The share of its limit, in percent, from which on a tail is too long.
const HIGH: u64 = 75;

/// The share of its limit, in percent, below which fillers may work harder.
const LOW: u64 = 45;

/// The steps in which fillers come back, in percent.
const STEP_UP: u8 = 25;

/// A worker with tasks that serve beside tasks that fill.
struct Mixed {
    worker: id::Worker,
    tail: Span,
    limit: Span,
    /// Each with its run and its present share, if that is known.
    fillers: Vec<(Task, u64, Option<u8>)>,
}

impl Dispatcher {
    /// Sets the share at which fillers work beside serving tasks.
    pub(super) fn pace_fillers(&mut self, now: Time) {
        let mixed: Vec<Mixed> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.unanswered == 0)
            .filter_map(|(name, session)| look(name, session))
            .collect();
        for mixed in mixed {
            self.pace_worker(&mixed, now);
        }
    }

    fn pace_worker(&mut self, mixed: &Mixed, now: Time) {
        let share = mixed.tail.as_millis() * 100 / mixed.limit.as_millis().max(1);
        let next = |percent: u8| match share {
            HIGH.. => 0,
            ..LOW => percent.saturating_add(STEP_UP).min(100),
            _ => percent,
        };
        for &(task, run, share) in &mixed.fillers {
            let wanted = next(share.unwrap_or(100));
            let Some(session) = self.sessions.get_mut(&mixed.worker) else {
                return;
            };
            let Some(held) = session.runs.get_mut(&task) else {
                continue;
            };
            if share == Some(wanted) || held.retry_at > now {
                continue;
            }
            held.share = Some(wanted);
            held.retry_at = now.after(PAUSE);
            self.effects.decisions.push(Decision::Pace {
                worker: mixed.worker.clone(),
                percent: wanted,
                tail: mixed.tail,
                limit: mixed.limit,
            });
            let action = Action::Pace {
                task,
                run,
                percent: wanted,
            };
            self.send_order(&mixed.worker, self.setup.order, action, now);
        }
    }
}

/// The pause between two changes of one task's share: the worker's figures
/// are for the last half second.
const PAUSE: Span = Span::from_millis(700);

/// What serves and what fills on a worker, if it has both.
fn look(name: &id::Worker, session: &Session) -> Option<Mixed> {
    let up = || {
        session
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Running)
    };
    let serving = up().filter_map(|(_, run)| Some((run.measurement?, run.tail_limit?)));
    let worst =
        serving.max_by_key(|(tail, limit)| tail * 1_000 / limit.as_millis().max(1));
    let (tail, limit) = worst?;
    let fillers: Vec<_> = up()
        .filter(|(_, run)| run.best_effort)
        .map(|(task, run)| (*task, run.number, run.share))
        .collect();
    (!fillers.is_empty()).then(|| Mixed {
        worker: name.clone(),
        tail: Span::from_millis(tail),
        limit,
        fillers,
    })
}
