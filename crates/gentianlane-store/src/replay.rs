//! Rebuilds the durable state from the records of the journal.

use gentianlane::consensus::{DurableState, Entry, Index, Position, Snapshot, Term};

use crate::Record;

/// The term of each entry in a log, stored as runs of equal terms.
#[derive(Debug, Default, Clone)]
pub(crate) struct Terms {
    /// The position before the first entry: the snapshot's last entry.
    base: Position,
    /// The position of the first entry of each run.
    runs: Vec<Position>,
    /// The index of the last entry, or of the base if there is none.
    last: Index,
}

impl Terms {
    /// The terms of a log without entries after a base.
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

    /// The index of the last entry, or of the base if there is none.
    pub(crate) fn last(&self) -> Index {
        self.last
    }

    /// The position of the last entry, or the base if there is none.
    pub(crate) fn position(&self) -> Position {
        Position {
            index: self.last,
            term: self.term(self.last).unwrap_or_default(),
        }
    }

    /// Whether an entry follows the log or replaces its end.
    pub(crate) fn accepts(&self, entry: &Entry) -> bool {
        entry.index > self.base.index && entry.index <= self.last.next()
    }

    /// Inserts an entry in place of all entries from its index on.
    ///
    /// An entry that the base covers isn't stored, but still truncates the log.
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

    /// Moves the base to a later entry; if the log doesn't contain that entry,
    /// empties the log and returns false.
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

/// The durable state after the records that were read so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) state: DurableState,
    pub(crate) terms: Terms,
    /// The number of the snapshot that the log follows, or zero.
    pub(crate) snapshot_number: u64,
}

impl Replay {
    /// The state of a snapshot without later entries.
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

    /// The same for a snapshot of which only the last position is known.
    pub(crate) fn from_position(number: u64, last: Position) -> Self {
        Self {
            state: DurableState::default(),
            terms: Terms::new(last),
            snapshot_number: number,
        }
    }

    /// Applies a record; `None` if it would leave a gap in the log.
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
