//! Throttles best-effort tasks that share a worker with services.
//!
//! A service's tail latency can come near its limit while best-effort tasks use
//! the rest of its worker. These are then paused at once, and get their
//! processor share back in steps once the tail is well below the limit.

use crate::fleet::decision::Decision;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::session::{RunState, Session};
use crate::fleet::job::Task;
use crate::fleet::order::Action;
use crate::id;
use crate::unit::{Span, Time};

/// The tail latency, in percent of its limit, from which best-effort tasks are
/// paused.
const HIGH_TAIL: u64 = 75;

/// The tail latency, in percent of its limit, below which best-effort tasks get
/// a larger share.
const LOW_TAIL: u64 = 45;

/// How much a best-effort task's share grows at a time, in percent.
const SHARE_STEP: u8 = 25;

/// A worker that runs services and best-effort tasks side by side.
struct Colocation {
    worker: id::Worker,
    /// The tail latency of the service that is closest to its limit.
    tail: Span,
    /// That service's limit.
    limit: Span,
    /// The best-effort tasks, each with its run and its present share in
    /// percent, if that is known.
    best_effort: Vec<(Task, u64, Option<u8>)>,
}

impl Dispatcher {
    /// Adjusts the share of best-effort tasks on workers with services.
    pub(super) fn throttle_best_effort(&mut self, now: Time) {
        let colocations: Vec<Colocation> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.unanswered == 0)
            .filter_map(|(worker, session)| colocation(worker, session))
            .collect();
        for colocation in colocations {
            self.throttle_worker(&colocation, now);
        }
    }

    /// Adjusts the share of each best-effort task on one worker.
    fn throttle_worker(&mut self, colocation: &Colocation, now: Time) {
        let tail_percent = colocation.tail.saturating_mul(100).as_millis()
            / colocation.limit.as_millis().max(1);
        let next = |percent: u8| match tail_percent {
            HIGH_TAIL.. => 0,
            ..LOW_TAIL => percent.saturating_add(SHARE_STEP).min(100),
            _ => percent,
        };
        for &(task, run, share) in &colocation.best_effort {
            let target = next(share.unwrap_or(100));
            let Some(session) = self.sessions.get_mut(&colocation.worker) else {
                return;
            };
            let Some(current) = session.runs.get_mut(&(task, run)) else {
                continue;
            };
            let is_set = share == Some(target) && !current.share_in_doubt;
            if is_set || current.retry_at > now {
                continue;
            }
            current.share = Some(target);
            current.share_in_doubt = false;
            current.retry_at = now.after(CHANGE_INTERVAL);
            self.effects.decisions.push(Decision::Throttle {
                worker: colocation.worker.clone(),
                percent: target,
                tail: colocation.tail,
                limit: colocation.limit,
            });
            let action = Action::Throttle {
                task,
                run,
                percent: target,
            };
            self.send_order(&colocation.worker, self.setup.order_timeout, action, now);
        }
    }
}

/// The least time between two changes of one task's share. Workers report the
/// tail latency of the last half second, so a change shows only after that.
const CHANGE_INTERVAL: Span = Span::from_millis(700);

/// The services and best-effort tasks on a worker, if it has both.
fn colocation(worker: &id::Worker, session: &Session) -> Option<Colocation> {
    let running = || {
        session
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Running)
    };
    let services =
        running().filter_map(|(_, run)| Some((run.measurement?, run.tail_limit?)));
    let worst = services.max_by_key(|(tail, limit)| {
        tail.saturating_mul(1_000) / limit.as_millis().max(1)
    });
    let (tail, limit) = worst?;
    let best_effort: Vec<_> = running()
        .filter(|(_, run)| run.best_effort)
        .map(|((task, number), run)| (*task, *number, run.share))
        .collect();
    (!best_effort.is_empty()).then(|| Colocation {
        worker: worker.clone(),
        tail: Span::from_millis(tail),
        limit,
        best_effort,
    })
}
