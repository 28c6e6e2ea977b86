//! Enforcement on workers whose tasks use more than is reserved for them.
//!
//! Reports lag behind and give a worker's usage only as a whole. So nothing is
//! done until usage has been too high for a while. Then every task on the
//! worker is throttled to the processors that it reserved, which harms no task
//! that stays within them. Memory can't be throttled: one job is stopped at a
//! time, the most likely cause first.

use std::cmp::Reverse;

use crate::id;
use crate::place::Planner;
use crate::place::inventory::{Allocation, Entry};
use crate::unit::{Millicores, Size, Span, Time};

/// How long usage has to exceed the reservation before it is enforced; longer
/// than the lag of the reports.
const OVERRUN_DELAY: Span = Span::from_secs(10);

/// A measure against a task or a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Enforcement {
    /// Throttle a task to the processors that it reserved.
    Throttle {
        /// The task to throttle.
        task: id::Task,
        /// The processors that it may use.
        cpu: Millicores,
    },
    /// Stop a job, since the tasks on its worker use more memory than reserved.
    Stop {
        /// The job to stop.
        job: id::Job,
    },
}

/// Since when the tasks on a worker use more than is reserved.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Overrun {
    cpu: Option<Time>,
    /// Reset when a job is stopped, so that the next is stopped only after
    /// another [`OVERRUN_DELAY`].
    memory: Option<Time>,
    /// Whether the tasks were throttled already.
    throttled: bool,
}

impl Planner {
    /// Takes a report of what all tasks on a worker use together, and decides
    /// which tasks to throttle for processors and which job to stop for memory.
    ///
    /// A job that isn't idempotent is stopped only if there is no other to stop
    /// on the worker and the worker itself is out of memory.
    pub fn enforce_usage(
        &mut self,
        name: &id::Worker,
        used: &Size,
        now: Time,
    ) -> Vec<Enforcement> {
        let Some(slot) = self.inventory.slot(name) else {
            self.overruns.swap_remove(name);
            return Vec::new();
        };
        let Some(worker) = self.inventory.ledger().get(name) else {
            return Vec::new();
        };
        let (size, reserved) = (worker.size, worker.reserved());
        let over = (used.cpu > reserved.cpu, used.memory > reserved.memory);
        if over == (false, false) {
            self.overruns.swap_remove(name);
            return Vec::new();
        }
        let overrun = self.overruns.entry(name.clone()).or_default();
        let is_sustained = |since: &mut Option<Time>, over: bool| {
            if !over {
                *since = None;
            }
            over && now >= since.get_or_insert(now).after(OVERRUN_DELAY)
        };
        let cpu = is_sustained(&mut overrun.cpu, over.0) && !overrun.throttled;
        let memory = is_sustained(&mut overrun.memory, over.1);
        overrun.throttled |= cpu;
        if memory {
            overrun.memory = Some(now);
        }
        let entry = self.inventory.entry(slot);
        let mut measures = Vec::new();
        if cpu {
            measures.extend(entry.allocations.iter().map(|(task, allocation)| {
                Enforcement::Throttle {
                    task: *task,
                    cpu: allocation.size.cpu,
                }
            }));
        }
        if memory {
            let out_of_memory = used.memory > size.memory;
            let job = self.memory_suspect(entry, out_of_memory);
            measures.extend(job.map(|job| Enforcement::Stop { job }));
        }
        measures
    }

    /// The job on a worker that most likely uses more memory than it reserved:
    /// the one whose workload's measured peak exceeds the reservation the most,
    /// else the one started last. Other than idempotent jobs that aren't
    /// stopping are considered only if the worker is out of memory, and come
    /// last.
    fn memory_suspect(&self, entry: &Entry, out_of_memory: bool) -> Option<id::Job> {
        let is_stoppable = |task: &id::Task| {
            let assignment = self.assignments.get(&task.job);
            assignment.is_some_and(|assignment| {
                !assignment.stopping && assignment.job.idempotent
            })
        };
        let excess = |task: &id::Task, allocation: &Allocation| {
            let assignment = self.assignments.get(&task.job);
            let peak = assignment
                .and_then(|assignment| self.profiles.p90_usage(&assignment.job.workload));
            let peak = peak.unwrap_or_default().memory.0;
            peak.saturating_sub(allocation.size.memory.0)
        };
        let allocations = entry.allocations.iter();
        let allocations =
            allocations.filter(|(task, _)| out_of_memory || is_stoppable(task));
        let first = allocations.min_by_key(|(task, allocation)| {
            let excess = excess(task, allocation);
            (
                !is_stoppable(task),
                Reverse((excess, allocation.started_at)),
                **task,
            )
        });
        first.map(|(task, _)| task.job)
    }
}
