//! True run times, learnt from the runs that ended well.
//!
//! Callers' estimates are off by up to nine tenths. What a queue's tasks really
//! took against their estimates corrects the ones to come.

use indexmap::IndexMap;

use crate::fleet::job::Step;
use crate::unit::Span;

/// How much one observation counts, in thousandths.
const QUEUE_GAIN: u64 = 60;

/// How much one observation of a kind of worker counts, in thousandths; run
/// times of one queue differ by half of themselves.
const KIND_GAIN: u64 = 20;

/// How much one observation of a single worker counts, in thousandths: three
/// slow runs in a row tell.
const WORKER_GAIN: u64 = 250;

/// An even pace, in thousandths.
pub(crate) const NOMINAL: u64 = 1_000;

/// The highest ratio that one run counts with, in thousandths.
const RATIO_LIMIT: u64 = 8_000;

/// The most images that are kept in mind.
const IMAGE_LIMIT: usize = 1_024;

/// Run times by queue and by image.
#[derive(Debug, Default, Clone)]
pub(crate) struct Estimator {
    queues: IndexMap<String, u64>,
    images: IndexMap<String, u64>,
    /// How long runs take on each kind of worker, in thousandths of the mean.
    kinds: IndexMap<String, u64>,
}

impl Estimator {
    /// Takes a run that ended well.
    pub(crate) fn observe(&mut self, queue: &str, image: &str, took: Span) {
        let took = took.as_millis();
        update_mean(&mut self.queues, queue, took);
        if !image.is_empty() && self.images.len() < IMAGE_LIMIT {
            update_mean(&mut self.images, image, took);
        }
    }

    /// Takes how long a run of a queue took on a kind of worker; gives how that
    /// compares with other workers of the kind, in thousandths.
    pub(crate) fn observe_kind(&mut self, queue: &str, kind: &str, took: Span) -> u64 {
        let mean = self.queues.get(queue).copied().unwrap_or_default().max(1);
        let ratio = (took.as_millis() * NOMINAL / mean).min(RATIO_LIMIT);
        let pace = match self.kinds.get_mut(kind) {
            Some(pace) => {
                *pace = (*pace * (1_000 - KIND_GAIN) + ratio * KIND_GAIN) / 1_000;
                *pace
            }
            None => {
                self.kinds.insert(kind.to_owned(), NOMINAL);
                NOMINAL
            }
        };
        ratio * NOMINAL / pace.max(1)
    }

    /// How long runs take on a kind of worker, in thousandths of the mean.
    pub(crate) fn kind_slowdown(&self, kind: &str) -> u64 {
        self.kinds.get(kind).copied().unwrap_or(NOMINAL)
    }

    /// How long a task of a step is likely to run.
    pub(crate) fn expected_duration(&self, queue: &str, step: &Step) -> Span {
        let image = self.images.get(&step.image);
        let known = image.or_else(|| self.queues.get(queue));
        let estimate = step.estimate.as_millis();
        match known {
            Some(&known) => Span::from_millis((known + estimate).div_ceil(2)),
            None => step.estimate,
        }
    }
}

/// A worker's own pace after one more run, both in thousandths.
pub(crate) fn smoothed_slowdown(pace: u64, ratio: u64) -> u64 {
    (pace * (1_000 - WORKER_GAIN) + ratio * WORKER_GAIN) / 1_000
}

fn update_mean(known: &mut IndexMap<String, u64>, key: &str, took: u64) {
    match known.get_mut(key) {
        Some(mean) => *mean = (*mean * (1_000 - QUEUE_GAIN) + took * QUEUE_GAIN) / 1_000,
        None => {
            known.insert(key.to_owned(), took);
        }
    }
}
