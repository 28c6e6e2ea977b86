//! What the journal's records add up to.

use gentianlane::consensus::{DurableState, Entry, Index, Position, Snapshot, Term};

use crate::Record;

/// The terms of a log's entries, as runs.
#[derive(Debug, Default, Clone)]
pub(crate) struct Terms {
    /// The entry before the first one.
    base: Position,
    /// The first index of each run of entries of one term.
    runs: Vec<Position>,
    last: Index,
}

impl Terms {
    /// The terms of a log that is empty after a base.
    pub(crate) fn new(base: Position) -> Self {
        Self {
            base,
            runs: Vec::new(),
            last: base.index,
        }
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    /// The newest index.
    pub(crate) fn last(&self) -> Index {
        self.last
    }

    /// The newest entry.
    pub(crate) fn position(&self) -> Position {
        Position {
            index: self.last,
            term: self.term(self.last).unwrap_or_default(),
        }
    }

    /// Whether an entry may be put: it follows on the log or replaces its end.
    pub(crate) fn accepts(&self, entry: &Entry) -> bool {
        entry.index > self.base.index && entry.index <= self.last.next()
    }

    /// Puts an entry in place of those from its index on.
    ///
    /// An entry that the base covers only takes those after it away.
    pub(crate) fn insert(&mut self, entry: &Entry) {
        self.truncate(entry.index);
        if entry.index <= self.base.index {
            return;
        }
        let newest = self.runs.last().map(|run| run.term);
        if newest != Some(entry.term) {
            self.runs.push(Position {
                index: entry.index,
                term: entry.term,
            });
        }
        self.last = entry.index;
    }

    fn truncate(&mut self, index: Index) {
        while self.runs.last().is_some_and(|run| run.index >= index) {
            self.runs.pop();
        }
        self.last = self.last.min(index.prev()).max(self.base.index);
    }

    /// The term of the entry at `index`.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        if index > self.last {
            return None;
        }
        let run = self.runs.iter().rev().find(|run| run.index <= index);
        run.map(|run| run.term)
    }

    /// Moves the base on; false if the log doesn't hold it, and is now empty.
    pub(crate) fn rebase(&mut self, base: Position) -> bool {
        if self.term(base.index) != Some(base.term) {
            *self = Self::new(base);
            return false;
        }
        let next = base.index.next();
        let term = self.term(next);
        self.runs.retain(|run| run.index > next);
        if let Some(term) = term {
            self.runs.insert(0, Position { index: next, term });
        }
        self.base = base;
        true
    }
}

/// What the records that were read so far add up to.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) state: DurableState,
    pub(crate) terms: Terms,
    /// The number of the snapshot that the log follows on, or zero.
    pub(crate) snapshot_number: u64,
}

impl Replay {
    /// A log that is empty after a snapshot.
    pub(crate) fn from_snapshot(number: u64, snapshot: Snapshot) -> Self {
        Self {
            terms: Terms::new(snapshot.last),
            state: DurableState {
                snapshot: Some(snapshot),
                ..DurableState::default()
            },
            snapshot_number: number,
        }
    }

    /// A log that is empty after a snapshot that isn't kept here.
    pub(crate) fn from_position(number: u64, last: Position) -> Self {
        Self {
            state: DurableState::default(),
            terms: Terms::new(last),
            snapshot_number: number,
        }
    }

    /// Takes a record; `None` if it leaves a gap in the log.
    pub(crate) fn apply(&mut self, record: Record) -> Option<()> {
        let entry = match record {
            Record::Ballot(ballot) => {
                self.state.ballot = ballot;
                return Some(());
            }
            Record::Entry(entry) => entry,
        };
        if entry.index > self.terms.last().next() {
            return None;
        }
        self.terms.insert(&entry);
        let base = self.terms.base().index;
        let kept = entry.index.prev().0.saturating_sub(base.0);
        self.state.entries.truncate(usize::try_from(kept).ok()?);
        if entry.index > base {
            self.state.entries.push(entry);
        }
        Some(())
    }
}
