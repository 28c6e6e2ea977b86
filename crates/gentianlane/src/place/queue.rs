//! The jobs that wait, in the order in which they should start.
//!
//! Jobs that differ in nothing that matters for placement stand in one lane: if
//! its first job can't start, none can. A round looks at lanes, not at jobs, so
//! that its cost doesn't grow with the length of the queue.
//!
//! A job's *rank* is a point in time: when it came, put back by how long it is
//! thought to run, and put forward by how large it is. All that is added or
//! taken away is bounded, so that a job is only ever overtaken by jobs that
//! come within that bound after it.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::place::{Job, Kind};
use crate::unit::{Size, Span, Time};

/// How many times its run time a job is put back when waiting weighs most.
const RUNTIME_FACTOR: u64 = 4;

/// The furthest that a job is put back for its run time.
const MAX_RUNTIME_PENALTY: Span = Span::from_secs(600);

/// How far a job that fills the largest worker is put forward when packing
/// weighs most.
const MAX_SIZE_CREDIT: Span = Span::from_secs(300);

/// How long before its deadline a job goes before others.
const DEADLINE_MARGIN: Span = Span::from_secs(30);

/// What decides whether a job fits.
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

/// What jobs of one lane have in common.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Class {
    team: id::Team,
    workload: id::Workload,
    shape: Shape,
    urgent: bool,
    idempotent: bool,
}

/// A position in the table of lanes.
pub(crate) type LaneId = usize;

/// Jobs that differ in nothing that matters for placement.
#[derive(Debug, Clone)]
pub(crate) struct Lane {
    jobs: BTreeMap<(u64, id::Job), Job>,
}

impl Lane {
    /// The job that should start first, and its rank in milliseconds.
    pub(crate) fn head(&self) -> Option<(u64, &Job)> {
        self.jobs
            .first_key_value()
            .map(|((rank, _), job)| (*rank, job))
    }
}

/// What a job's rank depends on besides the job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Factors {
    /// From 0, wait least, to 100, pack most.
    pub(crate) packing: u8,
    /// How long the job is thought to run.
    pub(crate) runtime: Span,
    /// The part that the job's task is of the largest worker.
    pub(crate) share: f64,
}

/// All jobs that wait.
#[derive(Debug, Default, Clone)]
pub(crate) struct Queue {
    lanes: Vec<Lane>,
    free_lanes: Vec<LaneId>,
    lane_ids: IndexMap<Class, LaneId>,
    positions: IndexMap<id::Job, (LaneId, u64)>,
    /// Lanes whose first job should be tried.
    ready: IndexSet<LaneId>,
    /// Lanes whose first job didn't fit, by what it needs.
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

    /// The lane at a position.
    pub(crate) fn lane(&self, lane_id: LaneId) -> &Lane {
        &self.lanes[lane_id]
    }

    /// Takes in a job; one that waits already is replaced.
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

    /// Takes out a job.
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

    /// The lanes whose first jobs should be tried.
    pub(crate) fn ready(&self) -> impl Iterator<Item = LaneId> {
        self.ready.iter().copied()
    }

    /// Says that a lane's first job doesn't fit.
    pub(crate) fn block(&mut self, lane_id: LaneId) {
        let Some((_, job)) = self.lanes[lane_id].head() else {
            return;
        };
        let shape = Shape::of(job);
        self.ready.swap_remove(&lane_id);
        self.blocked.entry(shape).or_default().insert(lane_id);
    }

    /// Has the lanes tried again whose jobs need something that has come.
    pub(crate) fn wake(&mut self, come: impl Fn(&Shape) -> bool) {
        let ready = &mut self.ready;
        self.blocked.retain(|shape, lane_ids| {
            let wakes = come(shape);
            if wakes {
                ready.extend(lane_ids.iter().copied());
            }
            !wakes
        });
    }

    /// How many waiting jobs have a lower rank than a job.
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

/// A job's rank in milliseconds; urgent jobs go by arrival alone.
fn rank(job: &Job, factors: &Factors) -> u64 {
    let arrival = job.queued_at.after(MAX_SIZE_CREDIT);
    if job.urgent {
        return arrival.as_millis();
    }
    let packing = u64::from(factors.packing.min(100));
    let penalty = factors.runtime.times(RUNTIME_FACTOR).as_millis();
    let penalty = penalty.min(MAX_RUNTIME_PENALTY.as_millis()) * (100 - packing) / 100;
    let part = factors.share.clamp(0.0, 1.0);
    let credit = (MAX_SIZE_CREDIT.as_millis() as f64 * part) as u64 * packing / 100;
    let rank = Time::from_millis(arrival.as_millis() + penalty - credit);
    let due = job
        .deadline
        .map(|deadline| deadline.after(MAX_SIZE_CREDIT).since(Time::default()));
    let due = due.map_or(u64::MAX, |due| due.less(DEADLINE_MARGIN).as_millis());
    rank.as_millis().min(due)
}
