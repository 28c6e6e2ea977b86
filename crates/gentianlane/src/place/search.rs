//! The search for workers with enough free capacity for a job, by its kind.
//!
//! Batch tasks are packed by best fit, gangs are kept within a rack or a domain
//! if possible, and replicas of services are spread over domains, racks and
//! workers.

use std::ops::ControlFlow;

use indexmap::IndexMap;

use crate::place::capacity::{Indexes, Order, Slot, fit_count, partitions};
use crate::place::inventory::Inventory;
use crate::place::{Job, Kind};

/// The most workers compared per domain for a replica of a service.
const MAX_CANDIDATES: usize = 24;

/// The most racks tried for a gang.
const MAX_RACKS: usize = 12;

/// The weight of packing from which replicas are placed by best fit instead of
/// worst fit.
const PACKING_THRESHOLD: u8 = 50;

/// The number of replicas of a service on each worker.
pub(crate) type Replicas = IndexMap<Slot, u32>;

/// A search for the workers of one job.
pub(crate) struct Search<'a> {
    pub(crate) inventory: &'a Inventory,
    pub(crate) job: &'a Job,
    /// The weight of packing against waiting: 0 waits least, 100 packs most.
    pub(crate) packing: u8,
}

impl Search<'_> {
    /// A worker for each task of the job; `None` if they don't all fit.
    /// `replicas` are the running replicas of the job's workload.
    pub(crate) fn find(&self, replicas: Option<&Replicas>) -> Option<Vec<Slot>> {
        match self.job.kind {
            Kind::Service => self.spread(replicas),
            Kind::Batch => self.fill(&self.inventory.all, Order::BestFit),
            Kind::Gang => self.find_gang(),
        }
    }

    /// How many tasks of the job a worker may take. CPU-only tasks leave the
    /// headroom for the worker's available accelerators.
    fn capacity(&self, slot: Slot) -> u32 {
        let room = match self.job.size.accelerators.0 {
            0 => self.inventory.cpu_only(slot),
            _ => self.inventory.available(slot),
        };
        room.map_or(0, |room| fit_count(&self.job.size, &room))
    }

    /// Workers for all tasks, filled one after the other in the given order.
    fn fill(&self, indexes: &Indexes, order: Order) -> Option<Vec<Slot>> {
        let count = self.job.count as usize;
        let mut slots = Vec::with_capacity(count.min(1_024));
        for &partition in partitions(&self.job.size) {
            indexes[partition].visit(&self.job.size, order, |slot| {
                let left = count - slots.len();
                let tasks = (self.capacity(slot) as usize).min(left);
                slots.extend(std::iter::repeat_n(slot, tasks));
                match slots.len() == count {
                    true => ControlFlow::Break(()),
                    false => ControlFlow::Continue(()),
                }
            });
            if slots.len() == count {
                return Some(slots);
            }
        }
        None
    }

    /// Workers for a gang: within one rack, else within one domain, else
    /// anywhere in the cell.
    fn find_gang(&self) -> Option<Vec<Slot>> {
        if let Some(slots) = self.find_in_rack() {
            return Some(slots);
        }
        let domains = self.inventory.domains.values();
        let mut found = domains.map(|indexes| self.fill(indexes, Order::WorstFit));
        if let Some(slots) = found.find_map(|slots| slots) {
            return Some(slots);
        }
        self.fill(&self.inventory.all, Order::WorstFit)
    }

    /// Workers for a gang within one rack, the rack with the least available
    /// that could hold it first.
    fn find_in_rack(&self) -> Option<Vec<Slot>> {
        let count = self.job.count;
        let need = self.job.size.checked_mul(count)?;
        let from = (need.accelerators.0, need.cpu.0, 0);
        let racks = self.inventory.by_available.range(from..).take(MAX_RACKS);
        for &(.., rack) in racks {
            let mut left = count;
            let mut slots = Vec::with_capacity(count as usize);
            for &slot in &self.inventory.racks[rack].slots {
                let tasks = self.capacity(slot).min(left);
                slots.extend(std::iter::repeat_n(slot, tasks as usize));
                left -= tasks;
            }
            if left == 0 {
                return Some(slots);
            }
        }
        None
    }

    /// Workers for the replicas of a service, chosen one at a time.
    fn spread(&self, replicas: Option<&Replicas>) -> Option<Vec<Slot>> {
        let mut replicas = replicas.cloned().unwrap_or_default();
        let mut slots = Vec::new();
        for _ in 0..self.job.count {
            let slot = self.least_replicated(&replicas, &slots)?;
            *replicas.entry(slot).or_default() += 1;
            slots.push(slot);
        }
        Some(slots)
    }

    /// The worker for the next replica: in a domain with the fewest replicas,
    /// and there on the worker, then in the rack, with the fewest.
    fn least_replicated(&self, replicas: &Replicas, taken: &[Slot]) -> Option<Slot> {
        let mut domains = vec![0; self.inventory.domains.len()];
        let mut racks: IndexMap<usize, u32> = IndexMap::new();
        for (&slot, count) in replicas {
            let entry = self.inventory.entry(slot);
            domains[entry.domain] += count;
            *racks.entry(entry.rack).or_default() += count;
        }
        let mut by_replicas: Vec<usize> = (0..domains.len()).collect();
        by_replicas.sort_by_key(|&domain| domains[domain]);
        for &partition in partitions(&self.job.size) {
            for &domain in &by_replicas {
                let index = &self.inventory.domains[domain][partition];
                let mut best = None;
                let mut visited = 0;
                let order = match self.packing >= PACKING_THRESHOLD {
                    true => Order::BestFit,
                    false => Order::WorstFit,
                };
                index.visit(&self.job.size, order, |slot| {
                    visited += 1;
                    let rack = self.inventory.entry(slot).rack;
                    let on_worker = replicas.get(&slot).copied().unwrap_or_default();
                    let in_rack = racks.get(&rack).copied().unwrap_or_default();
                    let score = (on_worker, in_rack);
                    let fits = self.capacity(slot) > 0 && !taken.contains(&slot);
                    if fits && best.is_none_or(|(least, _)| score < least) {
                        best = Some((score, slot));
                    }
                    match score == (0, 0) && fits || visited >= MAX_CANDIDATES {
                        true => ControlFlow::Break(()),
                        false => ControlFlow::Continue(()),
                    }
                });
                if let Some((_, slot)) = best {
                    return Some(slot);
                }
            }
        }
        None
    }
}
