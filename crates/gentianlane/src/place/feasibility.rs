//! Detection of jobs that the known workers can never hold.

use derive_more::Display;
use indexmap::IndexMap;

use crate::id;
use crate::place::Kind;
use crate::place::capacity::{fit_count, saturating_sub};
use crate::place::queue::Shape;
use crate::place::share::dominant_share;
use crate::unit::Size;

/// The most workers remembered, lost ones included; the one added first is
/// forgotten first.
const MAX_WORKERS: usize = 4_096;

/// Why a job can never start on the known workers.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display(
    "none of {workers} workers can hold {size}; the nearest is {nearest}, {shortfall}"
)]
pub struct Infeasible {
    /// The number of known workers, lost ones included.
    pub workers: usize,
    /// What one task needs.
    pub size: Size,
    /// The worker that lacks the smallest part of what one task needs.
    pub nearest: id::Worker,
    /// A clause that says what it lacks, or how many tasks all workers hold.
    pub shortfall: String,
}

/// The sizes of all workers that this planner has known. Lost and draining
/// workers count, since they may come back.
#[derive(Debug, Default, Clone)]
pub(crate) struct KnownWorkers {
    workers: IndexMap<id::Worker, Size>,
    /// The number of workers of each size.
    sizes: IndexMap<Size, u32>,
}

impl KnownWorkers {
    /// Adds a worker or updates its size.
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

    /// Counts one worker less of a size.
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

    /// Whether no worker has ever been known.
    pub(crate) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// The smallest dominant share that `size` takes of any worker that can
    /// hold it, which is its share of the largest worker; 1 if none can.
    pub(crate) fn min_share(&self, size: &Size) -> f64 {
        let holding = self.sizes.keys().filter(|it| size.fits(it));
        let shares = holding.map(|it| dominant_share(size, it));
        shares.min_by(f64::total_cmp).unwrap_or(1.0)
    }

    /// Why the known workers, all empty, couldn't hold a job of this shape;
    /// `None` if they could or none is known. A worker holds at most one
    /// replica of a service.
    pub(crate) fn infeasibility(&self, shape: &Shape) -> Option<Infeasible> {
        let mut capacity: u64 = 0;
        for (size, count) in &self.sizes {
            let each = match shape.kind {
                Kind::Service => fit_count(&shape.size, size).min(1),
                Kind::Batch | Kind::Gang => fit_count(&shape.size, size),
            };
            capacity = capacity.saturating_add(u64::from(each) * u64::from(*count));
        }
        if capacity >= u64::from(shape.count) {
            return None;
        }
        let workers = self.workers.iter();
        let shortfall = |size: &Size| {
            let missing = saturating_sub(&shape.size, size);
            dominant_share(&missing, &shape.size)
        };
        let nearest = workers
            .min_by(|(_, left), (_, right)| shortfall(left).total_cmp(&shortfall(right)));
        let (nearest, size) = nearest?;
        let shortfall = match capacity {
            0 => describe_shortfall(&saturating_sub(&shape.size, size)),
            _ => format!("and all together hold {capacity} of {} tasks", shape.count),
        };
        Some(Infeasible {
            workers: self.workers.len(),
            size: shape.size,
            nearest: nearest.clone(),
            shortfall,
        })
    }
}

/// A clause that says how much is missing in each dimension.
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
