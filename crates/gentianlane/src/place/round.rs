//! One round of decisions.
//!
//! A round first stops what no longer fits on workers that have shrunk, then
//! starts jobs for which room was set aside, then goes through the lanes in
//! order of rank. The number of searches in a round is bounded; what isn't
//! reached is tried in the next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexSet;

use crate::id;
use crate::place::capacity::{Slot, fit_count};
use crate::place::choose::Search;
use crate::place::claim::{Claim, soonest, tasks_per_slot};
use crate::place::planner::{Held, SETTLING};
use crate::place::queue::{Shape, Track};
use crate::place::{Decision, Job, Kind, Planner};
use crate::unit::{Span, Time};

/// How many searches a round makes for each decision that it may take.
const SEARCHES: usize = 4;

/// How many workers are looked at for one that urgent work could take.
const LOOKS: usize = 24;

/// Up to how many workers on which more has come open are told apart.
const GROWN: usize = 32;

/// How many workers there are to each job for which room is set aside.
const WORKERS_PER_CLAIM: usize = 128;

/// The part of the largest worker from which on a single task gets room set
/// aside; smaller ones find it as tasks end.
const LARGE: f64 = 0.25;

/// From which weight of packing on jobs fill room that is set aside if half of
/// their runs are short enough; else nine of ten have to be.
const PACKS: u8 = 50;

/// How far a large job is put forward when one like it has just ended, as its
/// workers needn't be emptied once more.
const FOLLOWS: Span = Span::from_secs(300);

/// How long a job waits at least before room is set aside for it.
const PATIENCE: Span = Span::from_secs(1);

/// How much longer it waits for each percent by which packing weighs.
const PATIENCE_STEP: Span = Span::from_millis(300);

/// What a round has done so far.
pub(crate) struct Round {
    pub(crate) now: Time,
    limit: usize,
    /// How many searches are left.
    pub(crate) searches: usize,
    pub(crate) decisions: Vec<Decision>,
    /// What was found not to fit in this round.
    futile: IndexSet<Shape>,
    /// What urgent work was found unable to take in this round.
    pub(crate) stuck: IndexSet<Shape>,
}

impl Round {
    fn is_over(&self) -> bool {
        self.decisions.len() >= self.limit || self.searches == 0
    }
}

impl Planner {
    /// Decides what can start now, at most `limit` decisions, and a bounded
    /// amount of work.
    pub fn plan(&mut self, now: Time, limit: usize) -> Vec<Decision> {
        let mut round = Round {
            now,
            limit,
            searches: limit.saturating_mul(SEARCHES),
            decisions: Vec::new(),
            futile: IndexSet::new(),
            stuck: IndexSet::new(),
        };
        self.pace.tick(now);
        self.settle_doubts(&mut round);
        self.evict(&mut round);
        self.honour(&mut round);
        self.wake(now);
        self.serve(&mut round);
        self.pace.tock();
        round.decisions
    }

    /// Refuses what was taken in while too little was known.
    fn settle_doubts(&mut self, round: &mut Round) {
        let settled = self.pace.is_settled(SETTLING);
        if !settled || self.known.is_empty() {
            return;
        }
        while round.decisions.len() < round.limit {
            let Some(id) = self.doubtful.pop() else {
                return;
            };
            let Some(job) = self.queue.get(id) else {
                continue;
            };
            if let Some(misfit) = self.known.misfit(&Shape::of(job)) {
                self.queue.remove(id);
                round.decisions.push(Decision::Refuse { job: id, misfit });
            }
        }
    }

    /// Stops what is too much on workers that have become smaller.
    fn evict(&mut self, round: &mut Round) {
        while round.decisions.len() < round.limit {
            let Some(slot) = self.inventory.overcommitted.pop() else {
                return;
            };
            for job in self.surplus(slot) {
                if let Some(held) = self.held.get_mut(&job) {
                    held.stops = true;
                    round.decisions.push(Decision::Evict { job });
                }
            }
        }
    }

    /// The jobs to stop so that a worker holds no more than it has: those that
    /// yield first, then the idempotent, and of each the youngest first.
    fn surplus(&self, slot: Slot) -> Vec<id::Job> {
        let entry = self.inventory.entry(slot);
        let Some(worker) = self.inventory.ledger().get(&entry.name) else {
            return Vec::new();
        };
        let mut left = worker.reserved();
        let mut holds: Vec<_> = entry.holds.iter().collect();
        let rank = |job: id::Job, yields: bool| {
            let held = self.held.get(&job);
            let stops = held.is_some_and(|held| held.stops);
            let again = held.is_some_and(|held| held.job.idempotent);
            (!stops, !yields, !again)
        };
        holds.sort_by_key(|(task, hold)| {
            (rank(task.job, hold.yields), Reverse(hold.begun), **task)
        });
        let mut jobs = IndexSet::new();
        for (task, hold) in holds {
            if left.fits(&worker.size) {
                break;
            }
            left = left.less(&hold.size).unwrap_or_default();
            let stops = self.held.get(&task.job).is_some_and(|held| held.stops);
            if !stops {
                jobs.insert(task.job);
            }
        }
        jobs.into_iter().collect()
    }

    /// Starts jobs for which room was set aside and has come free.
    fn honour(&mut self, round: &mut Round) {
        let jobs: Vec<id::Job> = self.claims.keys().copied().collect();
        for id in jobs {
            if round.decisions.len() >= round.limit {
                return;
            }
            let Some(claim) = self.claims.get(&id) else {
                continue;
            };
            let size = claim.job.size;
            let counts = tasks_per_slot(&claim.slots);
            let free = |slot| self.inventory.free(slot).unwrap_or_default();
            if counts
                .iter()
                .all(|(&slot, &count)| fit_count(&size, &free(slot)) >= count)
            {
                let slots = claim.slots.clone();
                self.unclaim(id);
                self.start(id, &slots, round);
                continue;
            }
            let usable = |&slot: &Slot| self.inventory.free(slot).is_some();
            let fits = |(&slot, &count): (&Slot, &u32)| {
                fit_count(&size, &self.inventory.entry(slot).size) >= count
            };
            if !claim.slots.iter().all(usable) || !counts.iter().all(fits) {
                self.unclaim(id);
            }
        }
    }

    /// Has lanes tried again for which something has come open.
    fn wake(&mut self, now: Time) {
        let sweeps = self.pace.sweeps(now);
        if sweeps {
            self.inventory.set_headroom(self.learner.beside());
        }
        let freed = self.inventory.take_freed();
        if sweeps || freed.len() > GROWN {
            self.queue.wake(|_| true);
            return;
        }
        let inventory = &self.inventory;
        let available = freed.iter().filter_map(|&slot| inventory.available(slot));
        let available: Vec<_> = available.collect();
        self.queue
            .wake(|shape| available.iter().any(|available| shape.size.fits(available)));
    }

    /// Goes through the lanes in order.
    fn serve(&mut self, round: &mut Round) {
        let ready: Vec<Track> = self.queue.ready().collect();
        let mut order: BinaryHeap<_> = ready
            .into_iter()
            .filter_map(|track| Some(Reverse((self.turn(track)?, track))))
            .collect();
        while let Some(Reverse((turn, track))) = order.pop() {
            if round.is_over() {
                return;
            }
            let Some(now) = self.turn(track) else {
                continue;
            };
            let next = order.peek().map(|Reverse((next, _))| *next);
            if now > turn && next.is_some_and(|next| next < now) {
                order.push(Reverse((now, track)));
                continue;
            }
            if !self.attempt(track, round) {
                self.queue.block(track);
            } else if let Some(turn) = self.turn(track) {
                order.push(Reverse((turn, track)));
            }
        }
    }

    /// When a lane's first job has its turn: urgent work of teams within their
    /// quotas first, then by rank and by what the team uses already.
    fn turn(&self, track: Track) -> Option<(bool, u64)> {
        let (rank, job) = self.queue.lane(track).head()?;
        if self.shares.is_pressing(job) {
            return Some((false, rank));
        }
        let more = job.size.times(job.count).unwrap_or(job.size);
        let total = self.inventory.total();
        let penalty = self.shares.penalty(&job.team, &more, &total);
        let rank = rank.saturating_add(penalty.as_millis());
        let like = self.pace.is_followed(&Shape::of(job));
        let credit = if like { FOLLOWS } else { Span::ZERO };
        Some((true, rank.saturating_sub(credit.as_millis())))
    }

    /// Tries a lane's first job; false if the lane has to wait.
    fn attempt(&mut self, track: Track, round: &mut Round) -> bool {
        let Some((_, job)) = self.queue.lane(track).head() else {
            return false;
        };
        let shape = Shape::of(job);
        let service = job.kind == Kind::Service;
        if service && !self.pace.has_replica() {
            return false;
        }
        if let Some(slot) = self.probe(job, round.now) {
            let id = job.job;
            let name = self.inventory.entry(slot).name.clone();
            self.blame.probe(&name, id);
            return self.start(id, &[slot], round);
        }
        if !round.futile.contains(&shape) {
            round.searches = round.searches.saturating_sub(1);
            let search = Search {
                inventory: &self.inventory,
                job,
                packing: self.packing,
            };
            if let Some(slots) = search.find(self.peers.get(&job.workload)) {
                let id = job.job;
                if service {
                    self.pace.take_replica();
                }
                return self.start(id, &slots, round);
            }
            round.futile.insert(shape);
        }
        let job = job.clone();
        self.backfill(&job, round)
            || self.take_over(&job, round)
            || self.reserve(&job, round)
    }

    /// A worker in quarantine to try with this job.
    fn probe(&self, job: &Job, now: Time) -> Option<Slot> {
        let harmless = job.kind == Kind::Batch && job.idempotent && job.count == 1;
        if !harmless || job.urgent {
            return None;
        }
        let slot = self.inventory.slot(self.blame.due(now)?)?;
        let entry = self.inventory.entry(slot);
        let worker = self.inventory.ledger().get(&entry.name)?;
        let fits = !worker.draining && job.size.fits(&worker.free());
        let plain = job.size.accelerators.0 > 0 || entry.size.accelerators.0 == 0;
        (fits && (plain || entry.holds.is_empty())).then_some(slot)
    }

    /// Starts a short job in room that is set aside for later.
    fn backfill(&mut self, job: &Job, round: &mut Round) -> bool {
        if job.kind != Kind::Batch || job.count != 1 {
            return false;
        }
        let run = match self.packing >= PACKS {
            true => self.learner.middle(&job.workload, job.expected),
            false => self.learner.most(&job.workload).unwrap_or_else(|| {
                self.learner.middle(&job.workload, job.expected).times(2)
            }),
        };
        let later = self.claims.values();
        let later = later.filter(|claim| self.spans(claim, run, round.now));
        let slots = later.flat_map(|claim| claim.slots.iter().copied());
        let free = |slot| self.inventory.free(slot).unwrap_or_default();
        let mut slots = slots.take(LOOKS);
        let Some(slot) = slots.find(|&slot| job.size.fits(&free(slot))) else {
            return false;
        };
        let plain = self.inventory.entry(slot).size.accelerators.0 == 0;
        if job.size.accelerators.0 == 0 && !plain {
            return false;
        }
        self.start(job.job, &[slot], round)
    }

    /// Sets room aside for a job that smaller ones would starve.
    fn reserve(&mut self, job: &Job, round: &mut Round) -> bool {
        let patience = PATIENCE + PATIENCE_STEP.times(self.packing.into());
        let waited = round.now.since(job.since) >= patience;
        let large = job.count > 1 || self.known.part(&job.size) >= LARGE;
        let most = 1 + self.inventory.len() / WORKERS_PER_CLAIM;
        if !waited || !large || self.claims.len() >= most {
            return false;
        }
        if !self.pace.reserves(round.now) {
            return false;
        }
        let Some((slots, at)) = soonest(&self.inventory, job, round.now) else {
            return false;
        };
        let Some(job) = self.queue.remove(job.job) else {
            return false;
        };
        self.claim(Claim {
            job,
            slots,
            at: Some(at),
        });
        true
    }

    /// Reserves room for a job that waits and decides to start it.
    fn start(&mut self, id: id::Job, slots: &[Slot], round: &mut Round) -> bool {
        let Some(job) = self.queue.get(id) else {
            return false;
        };
        let hold = self.hold(job, round.now);
        if !self.inventory.reserve(id, slots, hold) {
            return false;
        }
        let Some(job) = self.queue.remove(id) else {
            return false;
        };
        self.doubtful.swap_remove(&id);
        for &slot in slots {
            self.shares.take(&job);
            self.stand(&job, slot);
        }
        let name = |&slot: &Slot| self.inventory.entry(slot).name.clone();
        let workers = slots.iter().map(name).collect();
        let slots = slots.iter().copied().map(Some).collect();
        let stops = false;
        self.held.insert(id, Held { job, slots, stops });
        round.decisions.push(Decision::Start { job: id, workers });
        true
    }
}
