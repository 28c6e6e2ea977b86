//! What has changed on the workers since the last placement pass.
//!
//! A step that has found no room anywhere can only be placed on a worker that
//! has changed since. A pass therefore examines a waiting step against the
//! changed workers only, unless the step itself has changed. Its cost grows
//! with the changes and not with the whole fleet.

use crate::collections::{IndexMap, IndexSet};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::backlog::Usage;
use crate::fleet::dispatch::schedule::Scope;
use crate::fleet::dispatch::session::{RunState, Session};
use crate::fleet::job::Resources;
use crate::id;
use crate::unit::Time;

/// A worker as the last placement pass saw it.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Seen {
    usable: bool,
    available: bool,
    free: Resources,
    removed_runs: u64,
    failures: u32,
}

/// What a placement pass knows of the workers before it starts.
#[derive(Debug, Default)]
pub(crate) struct Survey {
    /// The indexes of the workers that may now take tasks that they couldn't
    /// take in the last pass, in ascending order.
    pub(crate) changed: Vec<usize>,
    /// The most of each resource that is free on one of these workers.
    pub(crate) room: Resources,
    /// The indexes of the workers that tasks may avoid, as runs have failed there.
    pub(crate) avoided: Vec<usize>,
    /// What the pass has to look at.
    pub(crate) scope: Scope,
    /// The number of runs that are being stopped; zero in a pass that doesn't plan.
    pub(crate) stopping: usize,
    /// The indexes of the workers with a run that a step of the highest priority may
    /// preempt, in ascending order; none until a step needs them.
    pub(crate) preemptible: Option<Vec<usize>>,
    /// Each pool's capacity and use; none until a step's tasks have waited for long.
    pub(crate) usages: Option<IndexMap<String, Usage>>,
    /// The teams for whose limit the pass has preempted tasks; one step each is enough.
    pub(crate) preempting_teams: IndexSet<id::Team>,
}

impl Seen {
    /// The present state of a worker.
    fn now(session: &Session, now: Time) -> Self {
        Self {
            usable: session.is_usable(now),
            available: session.is_available(),
            free: session.free(),
            removed_runs: session.removed_runs,
            failures: session.probation.failures(),
        }
    }

    /// Whether the worker may take tasks that it couldn't take before.
    fn has_gained(&self, before: &Self) -> bool {
        self.usable
            && (!before.usable
                || self.removed_runs != before.removed_runs
                || self.failures < before.failures
                || !self.free.fits(&before.free))
    }
}

impl Dispatcher {
    /// Compares the workers with what the last pass saw.
    pub(super) fn survey(&mut self, scope: Scope, now: Time) -> Survey {
        if scope.full {
            // Workers that a step hasn't asked about may have got room.
            for stage in self.stages.values_mut() {
                stage.may_ask = true;
            }
        }
        let mut survey = Survey {
            scope,
            ..Survey::default()
        };
        let mut available_again = Vec::new();
        for (index, (worker, session)) in self.sessions.iter_mut().enumerate() {
            let state = Seen::now(session, now);
            let before = std::mem::replace(&mut session.seen, state);
            if state.has_gained(&before) {
                survey.changed.push(index);
            }
            if session.probation.is_on() || session.probation.is_paused(now) {
                survey.avoided.push(index);
            }
            if state.available && !before.available {
                available_again.push(worker.clone());
            }
            if scope.plans {
                let runs = session.runs.values();
                let stopping = runs.filter(|run| run.state == RunState::Stopping);
                survey.stopping += stopping.count();
            }
        }
        self.offer_for_advice(&available_again);
        // A worker that was reserved may take other steps' tasks once it isn't.
        let reserved = std::mem::take(&mut self.reserved_workers);
        let reserved = reserved
            .iter()
            .filter_map(|worker| self.sessions.get_index_of(worker));
        survey.changed.extend(reserved);
        survey.changed.sort_unstable();
        survey.changed.dedup();
        let changed = survey.changed.iter();
        let changed = changed.filter_map(|&index| self.sessions.get_index(index));
        survey.room = changed.fold(Resources::default(), |room, (_, session)| {
            room.most(&session.free())
        });
        survey
    }

    /// Lets steps ask for advice about workers that have become available.
    fn offer_for_advice(&mut self, workers: &[id::Worker]) {
        if workers.is_empty() {
            return;
        }
        let unsettled = self.stages.values_mut().filter(|stage| !stage.may_ask);
        for stage in unsettled {
            stage.may_ask = workers.iter().any(|worker| !stage.asked.contains(worker));
        }
    }
}
