//! Jobs that no worker can ever hold.

use derive_more::Display;
use indexmap::IndexMap;

use crate::id;
use crate::place::Kind;
use crate::place::capacity::{fit_count, saturating_sub};
use crate::place::queue::Shape;
use crate::place::share::dominant_share;
use crate::unit::Size;

/// How many workers are remembered after they have gone.
const MAX_WORKERS: usize = 4_096;

/// Why a job can never start.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display(
    "no worker of {workers} can hold {size}; the nearest is {nearest}, {shortfall}"
)]
pub struct Infeasible {
    /// How many workers were looked at.
    pub workers: usize,
    /// What one task needs.
    pub size: Size,
    /// The worker that comes closest.
    pub nearest: id::Worker,
    /// What it lacks.
    pub shortfall: String,
}

/// Every size of worker that this planner has known, also of workers that are
/// lost or being emptied, since they may come back.
#[derive(Debug, Default, Clone)]
pub(crate) struct Catalog {
    workers: IndexMap<id::Worker, Size>,
    sizes: IndexMap<Size, u32>,
}

impl Catalog {
    /// Takes in what a worker has.
    pub(crate) fn insert(&mut self, worker: &id::Worker, size: &Size) {
        if self.workers.get(worker) == Some(size) {
            return;
        }
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(worker) {
            let oldest = self.workers.shift_remove_index(0);
            self.remove_size(oldest.map(|(_, size)| size));
        }
        let old = self.workers.insert(worker.clone(), *size);
        self.remove_size(old);
        *self.sizes.entry(*size).or_default() += 1;
    }

    fn remove_size(&mut self, size: Option<Size>) {
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
    pub(crate) fn min_share(&self, size: &Size) -> f64 {
        let holding = self.sizes.keys().filter(|it| size.fits(it));
        let parts = holding.map(|it| dominant_share(size, it));
        parts.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Why nothing known could ever hold such a job; `None` if it could.
    pub(crate) fn infeasibility(&self, shape: &Shape) -> Option<Infeasible> {
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
        let shortfall = |size: &Size| {
            let missing = saturating_sub(&shape.size, size);
            dominant_share(&missing, &shape.size)
        };
        let nearest = lacks
            .min_by(|(_, left), (_, right)| shortfall(left).total_cmp(&shortfall(right)));
        let (nearest, size) = nearest?;
        let shortfall = match most {
            0 => describe_shortfall(&saturating_sub(&shape.size, size)),
            _ => format!("and all together hold {most} of {} tasks", shape.count),
        };
        Some(Infeasible {
            workers: self.workers.len(),
            size: shape.size,
            nearest: nearest.clone(),
            shortfall,
        })
    }
}

fn describe_shortfall(size: &Size) -> String {
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
