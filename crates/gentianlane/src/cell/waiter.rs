//! Calls that wait for the answers to requests.

use indexmap::IndexMap;
use std::collections::BTreeSet;

use crate::cell::node::Ticket;
use crate::id;
use crate::unit::Time;

/// The most calls that wait at a time.
const MAX_WAITERS: usize = 16_384;

/// The waiting calls, by ticket, by the request's key and by the time at which
/// their wait ends.
#[derive(Debug, Default, Clone)]
pub(crate) struct Waiters {
    by_ticket: IndexMap<Ticket, (id::Key, Time)>,
    by_key: IndexMap<id::Key, Vec<Ticket>>,
    by_deadline: BTreeSet<(Time, Ticket)>,
}

impl Waiters {
    /// Adds a call; false if too many calls wait or the ticket is in use.
    pub(crate) fn add(&mut self, key: id::Key, ticket: Ticket, deadline: Time) -> bool {
        if self.by_ticket.len() >= MAX_WAITERS || self.by_ticket.contains_key(&ticket) {
            return false;
        }
        self.by_ticket.insert(ticket, (key, deadline));
        self.by_key.entry(key).or_default().push(ticket);
        self.by_deadline.insert((deadline, ticket));
        true
    }

    /// Whether any call waits for this key's answer.
    pub(crate) fn contains(&self, key: &id::Key) -> bool {
        self.by_key.contains_key(key)
    }

    /// Removes a call; false if it wasn't waiting.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some((key, deadline)) = self.by_ticket.swap_remove(&ticket) else {
            return false;
        };
        self.by_deadline.remove(&(deadline, ticket));
        if let Some(tickets) = self.by_key.get_mut(&key) {
            tickets.retain(|other| *other != ticket);
            if tickets.is_empty() {
                self.by_key.swap_remove(&key);
            }
        }
        true
    }

    /// Removes and returns the calls that wait for this key's answer.
    pub(crate) fn take(&mut self, key: &id::Key) -> Vec<Ticket> {
        let tickets = self.by_key.swap_remove(key).unwrap_or_default();
        for ticket in &tickets {
            if let Some((_, deadline)) = self.by_ticket.swap_remove(ticket) {
                self.by_deadline.remove(&(deadline, *ticket));
            }
        }
        tickets
    }

    /// Removes and returns the calls whose wait has ended.
    pub(crate) fn take_expired(&mut self, now: Time) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        while let Some(&(deadline, ticket)) = self.by_deadline.first() {
            if deadline > now {
                break;
            }
            self.remove(ticket);
            tickets.push(ticket);
        }
        tickets
    }

    /// The tickets of all waiting calls.
    pub(crate) fn pending_tickets(&self) -> impl Iterator<Item = Ticket> {
        self.by_ticket.keys().copied()
    }
}
