//! Workers whose tasks use more than was reserved for them.
//!
//! Reports come late and name a worker's use as a whole. So nothing is done
//! until use has been too high for a while, then every task there is held to
//! the processors that it reserved, which harms none that keeps to them. Memory
//! can't be held back: one task is stopped at a time, the likeliest first.

use std::cmp::Reverse;

use crate::id;
use crate::place::Planner;
use crate::place::inventory::{Allocation, Entry};
use crate::unit::{Millicores, Size, Span, Time};

/// For how long use has to be too high; longer than reports lag behind.
const OVERRUN_DELAY: Span = Span::from_secs(10);

/// What to do about a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Enforcement {
    /// Hold a task to the processors that it reserved.
    Throttle {
        /// The task.
        task: id::Task,
        /// The processors it may use.
        cpu: Millicores,
    },
    /// Stop a job, as the tasks of its worker use more memory than reserved.
    Stop {
        /// The job.
        job: id::Job,
    },
}

/// Since when a worker's tasks use more than was reserved.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Overrun {
    cpu: Option<Time>,
    memory: Option<Time>,
    throttled: bool,
}

impl Planner {
    /// Takes in what all tasks on a worker were last seen to use, and says what
    /// to do about it: to throttle processors, to stop a task for memory.
    ///
    /// Work that may run only once is stopped only if nothing else runs there
    /// and the worker itself is out of memory.
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
        let lasts = |since: &mut Option<Time>, over: bool| {
            if !over {
                *since = None;
            }
            over && now >= since.get_or_insert(now).after(OVERRUN_DELAY)
        };
        let cpu = lasts(&mut overrun.cpu, over.0) && !overrun.throttled;
        let memory = lasts(&mut overrun.memory, over.1);
        overrun.throttled |= cpu;
        if memory {
            overrun.memory = Some(now);
        }
        let entry = self.inventory.entry(slot);
        let mut orders = Vec::new();
        if cpu {
            orders.extend(entry.allocations.iter().map(|(task, allocation)| {
                Enforcement::Throttle {
                    task: *task,
                    cpu: allocation.size.cpu,
                }
            }));
        }
        if memory {
            let full = used.memory > size.memory;
            let job = self.memory_suspect(entry, full);
            orders.extend(job.map(|job| Enforcement::Stop { job }));
        }
        orders
    }

    /// The job on a worker that likeliest uses more memory than it reserved:
    /// by what its workload was seen to use, else the youngest.
    fn memory_suspect(&self, entry: &Entry, full: bool) -> Option<id::Job> {
        let may = |task: &id::Task| {
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
        let allocations = allocations.filter(|(task, _)| full || may(task));
        let first = allocations.min_by_key(|(task, allocation)| {
            let excess = excess(task, allocation);
            (!may(task), Reverse((excess, allocation.started_at)), **task)
        });
        first.map(|(task, _)| task.job)
    }
}
