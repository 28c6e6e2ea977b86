//! The queue of waiting jobs.
//!
//! Jobs that are equivalent for placement share a lane: if the first job of a
//! lane can't start, none can. A round tries lanes rather than jobs, so its
//! cost doesn't grow with the length of the queue.
//!
//! A job's *rank* is a point in time, lowest first: its queueing time plus a
//! penalty for its expected runtime, less a credit for its size. Penalty and
//! credit are bounded, so a job can only be overtaken by jobs that are queued
//! within that bound after it.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::place::{Job, Kind};
use crate::unit::{Size, Span, Time};

/// The penalty of a job in multiples of its expected runtime, at packing 0.
const RUNTIME_FACTOR: u64 = 4;

/// The largest penalty for a job's runtime, at packing 0.
const MAX_RUNTIME_PENALTY: Span = Span::from_secs(600);

/// The credit of a job that fills the largest worker, at packing 100.
const MAX_SIZE_CREDIT: Span = Span::from_secs(300);

/// How long before its deadline a job's rank falls at the latest.
const DEADLINE_MARGIN: Span = Span::from_secs(30);

/// The properties of a job that decide whether it fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    pub(crate) kind: Kind,
    pub(crate) size: Size,
    pub(crate) count: u32,
}

impl Shape {
    pub(crate) fn of(job: &Job) -> Self {
        Self {
            kind: job.kind,
            size: job.size,
            count: job.count,
        }
    }
}

/// The properties that all jobs of a lane share.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Class {
    team: id::Team,
    workload: id::Workload,
    shape: Shape,
    urgent: bool,
    idempotent: bool,
}

/// The position of a lane in the table of lanes; reused once the lane is empty.
pub(crate) type LaneId = usize;

/// Jobs that are equivalent for placement.
#[derive(Debug, Clone)]
pub(crate) struct Lane {
    /// The jobs by rank, then by number.
    jobs: BTreeMap<(u64, id::Job), Job>,
}

impl Lane {
    /// The job of the lowest rank, with its rank in milliseconds.
    pub(crate) fn head(&self) -> Option<(u64, &Job)> {
        self.jobs
            .first_key_value()
            .map(|((rank, _), job)| (*rank, job))
    }
}

/// What a job's rank depends on besides the job itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Factors {
    /// The weight of packing against waiting: 0 waits least, 100 packs most.
    pub(crate) packing: u8,
    /// The expected runtime.
    pub(crate) runtime: Span,
    /// The dominant share of the largest worker that one task takes.
    pub(crate) share: f64,
}

/// All queued jobs.
#[derive(Debug, Default, Clone)]
pub(crate) struct Queue {
    lanes: Vec<Lane>,
    free_lanes: Vec<LaneId>,
    lane_ids: IndexMap<Class, LaneId>,
    /// The lane and rank of each job.
    positions: IndexMap<id::Job, (LaneId, u64)>,
    /// The lanes whose first job should be tried.
    ready: IndexSet<LaneId>,
    /// The lanes whose first job didn't fit, by its shape.
    blocked: IndexMap<Shape, IndexSet<LaneId>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(crate) fn get(&self, job: id::Job) -> Option<&Job> {
        let &(lane_id, rank) = self.positions.get(&job)?;
        self.lanes[lane_id].jobs.get(&(rank, job))
    }

    pub(crate) fn lane(&self, lane_id: LaneId) -> &Lane {
        &self.lanes[lane_id]
    }

    /// Adds a job or replaces the one with the same number. Readies its lane if
    /// it becomes the first job there.
    pub(crate) fn insert(&mut self, job: Job, factors: &Factors) {
        self.remove(job.id);
        let rank = rank(&job, factors);
        let lane_id = self.lane_id(&job);
        self.positions.insert(job.id, (lane_id, rank));
        let first = self.lanes[lane_id]
            .head()
            .is_none_or(|(head, _)| rank < head);
        if first {
            self.unblock(lane_id, &Shape::of(&job));
        }
        self.lanes[lane_id].jobs.insert((rank, job.id), job);
    }

    /// The lane for a job, which is added if there is none.
    fn lane_id(&mut self, job: &Job) -> LaneId {
        let class = class(job);
        if let Some(&lane_id) = self.lane_ids.get(&class) {
            return lane_id;
        }
        let lane_id = self.free_lanes.pop().unwrap_or_else(|| {
            self.lanes.push(Lane {
                jobs: BTreeMap::new(),
            });
            self.lanes.len() - 1
        });
        self.lane_ids.insert(class, lane_id);
        lane_id
    }

    /// Removes a job, and its lane if that is empty then.
    pub(crate) fn remove(&mut self, job: id::Job) -> Option<Job> {
        let (lane_id, rank) = self.positions.swap_remove(&job)?;
        let lane = &mut self.lanes[lane_id];
        let job = lane.jobs.remove(&(rank, job))?;
        if lane.jobs.is_empty() {
            self.lane_ids.swap_remove(&class(&job));
            self.ready.swap_remove(&lane_id);
            self.remove_blocked(lane_id, &Shape::of(&job));
            self.free_lanes.push(lane_id);
        }
        Some(job)
    }

    /// The lanes whose first job should be tried.
    pub(crate) fn ready(&self) -> impl Iterator<Item = LaneId> {
        self.ready.iter().copied()
    }

    /// Blocks a lane whose first job doesn't fit until it is woken.
    pub(crate) fn block(&mut self, lane_id: LaneId) {
        let Some((_, job)) = self.lanes[lane_id].head() else {
            return;
        };
        let shape = Shape::of(job);
        self.ready.swap_remove(&lane_id);
        self.blocked.entry(shape).or_default().insert(lane_id);
    }

    /// Readies the blocked lanes of the shapes that may fit now.
    pub(crate) fn wake(&mut self, may_fit: impl Fn(&Shape) -> bool) {
        let ready = &mut self.ready;
        self.blocked.retain(|shape, lane_ids| {
            let woken = may_fit(shape);
            if woken {
                ready.extend(lane_ids.iter().copied());
            }
            !woken
        });
    }

    /// The number of queued jobs with a lower rank than this one.
    pub(crate) fn count_ahead(&self, job: id::Job) -> usize {
        let Some(&(_, rank)) = self.positions.get(&job) else {
            return 0;
        };
        let earlier = self.positions.values().filter(|&&(_, other)| other < rank);
        earlier.count()
    }

    fn unblock(&mut self, lane_id: LaneId, shape: &Shape) {
        self.remove_blocked(lane_id, shape);
        self.ready.insert(lane_id);
    }

    fn remove_blocked(&mut self, lane_id: LaneId, shape: &Shape) {
        if let Some(lane_ids) = self.blocked.get_mut(shape) {
            lane_ids.swap_remove(&lane_id);
            if lane_ids.is_empty() {
                self.blocked.swap_remove(shape);
            }
        }
    }
}

fn class(job: &Job) -> Class {
    Class {
        team: job.team.clone(),
        workload: job.workload.clone(),
        shape: Shape::of(job),
        urgent: job.urgent,
        idempotent: job.idempotent,
    }
}

/// A job's rank in milliseconds. Urgent jobs are ranked by queueing time alone.
/// All ranks are offset by [`MAX_SIZE_CREDIT`], so the credit can't underflow.
fn rank(job: &Job, factors: &Factors) -> u64 {
    let arrival = job.queued_at.after(MAX_SIZE_CREDIT);
    if job.urgent {
        return arrival.as_millis();
    }
    let packing = u64::from(factors.packing.min(100));
    let penalty = factors.runtime.saturating_mul(RUNTIME_FACTOR).as_millis();
    let penalty = penalty.min(MAX_RUNTIME_PENALTY.as_millis()) * (100 - packing) / 100;
    let share = factors.share.clamp(0.0, 1.0);
    let credit = (MAX_SIZE_CREDIT.as_millis() as f64 * share) as u64 * packing / 100;
    let rank = Time::from_millis(arrival.as_millis() + penalty - credit);
    let latest = job
        .deadline
        .map(|deadline| deadline.after(MAX_SIZE_CREDIT).since(Time::default()));
    let latest = latest.map_or(u64::MAX, |it| {
        it.saturating_sub(DEADLINE_MARGIN).as_millis()
    });
    rank.as_millis().min(latest)
}
