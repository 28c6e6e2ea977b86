//! What a worker has accepted, without I/O: the worker's side of the rules.

use std::time::Instant;

use gentianlane::api::{Ending, Finish, Order, Output};
use gentianlane::id;
use gentianlane::id::{Attempt, Incarnation, Task, Token};
use indexmap::{IndexMap, IndexSet};

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
    pub ends: Option<Instant>,
    /// What it does.
    pub script: Script,
}

/// What a worker has accepted.
///
/// A token is started at most once, and none is started below the highest
/// attempt that was seen of its task.
#[derive(Debug, Clone)]
pub struct Desk {
    worker: id::Worker,
    incarnation: Incarnation,
    seen: IndexMap<Task, Attempt>,
    runs: IndexMap<Token, Run>,
    results: IndexMap<Token, Finish>,
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

    /// Carries out an order; gives the run that it began, if it began one.
    pub fn order(&mut self, order: Order, now: Instant) -> Option<Run> {
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
        now: Instant,
    ) -> Option<Run> {
        let seen = self.seen.get(&token.task);
        if seen.is_some_and(|seen| *seen >= token.attempt) {
            return None;
        }
        self.seen.insert(token.task, token.attempt);
        let script = Script::read(&payload);
        let ends = script.runs.map(|runs| now + runs);
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

    /// Ends the runs whose time has come.
    pub fn tick(&mut self, now: Instant) {
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
    pub fn acknowledged(&mut self, token: &Token) {
        self.results.swap_remove(token);
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
