//! A node's copy of the log in memory.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::consensus::{Position, Voters};

/// A Raft term. At most one node is elected leader in each.
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

/// The index of a log entry, counted from one; zero precedes the first entry.
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
    /// The following index.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The preceding index, or zero.
    #[must_use]
    pub const fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its index in the log.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation: a leader starts its term with it, since it can commit
    /// earlier entries only along with one of its own term.
    Empty,
    /// An encoded command to the replicated state, opaque to this module.
    Command(Vec<u8>),
    /// The set of voters in force from this entry on.
    Voters(Voters),
}

impl Payload {
    /// The approximate size in a message, in bytes.
    #[must_use]
    pub fn approximate_size(&self) -> usize {
        const OVERHEAD: usize = 16;
        match self {
            Self::Command(bytes) => bytes.len() + OVERHEAD,
            Self::Empty | Self::Voters(_) => OVERHEAD,
        }
    }
}

/// The entries after a base, of which only index and term are known.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    base: Position,
    entries: Vec<Entry>,
    /// The sets of voters with the index from which each is in force; the
    /// first is the one at the base.
    voters: Vec<(Index, Voters)>,
}

impl Log {
    /// Creates a log that begins after `base`. Entries that don't follow on
    /// their predecessor, by index and term, are skipped.
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

    /// The position before the first entry in memory.
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

    /// The term of the entry at `index`; `None` if it is compacted away or not
    /// stored yet.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        let entry = self.entries.get(self.offset(index)?)?;
        Some(entry.term)
    }

    /// The offset in `entries` of the entry at `index`; `None` if it is
    /// compacted away.
    fn offset(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        usize::try_from(offset).ok()
    }

    /// The entries from `first` on, up to about `limit` bytes but at least one;
    /// empty if there are none.
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

    /// The entries from `first` to `last`, both included; empty if some of them
    /// aren't in memory.
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

    /// Drops the entry at `index` and all later ones.
    pub(crate) fn truncate(&mut self, index: Index) {
        let Some(offset) = self.offset(index) else {
            return;
        };
        self.entries.truncate(offset);
        while self.voters.len() > 1 && self.voters_since() >= index {
            self.voters.pop();
        }
    }

    /// Drops the entries up to `index`, which becomes the new base.
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

    /// The lowest index of the run of entries that ends at `index` and has its
    /// term; the search ends at the base.
    pub(crate) fn first_of_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut first = index;
        while first > self.base.index && self.term(first.prev()) == term {
            first = first.prev();
        }
        first
    }

    /// The newest voters, whether committed or not.
    pub(crate) fn voters(&self) -> &Voters {
        self.voters_at(Index(u64::MAX))
    }

    /// The entry from which the newest voters are in force.
    pub(crate) fn voters_since(&self) -> Index {
        self.voters.last().map_or(Index(0), |(since, _)| *since)
    }

    /// The voters in force at the entry at `index`.
    pub(crate) fn voters_at(&self, index: Index) -> &Voters {
        let upto = self.voters.partition_point(|(since, _)| *since <= index);
        &self.voters[upto.saturating_sub(1)].1
    }
}
