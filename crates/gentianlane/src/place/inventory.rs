//! The workers that the planner can use, indexed by what is available on them.
//!
//! - *Free*: not reserved by any task.
//! - *Available*: free and not claimed for a waiting job.
//! - *CPU-only*: available to tasks without accelerators, which is less by the
//!   headroom kept for each available accelerator.
//! - *Reclaimable*: available to urgent work, which is more by what preemptible
//!   tasks hold.
//!
//! Every change to a worker goes through [`Inventory::reindex`], which keeps
//! the indexes consistent with the ledger.

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::place::capacity::{Index, Indexes, Slot, saturating_sub};
use crate::place::{Ledger, Worker};
use crate::unit::{Size, Time};

/// The resources that one task holds on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Allocation {
    pub(crate) size: Size,
    /// When the start was decided or, later, applied.
    pub(crate) started_at: Time,
    /// When the task is expected to end; `None` for a service.
    pub(crate) expected_end: Option<Time>,
    /// Whether urgent work may preempt the task.
    pub(crate) preemptible: bool,
    /// The number of tasks of the job, which all stop together.
    pub(crate) job_tasks: u32,
}

/// One worker.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) name: id::Worker,
    pub(crate) size: Size,
    /// Position in [`Inventory::domains`].
    pub(crate) domain: usize,
    /// Position in [`Inventory::racks`].
    pub(crate) rack: usize,
    pub(crate) allocations: IndexMap<id::Task, Allocation>,
    /// The sum of the claims of waiting jobs.
    pub(crate) claimed: Size,
    quarantined: bool,
    /// Whether the worker is out of use and only its last tasks are waited for.
    removed: bool,
    /// The indexed available size; `None` if the worker isn't indexed.
    available: Option<Size>,
    /// The indexed CPU-only size.
    cpu_only: Option<Size>,
    /// The indexed reclaimable size.
    reclaimable: Option<Size>,
}

/// The workers of one rack.
#[derive(Debug, Default, Clone)]
pub(crate) struct Rack {
    pub(crate) slots: IndexSet<Slot>,
    /// The sum of what is available on them.
    available: Size,
}

/// All workers.
#[derive(Debug, Default, Clone)]
pub(crate) struct Inventory {
    ledger: Ledger,
    entries: Vec<Entry>,
    /// The slots of forgotten workers, for reuse.
    free_slots: Vec<Slot>,
    slots: IndexMap<id::Worker, Slot>,
    /// The workers of the whole cell.
    pub(crate) all: Indexes,
    pub(crate) domains: IndexMap<id::Domain, Indexes>,
    pub(crate) racks: IndexMap<(id::Domain, id::Rack), Rack>,
    /// Racks by the accelerators and processors that are available in them.
    pub(crate) by_available: BTreeSet<(u32, u64, usize)>,
    /// Workers without and with accelerators by what is reclaimable on them.
    pub(crate) reclaimable: [Index; 2],
    /// The CPU and memory kept for each available accelerator.
    headroom: Size,
    /// Workers on which more has become available since the last call of
    /// [`Inventory::take_freed`].
    freed: IndexSet<Slot>,
    /// Workers that have shrunk below what is reserved on them.
    pub(crate) overcommitted: IndexSet<Slot>,
    /// The size of all workers that haven't been removed.
    total: Size,
}

impl Inventory {
    pub(crate) fn entry(&self, slot: Slot) -> &Entry {
        &self.entries[slot]
    }

    pub(crate) fn slot(&self, name: &id::Worker) -> Option<Slot> {
        self.slots.get(name).copied()
    }

    /// The number of workers, including removed ones that still hold tasks.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &Entry)> {
        self.slots.values().map(|&slot| (slot, &self.entries[slot]))
    }

    /// The size of all workers that haven't been removed.
    pub(crate) fn total(&self) -> Size {
        self.total
    }

    pub(crate) fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// What is free on a worker, claimed or not; `None` if the worker is
    /// draining, quarantined or removed.
    pub(crate) fn free(&self, slot: Slot) -> Option<Size> {
        let entry = &self.entries[slot];
        let worker = self.ledger.get(&entry.name)?;
        let usable = !worker.draining && !entry.removed && !entry.quarantined;
        usable.then(|| worker.free())
    }

    /// What is available on a worker; `None` if the worker isn't indexed.
    pub(crate) fn available(&self, slot: Slot) -> Option<Size> {
        self.entries[slot].available
    }

    /// What is available to tasks without accelerators; `None` if the worker
    /// isn't indexed.
    pub(crate) fn cpu_only(&self, slot: Slot) -> Option<Size> {
        self.entries[slot].cpu_only
    }

    /// The CPU and memory kept for each available accelerator.
    pub(crate) fn headroom(&self) -> Size {
        self.headroom
    }

    /// Changes the headroom and reindexes the workers with accelerators.
    pub(crate) fn set_headroom(&mut self, headroom: Size) {
        if self.headroom == headroom {
            return;
        }
        self.headroom = headroom;
        let slots = self.slots.values().copied();
        let slots = slots.filter(|&slot| self.entries[slot].size.accelerators.0 > 0);
        for slot in slots.collect::<Vec<_>>() {
            self.reindex(slot);
        }
    }

    /// The headroom on a worker of this size with `free` accelerators
    /// available. It is at most each accelerator's even part of the worker.
    fn reserved_headroom(&self, size: &Size, free: u32) -> Size {
        let devices = u64::from(size.accelerators.0.max(1));
        let per_device =
            |all: u64, asked: u64| (all / devices).min(asked) * u64::from(free);
        let cpu = per_device(size.cpu.0, self.headroom.cpu.0);
        Size::new(cpu, per_device(size.memory.0, self.headroom.memory.0), 0)
    }

    /// Adds or updates a worker. Its reservations are ignored: running tasks
    /// are added by [`Inventory::restore`].
    pub(crate) fn put(&mut self, name: &id::Worker, worker: &Worker) {
        let previous = self.ledger.get(name).cloned();
        self.ledger.put(name, worker.clone());
        let (domain, rack) = self.locate(worker);
        if let Some(slot) = self.slot(name) {
            self.unindex(slot);
            let entry = &mut self.entries[slot];
            if !entry.removed {
                let old_size = previous.map(|previous| previous.size).unwrap_or_default();
                self.total = saturating_sub(&self.total, &old_size);
            }
            let old_rack = entry.rack;
            entry.size = worker.size;
            entry.removed = false;
            (entry.domain, entry.rack) = (domain, rack);
            self.racks[old_rack].slots.swap_remove(&slot);
            self.attach(slot, rack, worker.size);
            return;
        }
        let entry = Entry {
            name: name.clone(),
            size: worker.size,
            domain,
            rack,
            allocations: IndexMap::new(),
            claimed: Size::default(),
            quarantined: false,
            removed: false,
            available: None,
            cpu_only: None,
            reclaimable: None,
        };
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.entries[slot] = entry;
                slot
            }
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        };
        self.slots.insert(name.clone(), slot);
        self.attach(slot, rack, worker.size);
    }

    /// Adds a worker to its rack and to the total, and indexes it.
    fn attach(&mut self, slot: Slot, rack: usize, size: Size) {
        self.racks[rack].slots.insert(slot);
        self.total = self.total.checked_add(&size).unwrap_or(self.total);
        self.reindex(slot);
    }

    /// The positions of a worker's domain and rack, which are added if unknown.
    fn locate(&mut self, worker: &Worker) -> (usize, usize) {
        let domain = self.domains.entry(worker.domain.clone());
        let domain_at = domain.index();
        domain.or_default();
        let rack = self
            .racks
            .entry((worker.domain.clone(), worker.rack.clone()));
        let rack_at = rack.index();
        rack.or_default();
        (domain_at, rack_at)
    }

    /// Takes a worker out of use; what it holds is released one by one.
    pub(crate) fn remove(&mut self, name: &id::Worker) {
        let Some(slot) = self.slot(name) else {
            return;
        };
        if !self.entries[slot].removed {
            self.total = saturating_sub(&self.total, &self.entries[slot].size);
        }
        self.entries[slot].removed = true;
        self.ledger.set_draining(name, true);
        self.reindex(slot);
        self.free_if_unused(slot);
    }

    /// Forgets a removed worker without tasks and claims, and frees its slot.
    fn free_if_unused(&mut self, slot: Slot) {
        let entry = &self.entries[slot];
        if !entry.removed
            || !entry.allocations.is_empty()
            || entry.claimed != Size::default()
        {
            return;
        }
        if self.ledger.remove_unused(&entry.name) {
            self.racks[entry.rack].slots.swap_remove(&slot);
            self.slots.swap_remove(&entry.name);
            self.overcommitted.swap_remove(&slot);
            self.freed.swap_remove(&slot);
            self.free_slots.push(slot);
        }
    }

    /// Puts a worker into quarantine or takes it out.
    pub(crate) fn set_quarantined(&mut self, slot: Slot, on: bool) {
        self.entries[slot].quarantined = on;
        self.reindex(slot);
    }

    /// Reserves resources for all tasks of a job, one per slot, or for none;
    /// false if a worker doesn't have enough.
    pub(crate) fn reserve(
        &mut self,
        job: id::Job,
        slots: &[Slot],
        allocation: Allocation,
    ) -> bool {
        let names: Vec<id::Worker> = slots
            .iter()
            .map(|&slot| self.entries[slot].name.clone())
            .collect();
        if self.ledger.reserve(&names, &allocation.size).is_err() {
            return false;
        }
        for (rank, &slot) in slots.iter().enumerate() {
            self.allocate(job, rank, slot, allocation);
        }
        true
    }

    /// Adds a task that runs already, even if its worker has too little free.
    pub(crate) fn restore(
        &mut self,
        job: id::Job,
        rank: usize,
        slot: Slot,
        allocation: Allocation,
    ) {
        self.ledger
            .force_reserve(&self.entries[slot].name, &allocation.size);
        self.allocate(job, rank, slot, allocation);
    }

    fn allocate(
        &mut self,
        job: id::Job,
        rank: usize,
        slot: Slot,
        allocation: Allocation,
    ) {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let task = id::Task { job, rank };
        self.entries[slot].allocations.insert(task, allocation);
        self.reindex(slot);
    }

    /// Releases what a task holds; `None` if it holds nothing there.
    pub(crate) fn release(&mut self, task: id::Task, slot: Slot) -> Option<Allocation> {
        let entry = &mut self.entries[slot];
        let allocation = entry.allocations.swap_remove(&task)?;
        self.ledger.release(&entry.name, &allocation.size);
        self.reindex(slot);
        self.free_if_unused(slot);
        Some(allocation)
    }

    /// Sets when a task started and moves its expected end along with it.
    pub(crate) fn set_start(&mut self, task: id::Task, slot: Slot, started_at: Time) {
        if let Some(allocation) = self.entries[slot].allocations.get_mut(&task) {
            let span = allocation
                .expected_end
                .map(|expected_end| expected_end.since(allocation.started_at));
            allocation.started_at = started_at;
            allocation.expected_end = span.map(|span| started_at.after(span));
        }
    }

    /// Claims resources on a worker for a waiting job.
    pub(crate) fn claim(&mut self, slot: Slot, size: &Size) {
        let entry = &mut self.entries[slot];
        entry.claimed = entry.claimed.checked_add(size).unwrap_or(entry.claimed);
        self.reindex(slot);
    }

    /// Cancels a claim of this size on a worker.
    pub(crate) fn unclaim(&mut self, slot: Slot, size: &Size) {
        let entry = &mut self.entries[slot];
        entry.claimed = saturating_sub(&entry.claimed, size);
        self.reindex(slot);
        self.free_if_unused(slot);
    }

    /// The workers on which more has become available since the last call.
    pub(crate) fn take_freed(&mut self) -> IndexSet<Slot> {
        std::mem::take(&mut self.freed)
    }

    /// Updates the indexes after a change to a worker, and records whether it
    /// is overcommitted or has more available than before.
    fn reindex(&mut self, slot: Slot) {
        let previous = (self.entries[slot].available, self.entries[slot].cpu_only);
        self.unindex(slot);
        let entry = &self.entries[slot];
        if let Some(worker) = self.ledger.get(&entry.name)
            && !worker.reserved().fits(&worker.size)
        {
            self.overcommitted.insert(slot);
        }
        let Some(free) = self.free(slot) else {
            return;
        };
        let available = saturating_sub(&free, &entry.claimed);
        let preemptible = entry
            .allocations
            .values()
            .filter(|allocation| allocation.preemptible);
        let preemptible: Size = preemptible.map(|allocation| allocation.size).sum();
        let reclaimable = saturating_sub(
            &free.checked_add(&preemptible).unwrap_or(free),
            &entry.claimed,
        );
        let cpu_only = saturating_sub(
            &available,
            &self.reserved_headroom(&entry.size, available.accelerators.0),
        );
        self.index(slot, available, cpu_only, reclaimable);
        let grew = |now: Size, previous: Option<Size>| {
            previous.is_none_or(|previous| !now.fits(&previous))
        };
        if grew(available, previous.0) || grew(cpu_only, previous.1) {
            self.freed.insert(slot);
        }
    }

    /// Adds a worker to the indexes.
    fn index(&mut self, slot: Slot, available: Size, cpu_only: Size, reclaimable: Size) {
        let entry = &mut self.entries[slot];
        let partition = usize::from(entry.size.accelerators.0 > 0);
        entry.available = Some(available);
        entry.cpu_only = Some(cpu_only);
        entry.reclaimable = Some(reclaimable);
        let domain = &mut self.domains[entry.domain];
        self.all[partition].insert(slot, &available);
        domain[partition].insert(slot, &available);
        if partition == 1 {
            self.all[2].insert(slot, &cpu_only);
            domain[2].insert(slot, &cpu_only);
        }
        self.reclaimable[partition].insert(slot, &reclaimable);
        let (rack_at, rack) = (entry.rack, &mut self.racks[entry.rack]);
        self.by_available.remove(&key(&rack.available, rack_at));
        rack.available = rack
            .available
            .checked_add(&available)
            .unwrap_or(rack.available);
        self.by_available.insert(key(&rack.available, rack_at));
    }

    /// Removes a worker from the indexes if it is in them.
    fn unindex(&mut self, slot: Slot) {
        let entry = &mut self.entries[slot];
        let partition = usize::from(entry.size.accelerators.0 > 0);
        if let Some(reclaimable) = entry.reclaimable.take() {
            self.reclaimable[partition].remove(slot, &reclaimable);
        }
        let Some(available) = entry.available.take() else {
            return;
        };
        let domain = &mut self.domains[entry.domain];
        self.all[partition].remove(slot, &available);
        domain[partition].remove(slot, &available);
        if let Some(cpu_only) = entry.cpu_only.take()
            && partition == 1
        {
            self.all[2].remove(slot, &cpu_only);
            domain[2].remove(slot, &cpu_only);
        }
        let (rack_at, rack) = (entry.rack, &mut self.racks[entry.rack]);
        self.by_available.remove(&key(&rack.available, rack_at));
        rack.available = saturating_sub(&rack.available, &available);
        self.by_available.insert(key(&rack.available, rack_at));
    }
}

/// The sort key of a rack in [`Inventory::by_available`].
fn key(available: &Size, rack: usize) -> (u32, u64, usize) {
    (available.accelerators.0, available.cpu.0, rack)
}
