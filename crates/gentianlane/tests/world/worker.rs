//! A worker that keeps its side of the lease protocol.

use gentianlane::api::{Announce, Call, Ending, Finish, Order, Output, Renew, Reply};
use gentianlane::id::{self, Attempt, Task, Token};
use gentianlane::unit::{Size, Span, Time};
use gentianlane::verdict::Reason;
use indexmap::IndexMap;

/// How often a renewal is sent.
const RENEW: Span = Span::from_millis(500);

/// How often a result is reported until it is acknowledged.
const REPORT: Span = Span::from_millis(300);

/// One run of a task.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) token: Token,
    pub(crate) payload: String,
    pub(crate) size: Size,
    pub(crate) ends: Option<Time>,
}

/// A worker that keeps its side of the lease protocol.
pub(crate) struct Machine {
    pub(crate) announce: Announce,
    pub(crate) size: Size,
    pub(crate) runs: Vec<Run>,
    /// Every run that ever began here, in order.
    pub(crate) history: Vec<Run>,
    pub(crate) paused: bool,
    pub(crate) cut: bool,
    /// The only entry that it can reach, if it can't reach all.
    pub(crate) bound: Option<id::Node>,
    /// Whether every task that it starts fails at once.
    pub(crate) fails: bool,
    known: bool,
    seen: IndexMap<Task, Attempt>,
    results: IndexMap<Token, Finish>,
    /// When the renewal that is under way was sent.
    sent: Time,
    lease: Time,
    renew_due: Time,
    report_due: Time,
    entry: u64,
}

impl Machine {
    pub(crate) fn new(announce: Announce) -> Self {
        let zero = Time::from_millis(0);
        Self {
            size: announce.size,
            announce,
            runs: Vec::new(),
            history: Vec::new(),
            paused: false,
            cut: false,
            bound: None,
            fails: false,
            known: false,
            seen: IndexMap::new(),
            results: IndexMap::new(),
            sent: zero,
            lease: zero,
            renew_due: zero,
            report_due: zero,
            entry: 0,
        }
    }

    /// The process dies with its tasks and comes back as another life.
    pub(crate) fn restart(&mut self) {
        self.announce.incarnation.0 += 1;
        let history = std::mem::take(&mut self.history);
        *self = Self {
            history,
            fails: self.fails,
            ..Self::new(self.announce.clone())
        };
    }

    /// What runs, unless the worker is paused or its lease is over.
    pub(crate) fn live(&self, now: Time) -> impl Iterator<Item = &Run> {
        let lives = !self.paused && now < self.lease;
        self.runs.iter().filter(move |_| lives)
    }

    pub(crate) fn load(&self) -> Option<Size> {
        self.runs
            .iter()
            .try_fold(Size::default(), |sum, run| sum.checked_add(&run.size))
    }

    /// What time asks for, and the calls to make.
    pub(crate) fn tick(&mut self, now: Time, nodes: u64) -> Vec<(id::Node, Call)> {
        if self.paused {
            return Vec::new();
        }
        if now >= self.lease {
            self.stop_all();
        }
        self.end_runs(now);
        let mut calls = Vec::new();
        if now >= self.renew_due {
            self.renew_due = now.after(RENEW);
            self.sent = now;
            calls.push(self.renewal());
        }
        if now >= self.report_due {
            self.report_due = now.after(REPORT);
            calls.extend(self.results.values().cloned().map(Call::Finish));
        }
        if self.cut {
            return Vec::new();
        }
        let bound = self.bound;
        let mut entry = || {
            self.entry = self.entry % nodes + 1;
            bound.unwrap_or(id::Node(self.entry))
        };
        calls.into_iter().map(|call| (entry(), call)).collect()
    }

    fn renewal(&self) -> Call {
        if !self.known {
            return Call::Announce(self.announce.clone());
        }
        let mut running: Vec<Token> = self.runs.iter().map(|run| run.token).collect();
        running.extend(self.results.keys());
        running.sort_unstable();
        Call::Renew(Renew {
            worker: self.announce.worker.clone(),
            incarnation: self.announce.incarnation,
            running,
            unchanged: None,
            used: Size::default(),
            hold: Span::ZERO,
        })
    }

    pub(crate) fn hear(&mut self, call: &Call, reply: Reply, now: Time) {
        if self.paused || self.cut {
            return;
        }
        match (call, reply) {
            (Call::Announce(announce), Reply::Done) => {
                self.known = announce.incarnation == self.announce.incarnation;
                self.renew_due = now;
            }
            (Call::Finish(finish), Reply::Done) => {
                self.results.swap_remove(&finish.token);
            }
            (Call::Renew(renew), Reply::Lease(lease)) => {
                if renew.incarnation != self.announce.incarnation {
                    return;
                }
                self.lease = self.lease.max(self.sent.after(lease.span));
                if now < self.lease {
                    lease
                        .orders
                        .into_iter()
                        .for_each(|order| self.order(order, now));
                }
            }
            (Call::Renew(_), Reply::Refused(refusal)) => {
                self.known = refusal.outcome.reason != Reason::WorkerLost;
            }
            _ => {}
        }
    }

    fn order(&mut self, order: Order, now: Time) {
        match order {
            Order::Start {
                token,
                payload,
                size,
                ..
            } => {
                self.start(token, payload, size, now);
            }
            Order::Stop { token } => self.stop(token, Ending::Stopped),
            Order::Checkpoint { token } => self.stop(token, Ending::Checkpointed),
            Order::Throttle { .. } => {}
        }
    }

    fn start(&mut self, token: Token, payload: String, size: Size, now: Time) {
        if self
            .seen
            .get(&token.task)
            .is_some_and(|seen| *seen >= token.attempt)
        {
            return;
        }
        self.seen.insert(token.task, token.attempt);
        let ends = match payload.split_whitespace().next() {
            Some("forever") => None,
            Some(word) => {
                let millis = word.strip_prefix("sleep=").and_then(|ms| ms.parse().ok());
                Some(now.after(Span::from_millis(millis.unwrap_or(0))))
            }
            None => Some(now),
        };
        let run = Run {
            token,
            payload,
            size,
            ends,
        };
        self.history.push(run.clone());
        self.runs.push(run);
    }

    fn stop(&mut self, token: Token, ending: Ending) {
        if let Some(at) = self.runs.iter().position(|run| run.token == token) {
            self.runs.remove(at);
            self.report(token, ending, "");
        } else if self
            .seen
            .get(&token.task)
            .is_none_or(|seen| *seen < token.attempt)
        {
            self.seen.insert(token.task, token.attempt);
            self.report(token, Ending::NeverBegan, "");
        }
    }

    fn stop_all(&mut self) {
        for run in std::mem::take(&mut self.runs) {
            self.report(run.token, Ending::Stopped, "");
        }
    }

    fn end_runs(&mut self, now: Time) {
        let ended = |run: &Run| run.ends.is_some_and(|ends| ends <= now);
        let (done, rest) = self.runs.drain(..).partition(ended);
        self.runs = rest;
        let done: Vec<Run> = done;
        for run in done {
            match self.fails || run.payload.contains("fail") {
                true => self.report(run.token, Ending::Failed, ""),
                false => self.report(run.token, Ending::Done, &run.payload),
            }
        }
    }

    fn report(&mut self, token: Token, ending: Ending, output: &str) {
        let finish = Finish {
            worker: self.announce.worker.clone(),
            incarnation: self.announce.incarnation,
            token,
            ending,
            output: Output::new(output.to_owned()),
        };
        self.results.insert(token, finish);
    }
}
