//! Urgent work that takes the place of other work.

use std::ops::ControlFlow;

use indexmap::IndexSet;

use crate::id;
use crate::place::capacity::{Order, Slot, fit_count};
use crate::place::claim::{Claim, Victims, victims};
use crate::place::queue::Shape;
use crate::place::round::Round;
use crate::place::{Decision, Job, Planner};
use crate::unit::Time;

/// How many workers are looked at for one that urgent work could take.
const LOOKS: usize = 24;

/// How many jobs may have room set aside before urgent work waits its turn.
const CLAIMS: usize = 512;

impl Planner {
    /// Has others stop for an urgent job of a team within its quota.
    pub(crate) fn take_over(&mut self, job: &Job, round: &mut Round) -> bool {
        let shape = Shape::of(job);
        let may = self.shares.is_pressing(job);
        if !may || self.claims.len() >= CLAIMS || round.stuck.contains(&shape) {
            return false;
        }
        round.searches = round.searches.saturating_sub(1);
        let Some((slots, jobs)) = self.prey(job, round.now) else {
            round.stuck.insert(shape);
            return false;
        };
        for id in jobs {
            if let Some(held) = self.held.get_mut(&id) {
                held.stops = true;
                round.decisions.push(Decision::Preempt { job: id });
            }
        }
        let Some(job) = self.queue.remove(job.job) else {
            return false;
        };
        self.claim(Claim {
            job,
            slots,
            at: None,
        });
        true
    }

    /// Workers that an urgent job could have, and whom it would stop there.
    fn prey(&self, job: &Job, now: Time) -> Option<(Vec<Slot>, IndexSet<id::Job>)> {
        let partitions: &[usize] = match job.size.accelerators.0 {
            0 => &[0, 1],
            _ => &[1],
        };
        partitions.iter().find_map(|&partition| match job.count {
            1 => self.cheapest(job, partition, now),
            _ => self.several(job, partition, now),
        })
    }

    fn stops(&self, job: id::Job) -> bool {
        self.held.get(&job).is_some_and(|held| held.stops)
    }

    /// The worker on which the least is lost, among some.
    fn cheapest(
        &self,
        job: &Job,
        partition: usize,
        now: Time,
    ) -> Option<(Vec<Slot>, IndexSet<id::Job>)> {
        let mut best: Option<(Victims, Slot)> = None;
        let mut looks = 0;
        self.inventory.reclaimable[partition].visit(&job.size, Order::BestFit, |slot| {
            looks += 1;
            let stops = |id| self.stops(id);
            let found = victims(&self.inventory, slot, &job.size, now, stops);
            if let Some(found) = found
                && best.as_ref().is_none_or(|(it, _)| found.loss < it.loss)
            {
                best = Some((found, slot));
            }
            let free = best.as_ref().is_some_and(|(it, _)| it.loss == 0);
            match free || looks >= LOOKS {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        });
        let (victims, slot) = best?;
        Some((vec![slot], victims.jobs.into_iter().collect()))
    }

    /// Workers for all tasks of a job, as many to each as it can come to hold.
    fn several(
        &self,
        job: &Job,
        partition: usize,
        now: Time,
    ) -> Option<(Vec<Slot>, IndexSet<id::Job>)> {
        let mut slots = Vec::new();
        let mut jobs = IndexSet::new();
        let mut left = job.count;
        let mut looks = 0;
        self.inventory.reclaimable[partition].visit(&job.size, Order::BestFit, |slot| {
            looks += 1;
            let most = fit_count(&job.size, &self.inventory.entry(slot).size).min(left);
            let ways = (1..=most).rev().find_map(|count| {
                let need = job.size.times(count)?;
                let stops = |id| self.stops(id);
                let found = victims(&self.inventory, slot, &need, now, stops)?;
                Some((count, found.jobs))
            });
            if let Some((count, more)) = ways {
                slots.extend(std::iter::repeat_n(slot, count as usize));
                jobs.extend(more);
                left -= count;
            }
            match left == 0 || looks >= LOOKS + job.count as usize {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        });
        (left == 0).then_some((slots, jobs))
    }
}
