//! Counts and latencies of the requests sent.

use std::time::Duration;

use derive_more::AddAssign;
use gentianlane::api::{Answer, Output, Refusal};
use gentianlane::verdict::{Outcome, Reason, Verdict};
use hdrhistogram::Histogram;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;

/// The longest latency that is recorded exactly, in microseconds; longer ones
/// are recorded as this.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// The number of significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The number of requests by outcome. Every request sent has exactly one of
/// `done`, `failed`, `not_run`, `may_have_run`, `unanswered` and `wrong`.
#[derive(Debug, Default, Clone, PartialEq, Eq, AddAssign, Serialize)]
pub(crate) struct Counts {
    /// Requests sent, repeats not counted.
    pub(crate) sent: u64,
    /// Ran and succeeded.
    pub(crate) done: u64,
    /// Ran and failed.
    pub(crate) failed: u64,
    /// Did not run, which includes cancelled ones.
    pub(crate) not_run: u64,
    /// May have run.
    pub(crate) may_have_run: u64,
    /// Got no final answer in time.
    pub(crate) unanswered: u64,
    /// Got an answer with incomplete output or for another request.
    pub(crate) wrong: u64,
    /// Sent again under the same key.
    pub(crate) resent: u64,
    /// Sent again and answered differently the second time.
    pub(crate) differed: u64,
    /// Cancelled right after they were sent.
    pub(crate) cancelled: u64,
}

impl Counts {
    /// The number of requests with an outcome.
    pub(crate) fn total(&self) -> u64 {
        let ran = self.done + self.failed;
        ran + self.not_run + self.may_have_run + self.unanswered + self.wrong
    }

    fn counter(&mut self, outcome: &Outcome) -> &mut u64 {
        match (outcome.verdict, outcome.reason) {
            (Verdict::Ran, Reason::Done) => &mut self.done,
            (Verdict::Ran, _) => &mut self.failed,
            (Verdict::NotRun, _) => &mut self.not_run,
            (Verdict::MayHaveRun, _) => &mut self.may_have_run,
        }
    }
}

/// The counts and latencies of a load or of one sender.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) counts: Counts,
    /// The time from a request's scheduled send time to its answer, in
    /// microseconds.
    pub(crate) latency: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new() -> Result<Self> {
        let latency = Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
            .into_diagnostic()?;
        Ok(Self {
            counts: Counts::default(),
            latency,
        })
    }

    /// Records the outcome and latency of one request; `is_own` says whether the
    /// answer carries the request's key.
    pub(crate) fn record(
        &mut self,
        answer: &Result<Answer, Refusal>,
        is_own: bool,
        latency: Duration,
    ) {
        self.counts.sent += 1;
        let counter = match answer {
            Ok(answer) if !is_own || !answer.outputs.iter().all(Output::is_whole) => {
                &mut self.counts.wrong
            }
            Ok(answer) => self.counts.counter(&answer.outcome),
            Err(refusal) if refusal.outcome.verdict == Verdict::NotRun => {
                &mut self.counts.not_run
            }
            Err(_) => &mut self.counts.unanswered,
        };
        *counter += 1;
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros.max(1));
    }

    /// Adds another tally to this one.
    pub(crate) fn add(&mut self, other: Self) -> Result<()> {
        self.counts += other.counts;
        self.latency.add(&other.latency).into_diagnostic()
    }
}
