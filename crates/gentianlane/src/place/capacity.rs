//! An index of workers by what is free on them.
//!
//! Free processors and memory are rounded down to levels, four to each
//! doubling. A worker stands in one cell for its free accelerators and its two
//! levels. A search looks at occupied cells alone, and only in the cells at
//! the edge of what is needed does it compare exact amounts, so that its cost
//! depends on the number of levels and hardly on the number of workers.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;

use indexmap::IndexMap;

use crate::unit::Size;

/// A worker's position in the planner's table.
pub(crate) type Slot = usize;

/// The processors of the lowest level, in millicores.
const CPU_STEP: u64 = 64;

/// The memory of the lowest level, in bytes.
const MEMORY_STEP: u64 = 64 << 20;

/// How many levels there are; a set of them is kept as bits.
const LEVELS: usize = 64;

/// From which end a search begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// With the workers on which the least is free.
    BestFit,
    /// With the workers on which the most is free.
    WorstFit,
}

/// The workers of a domain, or of the cell: those without accelerators, those
/// with, and those again by what work without accelerators may have there.
pub(crate) type Indexes = [Index; 3];

/// Which rooms a job of some size may go to, in the order to try them.
pub(crate) fn partitions(size: &Size) -> &'static [usize] {
    match size.accelerators.0 {
        0 => &[0, 2],
        _ => &[1],
    }
}

/// Workers by what is free on them.
#[derive(Debug, Default, Clone)]
pub(crate) struct Index {
    layers: BTreeMap<u32, Layer>,
}

/// The workers with one count of free accelerators.
#[derive(Debug, Clone)]
struct Layer {
    /// The processor levels that are occupied.
    cpu_levels: u64,
    /// The memory levels that are occupied, for each processor level.
    memory_levels: [u64; LEVELS],
    buckets: IndexMap<(usize, usize), Bucket>,
}

#[derive(Debug, Default, Clone)]
struct Bucket {
    by_cpu: BTreeSet<(u64, u64, Slot)>,
    by_memory: BTreeSet<(u64, Slot)>,
}

impl Index {
    /// Takes in a worker that isn't in the index.
    pub(crate) fn insert(&mut self, slot: Slot, free: &Size) {
        let layer = self.layers.entry(free.accelerators.0).or_default();
        let (cpu_level, memory_level) = levels(free);
        layer.cpu_levels |= 1 << cpu_level;
        layer.memory_levels[cpu_level] |= 1 << memory_level;
        let bucket = layer.buckets.entry((cpu_level, memory_level)).or_default();
        bucket.by_cpu.insert((free.cpu.0, free.memory.0, slot));
        bucket.by_memory.insert((free.memory.0, slot));
    }

    /// Takes out a worker that was put in with this much free.
    pub(crate) fn remove(&mut self, slot: Slot, free: &Size) {
        let Some(layer) = self.layers.get_mut(&free.accelerators.0) else {
            return;
        };
        let (cpu_level, memory_level) = levels(free);
        let Some(bucket) = layer.buckets.get_mut(&(cpu_level, memory_level)) else {
            return;
        };
        bucket.by_cpu.remove(&(free.cpu.0, free.memory.0, slot));
        bucket.by_memory.remove(&(free.memory.0, slot));
        if !bucket.by_cpu.is_empty() {
            return;
        }
        layer.buckets.swap_remove(&(cpu_level, memory_level));
        layer.memory_levels[cpu_level] &= !(1 << memory_level);
        if layer.memory_levels[cpu_level] == 0 {
            layer.cpu_levels &= !(1 << cpu_level);
        }
        if layer.cpu_levels == 0 {
            self.layers.remove(&free.accelerators.0);
        }
    }

    /// Visits workers on which `need` is free until `visit` breaks off.
    ///
    /// Those with the fewest free accelerators come first, unless accelerators
    /// are needed and the search is loose.
    pub(crate) fn visit(
        &self,
        need: &Size,
        order: Order,
        mut visit: impl FnMut(Slot) -> ControlFlow<()>,
    ) {
        let layers = self.layers.range(need.accelerators.0..);
        let mut layers = layers.map(|(_, layer)| layer);
        let mut search = |layer: &Layer| layer.visit(need, order, &mut visit);
        let _ = match need.accelerators.0 > 0 && order == Order::WorstFit {
            true => layers.rev().try_for_each(search),
            false => layers.try_for_each(&mut search),
        };
    }

    /// Whether `need` is free on any worker.
    pub(crate) fn has_room(&self, need: &Size) -> bool {
        let mut found = false;
        self.visit(need, Order::WorstFit, |_| {
            found = true;
            ControlFlow::Break(())
        });
        found
    }
}

impl Default for Layer {
    fn default() -> Self {
        Self {
            cpu_levels: 0,
            memory_levels: [0; LEVELS],
            buckets: IndexMap::new(),
        }
    }
}

impl Layer {
    fn visit(
        &self,
        need: &Size,
        order: Order,
        visit: &mut impl FnMut(Slot) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        let (low_cpu_level, low_memory_level) = levels(need);
        let mut cpu_levels = self.cpu_levels & (u64::MAX << low_cpu_level);
        while let Some(cpu_level) = take_bit(&mut cpu_levels, order) {
            let mut memory_levels =
                self.memory_levels[cpu_level] & (u64::MAX << low_memory_level);
            while let Some(memory_level) = take_bit(&mut memory_levels, order) {
                let Some(bucket) = self.buckets.get(&(cpu_level, memory_level)) else {
                    continue;
                };
                let edge = (cpu_level == low_cpu_level, memory_level == low_memory_level);
                bucket.visit(need, edge, order, visit)?;
            }
        }
        ControlFlow::Continue(())
    }
}

impl Bucket {
    fn visit(
        &self,
        need: &Size,
        edge: (bool, bool),
        order: Order,
        visit: &mut impl FnMut(Slot) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        if edge == (false, true) {
            let mut fit = self.by_memory.range((need.memory.0, 0)..);
            return match order {
                Order::BestFit => fit.try_for_each(|&(_, slot)| visit(slot)),
                Order::WorstFit => fit.rev().try_for_each(|&(_, slot)| visit(slot)),
            };
        }
        let fit = self.by_cpu.range((need.cpu.0, 0, 0)..);
        let mut fit = fit.filter(|(_, memory, _)| *memory >= need.memory.0);
        match order {
            Order::BestFit => fit.try_for_each(|&(.., slot)| visit(slot)),
            Order::WorstFit => fit.rev().try_for_each(|&(.., slot)| visit(slot)),
        }
    }
}

/// Takes the lowest or highest bit out of a set.
fn take_bit(bits: &mut u64, order: Order) -> Option<usize> {
    if *bits == 0 {
        return None;
    }
    let bit = match order {
        Order::BestFit => bits.trailing_zeros(),
        Order::WorstFit => u64::BITS - 1 - bits.leading_zeros(),
    };
    *bits &= !(1 << bit);
    Some(bit as usize)
}

fn levels(size: &Size) -> (usize, usize) {
    let cpu_level = level(size.cpu.0 / CPU_STEP);
    (cpu_level, level(size.memory.0 / MEMORY_STEP))
}

/// The level of an amount: exact up to 3, then four to each doubling.
fn level(steps: u64) -> usize {
    if steps < 4 {
        return steps as usize;
    }
    let doubling = steps.ilog2() - 2;
    let quarter = (steps >> doubling) & 3;
    let level = 4 + 4 * doubling as usize + quarter as usize;
    level.min(LEVELS - 1)
}

/// What is left of `size` without `taken`, each dimension for itself, and none
/// below zero.
pub(crate) fn saturating_sub(size: &Size, taken: &Size) -> Size {
    Size::new(
        size.cpu.0.saturating_sub(taken.cpu.0),
        size.memory.0.saturating_sub(taken.memory.0),
        size.accelerators.0.saturating_sub(taken.accelerators.0),
    )
}

/// How many times `size` goes into `room`.
pub(crate) fn fit_count(size: &Size, room: &Size) -> u32 {
    let cpu = room.cpu.0.checked_div(size.cpu.0);
    let memory = room.memory.0.checked_div(size.memory.0);
    let accelerators = room.accelerators.0.checked_div(size.accelerators.0);
    let least = [cpu, memory, accelerators.map(u64::from)];
    let least = least.into_iter().flatten().min();
    least.map_or(u32::MAX, |least| u32::try_from(least).unwrap_or(u32::MAX))
}
