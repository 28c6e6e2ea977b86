//! Lease extensions without an answer, which a worker may still carry out seconds
//! later.
//!
//! Their deadlines refer to the clock of one incarnation. That of the next one
//! starts anew, so a worker that has restarted under the same name takes such a
//! deadline for the longest lease that it grants.

use crate::collections::IndexMap;

use crate::fleet::dispatch::session::longest_lease;
use crate::fleet::dispatch::unconfirmed::MAX_ORDER_DELAY;
use crate::id;
use crate::unit::{Span, Time};

/// A lease that an incarnation may hold from an order to an earlier one under its name.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LateGrant {
    /// By when it has certainly ended.
    pub(crate) ends_by: Time,
    /// Whether the incarnation refuses all orders to earlier ones, so that it takes no
    /// other such lease.
    pub(crate) is_last: bool,
}

impl LateGrant {
    /// A lease that may be taken anew at any time.
    pub(crate) const fn until(ends_by: Time) -> Self {
        Self {
            ends_by,
            is_last: false,
        }
    }

    /// Notes that the incarnation has answered an order, whose fencing token is higher than
    /// that of any order to an earlier one: it has taken no such lease of at most `limit`
    /// since.
    pub(crate) fn note_answer(&mut self, limit: Span, now: Time) {
        if !self.is_last {
            self.ends_by = now.after(longest_lease(limit));
            self.is_last = true;
        }
    }
}

/// When the newest lease extension without an answer was sent, by worker.
#[derive(Debug, Default, Clone)]
pub(crate) struct UnansweredGrants {
    sent_at: IndexMap<id::Worker, Time>,
}

impl UnansweredGrants {
    /// Records a lease extension without an answer.
    pub(crate) fn add(&mut self, worker: &id::Worker, sent_at: Time) {
        let newest = self.sent_at.entry(worker.clone()).or_insert(sent_at);
        *newest = (*newest).max(sent_at);
    }

    /// Removes the extensions that can't be carried out any more.
    pub(crate) fn expire(&mut self, now: Time) {
        let sent_at = &mut self.sent_at;
        sent_at.retain(|_, sent_at| now < sent_at.after(MAX_ORDER_DELAY));
    }

    /// By when a lease of at most `limit` that a new incarnation takes from such an
    /// extension has certainly ended; none if there is no extension.
    pub(crate) fn lease_end(
        &self,
        worker: &id::Worker,
        limit: Span,
        now: Time,
    ) -> Option<Time> {
        let carried_out = self.sent_at.get(worker)?.after(MAX_ORDER_DELAY);
        (now < carried_out).then(|| carried_out.after(longest_lease(limit)))
    }
}
