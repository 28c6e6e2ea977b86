//! The log as one node holds it in memory.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::consensus::{Position, Voters};

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
    pub fn approximate_size(&self) -> usize {
        const OVERHEAD: usize = 16;
        match self {
            Self::Command(bytes) => bytes.len() + OVERHEAD,
            Self::Empty | Self::Voters(_) => OVERHEAD,
        }
    }
}

/// The entries after a base that is known by its position alone.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    base: Position,
    entries: Vec<Entry>,
    /// The voters from each index on; the first are those at the base.
    voters: Vec<(Index, Voters)>,
}

impl Log {
    /// A log that begins after `base`, with those of the entries that follow on
    /// it in order.
    pub(crate) fn new(base: Position, voters: Voters, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base,
            entries: Vec::new(),
            voters: vec![(base.index, voters)],
        };
        for entry in entries {
            let last = log.last();
            if entry.index == last.index.next() && entry.term >= last.term {
                log.push(entry);
            }
        }
        log
    }

    /// The entry before the first one that is kept.
    pub(crate) fn base(&self) -> Position {
        self.base
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
        let entry = self.entries.get(self.offset(index)?)?;
        Some(entry.term)
    }

    /// How many entries are kept before the one at `index`.
    fn offset(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        usize::try_from(offset).ok()
    }

    /// The entries from `from` on, up to about `limit` bytes, at least one.
    pub(crate) fn entries_from(&self, first: Index, limit: usize) -> &[Entry] {
        let rest = self
            .offset(first)
            .and_then(|start| self.entries.get(start..));
        let Some(rest) = rest else {
            return &[];
        };
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += entry.payload.approximate_size();
            size <= limit
        };
        let count = rest.iter().take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    /// The entries from `from` to `to`, both included.
    pub(crate) fn entries_between(&self, first: Index, last: Index) -> &[Entry] {
        let start = self.offset(first);
        let end = self.offset(last.next());
        let range = start
            .zip(end)
            .and_then(|(start, end)| self.entries.get(start..end));
        range.unwrap_or_default()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Voters(voters) = &entry.payload {
            self.voters.push((entry.index, voters.clone()));
        }
        self.entries.push(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: Index) {
        let Some(offset) = self.offset(index) else {
            return;
        };
        self.entries.truncate(offset);
        while self.voters.len() > 1 && self.voters_since() >= index {
            self.voters.pop();
        }
    }

    /// Forgets the entries up to `index`.
    pub(crate) fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else {
            return;
        };
        let Some(end) = self.offset(index.next()) else {
            return;
        };
        let voters = self.voters_at(index).clone();
        self.voters.retain(|(since, _)| *since > index);
        self.voters.insert(0, (index, voters));
        self.entries.drain(..end);
        self.base = Position { index, term };
    }

    /// The first index of the run of one term that ends at `index`.
    pub(crate) fn first_of_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut first = index;
        while first > self.base.index && self.term(first.prev()) == term {
            first = first.prev();
        }
        first
    }

    /// The newest voters.
    pub(crate) fn voters(&self) -> &Voters {
        self.voters_at(Index(u64::MAX))
    }

    /// Since which entry the newest voters decide.
    pub(crate) fn voters_since(&self) -> Index {
        self.voters.last().map_or(Index(0), |(since, _)| *since)
    }

    /// The voters after the entry at `index`.
    pub(crate) fn voters_at(&self, index: Index) -> &Voters {
        let upto = self.voters.partition_point(|(since, _)| *since <= index);
        &self.voters[upto.saturating_sub(1)].1
    }
}
