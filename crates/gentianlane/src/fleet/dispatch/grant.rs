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
