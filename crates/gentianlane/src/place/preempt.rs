//! Preemption of running jobs by urgent ones.

use std::ops::ControlFlow;

use indexmap::IndexSet;

use crate::id;
use crate::place::capacity::{Order, Slot, fit_count};
use crate::place::claim::{Claim, Victims, choose_victims};
use crate::place::queue::Shape;
use crate::place::round::Round;
use crate::place::{Decision, Job, Planner};
use crate::unit::Time;

/// The most workers compared for an urgent job.
const MAX_CANDIDATES: usize = 24;

/// The number of claims from which on urgent work doesn't preempt any more.
const MAX_CLAIMS: usize = 512;

impl Planner {
    /// Preempts running jobs for an urgent job of a team within its quota, and
    /// claims the resources for it; true if the job has a claim now.
    pub(crate) fn preempt(&mut self, job: &Job, round: &mut Round) -> bool {
        let shape = Shape::of(job);
        let allowed = self.shares.is_urgent_within_quota(job);
        if !allowed
            || self.claims.len() >= MAX_CLAIMS
            || round.unpreemptable.contains(&shape)
        {
            return false;
        }
        round.searches = round.searches.saturating_sub(1);
        let Some((slots, jobs)) = self.find_preemption(job, round.now) else {
            round.unpreemptable.insert(shape);
            return false;
        };
        for id in jobs {
            if let Some(assignment) = self.assignments.get_mut(&id) {
                assignment.stopping = true;
                round.decisions.push(Decision::Preempt { job: id });
            }
        }
        let Some(job) = self.queue.remove(job.id) else {
            return false;
        };
        self.claim(Claim {
            job,
            slots,
            expected_start: None,
        });
        true
    }

    /// The workers that an urgent job could take, and the jobs to preempt
    /// there. A CPU-only job prefers workers without accelerators.
    fn find_preemption(
        &self,
        job: &Job,
        now: Time,
    ) -> Option<(Vec<Slot>, IndexSet<id::Job>)> {
        let partitions: &[usize] = match job.size.accelerators.0 {
            0 => &[0, 1],
            _ => &[1],
        };
        partitions.iter().find_map(|&partition| match job.count {
            1 => self.cheapest_worker(job, partition, now),
            _ => self.several_workers(job, partition, now),
        })
    }

    /// Whether a job has been preempted or evicted already.
    fn is_stopping(&self, job: id::Job) -> bool {
        self.assignments
            .get(&job)
            .is_some_and(|assignment| assignment.stopping)
    }

    /// The worker on which preemption loses the least work, among the first
    /// [`MAX_CANDIDATES`]; for jobs of one task.
    fn cheapest_worker(
        &self,
        job: &Job,
        partition: usize,
        now: Time,
    ) -> Option<(Vec<Slot>, IndexSet<id::Job>)> {
        let mut best: Option<(Victims, Slot)> = None;
        let mut visited = 0;
        self.inventory.reclaimable[partition].visit(&job.size, Order::BestFit, |slot| {
            visited += 1;
            let is_stopping = |id| self.is_stopping(id);
            let found =
                choose_victims(&self.inventory, slot, &job.size, now, is_stopping);
            if let Some(found) = found
                && best
                    .as_ref()
                    .is_none_or(|(it, _)| found.lost_work < it.lost_work)
            {
                best = Some((found, slot));
            }
            let free = best.as_ref().is_some_and(|(it, _)| it.lost_work == 0);
            match free || visited >= MAX_CANDIDATES {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        });
        let (victims, slot) = best?;
        Some((vec![slot], victims.jobs.into_iter().collect()))
    }

    /// Workers for all tasks of a job, each filled with as many tasks as
    /// preemption can make room for.
    fn several_workers(
        &self,
        job: &Job,
        partition: usize,
        now: Time,
    ) -> Option<(Vec<Slot>, IndexSet<id::Job>)> {
        let mut slots = Vec::new();
        let mut jobs = IndexSet::new();
        let mut left = job.count;
        let mut visited = 0;
        self.inventory.reclaimable[partition].visit(&job.size, Order::BestFit, |slot| {
            visited += 1;
            let max_tasks =
                fit_count(&job.size, &self.inventory.entry(slot).size).min(left);
            let option = (1..=max_tasks).rev().find_map(|count| {
                let need = job.size.checked_mul(count)?;
                let is_stopping = |id| self.is_stopping(id);
                let found =
                    choose_victims(&self.inventory, slot, &need, now, is_stopping)?;
                Some((count, found.jobs))
            });
            if let Some((count, victims)) = option {
                slots.extend(std::iter::repeat_n(slot, count as usize));
                jobs.extend(victims);
                left -= count;
            }
            match left == 0 || visited >= MAX_CANDIDATES + job.count as usize {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        });
        (left == 0).then_some((slots, jobs))
    }
}
