//! The replicated record of which team owns which job.

use serde::{Deserialize, Serialize};

use crate::collections::IndexMap;
use crate::fleet::job::{Id, Resources, Spec, Task};
use crate::fleet::team::{Access, Charge, Team};
use crate::id;

/// A job's owner, with what is needed to account for its runs. It outlives the
/// job's specification, since runs of a finished job may still be active.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The team whose caller submitted the job.
    pub team: id::Team,
    /// Whether the team submitted the job beyond its share.
    pub beyond_share: bool,
    /// For each step the number of its tasks, and what each of them uses.
    steps: Vec<(u32, Resources)>,
}

/// Who owns the jobs, and which teams there are.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    /// The teams of the plan in force; none if it has no teams.
    access: Option<Access>,
    /// Teams that a later plan has dropped while they owned jobs. Their limits
    /// still hold for these.
    dropped: IndexMap<id::Team, Team>,
    jobs: IndexMap<Id, Owner>,
}

impl Owner {
    pub(crate) fn new(team: id::Team, beyond_share: bool, spec: &Spec) -> Self {
        let steps = spec.steps.iter().map(|step| (step.count, step.resources));
        Self {
            team,
            beyond_share,
            steps: steps.collect(),
        }
    }

    /// What a run of a task counts for.
    pub(crate) fn charge(&self, task: &Task) -> Option<Charge> {
        let (_, amount) = self.steps.get(usize::from(task.stage.step))?;
        Some(Charge {
            team: self.team.clone(),
            amount: *amount,
        })
    }

    /// What all tasks of the job use if they run at the same time.
    pub(crate) fn total(&self) -> Resources {
        let steps = self.steps.iter();
        let step = |(count, amount): &(u32, Resources)| amount.times(u64::from(*count));
        steps.fold(Resources::default(), |sum, it| sum.plus(&step(it)))
    }
}

impl Owners {
    /// The teams of the plan in force; none if it has no teams.
    #[must_use]
    pub fn access(&self) -> Option<&Access> {
        self.access.as_ref()
    }

    /// A job's owner; none if it was submitted without a key.
    #[must_use]
    pub fn of(&self, job: &Id) -> Option<&Owner> {
        self.jobs.get(job)
    }

    /// All jobs that have an owner.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = (&Id, &Owner)> {
        self.jobs.iter()
    }

    /// The teams with their limits, also those that are dropped.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&id::Team, &Team)> {
        let current = self.access.iter().flat_map(Access::teams);
        current.chain(&self.dropped)
    }

    pub(crate) fn insert(&mut self, job: Id, owner: Owner) {
        self.jobs.insert(job, owner);
    }

    /// Replaces the teams. Those that are gone but own jobs keep their limits.
    pub(crate) fn replace_access(&mut self, access: Option<Access>) {
        let old = std::mem::replace(&mut self.access, access);
        let mut dropped = std::mem::take(&mut self.dropped);
        let old = old.iter().flat_map(Access::teams);
        dropped.extend(old.map(|(name, team)| (name.clone(), *team)));
        let access = self.access.as_ref();
        let jobs = &self.jobs;
        dropped.retain(|name, _| {
            let is_current = access.is_some_and(|access| access.team(name).is_some());
            !is_current && jobs.values().any(|owner| owner.team == *name)
        });
        self.dropped = dropped;
    }

    /// Removes the owners of jobs that aren't kept any more.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&Id) -> bool) {
        self.jobs.retain(|job, _| is_kept(job));
        let jobs = &self.jobs;
        self.dropped
            .retain(|name, _| jobs.values().any(|owner| owner.team == *name));
    }
}
