//! The jobs with occurrences that aren't opened yet, by when the next one is due.

use std::collections::BTreeSet;

use crate::collections::IndexMap;
use crate::fleet::job::Id;
use crate::unit::Wall;

/// The first occurrence of each job that isn't opened yet, so that those that are due are
/// found without a look at the others.
#[derive(Debug, Default, Clone)]
pub(crate) struct Recurrences {
    jobs: IndexMap<Id, (u32, Wall)>,
    by_due: BTreeSet<(Wall, Id)>,
}

impl Recurrences {
    /// The first occurrence of a job that isn't opened yet; the first of all if the job is
    /// new.
    pub(crate) fn next(&self, id: &Id) -> u32 {
        self.jobs.get(id).map(|(next, _)| *next).unwrap_or_default()
    }

    /// Sets that occurrence, and when it is due.
    pub(crate) fn set(&mut self, id: Id, next: u32, due: Wall) {
        self.remove(&id);
        self.jobs.insert(id, (next, due));
        self.by_due.insert((due, id));
    }

    /// Removes a job that is over, or of which all occurrences are opened.
    pub(crate) fn remove(&mut self, id: &Id) {
        if let Some((_, due)) = self.jobs.swap_remove(id) {
            self.by_due.remove(&(due, *id));
        }
    }

    /// The jobs with an occurrence that is due.
    pub(crate) fn due(&self, wall: Wall) -> impl Iterator<Item = Id> {
        let due = self.by_due.iter();
        due.take_while(move |(due, _)| *due <= wall)
            .map(|(_, id)| *id)
    }
}
