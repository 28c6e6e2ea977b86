//! Distributes advice requests over relays.
//!
//! The adviser serves only one request at a time per client VM. The leader
//! therefore sends its requests through relays, which are its own process and
//! the entries connected to it, with one request in flight on each.

use crate::collections::IndexMap;

use crate::fleet::job::Stage;
use crate::fleet::order::{AdviceRequest, CallId};
use crate::id;
use crate::unit::{Span, Time};

/// A process that relays the leader's advice requests; the number is unique
/// within the leader's process.
pub type Relay = u64;

/// How long an answer may take beyond the adviser's own processing time.
///
/// Counted twice until a request expires here, so that a relay's own timeout
/// comes first.
const ANSWER_MARGIN: Span = Span::from_millis(1_200);

/// How long a relay gets no requests after one without an answer.
const RELAY_BACKOFF: Span = Span::from_millis(1_500);

/// The relays and their requests in flight.
#[derive(Debug, Default, Clone)]
pub(crate) struct Relays {
    relays: IndexMap<Relay, Option<Query>>,
    /// Relays that get no requests yet, each with the time when this ends.
    backing_off: IndexMap<Relay, Time>,
}

/// An advice request in flight.
#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) id: CallId,
    pub(crate) stage: Stage,
    pub(crate) workers: Vec<id::Worker>,
    pub(crate) sent_at: Time,
    pub(crate) deadline: Time,
}

impl Relays {
    /// Adds a relay.
    pub(crate) fn add(&mut self, relay: Relay) {
        self.relays.entry(relay).or_insert(None);
    }

    /// Removes a relay, and returns its request in flight.
    pub(crate) fn remove(&mut self, relay: Relay) -> Option<Query> {
        self.backing_off.swap_remove(&relay);
        self.relays.swap_remove(&relay).flatten()
    }

    /// A relay with no request in flight that isn't backing off.
    pub(crate) fn idle(&mut self, now: Time) -> Option<Relay> {
        self.backing_off.retain(|_, until| *until > now);
        let not_backing_off = |relay: &Relay| !self.backing_off.contains_key(relay);
        let mut free = self.relays.iter().filter(|(_, query)| query.is_none());
        free.find(|(relay, _)| not_backing_off(relay))
            .map(|(&relay, _)| relay)
    }

    /// The stages that have a request in flight.
    pub(crate) fn asking_stages(&self) -> impl Iterator<Item = &Stage> {
        let queries = self.relays.values().flatten();
        queries.map(|query| &query.stage)
    }

    /// The number of relays.
    pub(crate) fn count(&self) -> usize {
        self.relays.len()
    }

    /// The number of relays that [`Relays::idle`] can choose from.
    pub(crate) fn idle_count(&self, now: Time) -> usize {
        let not_backing_off = |relay: &Relay| {
            self.backing_off
                .get(relay)
                .is_none_or(|&until| until <= now)
        };
        let free = self.relays.iter().filter(|(_, query)| query.is_none());
        free.filter(|(relay, _)| not_backing_off(relay)).count()
    }

    /// Assigns a request to a relay, and returns it for sending.
    ///
    /// `duration` is the time that the adviser takes.
    pub(crate) fn assign(
        &mut self,
        relay: Relay,
        id: CallId,
        stage: Stage,
        workers: Vec<id::Worker>,
        duration: Span,
        now: Time,
    ) -> AdviceRequest {
        let timeout = duration + ANSWER_MARGIN;
        let query = Query {
            id,
            stage,
            workers: workers.clone(),
            sent_at: now,
            deadline: now.after(timeout).after(ANSWER_MARGIN),
        };
        self.relays.insert(relay, Some(query));
        AdviceRequest {
            id,
            stage,
            workers,
            timeout,
        }
    }

    /// Removes the request that a relay has answered; none if it isn't the one
    /// in flight there.
    pub(crate) fn complete(&mut self, relay: Relay, id: CallId) -> Option<Query> {
        let slot = self.relays.get_mut(&relay)?;
        if slot.as_ref().is_none_or(|query| query.id != id) {
            return None;
        }
        slot.take()
    }

    /// Gives a relay no requests for a while, after it reported no answer.
    pub(crate) fn back_off(&mut self, relay: Relay, now: Time) {
        self.backing_off.insert(relay, now.after(RELAY_BACKOFF));
    }

    /// Removes the requests whose relays haven't replied in time, and lets
    /// these relays back off.
    pub(crate) fn take_expired(&mut self, now: Time) -> Vec<Query> {
        let mut expired = Vec::new();
        for (&relay, slot) in &mut self.relays {
            if slot.as_ref().is_some_and(|query| query.deadline <= now) {
                expired.extend(slot.take());
                self.backing_off.insert(relay, now.after(RELAY_BACKOFF));
            }
        }
        expired
    }
}
