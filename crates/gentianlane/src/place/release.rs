//! Release of resources when a task has left its worker or a start is reverted.

use crate::id;
use crate::place::capacity::Slot;
use crate::place::quarantine::Transition;
use crate::place::queue::Shape;
use crate::place::{Exit, Job, Planner};
use crate::unit::Time;

/// The most stopped jobs whose queueing time is remembered.
const MAX_STOPPED: usize = 4_096;

impl Planner {
    /// Reverts a start that the log didn't apply: releases the resources and
    /// queues the job again.
    pub fn revert_start(&mut self, job: id::Job) {
        let Some(assignment) = self.assignments.swap_remove(&job) else {
            return;
        };
        for (rank, slot) in (0..).zip(&assignment.slots) {
            if let Some(slot) = *slot {
                let name = &self.inventory.entry(slot).name;
                self.quarantine.end_probe(name, job, Time::default());
                self.release_task(&assignment.job, rank, slot);
            }
        }
        self.enqueue(assignment.job);
    }

    /// Releases what a task held once it has left its worker for certain, and
    /// records how it left. Does nothing if the task holds nothing.
    pub fn release(&mut self, task: id::Task, exit: Exit, now: Time) {
        let Some(assignment) = self.assignments.get_mut(&task.job) else {
            return;
        };
        let assigned = assignment.slots.get_mut(task.rank as usize);
        let Some(slot) = assigned.and_then(Option::take) else {
            return;
        };
        let job = assignment.job.clone();
        if assignment.slots.iter().all(Option::is_none) {
            self.assignments.swap_remove(&task.job);
            self.keep_arrival(&job, exit);
            if job.count > 1 {
                self.limiter.record_end(Shape::of(&job));
            }
        }
        let name = self.inventory.entry(slot).name.clone();
        self.record_exit(&job, &name, slot, exit, now);
        self.release_task(&job, task.rank, slot);
    }

    /// Remembers the queueing time of a job that may be admitted again.
    fn keep_arrival(&mut self, job: &Job, exit: Exit) {
        if matches!(exit, Exit::Done(_)) {
            return;
        }
        if self.stopped_arrivals.len() >= MAX_STOPPED {
            self.stopped_arrivals.swap_remove_index(0);
        }
        self.stopped_arrivals.insert(job.id, job.queued_at);
    }

    /// Releases one task on its worker, and its share and replica with it.
    fn release_task(&mut self, job: &Job, rank: u32, slot: Slot) {
        let task = id::Task { job: job.id, rank };
        if self.inventory.release(task, slot).is_some() {
            self.shares.release(job);
            self.remove_replica(job, slot);
        }
    }

    /// Updates the workload's profile and the worker's quarantine after an
    /// exit.
    fn record_exit(
        &mut self,
        job: &Job,
        name: &id::Worker,
        slot: Slot,
        exit: Exit,
        now: Time,
    ) {
        let transition = match exit {
            Exit::Done(span) => {
                self.profiles.record_runtime(&job.workload, span);
                self.quarantine.record_success(name, &job.workload)
            }
            Exit::Failed(_) => {
                let known = self.inventory.len();
                self.quarantine
                    .record_failure(name, &job.workload, known, now)
            }
            Exit::Stopped => {
                self.quarantine.end_probe(name, job.id, now);
                Transition::Stay
            }
        };
        match transition {
            Transition::Stay => {}
            Transition::Enter => self.inventory.set_quarantined(slot, true),
            Transition::Leave => self.inventory.set_quarantined(slot, false),
        }
    }

    /// Subtracts a service's replica from those on a worker.
    fn remove_replica(&mut self, job: &Job, slot: Slot) {
        let Some(replicas) = self.replicas.get_mut(&job.workload) else {
            return;
        };
        if let Some(count) = replicas.get_mut(&slot) {
            *count -= 1;
            if *count == 0 {
                replicas.swap_remove(&slot);
            }
        }
        if replicas.is_empty() {
            self.replicas.swap_remove(&job.workload);
        }
    }
}
