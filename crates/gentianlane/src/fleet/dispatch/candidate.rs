//! Candidates for a step's tasks, and the choice of those for a gang.

use crate::collections::IndexMap;

use crate::fleet::job::Resources;
use crate::id;

/// A worker that can take tasks of a step now.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) worker: id::Worker,
    pub(super) rack: Option<String>,
    /// The free capacity that tasks placed in this pass have left.
    pub(super) free: Resources,
    /// How many more tasks of the step may go there, even if more fit.
    pub(super) task_limit: u32,
    /// Whether the step's data is near another rack.
    pub(super) remote_data: bool,
    /// How badly the worker's speed suits the step; zero is best.
    pub(super) speed_penalty: u64,
    /// How much longer than at the best places a task runs there, in thousandths.
    pub(super) slowdown: u64,
    /// Whether runs have failed there and none has succeeded since.
    pub(super) suspect: bool,
    /// The ticket from advice, if the step needs one.
    pub(super) ticket: Option<String>,
    /// Whether the worker has runs of the step, perhaps of the same task.
    pub(super) has_runs: bool,
    /// The index of the step's only task that may go there, for its trial.
    pub(super) trial: Option<u32>,
    /// Whether the worker has a run of a task that was charged with a crash, or may be.
    pub(super) has_charged_tasks: bool,
}

impl Candidate {
    /// Whether a task with this demand fits, within the task limit.
    pub(super) fn fits(&self, demand: &Resources) -> bool {
        self.task_limit > 0 && demand.fits(&self.free)
    }

    /// How many tasks with this demand fit, up to the task limit.
    pub(super) fn max_tasks(&self, demand: &Resources) -> u32 {
        demand.times_in(&self.free, self.task_limit)
    }

    /// The cost of a task with this demand here, compared field by field; the
    /// lowest wins. What would stay free comes last, which makes it best fit.
    pub(super) fn cost(&self, demand: &Resources) -> (bool, bool, u64, u64, u64) {
        let left = self.free.less(demand);
        (
            self.suspect,
            self.remote_data,
            self.speed_penalty,
            left.accelerators,
            left.millicores,
        )
    }
}

/// The workers for a gang, each with its number of members; none if not all
/// members fit at once.
///
/// With `one_rack`, a rack that has room for the whole gang goes first: that
/// with the fewest workers used.
pub(super) fn choose_gang(
    candidates: Vec<Candidate>,
    demand: &Resources,
    count: u32,
    one_rack: bool,
) -> Option<Vec<(Candidate, u32)>> {
    if one_rack {
        let mut racks: IndexMap<Option<String>, Vec<Candidate>> = IndexMap::default();
        for candidate in &candidates {
            racks
                .entry(candidate.rack.clone())
                .or_default()
                .push(candidate.clone());
        }
        let in_one_rack = racks
            .into_values()
            .filter_map(|rack| pack(rack, demand, count))
            .min_by_key(Vec::len);
        if in_one_rack.is_some() {
            return in_one_rack;
        }
    }
    pack(candidates, demand, count)
}

/// Packs a gang's members on candidates in order of cost; none if not all fit.
fn pack(
    mut candidates: Vec<Candidate>,
    demand: &Resources,
    count: u32,
) -> Option<Vec<(Candidate, u32)>> {
    candidates.sort_by_key(|candidate| candidate.cost(demand));
    let mut left = count;
    let mut chosen = Vec::new();
    for candidate in candidates {
        let members = candidate.max_tasks(demand).min(left);
        if members > 0 {
            left -= members;
            chosen.push((candidate, members));
        }
        if left == 0 {
            return Some(chosen);
        }
    }
    None
}
