//! What follows from the end of a task, or of a decision that didn't hold.

use crate::id;
use crate::place::blame::Ruling;
use crate::place::capacity::Slot;
use crate::place::queue::Shape;
use crate::place::{Ended, Job, Planner};
use crate::unit::Time;

/// For how many jobs that were stopped their place in the order is kept.
const STOPPED: usize = 4_096;

impl Planner {
    /// A decision to start didn't hold: the job waits again.
    pub fn refused(&mut self, job: id::Job) {
        let Some(held) = self.held.swap_remove(&job) else {
            return;
        };
        for (rank, slot) in (0..).zip(&held.slots) {
            if let Some(slot) = *slot {
                let name = &self.inventory.entry(slot).name;
                self.blame.silent(name, job, Time::default());
                self.vacate(&held.job, rank, slot);
            }
        }
        self.enqueue(held.job);
    }

    /// A task is known to be gone from its worker.
    pub fn released(&mut self, task: id::Task, ended: Ended, now: Time) {
        let Some(held) = self.held.get_mut(&task.job) else {
            return;
        };
        let task_slot = held.slots.get_mut(task.rank as usize);
        let Some(slot) = task_slot.and_then(Option::take) else {
            return;
        };
        let job = held.job.clone();
        if held.slots.iter().all(Option::is_none) {
            self.held.swap_remove(&task.job);
            self.remember(&job, ended);
            if job.count > 1 {
                self.pace.ends(Shape::of(&job));
            }
        }
        let name = self.inventory.entry(slot).name.clone();
        self.judge(&job, &name, slot, ended, now);
        self.vacate(&job, task.rank, slot);
    }

    /// Keeps the place in the order of a job that may come back.
    fn remember(&mut self, job: &Job, ended: Ended) {
        if matches!(ended, Ended::Done(_)) {
            return;
        }
        if self.stopped.len() >= STOPPED {
            self.stopped.swap_remove_index(0);
        }
        self.stopped.insert(job.job, job.since);
    }

    fn vacate(&mut self, job: &Job, rank: u32, slot: Slot) {
        let task = id::Task { job: job.job, rank };
        if self.inventory.release(task, slot).is_some() {
            self.shares.give(job);
            self.unstand(job, slot);
        }
    }

    /// Learns from how a task ended.
    fn judge(
        &mut self,
        job: &Job,
        name: &id::Worker,
        slot: Slot,
        ended: Ended,
        now: Time,
    ) {
        let ruling = match ended {
            Ended::Done(span) => {
                self.learner.ran(&job.workload, span);
                self.blame.done(name, &job.workload)
            }
            Ended::Failed(_) => {
                let known = self.inventory.len();
                self.blame.failed(name, &job.workload, known, now)
            }
            Ended::Stopped => {
                self.blame.silent(name, job.job, now);
                Ruling::Same
            }
        };
        match ruling {
            Ruling::Same => {}
            Ruling::Bar => self.inventory.set_quarantined(slot, true),
            Ruling::Clear => self.inventory.set_quarantined(slot, false),
        }
    }

    fn unstand(&mut self, job: &Job, slot: Slot) {
        let Some(peers) = self.peers.get_mut(&job.workload) else {
            return;
        };
        if let Some(count) = peers.get_mut(&slot) {
            *count -= 1;
            if *count == 0 {
                peers.swap_remove(&slot);
            }
        }
        if peers.is_empty() {
            self.peers.swap_remove(&job.workload);
        }
    }
}
