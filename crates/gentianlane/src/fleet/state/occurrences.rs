//! The progress of a job's occurrences.
//!
//! A job may have many occurrences, most of which are due in hours or over. Only those of
//! which a run has ended and that aren't complete take memory, beside the gaps between those
//! that are.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use super::Progress;
use crate::fleet::job::{Spec, Stage, Task};
use crate::fleet::state::Unit;

/// The progress of a job's occurrences.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Occurrences {
    /// The progress of each step of the occurrences that have begun and aren't complete.
    begun: BTreeMap<u32, Vec<Progress>>,
    /// The complete ones, as ranges that don't touch: the first and the one after the last.
    complete: BTreeMap<u32, u32>,
}

impl Occurrences {
    /// Whether all tasks of an occurrence have succeeded.
    pub(crate) fn is_complete(&self, occurrence: u32) -> bool {
        let range = self.complete.range(..=occurrence).next_back();
        range.is_some_and(|(_, end)| occurrence < *end)
    }

    /// Whether all tasks of the first `count` occurrences have succeeded.
    pub(crate) fn are_complete(&self, count: u32) -> bool {
        self.first_open(0) >= count
    }

    /// The first occurrence from `from` on that isn't complete.
    pub(crate) fn first_open(&self, from: u32) -> u32 {
        let range = self.complete.range(..=from).next_back();
        range.map_or(from, |(_, end)| from.max(*end))
    }

    /// Whether any run has ended.
    pub(crate) fn has_ended_runs(&self) -> bool {
        !self.begun.is_empty() || !self.complete.is_empty()
    }

    /// The progress of a stage; none if no run of its occurrence has ended, or all have.
    pub(crate) fn progress(&self, stage: &Stage) -> Option<&Progress> {
        let steps = self.begun.get(&stage.occurrence)?;
        steps.get(usize::from(stage.step))
    }

    /// Changes the unit of a task, and notes whether that completes the occurrence. None if
    /// the occurrence is complete or the job has no such task.
    pub(super) fn update<T>(
        &mut self,
        spec: &Spec,
        task: &Task,
        change: impl FnOnce(&mut Unit) -> T,
    ) -> Option<T> {
        let occurrence = task.stage.occurrence;
        let step = usize::from(task.stage.step);
        let gang = spec.steps.get(step)?.gang;
        let index = if gang { 0 } else { task.index as usize };
        if occurrence >= spec.occurrences()
            || self.is_complete(occurrence)
            || index >= spec.steps.get(step)?.units() as usize
        {
            return None;
        }
        let steps = self.begun.entry(occurrence).or_insert_with(|| {
            let steps = spec.steps.iter();
            steps.map(|step| Progress::of(step.units())).collect()
        });
        let progress = steps.get_mut(step)?;
        let unit = progress.units.get_mut(index)?;
        let was_done = unit.done;
        let result = change(unit);
        progress.done += u32::from(unit.done && !was_done);
        if steps.iter().all(Progress::is_done) {
            self.begun.remove(&occurrence);
            self.add_complete(occurrence);
        }
        Some(result)
    }

    fn add_complete(&mut self, occurrence: u32) {
        let mut first = occurrence;
        let mut end = occurrence.saturating_add(1);
        if let Some((&start, &before)) = self.complete.range(..occurrence).next_back()
            && before == occurrence
        {
            first = start;
        }
        if let Some(after) = self.complete.remove(&end) {
            end = after;
        }
        self.complete.insert(first, end);
    }

    /// The occurrences in the form of earlier versions: the progress of each step of each
    /// one.
    pub(super) fn from_dense(occurrences: Vec<Vec<Progress>>) -> Self {
        let mut sparse = Self::default();
        for (occurrence, steps) in (0..).zip(occurrences) {
            let units = || steps.iter().flat_map(|step| &step.units);
            match () {
                () if !steps.is_empty() && steps.iter().all(Progress::is_done) => {
                    sparse.add_complete(occurrence);
                }
                () if units().any(|unit| *unit != Unit::default()) => {
                    sparse.begun.insert(occurrence, steps);
                }
                () => {}
            }
        }
        sparse
    }

    /// That form, for a job with this specification.
    pub(super) fn to_dense(&self, spec: &Spec) -> Vec<Vec<Progress>> {
        let steps = |done: bool| -> Vec<Progress> {
            let steps = spec.steps.iter();
            let units = steps.map(|step| {
                let mut progress = Progress::of(step.units());
                if done {
                    progress.units.iter_mut().for_each(|unit| unit.done = true);
                    progress.done = step.units();
                }
                progress
            });
            units.collect()
        };
        let one = |occurrence| match self.begun.get(&occurrence) {
            Some(begun) => begun.clone(),
            None => steps(self.is_complete(occurrence)),
        };
        (0..spec.occurrences()).map(one).collect()
    }
}
