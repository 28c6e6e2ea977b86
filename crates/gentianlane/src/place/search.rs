//! Which workers a job goes to, by its kind.

use std::ops::ControlFlow;

use indexmap::IndexMap;

use crate::place::capacity::{Indexes, Order, Slot, fit_count, partitions};
use crate::place::inventory::Inventory;
use crate::place::{Job, Kind};

/// How many workers are looked at for one where the fewest replicas stand.
const MAX_CANDIDATES: usize = 24;

/// How many racks are tried for a gang.
const MAX_RACKS: usize = 12;

/// From which weight of packing on services go where the least is free.
const PACKING_THRESHOLD: u8 = 50;

/// How many of a workload's tasks stand on each worker.
pub(crate) type Replicas = IndexMap<Slot, u32>;

/// A search for workers.
pub(crate) struct Search<'a> {
    pub(crate) inventory: &'a Inventory,
    pub(crate) job: &'a Job,
    /// From 0, wait least, to 100, pack most.
    pub(crate) packing: u8,
}

impl Search<'_> {
    /// A worker for each task of the job, if there is room for all of them.
    pub(crate) fn find(&self, replicas: Option<&Replicas>) -> Option<Vec<Slot>> {
        match self.job.kind {
            Kind::Service => self.spread(replicas),
            Kind::Batch => self.fill(&self.inventory.all, Order::BestFit),
            Kind::Gang => self.find_gang(),
        }
    }

    /// How many tasks of the job a worker should take. Work that needs no
    /// accelerator leaves processors and memory for those that are free.
    fn capacity(&self, slot: Slot) -> u32 {
        let room = match self.job.size.accelerators.0 {
            0 => self.inventory.cpu_only(slot),
            _ => self.inventory.available(slot),
        };
        room.map_or(0, |room| fit_count(&self.job.size, &room))
    }

    /// Workers for all tasks out of some rooms, whichever come first.
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

    /// Workers for a gang: in one rack, or in one domain, or anywhere.
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

    fn find_in_rack(&self) -> Option<Vec<Slot>> {
        let count = self.job.count;
        let need = self.job.size.times(count)?;
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

    /// Workers for a service: in the domains with the fewest replicas, and
    /// there in racks and on workers with the fewest.
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
                let mut looks = 0;
                let direction = match self.packing >= PACKING_THRESHOLD {
                    true => Order::BestFit,
                    false => Order::WorstFit,
                };
                index.visit(&self.job.size, direction, |slot| {
                    looks += 1;
                    let rack = self.inventory.entry(slot).rack;
                    let here = replicas.get(&slot).copied().unwrap_or_default();
                    let near = racks.get(&rack).copied().unwrap_or_default();
                    let mark = (here, near);
                    let fits = self.capacity(slot) > 0 && !taken.contains(&slot);
                    if fits && best.is_none_or(|(least, _)| mark < least) {
                        best = Some((mark, slot));
                    }
                    match mark == (0, 0) && fits || looks >= MAX_CANDIDATES {
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
