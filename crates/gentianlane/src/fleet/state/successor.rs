//! Workers that have started again under their names.
//!
//! Such an incarnation may carry out an order to an earlier one, and takes from it a lease
//! that only the leader which sent the order can know of. It is therefore recorded here
//! until no such lease can last.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::collections::IndexSet;
use crate::fleet::worker::Incarnation;
use crate::fleet::{Event, State, Worker};
use crate::id;

/// How many earlier incarnations are remembered. More would have to be removed within the
/// time in which an order may be carried out late for one to be forgotten too soon.
const REMOVED_LIMIT: usize = 4_096;

/// The workers that may hold a lease from an order to an earlier incarnation.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Successors {
    /// Of the registered incarnations, those that may hold such a lease.
    unsettled: IndexSet<id::Worker>,
    /// The incarnations that were removed or replaced last, the oldest first.
    removed: VecDeque<Removed>,
}

/// An incarnation that was removed or replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Removed {
    incarnation: Incarnation,
    /// Whether it had drained, so that it takes no task again.
    drained: bool,
}

impl Successors {
    /// Records a registration in place of `earlier`, if there was one.
    pub(super) fn register(
        &mut self,
        incarnation: &Incarnation,
        earlier: Option<&Worker>,
    ) {
        let is_earlier = |other: &Incarnation| {
            other.worker == incarnation.worker && other != incarnation
        };
        let earlier = earlier.filter(|earlier| is_earlier(&earlier.incarnation));
        let mut removed = self.removed.iter();
        if earlier.is_some() || removed.any(|removed| is_earlier(&removed.incarnation)) {
            self.unsettled.insert(incarnation.worker.clone());
        }
        if let Some(earlier) = earlier {
            self.remember(earlier);
        }
    }

    /// Records that a registered incarnation has been removed.
    pub(super) fn remove(&mut self, worker: &Worker) {
        self.unsettled.swap_remove(&worker.incarnation.worker);
        self.remember(worker);
    }

    fn remember(&mut self, worker: &Worker) {
        if self.removed.len() >= REMOVED_LIMIT {
            self.removed.pop_front();
        }
        self.removed.push_back(Removed {
            incarnation: worker.incarnation.clone(),
            drained: worker.draining,
        });
    }
}

impl State {
    /// Whether the registered incarnation of a worker may hold a lease from an order to
    /// an earlier one.
    pub(crate) fn is_unsettled(&self, worker: &id::Worker) -> bool {
        self.successors.unsettled.contains(worker)
    }

    /// Whether an incarnation that was removed had drained.
    pub(crate) fn has_drained(&self, incarnation: &Incarnation) -> bool {
        let mut removed = self.successors.removed.iter();
        removed.any(|removed| removed.incarnation == *incarnation && removed.drained)
    }

    /// Records that an incarnation holds no lease from an order to an earlier one.
    pub(super) fn settle(&mut self, incarnation: &Incarnation) -> Vec<Event> {
        let current = self.workers.get(&incarnation.worker);
        if current.is_some_and(|worker| worker.incarnation == *incarnation) {
            self.successors.unsettled.swap_remove(&incarnation.worker);
        }
        Vec::new()
    }
}
