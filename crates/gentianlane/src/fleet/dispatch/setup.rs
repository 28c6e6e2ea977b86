//! Settings of the dispatcher.

use crate::unit::Span;

/// The dispatcher's timeouts and limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// The length of a worker's lease. Longer than a change of leader takes, so
    /// that runs survive one, and at most what workers accept.
    pub lease: Span,
    /// The longest lease that workers grant, whatever an order asks for.
    pub lease_limit: Span,
    /// How long a worker delays its answer to a lease renewal (a long poll)
    /// while no run ends there.
    pub renewal_wait: Span,
    /// The most renewals under way at a time; each takes a connection for as long as
    /// its worker delays the answer. With more workers than that they take turns.
    pub renewal_limit: usize,
    /// How long the answer to a renewal may take beyond that wait.
    pub renewal_margin: Span,
    /// The timeout of all other orders. Workers execute these at once, and a
    /// start that waits longer makes its job late.
    pub order_timeout: Span,
    /// How long a worker may take to stop a run.
    pub stop_time: Span,
    /// Whether workers' speeds are learned and tasks are placed by them.
    pub learn_speeds: bool,
    /// Whether tasks wait for a better place where that pays; see
    /// [`crate::fleet::dispatch::wait`].
    pub wait_for_places: bool,
    /// The most memory that jobs are reckoned to take, in bytes.
    pub job_memory: u64,
    /// How much longer a task runs away from its data, or a gang on several racks, in
    /// thousandths.
    pub remote_slowdown: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            lease: Span::from_millis(5_000),
            lease_limit: Span::from_millis(6_000),
            renewal_wait: Span::from_millis(1_000),
            renewal_limit: usize::MAX,
            renewal_margin: Span::from_millis(600),
            order_timeout: Span::from_millis(150),
            stop_time: Span::from_millis(1_000),
            learn_speeds: false,
            wait_for_places: false,
            job_memory: 64 << 20,
            remote_slowdown: 1_000,
        }
    }
}
