//! What follows from the end of a task, or of a decision that didn't hold.

use crate::id;
use crate::place::blame::Ruling;
use crate::place::queue::Shape;
use crate::place::room::Seat;
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
        for (rank, seat) in (0..).zip(&held.seats) {
            if let Some(seat) = *seat {
                let name = &self.fleet.post(seat).name;
                self.blame.silent(name, job, Time::default());
                self.vacate(&held.job, rank, seat);
            }
        }
        self.enqueue(held.job);
    }

    /// A task is known to be gone from its worker.
    pub fn released(&mut self, task: id::Task, ended: Ended, now: Time) {
        let Some(held) = self.held.get_mut(&task.job) else {
            return;
        };
        let slot = held.seats.get_mut(task.rank as usize);
        let Some(seat) = slot.and_then(Option::take) else {
            return;
        };
        let job = held.job.clone();
        if held.seats.iter().all(Option::is_none) {
            self.held.swap_remove(&task.job);
            self.remember(&job, ended);
            if job.count > 1 {
                self.pace.ends(Shape::of(&job));
            }
        }
        let name = self.fleet.post(seat).name.clone();
        self.judge(&job, &name, seat, ended, now);
        self.vacate(&job, task.rank, seat);
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

    fn vacate(&mut self, job: &Job, rank: u32, seat: Seat) {
        let task = id::Task { job: job.job, rank };
        if self.fleet.release(task, seat).is_some() {
            self.shares.give(job);
            self.unstand(job, seat);
        }
    }

    /// Learns from how a task ended.
    fn judge(
        &mut self,
        job: &Job,
        name: &id::Worker,
        seat: Seat,
        ended: Ended,
        now: Time,
    ) {
        let ruling = match ended {
            Ended::Done(span) => {
                self.learner.ran(&job.workload, span);
                self.blame.done(name, &job.workload)
            }
            Ended::Failed(_) => {
                let known = self.fleet.len();
                self.blame.failed(name, &job.workload, known, now)
            }
            Ended::Stopped => {
                self.blame.silent(name, job.job, now);
                Ruling::Same
            }
        };
        match ruling {
            Ruling::Same => {}
            Ruling::Bar => self.fleet.bar(seat, true),
            Ruling::Clear => self.fleet.bar(seat, false),
        }
    }

    fn unstand(&mut self, job: &Job, seat: Seat) {
        let Some(peers) = self.peers.get_mut(&job.workload) else {
            return;
        };
        if let Some(count) = peers.get_mut(&seat) {
            *count -= 1;
            if *count == 0 {
                peers.swap_remove(&seat);
            }
        }
        if peers.is_empty() {
            self.peers.swap_remove(&job.workload);
        }
    }
}
