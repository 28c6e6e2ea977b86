//! Jobs that no worker can ever hold.

use derive_more::Display;
use indexmap::IndexMap;

use crate::id;
use crate::place::Kind;
use crate::place::capacity::{fit_count, saturating_sub};
use crate::place::queue::Shape;
use crate::place::share::dominant;
use crate::unit::Size;

/// How many workers are remembered after they have gone.
const REMEMBERED: usize = 4_096;

/// Why a job can never start.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("no worker of {known} can hold {size}; the nearest is {nearest}, {lack}")]
pub struct Misfit {
    /// How many workers were looked at.
    pub known: usize,
    /// What one task needs.
    pub size: Size,
    /// The worker that comes closest.
    pub nearest: id::Worker,
    /// What it lacks.
    pub lack: String,
}

/// Every size of worker that this planner has known, also of workers that are
/// lost or being emptied, since they may come back.
#[derive(Debug, Default, Clone)]
pub(crate) struct Known {
    workers: IndexMap<id::Worker, Size>,
    sizes: IndexMap<Size, u32>,
}

impl Known {
    /// Takes in what a worker has.
    pub(crate) fn insert(&mut self, worker: &id::Worker, size: &Size) {
        if self.workers.get(worker) == Some(size) {
            return;
        }
        if self.workers.len() >= REMEMBERED && !self.workers.contains_key(worker) {
            let oldest = self.workers.shift_remove_index(0);
            self.uncount(oldest.map(|(_, size)| size));
        }
        let old = self.workers.insert(worker.clone(), *size);
        self.uncount(old);
        *self.sizes.entry(*size).or_default() += 1;
    }

    fn uncount(&mut self, size: Option<Size>) {
        let Some(size) = size else {
            return;
        };
        if let Some(count) = self.sizes.get_mut(&size) {
            *count -= 1;
            if *count == 0 {
                self.sizes.swap_remove(&size);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// The largest worker by the part that `size` would take of it.
    pub(crate) fn part(&self, size: &Size) -> f64 {
        let holding = self.sizes.keys().filter(|it| size.fits(it));
        let parts = holding.map(|it| dominant(size, it));
        parts.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Why nothing known could ever hold such a job; `None` if it could.
    pub(crate) fn misfit(&self, shape: &Shape) -> Option<Misfit> {
        let mut most: u64 = 0;
        for (size, count) in &self.sizes {
            let each = match shape.kind {
                Kind::Service => fit_count(&shape.size, size).min(1),
                Kind::Batch | Kind::Gang => fit_count(&shape.size, size),
            };
            most = most.saturating_add(u64::from(each) * u64::from(*count));
        }
        if most >= u64::from(shape.count) {
            return None;
        }
        let lacks = self.workers.iter();
        let lack = |size: &Size| {
            let missing = saturating_sub(&shape.size, size);
            dominant(&missing, &shape.size)
        };
        let nearest =
            lacks.min_by(|(_, left), (_, right)| lack(left).total_cmp(&lack(right)));
        let (nearest, size) = nearest?;
        let lack = match most {
            0 => missing(&saturating_sub(&shape.size, size)),
            _ => format!("and all together hold {most} of {} tasks", shape.count),
        };
        Some(Misfit {
            known: self.workers.len(),
            size: shape.size,
            nearest: nearest.clone(),
            lack,
        })
    }
}

fn missing(size: &Size) -> String {
    let mut parts = Vec::new();
    if size.cpu.0 > 0 {
        parts.push(format!("{} of processors", size.cpu));
    }
    if size.memory.0 > 0 {
        parts.push(format!("{} of memory", size.memory));
    }
    if size.accelerators.0 > 0 {
        parts.push(format!("{} accelerators", size.accelerators));
    }
    format!("which lacks {}", parts.join(" and "))
}
