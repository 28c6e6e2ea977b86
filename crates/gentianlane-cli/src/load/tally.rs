//! What became of the requests.

use std::time::Duration;

use derive_more::AddAssign;
use gentianlane::api::{Answer, Output, Refusal};
use gentianlane::verdict::{Outcome, Reason, Verdict};
use hdrhistogram::Histogram;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;

/// The longest latency that is told apart, in microseconds.
const LONGEST: u64 = 600_000_000;

/// How many digits of a latency are kept.
const DIGITS: u8 = 3;

/// How many requests ended how; every request that was sent ends in one way.
#[derive(Debug, Default, Clone, PartialEq, Eq, AddAssign, Serialize)]
pub(crate) struct Counts {
    /// Requests, without those that were sent again.
    pub(crate) sent: u64,
    /// Ran and succeeded.
    pub(crate) done: u64,
    /// Ran and failed.
    pub(crate) failed: u64,
    /// Have not run, withdrawn ones among them.
    pub(crate) not_run: u64,
    /// May have run.
    pub(crate) may_have_run: u64,
    /// No final answer came in time.
    pub(crate) unanswered: u64,
    /// Answers that weren't whole or were another request's.
    pub(crate) wrong: u64,
    /// Sent again under the same key.
    pub(crate) resent: u64,
    /// Sent again and answered otherwise.
    pub(crate) differed: u64,
    /// Withdrawn.
    pub(crate) cancelled: u64,
}

impl Counts {
    /// How many requests ended in any way.
    pub(crate) fn ended(&self) -> u64 {
        let ran = self.done + self.failed;
        ran + self.not_run + self.may_have_run + self.unanswered + self.wrong
    }

    fn of(&mut self, outcome: &Outcome) -> &mut u64 {
        match (outcome.verdict, outcome.reason) {
            (Verdict::Ran, Reason::Done) => &mut self.done,
            (Verdict::Ran, _) => &mut self.failed,
            (Verdict::NotRun, _) => &mut self.not_run,
            (Verdict::MayHaveRun, _) => &mut self.may_have_run,
        }
    }
}

/// Counts and latencies.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) counts: Counts,
    /// From when a request was meant to leave until its answer, in
    /// microseconds.
    pub(crate) latency: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new() -> Result<Self> {
        let latency = Histogram::new_with_max(LONGEST, DIGITS).into_diagnostic()?;
        Ok(Self {
            counts: Counts::default(),
            latency,
        })
    }

    /// Counts how one request ended.
    pub(crate) fn ended(
        &mut self,
        answer: &Result<Answer, Refusal>,
        is_own: bool,
        took: Duration,
    ) {
        self.counts.sent += 1;
        let counter = match answer {
            Ok(answer) if !is_own || !answer.outputs.iter().all(Output::is_whole) => {
                &mut self.counts.wrong
            }
            Ok(answer) => self.counts.of(&answer.outcome),
            Err(refusal) if refusal.outcome.verdict == Verdict::NotRun => {
                &mut self.counts.not_run
            }
            Err(_) => &mut self.counts.unanswered,
        };
        *counter += 1;
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros.max(1));
    }

    /// Adds another tally to this one.
    pub(crate) fn add(&mut self, other: Self) -> Result<()> {
        self.counts += other.counts;
        self.latency.add(&other.latency).into_diagnostic()
    }
}
