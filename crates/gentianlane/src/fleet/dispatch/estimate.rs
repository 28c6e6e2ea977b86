//! Run time estimates, learned from completed runs.
//!
//! Callers' estimates are off by up to 90%. They are averaged with the measured
//! mean run time of the step's image or, if that is unknown, of its queue.

use crate::collections::IndexMap;

use crate::fleet::job::Step;
use crate::unit::Span;

/// The weight of one observation in the mean of a queue or an image, in
/// thousandths.
const MEAN_GAIN: u64 = 60;

/// The weight of one observation in the slowdown of a kind of worker, in
/// thousandths; low, as run times within one queue vary by half.
const KIND_GAIN: u64 = 20;

/// The weight of one observation in the slowdown of a single worker, in
/// thousandths; high enough to show after three slow runs in a row.
const WORKER_GAIN: u64 = 250;

/// The slowdown of an average worker, in thousandths.
pub(crate) const NOMINAL: u64 = 1_000;

/// The cap on one run's ratio to the mean run time, in thousandths.
const RATIO_LIMIT: u64 = 8_000;

/// The number of images above which no further run times by image are recorded;
/// bounds memory.
const IMAGE_LIMIT: usize = 1_024;

/// Moving averages of run times, by queue, by image and by kind of worker.
#[derive(Debug, Default, Clone)]
pub(crate) struct Estimator {
    /// The mean run time by queue, in milliseconds.
    queues: IndexMap<String, u64>,
    /// The mean run time by image, in milliseconds.
    images: IndexMap<String, u64>,
    /// Run times by kind of worker, in thousandths of the queue's mean.
    kinds: IndexMap<String, u64>,
}

impl Estimator {
    /// Records the run time of a completed run.
    pub(crate) fn observe(&mut self, queue: &str, image: &str, run_time: Span) {
        let millis = run_time.as_millis();
        update_mean(&mut self.queues, queue, millis);
        if !image.is_empty() && self.images.len() < IMAGE_LIMIT {
            update_mean(&mut self.images, image, millis);
        }
    }

    /// Records the run time of a queue's run on a kind of worker; returns its
    /// ratio to what is usual for that kind, in thousandths.
    pub(crate) fn observe_kind(
        &mut self,
        queue: &str,
        kind: &str,
        run_time: Span,
    ) -> u64 {
        let mean = self.queues.get(queue).copied().unwrap_or_default().max(1);
        let ratio = (run_time.as_millis() * NOMINAL / mean).min(RATIO_LIMIT);
        let slowdown = match self.kinds.get_mut(kind) {
            Some(slowdown) => {
                *slowdown = (*slowdown * (1_000 - KIND_GAIN) + ratio * KIND_GAIN) / 1_000;
                *slowdown
            }
            None => {
                self.kinds.insert(kind.to_owned(), NOMINAL);
                NOMINAL
            }
        };
        ratio * NOMINAL / slowdown.max(1)
    }

    /// The run time on a kind of worker, in thousandths of the queue's mean.
    pub(crate) fn kind_slowdown(&self, kind: &str) -> u64 {
        self.kinds.get(kind).copied().unwrap_or(NOMINAL)
    }

    /// The expected run time of one of a step's tasks.
    pub(crate) fn expected_duration(&self, queue: &str, step: &Step) -> Span {
        let image = self.images.get(&step.image);
        let measured = image.or_else(|| self.queues.get(queue));
        let estimate = step.estimate.as_millis();
        match measured {
            Some(&mean) => Span::from_millis(mean.saturating_add(estimate).div_ceil(2)),
            None => step.estimate,
        }
    }
}

/// A worker's slowdown after one more run with the given ratio, all in
/// thousandths.
pub(crate) fn smoothed_slowdown(slowdown: u64, ratio: u64) -> u64 {
    (slowdown * (1_000 - WORKER_GAIN) + ratio * WORKER_GAIN) / 1_000
}

/// Updates the exponential moving average of run times under a key by one run
/// time in milliseconds.
fn update_mean(means: &mut IndexMap<String, u64>, key: &str, millis: u64) {
    match means.get_mut(key) {
        Some(mean) => *mean = (*mean * (1_000 - MEAN_GAIN) + millis * MEAN_GAIN) / 1_000,
        None => {
            means.insert(key.to_owned(), millis);
        }
    }
}
