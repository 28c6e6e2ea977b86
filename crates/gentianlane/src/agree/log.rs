//! The log as one node holds it in memory.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::agree::{Position, Voters};

/// One leadership; at most one node leads in each.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// A place in the log, counted from one; zero is before the first entry.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Index(pub u64);

impl Index {
    /// The place after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The place before this one, or zero.
    #[must_use]
    pub const fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub index: Index,
    /// The term in which a leader took it up.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term.
    Empty,
    /// A command to the state above, opaque here.
    Command(Vec<u8>),
    /// The voters from this entry on.
    Voters(Voters),
}

impl Payload {
    /// About how many bytes it takes in a message.
    #[must_use]
    pub fn weight(&self) -> usize {
        const OVERHEAD: usize = 16;
        match self {
            Self::Command(bytes) => bytes.len() + OVERHEAD,
            Self::Empty | Self::Voters(_) => OVERHEAD,
        }
    }
}

/// The entries after a base that is known by its position alone.
#[derive(Debug, Default, Clone)]
pub(crate) struct Log {
    base: Position,
    entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn new(base: Position, entries: Vec<Entry>) -> Self {
        Self { base, entries }
    }

    pub(crate) fn last(&self) -> Position {
        match self.entries.last() {
            Some(entry) => Position {
                index: entry.index,
                term: entry.term,
            },
            None => self.base,
        }
    }

    /// The term of the entry at `index`, if it is known here.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from `from` on, up to about `limit` bytes, at least one.
    pub(crate) fn from(&self, from: Index, limit: usize) -> &[Entry] {
        let Some(offset) = from.0.checked_sub(self.base.index.0 + 1) else {
            return &[];
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let Some(rest) = self.entries.get(start..) else {
            return &[];
        };
        let mut weight = 0;
        let fits = |entry: &&Entry| {
            weight += entry.payload.weight();
            weight <= limit
        };
        let count = rest.iter().take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    /// The entries from `from` to `to`, both included.
    pub(crate) fn between(&self, from: Index, to: Index) -> Vec<Entry> {
        let inside = |entry: &&Entry| entry.index >= from && entry.index <= to;
        self.entries.iter().filter(inside).cloned().collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub(crate) fn cut(&mut self, index: Index) {
        self.entries.retain(|entry| entry.index < index);
    }

    /// The newest voters that the log names.
    pub(crate) fn voters(&self) -> Option<&Voters> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Voters(voters) => Some(voters),
                Payload::Empty | Payload::Command(_) => None,
            })
    }
}
