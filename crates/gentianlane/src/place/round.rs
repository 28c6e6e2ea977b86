//! A scheduling round.
//!
//! A round refuses jobs that turned out to be infeasible, evicts jobs from
//! workers that have shrunk, starts jobs whose claims have come free and then
//! tries the lanes of the queue in order of priority. The number of searches in
//! a round is bounded; lanes that aren't reached are tried in the next round.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexSet;

use crate::id;
use crate::place::capacity::{Slot, fit_count};
use crate::place::claim::{Claim, earliest_start, tasks_per_slot};
use crate::place::planner::{Assignment, SETTLE_TIME};
use crate::place::queue::{LaneId, Shape};
use crate::place::search::Search;
use crate::place::{Decision, Job, Kind, Planner};
use crate::unit::{Span, Time};

/// The number of searches that a round may make for each allowed decision.
const SEARCHES_PER_DECISION: usize = 4;

/// The number of claimed workers that are tried for a backfill.
const MAX_CANDIDATES: usize = 24;

/// The most freed workers that are checked one by one against the blocked
/// lanes; with more, all lanes are woken.
const MAX_FREED: usize = 32;

/// The number of workers in the cell for each claim beyond the first. A job
/// that isn't urgent gets no claim while there are more.
const WORKERS_PER_CLAIM: usize = 128;

/// The smallest share of the largest worker at which a single task gets a
/// claim. Smaller tasks find room as others end.
const LARGE_SHARE: f64 = 0.25;

/// The weight of packing from which the median runtime of a workload has to be
/// short enough for a backfill; below it the 90th percentile has to be.
const PACKING_THRESHOLD: u8 = 50;

/// The priority credit of a large job when one of the same shape has just
/// ended, since it can take over the workers without draining others first.
const SAME_SHAPE_CREDIT: Span = Span::from_secs(300);

/// The shortest wait after which a job that isn't urgent may get a claim.
const MIN_CLAIM_WAIT: Span = Span::from_secs(1);

/// The additional wait before a claim for each percent of packing weight.
const CLAIM_WAIT_PER_PERCENT: Span = Span::from_millis(300);

/// The progress of one round.
pub(crate) struct Round {
    pub(crate) now: Time,
    limit: usize,
    /// The number of searches left.
    pub(crate) searches: usize,
    pub(crate) decisions: Vec<Decision>,
    /// The shapes for which a search found no workers in this round.
    unplaceable: IndexSet<Shape>,
    /// The shapes for which preemption could free no workers in this round.
    pub(crate) unpreemptable: IndexSet<Shape>,
}

impl Round {
    fn is_over(&self) -> bool {
        self.decisions.len() >= self.limit || self.searches == 0
    }
}

impl Planner {
    /// Runs one scheduling round at `now`. Its work is bounded by `limit`, and
    /// it stops once it has made `limit` decisions; the evictions of one worker
    /// and the preemptions for one job aren't split, so there may be a few
    /// more.
    pub fn plan(&mut self, now: Time, limit: usize) -> Vec<Decision> {
        let mut round = Round {
            now,
            limit,
            searches: limit.saturating_mul(SEARCHES_PER_DECISION),
            decisions: Vec::new(),
            unplaceable: IndexSet::new(),
            unpreemptable: IndexSet::new(),
        };
        self.limiter.begin_round(now);
        self.refuse_infeasible(&mut round);
        self.evict(&mut round);
        self.start_claimed(&mut round);
        self.wake_lanes(now);
        self.serve_lanes(&mut round);
        self.limiter.end_round();
        round.decisions
    }

    /// Refuses provisionally admitted jobs that no known worker can hold, once
    /// the planner has run for [`SETTLE_TIME`].
    fn refuse_infeasible(&mut self, round: &mut Round) {
        let settled = self.limiter.has_run_for(SETTLE_TIME);
        if !settled || self.known_workers.is_empty() {
            return;
        }
        while round.decisions.len() < round.limit {
            let Some(id) = self.provisional.pop() else {
                return;
            };
            let Some(job) = self.queue.get(id) else {
                continue;
            };
            if let Some(reason) = self.known_workers.infeasibility(&Shape::of(job)) {
                self.queue.remove(id);
                round.decisions.push(Decision::Refuse { job: id, reason });
            }
        }
    }

    /// Evicts jobs from workers that have shrunk below what is reserved on
    /// them.
    fn evict(&mut self, round: &mut Round) {
        while round.decisions.len() < round.limit {
            let Some(slot) = self.inventory.overcommitted.pop() else {
                return;
            };
            for job in self.choose_evictions(slot) {
                if let Some(assignment) = self.assignments.get_mut(&job) {
                    assignment.stopping = true;
                    round.decisions.push(Decision::Evict { job });
                }
            }
        }
    }

    /// The jobs to stop so that a worker's reservations fit its size again.
    /// Counts jobs that are stopping already, then chooses preemptible jobs,
    /// then idempotent ones, and among equals the latest started.
    fn choose_evictions(&self, slot: Slot) -> Vec<id::Job> {
        let entry = self.inventory.entry(slot);
        let Some(worker) = self.inventory.ledger().get(&entry.name) else {
            return Vec::new();
        };
        let mut left = worker.reserved();
        let mut allocations: Vec<_> = entry.allocations.iter().collect();
        let rank = |job: id::Job, preemptible: bool| {
            let assignment = self.assignments.get(&job);
            let stopping = assignment.is_some_and(|assignment| assignment.stopping);
            let idempotent =
                assignment.is_some_and(|assignment| assignment.job.idempotent);
            (!stopping, !preemptible, !idempotent)
        };
        allocations.sort_by_key(|(task, allocation)| {
            (
                rank(task.job, allocation.preemptible),
                Reverse(allocation.started_at),
                **task,
            )
        });
        let mut jobs = IndexSet::new();
        for (task, allocation) in allocations {
            if left.fits(&worker.size) {
                break;
            }
            left = left.checked_sub(&allocation.size).unwrap_or_default();
            let stopping = self
                .assignments
                .get(&task.job)
                .is_some_and(|assignment| assignment.stopping);
            if !stopping {
                jobs.insert(task.job);
            }
        }
        jobs.into_iter().collect()
    }

    /// Starts jobs whose claimed resources are free, and cancels claims on
    /// workers that are no longer usable or have become too small.
    fn start_claimed(&mut self, round: &mut Round) {
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

    /// Wakes the blocked lanes whose jobs may fit a worker on which more has
    /// become available, and every lane once per sweep interval.
    fn wake_lanes(&mut self, now: Time) {
        let sweep = self.limiter.try_sweep(now);
        if sweep {
            self.inventory
                .set_headroom(self.profiles.accelerator_headroom());
        }
        let freed = self.inventory.take_freed();
        if sweep || freed.len() > MAX_FREED {
            self.queue.wake(|_| true);
            return;
        }
        let inventory = &self.inventory;
        let available = freed.iter().filter_map(|&slot| inventory.available(slot));
        let available: Vec<_> = available.collect();
        self.queue
            .wake(|shape| available.iter().any(|available| shape.size.fits(available)));
    }

    /// Tries the ready lanes in order of priority. Priorities change as jobs
    /// start, so a lane that has fallen behind the next is queued again.
    fn serve_lanes(&mut self, round: &mut Round) {
        let ready: Vec<LaneId> = self.queue.ready().collect();
        let mut order: BinaryHeap<_> = ready
            .into_iter()
            .filter_map(|lane_id| Some(Reverse((self.lane_priority(lane_id)?, lane_id))))
            .collect();
        while let Some(Reverse((priority, lane_id))) = order.pop() {
            if round.is_over() {
                return;
            }
            let Some(now) = self.lane_priority(lane_id) else {
                continue;
            };
            let next = order.peek().map(|Reverse((next, _))| *next);
            if now > priority && next.is_some_and(|next| next < now) {
                order.push(Reverse((now, lane_id)));
                continue;
            }
            if !self.try_lane(lane_id, round) {
                self.queue.block(lane_id);
            } else if let Some(priority) = self.lane_priority(lane_id) {
                order.push(Reverse((priority, lane_id)));
            }
        }
    }

    /// The priority of a lane's first job, lowest first: urgent jobs of teams
    /// within their quotas, then all others by rank plus their team's penalty.
    fn lane_priority(&self, lane_id: LaneId) -> Option<(bool, u64)> {
        let (rank, job) = self.queue.lane(lane_id).head()?;
        if self.shares.is_urgent_within_quota(job) {
            return Some((false, rank));
        }
        let request = job.size.checked_mul(job.count).unwrap_or(job.size);
        let total = self.inventory.total();
        let penalty = self.shares.penalty(&job.team, &request, &total);
        let rank = rank.saturating_add(penalty.as_millis());
        let same_shape = self.limiter.just_ended(&Shape::of(job));
        let credit = if same_shape {
            SAME_SHAPE_CREDIT
        } else {
            Span::ZERO
        };
        Some((true, rank.saturating_sub(credit.as_millis())))
    }

    /// Tries to start a lane's first job or to claim resources for it; false if
    /// the lane is blocked.
    fn try_lane(&mut self, lane_id: LaneId, round: &mut Round) -> bool {
        let Some((_, job)) = self.queue.lane(lane_id).head() else {
            return false;
        };
        let shape = Shape::of(job);
        let service = job.kind == Kind::Service;
        if service && !self.limiter.has_replica_token() {
            return false;
        }
        if let Some(slot) = self.probe_slot(job, round.now) {
            let id = job.id;
            let name = self.inventory.entry(slot).name.clone();
            self.quarantine.start_probe(&name, id);
            return self.start(id, &[slot], round);
        }
        if !round.unplaceable.contains(&shape) {
            round.searches = round.searches.saturating_sub(1);
            let search = Search {
                inventory: &self.inventory,
                job,
                packing: self.packing,
            };
            if let Some(slots) = search.find(self.replicas.get(&job.workload)) {
                let id = job.id;
                if service {
                    self.limiter.take_replica_token();
                }
                return self.start(id, &slots, round);
            }
            round.unplaceable.insert(shape);
        }
        let job = job.clone();
        self.backfill(&job, round)
            || self.preempt(&job, round)
            || self.claim_ahead(&job, round)
    }

    /// A quarantined worker that this job can probe. Only single idempotent
    /// batch tasks that aren't urgent are used, since the worker may fail them.
    fn probe_slot(&self, job: &Job, now: Time) -> Option<Slot> {
        let retryable = job.kind == Kind::Batch && job.idempotent && job.count == 1;
        if !retryable || job.urgent {
            return None;
        }
        let slot = self.inventory.slot(self.quarantine.due_for_probe(now)?)?;
        let entry = self.inventory.entry(slot);
        let worker = self.inventory.ledger().get(&entry.name)?;
        let fits = !worker.draining && job.size.fits(&worker.free());
        let suits = job.size.accelerators.0 > 0 || entry.size.accelerators.0 == 0;
        (fits && (suits || entry.allocations.is_empty())).then_some(slot)
    }

    /// Starts a short job on a claimed worker if it should end before the
    /// claim's expected start. A CPU-only job isn't started on a worker with
    /// accelerators.
    fn backfill(&mut self, job: &Job, round: &mut Round) -> bool {
        if job.kind != Kind::Batch || job.count != 1 {
            return false;
        }
        let runtime = match self.packing >= PACKING_THRESHOLD {
            true => self.profiles.median_runtime(&job.workload, job.expected),
            false => self.profiles.p90_runtime(&job.workload).unwrap_or_else(|| {
                self.profiles
                    .median_runtime(&job.workload, job.expected)
                    .saturating_mul(2)
            }),
        };
        let claims = self.claims.values();
        let claims = claims.filter(|claim| self.ends_before(claim, runtime, round.now));
        let slots = claims.flat_map(|claim| claim.slots.iter().copied());
        let free = |slot| self.inventory.free(slot).unwrap_or_default();
        let mut slots = slots.take(MAX_CANDIDATES);
        let Some(slot) = slots.find(|&slot| job.size.fits(&free(slot))) else {
            return false;
        };
        let cpu_only = self.inventory.entry(slot).size.accelerators.0 == 0;
        if job.size.accelerators.0 == 0 && !cpu_only {
            return false;
        }
        self.start(job.id, &[slot], round)
    }

    /// Claims workers for a large job that smaller ones would starve, once it
    /// has waited long enough.
    fn claim_ahead(&mut self, job: &Job, round: &mut Round) -> bool {
        let min_wait =
            MIN_CLAIM_WAIT + CLAIM_WAIT_PER_PERCENT.saturating_mul(self.packing.into());
        let waited = round.now.since(job.queued_at) >= min_wait;
        let large =
            job.count > 1 || self.known_workers.min_share(&job.size) >= LARGE_SHARE;
        let max_claims = 1 + self.inventory.len() / WORKERS_PER_CLAIM;
        if !waited || !large || self.claims.len() >= max_claims {
            return false;
        }
        if !self.limiter.try_claim(round.now) {
            return false;
        }
        let Some((slots, at)) = earliest_start(&self.inventory, job, round.now) else {
            return false;
        };
        let Some(job) = self.queue.remove(job.id) else {
            return false;
        };
        self.claim(Claim {
            job,
            slots,
            expected_start: Some(at),
        });
        true
    }

    /// Reserves resources for a queued job and decides to start it; false if a
    /// worker doesn't have enough.
    fn start(&mut self, id: id::Job, slots: &[Slot], round: &mut Round) -> bool {
        let Some(job) = self.queue.get(id) else {
            return false;
        };
        let allocation = self.allocation(job, round.now);
        if !self.inventory.reserve(id, slots, allocation) {
            return false;
        }
        let Some(job) = self.queue.remove(id) else {
            return false;
        };
        self.provisional.swap_remove(&id);
        for &slot in slots {
            self.shares.charge(&job);
            self.add_replica(&job, slot);
        }
        let name = |&slot: &Slot| self.inventory.entry(slot).name.clone();
        let workers = slots.iter().map(name).collect();
        let slots = slots.iter().copied().map(Some).collect();
        let stopping = false;
        self.assignments.insert(
            id,
            Assignment {
                job,
                slots,
                stopping,
            },
        );
        round.decisions.push(Decision::Start { job: id, workers });
        true
    }
}
