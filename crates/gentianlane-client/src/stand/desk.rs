//! What a worker has accepted, without I/O: the worker's side of the rules.

use gentianlane::api::{Ending, Finish, Lease, Order, Output, Renew};
use gentianlane::id;
use gentianlane::id::{Attempt, Incarnation, Task, Token};
use gentianlane::lease::{Fingerprint, Holder};
use gentianlane::unit::{Size, Span, Time};
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;

use crate::stand::Script;

/// One pretended run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// The fencing token.
    pub token: Token,
    /// The workload.
    pub workload: id::Workload,
    /// The task's input.
    pub payload: String,
    /// When it ends by itself; `None` until it is stopped.
    pub ends: Option<Time>,
    /// What it does.
    pub script: Script,
}

/// What a worker has accepted.
///
/// A token is started at most once, and none is started below the highest
/// attempt that was seen of its task. Nothing runs without a lease, and an
/// order counts only until the lease that came with it has ended.
#[derive(Debug, Clone)]
pub struct Desk {
    worker: id::Worker,
    incarnation: Incarnation,
    seen: IndexMap<Task, Attempt>,
    runs: IndexMap<Token, Run>,
    results: IndexMap<Token, Finish>,
    holder: Holder,
    /// The mark of the tokens in the newest renewal.
    asked: Option<Fingerprint>,
    /// The mark of tokens that the cell knows.
    listed: Option<Fingerprint>,
    /// The longest lease that was granted.
    span: Span,
    /// Tasks whose results are durable, and since when.
    settled: VecDeque<(Time, Token)>,
}

impl Desk {
    /// A worker's life in which nothing was accepted yet.
    #[must_use]
    pub fn new(worker: id::Worker, incarnation: Incarnation) -> Self {
        Self {
            worker,
            incarnation,
            seen: IndexMap::new(),
            runs: IndexMap::new(),
            results: IndexMap::new(),
            holder: Holder::default(),
            asked: None,
            listed: None,
            span: Span::ZERO,
            settled: VecDeque::new(),
        }
    }

    /// The tokens that are accepted and whose results aren't acknowledged.
    #[must_use]
    pub fn tokens(&self) -> Vec<Token> {
        let tokens = self.runs.keys().chain(self.results.keys());
        let tokens: IndexSet<Token> = tokens.copied().collect();
        let mut tokens: Vec<Token> = tokens.into_iter().collect();
        tokens.sort_unstable();
        tokens
    }

    /// The results that have to be reported until they are acknowledged.
    #[must_use]
    pub fn results(&self) -> Vec<Finish> {
        self.results.values().cloned().collect()
    }

    /// What runs.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// The next renewal; it lists the tokens only if the cell may not know them.
    pub fn renewal(&mut self, hold: Span) -> Renew {
        let tokens = self.tokens();
        let mark = Fingerprint::of(&tokens);
        let unchanged = self.listed.filter(|listed| *listed == mark);
        self.asked = Some(mark);
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

    /// Takes in the answer to a renewal that was *sent* at a time, and carries
    /// out its orders; gives the runs that it began.
    pub fn lease(&mut self, lease: Lease, sent: Time, now: Time) -> Vec<Run> {
        self.listed = self.asked.filter(|_| !lease.resend);
        if now >= sent.after(lease.span) {
            return Vec::new();
        }
        if !self.holder.is_active(now) {
            self.stop_all();
        }
        self.holder.extend(sent, lease.span);
        self.span = self.span.max(lease.span);
        let orders = lease.orders.into_iter();
        orders.filter_map(|order| self.order(order, now)).collect()
    }

    /// Whether the worker may run tasks.
    #[must_use]
    pub fn holds(&self, now: Time) -> bool {
        self.holder.is_active(now)
    }

    /// How many tasks are remembered so that none begins twice.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.seen.len()
    }

    /// Carries out an order; gives the run that it began, if it began one.
    fn order(&mut self, order: Order, now: Time) -> Option<Run> {
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

    fn start(
        &mut self,
        token: Token,
        workload: id::Workload,
        payload: String,
        now: Time,
    ) -> Option<Run> {
        let seen = self.seen.get(&token.task);
        if seen.is_some_and(|seen| *seen >= token.attempt) {
            return None;
        }
        self.seen.insert(token.task, token.attempt);
        let script = Script::read(&payload);
        let ends = script.runs.map(|runs| now.after(runs));
        let run = Run {
            token,
            workload,
            payload,
            ends,
            script,
        };
        self.runs.insert(token, run.clone());
        Some(run)
    }

    fn stop(&mut self, token: Token, ending: Ending) {
        if self.runs.swap_remove(&token).is_some() {
            self.report(token, ending, String::new());
            return;
        }
        let seen = self.seen.get(&token.task);
        if seen.is_none_or(|seen| *seen < token.attempt) {
            self.seen.insert(token.task, token.attempt);
            self.report(token, Ending::NeverBegan, String::new());
        }
    }

    /// Ends the runs whose time has come, and all of them if there is no lease.
    pub fn tick(&mut self, now: Time) {
        if !self.holder.is_active(now) {
            self.stop_all();
        }
        self.forget(now);
        let due = |run: &&Run| run.ends.is_some_and(|ends| ends <= now);
        let due: Vec<Run> = self.runs.values().filter(due).cloned().collect();
        for run in due {
            self.runs.swap_remove(&run.token);
            self.report(run.token, run.script.ending, run.script.output);
        }
    }

    /// Ends all runs at once, as the lease is over.
    pub fn stop_all(&mut self) {
        let tokens: Vec<Token> = self.runs.keys().copied().collect();
        for token in tokens {
            self.stop(token, Ending::Stopped);
        }
    }

    /// A result is durable in the cell.
    pub fn acknowledged(&mut self, token: &Token, now: Time) {
        if self.results.swap_remove(token).is_some() {
            self.settled.push_back((now, *token));
        }
    }

    /// Forgets the tasks for which no order can count any more: it would have
    /// been given before the result was durable, with a lease that has ended.
    fn forget(&mut self, now: Time) {
        while let Some(&(since, token)) = self.settled.front() {
            if now.since(since) <= self.span {
                return;
            }
            self.settled.pop_front();
            if self.seen.get(&token.task) == Some(&token.attempt) {
                self.seen.swap_remove(&token.task);
            }
        }
    }

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
