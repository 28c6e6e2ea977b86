//! What the platform's pages leave open, and each process of a worker does its own way.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Habits {
    /// What its steady clock shows at its start.
    pub(crate) clock_at_start: u64,
    pub(crate) first_call: u64,
    pub(crate) call_step: u64,
    /// The difference between the numbers of two ends that follow each other.
    pub(crate) end_step: u64,
}

impl Habits {
    /// Those of a slot's process with this number. The later ones show less than the
    /// first more often than not, so that a deadline for the first is far ahead on them.
    pub(crate) fn draw(rng: &mut ChaCha8Rng, process: u64) -> Self {
        let hours = match process {
            0 => [0, 24, 24, 24],
            _ => [0, 1, 4, 24],
        };
        let hours = hours[rng.random_range(0..4)];
        Self {
            clock_at_start: rng.random_range(0..=hours * 3_600_000 + 5_000),
            first_call: rng.random_range(1..50),
            call_step: rng.random_range(1..6),
            end_step: rng.random_range(1..4),
        }
    }
}
