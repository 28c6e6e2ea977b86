//! An index of workers by their free capacity.
//!
//! Free processors and memory are rounded down to logarithmic levels, four per
//! doubling. A worker is in one bucket, given by its free accelerators and its
//! two levels. A search visits only occupied buckets, and the exact amounts
//! decide only in the buckets at the lower edge of what is needed. So its cost
//! depends on the number of levels and hardly on the number of workers.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;

use indexmap::IndexMap;

use crate::unit::Size;

/// A worker's position in the inventory; reused once the worker is forgotten.
pub(crate) type Slot = usize;

/// The processors per step of the lowest levels, in millicores.
const CPU_STEP: u64 = 64;

/// The memory per step of the lowest levels, in bytes.
const MEMORY_STEP: u64 = 64 << 20;

/// The number of levels, which is the number of bits in a set of levels.
const LEVELS: usize = 64;

/// The order in which a search visits workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// Workers with the least free first.
    BestFit,
    /// Workers with the most free first.
    WorstFit,
}

/// The workers of a domain or of the whole cell, in three partitions:
///
/// - 0: workers without accelerators, by what is available;
/// - 1: workers with accelerators, by what is available;
/// - 2: workers with accelerators, by what is available to CPU-only tasks.
pub(crate) type Indexes = [Index; 3];

/// The partitions to search for a task of this size, in order.
pub(crate) fn partitions(size: &Size) -> &'static [usize] {
    match size.accelerators.0 {
        0 => &[0, 2],
        _ => &[1],
    }
}

/// Workers by their free capacity.
#[derive(Debug, Default, Clone)]
pub(crate) struct Index {
    /// The layers that aren't empty, by the number of free accelerators.
    layers: BTreeMap<u32, Layer>,
}

/// The workers with the same number of free accelerators.
#[derive(Debug, Clone)]
struct Layer {
    /// The set of occupied processor levels.
    cpu_levels: u64,
    /// The set of occupied memory levels for each processor level.
    memory_levels: [u64; LEVELS],
    buckets: IndexMap<(usize, usize), Bucket>,
}

/// The workers of one processor level and one memory level.
#[derive(Debug, Default, Clone)]
struct Bucket {
    by_cpu: BTreeSet<(u64, u64, Slot)>,
    by_memory: BTreeSet<(u64, Slot)>,
}

impl Index {
    /// Adds a worker, which must not be in the index.
    pub(crate) fn insert(&mut self, slot: Slot, free: &Size) {
        let layer = self.layers.entry(free.accelerators.0).or_default();
        let (cpu_level, memory_level) = levels(free);
        layer.cpu_levels |= 1 << cpu_level;
        layer.memory_levels[cpu_level] |= 1 << memory_level;
        let bucket = layer.buckets.entry((cpu_level, memory_level)).or_default();
        bucket.by_cpu.insert((free.cpu.0, free.memory.0, slot));
        bucket.by_memory.insert((free.memory.0, slot));
    }

    /// Removes a worker that was added with exactly this much free.
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

    /// Visits the workers on which `need` is free until `visit` breaks.
    ///
    /// Workers with the fewest free accelerators come first, except in a
    /// worst-fit search for accelerators.
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

    /// Whether any single worker has `need` free.
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
    /// Visits the buckets that can hold `need`, ordered by processor level and
    /// then by memory level.
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
    /// Visits the workers that can hold `need`. `edge` tells whether this is
    /// the lowest processor level and the lowest memory level that can. If only
    /// the memory level is, every worker here has enough processors, and the
    /// search goes by memory alone.
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

/// Removes the lowest bit of a set for a best fit, or the highest for a worst
/// fit, and returns its position.
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

/// The processor level and the memory level of a size.
fn levels(size: &Size) -> (usize, usize) {
    let cpu_level = level(size.cpu.0 / CPU_STEP);
    (cpu_level, level(size.memory.0 / MEMORY_STEP))
}

/// The level of an amount in steps: exact up to 3, then four per doubling.
fn level(steps: u64) -> usize {
    if steps < 4 {
        return steps as usize;
    }
    let doubling = steps.ilog2() - 2;
    let quarter = (steps >> doubling) & 3;
    let level = 4 + 4 * doubling as usize + quarter as usize;
    level.min(LEVELS - 1)
}

/// `size` less `taken` in each dimension, zero where `taken` is larger.
pub(crate) fn saturating_sub(size: &Size, taken: &Size) -> Size {
    Size::new(
        size.cpu.0.saturating_sub(taken.cpu.0),
        size.memory.0.saturating_sub(taken.memory.0),
        size.accelerators.0.saturating_sub(taken.accelerators.0),
    )
}

/// How many tasks of this size fit into `room`.
pub(crate) fn fit_count(size: &Size, room: &Size) -> u32 {
    let cpu = room.cpu.0.checked_div(size.cpu.0);
    let memory = room.memory.0.checked_div(size.memory.0);
    let accelerators = room.accelerators.0.checked_div(size.accelerators.0);
    let least = [cpu, memory, accelerators.map(u64::from)];
    let least = least.into_iter().flatten().min();
    least.map_or(u32::MAX, |least| u32::try_from(least).unwrap_or(u32::MAX))
}
