//! Jobs that were cancelled before they were submitted.
//!
//! A submission may arrive long after its caller has cancelled the job: an entry keeps
//! it while no leader is known, or stands still. The id is therefore recorded, and the
//! log decides which of the two came first.

use serde::{Deserialize, Serialize};

use crate::collections::IndexMap;
use crate::fleet::job::{Id, Phase};
use crate::fleet::{Event, State};
use crate::id;
use crate::unit::Wall;

/// The most ids that are recorded; it bounds the memory in use.
pub(crate) const WITHDRAWN_LIMIT: usize = 65_536;

/// The cancelled ids by the team of the caller, none for a caller without a key, each
/// with the time of its cancellation.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Withdrawn {
    ids: IndexMap<(Option<id::Team>, Id), Wall>,
}

impl Withdrawn {
    /// When a job was cancelled before its submission, if it was.
    pub(crate) fn at(&self, team: Option<&id::Team>, job: Id) -> Option<Wall> {
        self.ids.get(&(team.cloned(), job)).copied()
    }

    /// Whether as many ids are recorded as may be.
    pub(crate) fn is_full(&self) -> bool {
        self.ids.len() >= WITHDRAWN_LIMIT
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Drops the ids that were cancelled before a time.
    pub(super) fn expire(&mut self, before: Wall) {
        self.ids.retain(|_, at| *at >= before);
    }
}

impl State {
    /// The jobs that were cancelled before they were submitted.
    pub(crate) fn withdrawn(&self) -> &Withdrawn {
        &self.withdrawn
    }

    /// Whether a caller of a queue may read and cancel a job: its own team's, one
    /// without an owner, or any job of a public queue.
    pub(crate) fn may_access(
        &self,
        job: &Id,
        queue: &str,
        team: Option<&id::Team>,
    ) -> bool {
        let (Some(access), Some(owner)) = (self.owners.access(), self.owners.of(job))
        else {
            return true;
        };
        let is_in_queue = || self.job(job).is_some_and(|job| job.queue == queue);
        Some(&owner.team) == team || (access.is_public(queue) && is_in_queue())
    }

    /// Cancels a job that wasn't known when its cancellation was proposed, or records
    /// its id if it still isn't.
    pub(super) fn withdraw(
        &mut self,
        at: Wall,
        job: Id,
        queue: &str,
        team: Option<id::Team>,
    ) -> Vec<Event> {
        if self.job(&job).is_none() {
            self.withdrawn.ids.insert((team, job), at);
            return vec![Event::UnknownJobCancelled(job)];
        }
        match self.may_access(&job, queue, team.as_ref()) {
            true => self.finish_job(job, Phase::Cancelled, at),
            false => vec![Event::UnknownJobCancelled(job)],
        }
    }
}
