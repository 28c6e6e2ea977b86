//! A bound on how much retries may add to the load.

/// How many replies earn one retry; retries are at most a tenth of the calls
/// that got a reply.
const REPLIES_PER_RETRY: u32 = 10;

/// A retry budget: allows retries in proportion to the calls that got replies.
///
/// ```
/// use gentianlane::admit::Budget;
/// let mut budget = Budget::new(1);
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// (0..10).for_each(|_| budget.earn());
/// assert!(budget.spend());
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    /// What is left, where [`REPLIES_PER_RETRY`] pays for one retry.
    left: u32,
    limit: u32,
}

impl Budget {
    /// A full budget that holds at most this many retries.
    #[must_use]
    pub fn new(retries: u32) -> Self {
        let limit = retries.saturating_mul(REPLIES_PER_RETRY);
        Self { left: limit, limit }
    }

    /// Records that a call got its reply.
    pub fn earn(&mut self) {
        self.left = self.left.saturating_add(1).min(self.limit);
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn spend(&mut self) -> bool {
        match self.left.checked_sub(REPLIES_PER_RETRY) {
            Some(left) => {
                self.left = left;
                true
            }
            None => false,
        }
    }
}
