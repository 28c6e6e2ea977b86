//! True run times, learnt from the runs that ended well.
//!
//! Callers' estimates are off by up to nine tenths. What a queue's tasks really
//! took against their estimates corrects the ones to come.

use indexmap::IndexMap;

use crate::fleet::job::Step;
use crate::unit::Span;

/// How much one observation counts, in thousandths.
const GAIN: u64 = 60;

/// The most images that are kept in mind.
const IMAGE_LIMIT: usize = 1_024;

/// Run times by queue and by image.
#[derive(Debug, Default, Clone)]
pub(crate) struct Learn {
    queues: IndexMap<String, u64>,
    images: IndexMap<String, u64>,
}

impl Learn {
    /// Takes a run that ended well.
    pub(crate) fn observe(&mut self, queue: &str, image: &str, took: Span) {
        let took = took.as_millis();
        mix(&mut self.queues, queue, took);
        if !image.is_empty() && self.images.len() < IMAGE_LIMIT {
            mix(&mut self.images, image, took);
        }
    }

    /// How long a task of a step is likely to run.
    pub(crate) fn expect(&self, queue: &str, step: &Step) -> Span {
        let image = self.images.get(&step.image);
        let known = image.or_else(|| self.queues.get(queue));
        let estimate = step.estimate.as_millis();
        match known {
            Some(&known) => Span::from_millis((known + estimate).div_ceil(2)),
            None => step.estimate,
        }
    }
}

fn mix(known: &mut IndexMap<String, u64>, key: &str, took: u64) {
    match known.get_mut(key) {
        Some(mean) => *mean = (*mean * (1_000 - GAIN) + took * GAIN) / 1_000,
        None => {
            known.insert(key.to_owned(), took);
        }
    }
}
