//! The report of a load, as text and JSON.

use std::fmt;

use serde::Serialize;

use crate::load::plan::Plan;
use crate::load::tally::{Counts, Tally};

/// The requests of a load with their outcomes and latencies.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// The planned rate, in requests per second.
    rate: u32,
    seconds: u32,
    /// The number of requests that the plan has.
    planned: u64,
    counts: Counts,
    /// From the scheduled send time of a request to its answer, in microseconds.
    latency: Latency,
}

/// Quantiles of the latency, in microseconds.
#[derive(Debug, Serialize)]
struct Latency {
    p50: u64,
    p90: u64,
    p99: u64,
    p999: u64,
    max: u64,
}

impl Report {
    pub(crate) fn new(plan: &Plan, tally: &Tally) -> Self {
        let latency = &tally.latency;
        Self {
            rate: plan.rate,
            seconds: plan.seconds,
            planned: u64::from(plan.rate) * u64::from(plan.seconds),
            counts: tally.counts.clone(),
            latency: Latency {
                p50: latency.value_at_quantile(0.5),
                p90: latency.value_at_quantile(0.9),
                p99: latency.value_at_quantile(0.99),
                p999: latency.value_at_quantile(0.999),
                max: latency.max(),
            },
        }
    }

    /// Whether every planned request was sent and has an outcome, and no answer
    /// was wrong or differed on a repeat.
    pub(crate) fn is_consistent(&self) -> bool {
        let counts = &self.counts;
        let is_complete = counts.sent == self.planned && counts.total() == counts.sent;
        is_complete && counts.wrong == 0 && counts.differed == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        let latency = &self.latency;
        writeln!(f, "{} requests at {} a second", counts.sent, self.rate)?;
        writeln!(f, "done          {}", counts.done)?;
        writeln!(f, "failed        {}", counts.failed)?;
        writeln!(f, "not run       {}", counts.not_run)?;
        writeln!(f, "may have run  {}", counts.may_have_run)?;
        writeln!(f, "unanswered    {}", counts.unanswered)?;
        writeln!(f, "wrong         {}", counts.wrong)?;
        writeln!(f, "resent        {}", counts.resent)?;
        writeln!(f, "differed      {}", counts.differed)?;
        writeln!(f, "cancelled     {}", counts.cancelled)?;
        writeln!(f, "latency p50   {} µs", latency.p50)?;
        writeln!(f, "latency p90   {} µs", latency.p90)?;
        writeln!(f, "latency p99   {} µs", latency.p99)?;
        writeln!(f, "latency p99.9 {} µs", latency.p999)?;
        write!(f, "latency max   {} µs", latency.max)
    }
}
