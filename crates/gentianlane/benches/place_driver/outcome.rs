//! What came of a run.

use std::time::Duration;

use gentianlane::unit::Size;
use indexmap::IndexMap;

/// What came of a run.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Waiting times by what sort of job it is, in milliseconds: from when a job
    /// came until the run began that did its work, or until the end of all.
    pub(crate) waits: IndexMap<&'static str, Vec<u64>>,
    /// Reserved and used capacity summed over time, and all that there was.
    pub(crate) reserved: [f64; 3],
    pub(crate) used: [f64; 3],
    pub(crate) all: [f64; 3],
    pub(crate) started: usize,
    pub(crate) done: usize,
    pub(crate) given_up: usize,
    pub(crate) preempted: usize,
    pub(crate) run_again: usize,
    /// The cost of each decision: that of its round, shared out.
    pub(crate) costs: Vec<Duration>,
    /// The cost of all rounds.
    pub(crate) spent: Duration,
    pub(crate) rounds: Vec<Duration>,
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

impl Outcome {
    /// The part of processors, memory and accelerators that was reserved, and
    /// used, in percent.
    pub(crate) fn packing(&self) -> [(f64, f64); 3] {
        let part = |at: usize| {
            let all = self.all[at];
            (100.0 * self.reserved[at] / all, 100.0 * self.used[at] / all)
        };
        [part(0), part(1), part(2)]
    }

    pub(crate) fn p99(&self) -> Duration {
        quantile(&self.costs, 0.99)
    }

    pub(crate) fn mean(&self) -> Duration {
        self.spent / (self.costs.len().max(1) as u32)
    }
}

pub(crate) fn quantile<T: Ord + Copy + Default>(values: &[T], quantile: f64) -> T {
    let mut values = values.to_vec();
    values.sort_unstable();
    let at = (values.len() as f64 * quantile) as usize;
    values
        .get(at.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Adds a size to sums by dimension.
pub(crate) fn add(sums: &mut [f64; 3], size: &Size) {
    sums[0] += size.cpu.0 as f64;
    sums[1] += size.memory.0 as f64;
    sums[2] += f64::from(size.accelerators.0);
}
