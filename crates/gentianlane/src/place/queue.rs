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
const RUN_TIMES: u64 = 4;

/// The furthest that a job is put back for its run time.
const LONGEST: Span = Span::from_secs(600);

/// How far a job that fills the largest worker is put forward when packing
/// weighs most.
const LARGEST: Span = Span::from_secs(300);

/// How long before its deadline a job goes before others.
const MARGIN: Span = Span::from_secs(30);

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
struct Trait {
    team: id::Team,
    workload: id::Workload,
    shape: Shape,
    urgent: bool,
    idempotent: bool,
}

/// A position in the table of lanes.
pub(crate) type Track = usize;

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
pub(crate) struct Scale {
    /// From 0, wait least, to 100, pack most.
    pub(crate) packing: u8,
    /// How long the job is thought to run.
    pub(crate) run: Span,
    /// The part that the job's task is of the largest worker.
    pub(crate) part: f64,
}

/// All jobs that wait.
#[derive(Debug, Default, Clone)]
pub(crate) struct Queue {
    lanes: Vec<Lane>,
    vacant: Vec<Track>,
    tracks: IndexMap<Trait, Track>,
    places: IndexMap<id::Job, (Track, u64)>,
    /// Lanes whose first job should be tried.
    ready: IndexSet<Track>,
    /// Lanes whose first job didn't fit, by what it needs.
    blocked: IndexMap<Shape, IndexSet<Track>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn get(&self, job: id::Job) -> Option<&Job> {
        let &(track, rank) = self.places.get(&job)?;
        self.lanes[track].jobs.get(&(rank, job))
    }

    /// The lane at a position.
    pub(crate) fn lane(&self, track: Track) -> &Lane {
        &self.lanes[track]
    }

    /// Takes in a job; one that waits already is replaced.
    pub(crate) fn insert(&mut self, job: Job, scale: &Scale) {
        self.remove(job.job);
        let rank = rank(&job, scale);
        let track = self.track(&job);
        self.places.insert(job.job, (track, rank));
        let first = self.lanes[track].head().is_none_or(|(head, _)| rank < head);
        if first {
            self.unblock(track, &Shape::of(&job));
        }
        self.lanes[track].jobs.insert((rank, job.job), job);
    }

    fn track(&mut self, job: &Job) -> Track {
        let key = key(job);
        if let Some(&track) = self.tracks.get(&key) {
            return track;
        }
        let track = self.vacant.pop().unwrap_or_else(|| {
            self.lanes.push(Lane {
                jobs: BTreeMap::new(),
            });
            self.lanes.len() - 1
        });
        self.tracks.insert(key, track);
        track
    }

    /// Takes out a job.
    pub(crate) fn remove(&mut self, job: id::Job) -> Option<Job> {
        let (track, rank) = self.places.swap_remove(&job)?;
        let lane = &mut self.lanes[track];
        let job = lane.jobs.remove(&(rank, job))?;
        if lane.jobs.is_empty() {
            self.tracks.swap_remove(&key(&job));
            self.ready.swap_remove(&track);
            self.unmark(track, &Shape::of(&job));
            self.vacant.push(track);
        }
        Some(job)
    }

    /// The lanes whose first jobs should be tried.
    pub(crate) fn ready(&self) -> impl Iterator<Item = Track> {
        self.ready.iter().copied()
    }

    /// Says that a lane's first job doesn't fit.
    pub(crate) fn block(&mut self, track: Track) {
        let Some((_, job)) = self.lanes[track].head() else {
            return;
        };
        let shape = Shape::of(job);
        self.ready.swap_remove(&track);
        self.blocked.entry(shape).or_default().insert(track);
    }

    /// Has the lanes tried again whose jobs need something that has come.
    pub(crate) fn wake(&mut self, come: impl Fn(&Shape) -> bool) {
        let ready = &mut self.ready;
        self.blocked.retain(|shape, tracks| {
            let wakes = come(shape);
            if wakes {
                ready.extend(tracks.iter().copied());
            }
            !wakes
        });
    }

    /// How many waiting jobs have a lower rank than a job.
    pub(crate) fn before(&self, job: id::Job) -> usize {
        let Some(&(_, rank)) = self.places.get(&job) else {
            return 0;
        };
        let earlier = self.places.values().filter(|&&(_, other)| other < rank);
        earlier.count()
    }

    fn unblock(&mut self, track: Track, shape: &Shape) {
        self.unmark(track, shape);
        self.ready.insert(track);
    }

    fn unmark(&mut self, track: Track, shape: &Shape) {
        if let Some(tracks) = self.blocked.get_mut(shape) {
            tracks.swap_remove(&track);
            if tracks.is_empty() {
                self.blocked.swap_remove(shape);
            }
        }
    }
}

fn key(job: &Job) -> Trait {
    Trait {
        team: job.team.clone(),
        workload: job.workload.clone(),
        shape: Shape::of(job),
        urgent: job.urgent,
        idempotent: job.idempotent,
    }
}

/// A job's rank in milliseconds; urgent jobs go by arrival alone.
fn rank(job: &Job, scale: &Scale) -> u64 {
    let since = job.since.after(LARGEST);
    if job.urgent {
        return since.as_millis();
    }
    let packing = u64::from(scale.packing.min(100));
    let back = scale.run.times(RUN_TIMES).as_millis();
    let back = back.min(LONGEST.as_millis()) * (100 - packing) / 100;
    let part = scale.part.clamp(0.0, 1.0);
    let forward = (LARGEST.as_millis() as f64 * part) as u64 * packing / 100;
    let rank = Time::from_millis(since.as_millis() + back - forward);
    let due = job
        .deadline
        .map(|deadline| deadline.after(LARGEST).since(Time::default()));
    let due = due.map_or(u64::MAX, |due| due.less(MARGIN).as_millis());
    rank.as_millis().min(due)
}
