//! What the dispatch of tasks is given.

use crate::unit::Span;

/// How long things take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// How far ahead of a worker's clock its lease ends. Longer than the
    /// change of a leader takes, and at most what workers grant.
    pub lease: Span,
    /// How long a worker holds an answer back while nothing ends.
    pub hold: Span,
    /// How long the answer to a hold may take beyond that.
    pub answer: Span,
    /// How long the answer to any other order may take; workers carry them out
    /// at once, and a start that waits longer makes its job late.
    pub order: Span,
    /// How long a stop may take at a worker.
    pub stop: Span,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            lease: Span::from_millis(5_000),
            hold: Span::from_millis(1_000),
            answer: Span::from_millis(600),
            order: Span::from_millis(150),
            stop: Span::from_millis(1_000),
        }
    }
}
