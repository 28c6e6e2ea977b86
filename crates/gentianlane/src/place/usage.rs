//! Workers whose tasks use more than was reserved for them.
//!
//! Reports come late and name a worker's use as a whole. So nothing is done
//! until use has been too high for a while, then every task there is held to
//! the processors that it reserved, which harms none that keeps to them. Memory
//! can't be held back: one task is stopped at a time, the likeliest first.

use std::cmp::Reverse;

use crate::id;
use crate::place::Planner;
use crate::place::inventory::{Entry, Hold};
use crate::unit::{Millicores, Size, Span, Time};

/// For how long use has to be too high; longer than reports lag behind.
const LAG: Span = Span::from_secs(10);

/// What to do about a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Overuse {
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
pub(crate) struct Strain {
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
    pub fn reported(
        &mut self,
        name: &id::Worker,
        used: &Size,
        now: Time,
    ) -> Vec<Overuse> {
        let Some(slot) = self.inventory.slot(name) else {
            self.strains.swap_remove(name);
            return Vec::new();
        };
        let Some(worker) = self.inventory.ledger().get(name) else {
            return Vec::new();
        };
        let (size, reserved) = (worker.size, worker.reserved());
        let over = (used.cpu > reserved.cpu, used.memory > reserved.memory);
        if over == (false, false) {
            self.strains.swap_remove(name);
            return Vec::new();
        }
        let strain = self.strains.entry(name.clone()).or_default();
        let lasts = |since: &mut Option<Time>, over: bool| {
            if !over {
                *since = None;
            }
            over && now >= since.get_or_insert(now).after(LAG)
        };
        let cpu = lasts(&mut strain.cpu, over.0) && !strain.throttled;
        let memory = lasts(&mut strain.memory, over.1);
        strain.throttled |= cpu;
        if memory {
            strain.memory = Some(now);
        }
        let entry = self.inventory.entry(slot);
        let mut orders = Vec::new();
        if cpu {
            orders.extend(entry.holds.iter().map(|(task, hold)| Overuse::Throttle {
                task: *task,
                cpu: hold.size.cpu,
            }));
        }
        if memory {
            let full = used.memory > size.memory;
            let job = self.suspect(entry, full);
            orders.extend(job.map(|job| Overuse::Stop { job }));
        }
        orders
    }

    /// The job on a worker that likeliest uses more memory than it reserved:
    /// by what its workload was seen to use, else the youngest.
    fn suspect(&self, entry: &Entry, full: bool) -> Option<id::Job> {
        let may = |task: &id::Task| {
            let held = self.held.get(&task.job);
            held.is_some_and(|held| !held.stops && held.job.idempotent)
        };
        let excess = |task: &id::Task, hold: &Hold| {
            let held = self.held.get(&task.job);
            let peak = held.and_then(|held| self.learner.peak(&held.job.workload));
            let peak = peak.unwrap_or_default().memory.0;
            peak.saturating_sub(hold.size.memory.0)
        };
        let holds = entry.holds.iter();
        let holds = holds.filter(|(task, _)| full || may(task));
        let first = holds.min_by_key(|(task, hold)| {
            let excess = excess(task, hold);
            (!may(task), Reverse((excess, hold.begun)), **task)
        });
        first.map(|(task, _)| task.job)
    }
}
