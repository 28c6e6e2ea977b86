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
    rows: u64,
    /// The memory levels that are occupied, for each processor level.
    columns: [u64; LEVELS],
    cells: IndexMap<(usize, usize), Cell>,
}

#[derive(Debug, Default, Clone)]
struct Cell {
    by_cpu: BTreeSet<(u64, u64, Slot)>,
    by_memory: BTreeSet<(u64, Slot)>,
}

impl Index {
    /// Takes in a worker that isn't in the index.
    pub(crate) fn insert(&mut self, slot: Slot, free: &Size) {
        let layer = self.layers.entry(free.accelerators.0).or_default();
        let (row, column) = levels(free);
        layer.rows |= 1 << row;
        layer.columns[row] |= 1 << column;
        let cell = layer.cells.entry((row, column)).or_default();
        cell.by_cpu.insert((free.cpu.0, free.memory.0, slot));
        cell.by_memory.insert((free.memory.0, slot));
    }

    /// Takes out a worker that was put in with this much free.
    pub(crate) fn remove(&mut self, slot: Slot, free: &Size) {
        let Some(layer) = self.layers.get_mut(&free.accelerators.0) else {
            return;
        };
        let (row, column) = levels(free);
        let Some(cell) = layer.cells.get_mut(&(row, column)) else {
            return;
        };
        cell.by_cpu.remove(&(free.cpu.0, free.memory.0, slot));
        cell.by_memory.remove(&(free.memory.0, slot));
        if !cell.by_cpu.is_empty() {
            return;
        }
        layer.cells.swap_remove(&(row, column));
        layer.columns[row] &= !(1 << column);
        if layer.columns[row] == 0 {
            layer.rows &= !(1 << row);
        }
        if layer.rows == 0 {
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
            rows: 0,
            columns: [0; LEVELS],
            cells: IndexMap::new(),
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
        let (low_row, low_column) = levels(need);
        let mut rows = self.rows & (u64::MAX << low_row);
        while let Some(row) = take(&mut rows, order) {
            let mut columns = self.columns[row] & (u64::MAX << low_column);
            while let Some(column) = take(&mut columns, order) {
                let Some(cell) = self.cells.get(&(row, column)) else {
                    continue;
                };
                let edge = (row == low_row, column == low_column);
                cell.visit(need, edge, order, visit)?;
            }
        }
        ControlFlow::Continue(())
    }
}

impl Cell {
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
fn take(bits: &mut u64, order: Order) -> Option<usize> {
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
    let row = level(size.cpu.0 / CPU_STEP);
    (row, level(size.memory.0 / MEMORY_STEP))
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
