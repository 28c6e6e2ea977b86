//! Calls that wait for a request's answer.

use indexmap::IndexMap;
use std::collections::BTreeSet;

use crate::cell::node::Ticket;
use crate::id;
use crate::unit::Time;

/// How many calls are held at a time.
const HOLD_COUNT_LIMIT: usize = 16_384;

/// The calls that wait, by ticket, by key and by the time at which they are up.
#[derive(Debug, Default, Clone)]
pub(crate) struct Holds {
    calls: IndexMap<Ticket, (id::Key, Time)>,
    keys: IndexMap<id::Key, Vec<Ticket>>,
    times: BTreeSet<(Time, Ticket)>,
}

impl Holds {
    /// Holds a call; false if too many are held, or if the ticket is in use.
    pub(crate) fn add(&mut self, key: id::Key, ticket: Ticket, until: Time) -> bool {
        if self.calls.len() >= HOLD_COUNT_LIMIT || self.calls.contains_key(&ticket) {
            return false;
        }
        self.calls.insert(ticket, (key, until));
        self.keys.entry(key).or_default().push(ticket);
        self.times.insert((until, ticket));
        true
    }

    /// Whether any call waits for this key's answer.
    pub(crate) fn contains(&self, key: &id::Key) -> bool {
        self.keys.contains_key(key)
    }

    /// Holds a call no more; false if it wasn't held.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let Some((key, until)) = self.calls.swap_remove(&ticket) else {
            return false;
        };
        self.times.remove(&(until, ticket));
        if let Some(tickets) = self.keys.get_mut(&key) {
            tickets.retain(|other| *other != ticket);
            if tickets.is_empty() {
                self.keys.swap_remove(&key);
            }
        }
        true
    }

    /// Takes out the calls that wait for this key's answer.
    pub(crate) fn take(&mut self, key: &id::Key) -> Vec<Ticket> {
        let tickets = self.keys.swap_remove(key).unwrap_or_default();
        for ticket in &tickets {
            if let Some((_, until)) = self.calls.swap_remove(ticket) {
                self.times.remove(&(until, *ticket));
            }
        }
        tickets
    }

    /// Takes out the calls whose time is up.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        while let Some(&(until, ticket)) = self.times.first() {
            if until > now {
                break;
            }
            self.remove(ticket);
            tickets.push(ticket);
        }
        tickets
    }

    /// All calls that are held.
    pub(crate) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.calls.keys().copied()
    }
}
