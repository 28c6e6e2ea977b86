//! A bound on how much sending again may add to the load.

/// How many replies earn one more sending.
const REPLIES_PER_RETRY: u32 = 10;

/// How often calls may be sent again, as a share of those that got replies.
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
    /// In parts of a retry: [`REPLIES_PER_RETRY`] are one.
    left: u32,
    limit: u32,
}

impl Budget {
    /// A budget that holds at most this many retries, and is full.
    #[must_use]
    pub fn new(retries: u32) -> Self {
        let limit = retries.saturating_mul(REPLIES_PER_RETRY);
        Self { left: limit, limit }
    }

    /// A call got its reply.
    pub fn earn(&mut self) {
        self.left = self.left.saturating_add(1).min(self.limit);
    }

    /// Takes one retry; false if none is left.
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
