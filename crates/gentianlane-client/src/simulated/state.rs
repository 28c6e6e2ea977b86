//! The state machine of the worker's side of the lease protocol, without I/O.

use gentianlane::api::{Ending, Finish, Lease, Order, Output, Renew};
use gentianlane::id;
use gentianlane::id::{Attempt, Incarnation, Task, Token};
use gentianlane::lease::{Fingerprint, Holder};
use gentianlane::unit::{Size, Span, Time};
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;

use crate::simulated::Script;

/// One simulated run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// The fencing token of this attempt.
    pub token: Token,
    /// The workload that the task belongs to.
    pub workload: id::Workload,
    /// The task's input.
    pub payload: String,
    /// When the run ends by itself; `None` if it runs until it is stopped.
    pub ends_at: Option<Time>,
    /// The behaviour that the payload asks for.
    pub script: Script,
}

/// The tasks that a worker has accepted, and its lease.
///
/// Each token is started at most once, and only if its attempt is higher than
/// every attempt already seen for the task. Nothing runs without an active
/// lease, and an order is void once the lease that came with it has expired.
#[derive(Debug, Clone)]
pub struct State {
    worker: id::Worker,
    incarnation: Incarnation,
    /// The highest attempt seen of each task.
    highest_attempts: IndexMap<Task, Attempt>,
    runs: IndexMap<Token, Run>,
    /// The results that aren't acknowledged yet.
    results: IndexMap<Token, Finish>,
    holder: Holder,
    /// The fingerprint of the tokens in the newest renewal.
    sent_fingerprint: Option<Fingerprint>,
    /// The fingerprint of the tokens that the cell knows.
    known_fingerprint: Option<Fingerprint>,
    /// The duration of the longest lease that was granted.
    longest_lease: Span,
    /// The tokens whose results are durable in the cell, with the time of the
    /// acknowledgement, oldest first.
    acknowledged: VecDeque<(Time, Token)>,
}

impl State {
    /// The state of an incarnation that has accepted nothing yet.
    #[must_use]
    pub fn new(worker: id::Worker, incarnation: Incarnation) -> Self {
        Self {
            worker,
            incarnation,
            highest_attempts: IndexMap::new(),
            runs: IndexMap::new(),
            results: IndexMap::new(),
            holder: Holder::default(),
            sent_fingerprint: None,
            known_fingerprint: None,
            longest_lease: Span::ZERO,
            acknowledged: VecDeque::new(),
        }
    }

    /// The accepted tokens without an acknowledged result, in ascending order.
    #[must_use]
    pub fn tokens(&self) -> Vec<Token> {
        let tokens = self.runs.keys().chain(self.results.keys());
        let tokens: IndexSet<Token> = tokens.copied().collect();
        let mut tokens: Vec<Token> = tokens.into_iter().collect();
        tokens.sort_unstable();
        tokens
    }

    /// The results that have to be reported again until they are acknowledged.
    #[must_use]
    pub fn results(&self) -> Vec<Finish> {
        self.results.values().cloned().collect()
    }

    /// The runs in progress.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// The next renewal. It lists the tokens in full only if the cell may not know
    /// them; otherwise their fingerprint is enough.
    pub fn renewal(&mut self, hold: Span) -> Renew {
        let tokens = self.tokens();
        let fingerprint = Fingerprint::of(&tokens);
        let unchanged = self.known_fingerprint.filter(|known| *known == fingerprint);
        self.sent_fingerprint = Some(fingerprint);
        Renew {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            running: if unchanged.is_some() {
                Vec::new()
            } else {
                tokens
            },
            unchanged,
            used: Size::default(),
            hold,
        }
    }

    /// Takes the reply to a renewal that was sent at `sent`, carries out its
    /// orders and returns the runs that they started.
    ///
    /// The lease counts from `sent` on, as the cell's own count starts later.
    /// A reply whose lease has already expired is ignored.
    pub fn handle_lease(&mut self, lease: Lease, sent: Time, now: Time) -> Vec<Run> {
        self.known_fingerprint = self.sent_fingerprint.filter(|_| !lease.resend);
        if now >= sent.after(lease.span) {
            return Vec::new();
        }
        if !self.holder.is_active(now) {
            self.stop_all();
        }
        self.holder.extend(sent, lease.span);
        self.longest_lease = self.longest_lease.max(lease.span);
        let orders = lease.orders.into_iter();
        orders
            .filter_map(|order| self.handle_order(order, now))
            .collect()
    }

    /// Whether the lease is active, so that the worker may run tasks.
    #[must_use]
    pub fn has_lease(&self, now: Time) -> bool {
        self.holder.is_active(now)
    }

    /// The number of tasks that are remembered so that none is started twice.
    #[must_use]
    pub fn remembered_tasks(&self) -> usize {
        self.highest_attempts.len()
    }

    /// Carries out an order and returns the run that it started, if any.
    fn handle_order(&mut self, order: Order, now: Time) -> Option<Run> {
        match order {
            Order::Start {
                token,
                workload,
                payload,
                ..
            } => self.start(token, workload, payload, now),
            Order::Stop { token } => {
                self.stop(token, Ending::Stopped);
                None
            }
            Order::Checkpoint { token } => {
                self.stop(token, Ending::Checkpointed);
                None
            }
            Order::Throttle { .. } => None,
        }
    }

    /// Starts a run unless this or a higher attempt of the task was seen.
    fn start(
        &mut self,
        token: Token,
        workload: id::Workload,
        payload: String,
        now: Time,
    ) -> Option<Run> {
        let highest = self.highest_attempts.get(&token.task);
        if highest.is_some_and(|highest| *highest >= token.attempt) {
            return None;
        }
        self.highest_attempts.insert(token.task, token.attempt);
        let script = Script::parse(&payload);
        let ends_at = script.duration.map(|duration| now.after(duration));
        let run = Run {
            token,
            workload,
            payload,
            ends_at,
            script,
        };
        self.runs.insert(token, run.clone());
        Some(run)
    }

    /// Stops a run. A token that was never seen is reported as never begun, and
    /// a start order that arrives after this is refused.
    fn stop(&mut self, token: Token, ending: Ending) {
        if self.runs.swap_remove(&token).is_some() {
            self.report(token, ending, String::new());
            return;
        }
        let highest = self.highest_attempts.get(&token.task);
        if highest.is_none_or(|highest| *highest < token.attempt) {
            self.highest_attempts.insert(token.task, token.attempt);
            self.report(token, Ending::NeverBegan, String::new());
        }
    }

    /// Ends the runs that are due, and all of them if the lease has expired.
    pub fn tick(&mut self, now: Time) {
        if !self.holder.is_active(now) {
            self.stop_all();
        }
        self.forget_acknowledged(now);
        let due = |run: &&Run| run.ends_at.is_some_and(|ends_at| ends_at <= now);
        let due: Vec<Run> = self.runs.values().filter(due).cloned().collect();
        for run in due {
            self.runs.swap_remove(&run.token);
            self.report(run.token, run.script.ending, run.script.output);
        }
    }

    /// Stops all runs at once.
    pub fn stop_all(&mut self) {
        let tokens: Vec<Token> = self.runs.keys().copied().collect();
        for token in tokens {
            self.stop(token, Ending::Stopped);
        }
    }

    /// Removes a result that the cell has acknowledged as durable.
    pub fn acknowledge(&mut self, token: &Token, now: Time) {
        if self.results.swap_remove(token).is_some() {
            self.acknowledged.push_back((now, *token));
        }
    }

    /// Forgets the tasks for which no valid order can arrive any more: it would
    /// have been issued before the result was durable, with a lease that has
    /// expired since.
    fn forget_acknowledged(&mut self, now: Time) {
        while let Some(&(since, token)) = self.acknowledged.front() {
            if now.since(since) <= self.longest_lease {
                return;
            }
            self.acknowledged.pop_front();
            if self.highest_attempts.get(&token.task) == Some(&token.attempt) {
                self.highest_attempts.swap_remove(&token.task);
            }
        }
    }

    /// Records a result for reporting.
    fn report(&mut self, token: Token, ending: Ending, output: String) {
        let finish = Finish {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            token,
            ending,
            output: Output::new(output),
        };
        self.results.insert(token, finish);
    }
}
