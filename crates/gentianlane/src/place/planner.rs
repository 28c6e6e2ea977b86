//! What the planner knows, and how it learns of changes.

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::note::{Quota, Settings};
use crate::place::capacity::Slot;
use crate::place::claim::{Claim, tasks_per_slot};
use crate::place::feasibility::Catalog;
use crate::place::inventory::{Allocation, Inventory};
use crate::place::limiter::Limiter;
use crate::place::profile::Profiles;
use crate::place::quarantine::Quarantine;
use crate::place::queue::{Factors, Queue, Shape};
use crate::place::search::Replicas;
use crate::place::share::Shares;
use crate::place::usage::Overrun;
use crate::place::{Infeasible, Job, Kind, Ledger, Setup, Worker};
use crate::unit::{Size, Span, Time};

/// For how long a planner that has just begun refuses nothing, as workers may
/// still come back.
pub(crate) const SETTLE_TIME: Span = Span::from_secs(10);

/// A job that holds workers.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) job: Job,
    /// Where each task is; `None` once it is gone.
    pub(crate) slots: Vec<Option<Slot>>,
    /// Whether it was asked to stop.
    pub(crate) stopping: bool,
}

/// The queue, the workers as placement sees them, and what was learned.
///
/// A planner decides; a decision becomes true when the log has taken it up. It
/// is told of every change, and the work for each is bounded.
///
/// ```
/// use gentianlane::place::{Decision, Job, Kind, Planner, Setup, Worker};
/// use gentianlane::unit::{Size, Time};
/// use gentianlane::id;
///
/// let mut planner = Planner::new(&Setup::default());
/// let place = ("r".into(), "d".into(), "k".into());
/// let worker = Worker::new(id::Incarnation(1), place, Size::new(2_000, 8 << 30, 0));
/// planner.put_worker(&"w".into(), &worker);
/// let job = Job {
///     id: id::Job(1),
///     team: "reminders".into(),
///     workload: "route".into(),
///     kind: Kind::Batch,
///     size: Size::new(1_000, 1 << 30, 0),
///     count: 1,
///     urgent: false,
///     idempotent: true,
///     queued_at: Time::default(),
///     deadline: None,
///     expected: None,
/// };
/// assert!(planner.admit(job).is_ok());
/// let decisions = planner.plan(Time::default(), 10);
/// let workers = vec!["w".into()];
/// assert_eq!(decisions, [Decision::Start { job: id::Job(1), workers }]);
/// ```
#[derive(Debug, Clone)]
pub struct Planner {
    pub(crate) packing: u8,
    pub(crate) inventory: Inventory,
    pub(crate) queue: Queue,
    pub(crate) assignments: IndexMap<id::Job, Assignment>,
    pub(crate) claims: IndexMap<id::Job, Claim>,
    pub(crate) shares: Shares,
    pub(crate) profiles: Profiles,
    pub(crate) quarantine: Quarantine,
    pub(crate) catalog: Catalog,
    pub(crate) replicas: IndexMap<id::Workload, Replicas>,
    /// Jobs taken in while too little was known to refuse them.
    pub(crate) provisional: IndexSet<id::Job>,
    /// Since when jobs wait that have been stopped and may come back.
    pub(crate) stopped_arrivals: IndexMap<id::Job, Time>,
    pub(crate) overruns: IndexMap<id::Worker, Overrun>,
    pub(crate) limiter: Limiter,
}

impl Planner {
    /// A planner that knows of nothing yet.
    #[must_use]
    pub fn new(_setup: &Setup) -> Self {
        Self {
            packing: Settings::default().packing,
            inventory: Inventory::default(),
            queue: Queue::default(),
            assignments: IndexMap::new(),
            claims: IndexMap::new(),
            shares: Shares::default(),
            profiles: Profiles::default(),
            quarantine: Quarantine::default(),
            catalog: Catalog::default(),
            replicas: IndexMap::new(),
            provisional: IndexSet::new(),
            stopped_arrivals: IndexMap::new(),
            overruns: IndexMap::new(),
            limiter: Limiter::default(),
        }
    }

    /// Takes over the settings and quotas in force. Jobs that wait keep the
    /// rank that they were given.
    pub fn configure<'a>(
        &mut self,
        settings: &Settings,
        teams: impl Iterator<Item = (&'a id::Team, &'a Quota)>,
    ) {
        self.packing = settings.packing.min(100);
        self.shares.configure(teams);
        self.queue.wake(|_| true);
    }

    /// Takes in a worker, or what has changed of it. What it says of
    /// reservations is left aside: tasks that run come by [`Planner::restore`].
    pub fn put_worker(&mut self, name: &id::Worker, worker: &Worker) {
        self.catalog.insert(name, &worker.size);
        self.inventory.put(name, worker);
    }

    /// Takes a worker out of use; what it still holds is released one by one,
    /// and room that was set aside on it is given up in the next round.
    pub fn remove_worker(&mut self, name: &id::Worker) {
        let Some(slot) = self.inventory.slot(name) else {
            return;
        };
        self.quarantine.remove(name);
        self.overruns.swap_remove(name);
        self.inventory.set_quarantined(slot, false);
        self.inventory.remove(name);
    }

    /// Takes a job into the queue.
    ///
    /// # Errors
    ///
    /// [`Infeasible`] if no worker that the planner has ever known, however empty,
    /// could hold one of its tasks, or all together couldn't hold them at once;
    /// it isn't taken in. A planner that has just begun, or that knows no
    /// worker, takes it in and may refuse it later.
    ///
    /// A job that was stopped and comes back keeps its place in the order.
    pub fn admit(&mut self, mut job: Job) -> Result<(), Infeasible> {
        if let Some(queued_at) = self.stopped_arrivals.swap_remove(&job.id) {
            job.queued_at = queued_at.min(job.queued_at);
        }
        if let Some(reason) = self.catalog.infeasibility(&Shape::of(&job)) {
            if self.limiter.has_run_for(SETTLE_TIME) {
                return Err(reason);
            }
            self.provisional.insert(job.id);
        } else if self.catalog.is_empty() {
            self.provisional.insert(job.id);
        }
        self.unclaim(job.id);
        self.enqueue(job);
        Ok(())
    }

    pub(crate) fn enqueue(&mut self, job: Job) {
        self.profiles.record_request(&job.size);
        let headroom = self.profiles.accelerator_headroom();
        if !headroom.fits(&self.inventory.headroom()) {
            self.inventory.set_headroom(headroom);
        }
        let factors = Factors {
            packing: self.packing,
            runtime: self.profiles.median_runtime(&job.workload, job.expected),
            share: self.catalog.min_share(&job.size),
        };
        self.queue.insert(job, &factors);
    }

    /// Takes a job out of the queue; false if it doesn't wait there.
    pub fn withdraw(&mut self, job: id::Job) -> bool {
        self.provisional.swap_remove(&job);
        self.stopped_arrivals.swap_remove(&job);
        self.unclaim(job);
        self.queue.remove(job).is_some()
    }

    /// Gives up what is set aside for a job, which goes back into the queue.
    pub(crate) fn unclaim(&mut self, job: id::Job) {
        let Some(claim) = self.claims.shift_remove(&job) else {
            return;
        };
        for &slot in &claim.slots {
            self.inventory.unclaim(slot, &claim.job.size);
        }
        if claim.expected_start.is_none() {
            self.shares.set_urgent_claim(&claim.job, false);
        }
        self.enqueue(claim.job);
    }

    /// Takes in a job that already holds workers, when a leader begins.
    pub fn restore(&mut self, job: Job, workers: &[Option<id::Worker>]) {
        let allocation = self.allocation(&job, job.queued_at);
        let mut slots = Vec::with_capacity(workers.len());
        for (rank, name) in workers.iter().enumerate() {
            let slot = name.as_ref().and_then(|name| self.inventory.slot(name));
            if let Some(slot) = slot {
                self.inventory.restore(job.id, rank, slot, allocation);
                self.shares.charge(&job);
                self.add_replica(&job, slot);
            }
            slots.push(slot);
        }
        let stopping = false;
        self.assignments.insert(
            job.id,
            Assignment {
                job,
                slots,
                stopping,
            },
        );
    }

    pub(crate) fn allocation(&self, job: &Job, now: Time) -> Allocation {
        let run = self.profiles.p90_runtime(&job.workload);
        let run = run.or(job.expected);
        let run =
            run.unwrap_or_else(|| self.profiles.median_runtime(&job.workload, None));
        Allocation {
            size: job.size,
            started_at: now,
            expected_end: (job.kind != Kind::Service).then(|| now.after(run)),
            preemptible: job.idempotent && !job.urgent,
            job_tasks: job.count,
        }
    }

    /// Counts a service's replica where it stands.
    pub(crate) fn add_replica(&mut self, job: &Job, slot: Slot) {
        if job.kind == Kind::Service {
            let replicas = self.replicas.entry(job.workload.clone()).or_default();
            *replicas.entry(slot).or_default() += 1;
        }
    }

    /// The log has taken up a decision to start.
    pub fn confirm_start(&mut self, job: id::Job, now: Time) {
        let Some(assignment) = self.assignments.get(&job) else {
            return;
        };
        for (rank, slot) in (0..).zip(&assignment.slots) {
            if let Some(slot) = *slot {
                self.inventory.set_start(id::Task { job, rank }, slot, now);
            }
        }
    }

    /// Takes in the most that a task of a workload was seen to use.
    pub fn record_usage(&mut self, workload: &id::Workload, peak: &Size) {
        self.profiles.record_usage(workload, peak);
    }

    /// The peak use of nine of ten tasks of a workload; `None` if too few were
    /// seen. It never makes a worker hold more than its tasks declare.
    #[must_use]
    pub fn p90_usage(&self, workload: &id::Workload) -> Option<Size> {
        self.profiles.p90_usage(workload)
    }

    /// How packing is weighed against waiting: from 0, wait least, to 100.
    #[must_use]
    pub fn packing(&self) -> u8 {
        self.packing
    }

    /// How many jobs wait.
    #[must_use]
    pub fn waiting_jobs(&self) -> usize {
        self.queue.len() + self.claims.len()
    }

    /// What is reserved on each worker, also by decisions in flight.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        self.inventory.ledger()
    }

    /// The workers in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = &id::Worker> {
        self.quarantine.workers()
    }

    /// Whether the claims on a worker leave room for a job to run on it until
    /// the first of them expects to start.
    pub(crate) fn ends_before(&self, claim: &Claim, run: Span, now: Time) -> bool {
        claim.expected_start.is_some_and(|at| now.after(run) <= at)
    }

    /// Sets room aside for a job that has left the queue.
    pub(crate) fn claim(&mut self, claim: Claim) {
        for (slot, count) in tasks_per_slot(&claim.slots) {
            if let Some(size) = claim.job.size.times(count) {
                self.inventory.claim(slot, &size);
            }
        }
        if claim.expected_start.is_none() {
            self.shares.set_urgent_claim(&claim.job, true);
        }
        self.claims.insert(claim.job.id, claim);
    }
}
