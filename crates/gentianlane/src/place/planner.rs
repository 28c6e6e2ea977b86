//! The planner's state, and the calls that keep it up to date.

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::note::{Quota, Settings};
use crate::place::capacity::Slot;
use crate::place::claim::{Claim, tasks_per_slot};
use crate::place::feasibility::KnownWorkers;
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

/// How long a new planner refuses no job, since workers may still come back
/// after the change of leader.
pub(crate) const SETTLE_TIME: Span = Span::from_secs(10);

/// A job with the workers that its tasks hold.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) job: Job,
    /// The worker of each task, by rank; `None` once the task has left it.
    pub(crate) slots: Vec<Option<Slot>>,
    /// Whether the planner has decided to preempt or evict it.
    pub(crate) stopping: bool,
}

/// The scheduler of a cell: the queue, the workers and what was learned about
/// workloads.
///
/// A decision takes effect once the replicated log has applied it; until then
/// the planner keeps the resources reserved. The caller reports every change to
/// workers and jobs, and the work per change is bounded.
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
    /// The weight of packing against waiting, from 0 to 100.
    pub(crate) packing: u8,
    pub(crate) inventory: Inventory,
    pub(crate) queue: Queue,
    pub(crate) assignments: IndexMap<id::Job, Assignment>,
    pub(crate) claims: IndexMap<id::Job, Claim>,
    pub(crate) shares: Shares,
    pub(crate) profiles: Profiles,
    pub(crate) quarantine: Quarantine,
    pub(crate) known_workers: KnownWorkers,
    pub(crate) replicas: IndexMap<id::Workload, Replicas>,
    /// Jobs admitted before enough workers were known to refuse them.
    pub(crate) provisional: IndexSet<id::Job>,
    /// The original queueing times of stopped jobs that may be admitted again.
    pub(crate) stopped_arrivals: IndexMap<id::Job, Time>,
    pub(crate) overruns: IndexMap<id::Worker, Overrun>,
    pub(crate) limiter: Limiter,
}

impl Planner {
    /// A planner without workers or jobs, with the default settings.
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
            known_workers: KnownWorkers::default(),
            replicas: IndexMap::new(),
            provisional: IndexSet::new(),
            stopped_arrivals: IndexMap::new(),
            overruns: IndexMap::new(),
            limiter: Limiter::default(),
        }
    }

    /// Applies the settings and quotas in force. Queued jobs keep the rank that
    /// they were given.
    pub fn configure<'a>(
        &mut self,
        settings: &Settings,
        teams: impl Iterator<Item = (&'a id::Team, &'a Quota)>,
    ) {
        self.packing = settings.packing.min(100);
        self.shares.configure(teams);
        self.queue.wake(|_| true);
    }

    /// Adds or updates a worker. Its reservations are ignored: running tasks
    /// are reported through [`Planner::restore`].
    pub fn put_worker(&mut self, name: &id::Worker, worker: &Worker) {
        self.known_workers.insert(name, &worker.size);
        self.inventory.put(name, worker);
    }

    /// Takes a worker out of use. Its tasks stay reserved until each is
    /// released, and claims on it are cancelled in the next round.
    pub fn remove_worker(&mut self, name: &id::Worker) {
        let Some(slot) = self.inventory.slot(name) else {
            return;
        };
        self.quarantine.remove(name);
        self.overruns.swap_remove(name);
        self.inventory.set_quarantined(slot, false);
        self.inventory.remove(name);
    }

    /// Adds a job to the queue. A job that was stopped and comes back keeps its
    /// original queueing time.
    ///
    /// # Errors
    ///
    /// [`Infeasible`] if no known worker could hold one of its tasks even when
    /// empty, or all of them together couldn't hold the whole job; the job isn't
    /// queued. Lost workers count as known. A planner that is new or knows no
    /// worker admits the job and may refuse it in a later round.
    pub fn admit(&mut self, mut job: Job) -> Result<(), Infeasible> {
        if let Some(queued_at) = self.stopped_arrivals.swap_remove(&job.id) {
            job.queued_at = queued_at.min(job.queued_at);
        }
        if let Some(reason) = self.known_workers.infeasibility(&Shape::of(&job)) {
            if self.limiter.has_run_for(SETTLE_TIME) {
                return Err(reason);
            }
            self.provisional.insert(job.id);
        } else if self.known_workers.is_empty() {
            self.provisional.insert(job.id);
        }
        self.unclaim(job.id);
        self.enqueue(job);
        Ok(())
    }

    /// Ranks a job and adds it to the queue. Raises the headroom for
    /// accelerators first if the job asks for more beside each of them.
    pub(crate) fn enqueue(&mut self, job: Job) {
        self.profiles.record_request(&job.size);
        let headroom = self.profiles.accelerator_headroom();
        if !headroom.fits(&self.inventory.headroom()) {
            self.inventory.set_headroom(headroom);
        }
        let factors = Factors {
            packing: self.packing,
            runtime: self.profiles.median_runtime(&job.workload, job.expected),
            share: self.known_workers.min_share(&job.size),
        };
        self.queue.insert(job, &factors);
    }

    /// Removes a job from the queue; false if it isn't queued.
    pub fn withdraw(&mut self, job: id::Job) -> bool {
        self.provisional.swap_remove(&job);
        self.stopped_arrivals.swap_remove(&job);
        self.unclaim(job);
        self.queue.remove(job).is_some()
    }

    /// Cancels a job's claim, if it has one, and queues the job again.
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

    /// Adds a job that already holds workers when a new leader takes over.
    /// `workers` gives the worker of each task by rank, `None` for a task that
    /// has left. Tasks on unknown workers aren't counted.
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

    /// What one task of a job takes if it starts now. Its runtime is estimated
    /// from the 90th percentile of earlier runs, else from the declaration.
    pub(crate) fn allocation(&self, job: &Job, now: Time) -> Allocation {
        let runtime = self.profiles.p90_runtime(&job.workload);
        let runtime = runtime.or(job.expected);
        let runtime =
            runtime.unwrap_or_else(|| self.profiles.median_runtime(&job.workload, None));
        Allocation {
            size: job.size,
            started_at: now,
            expected_end: (job.kind != Kind::Service).then(|| now.after(runtime)),
            preemptible: job.idempotent && !job.urgent,
            job_tasks: job.count,
        }
    }

    /// Counts a service's replica on a worker; other jobs aren't counted.
    pub(crate) fn add_replica(&mut self, job: &Job, slot: Slot) {
        if job.kind == Kind::Service {
            let replicas = self.replicas.entry(job.workload.clone()).or_default();
            *replicas.entry(slot).or_default() += 1;
        }
    }

    /// Records that the log has applied a start, from which the expected ends
    /// of the job's tasks are counted.
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

    /// Records the peak usage of one task of a workload.
    pub fn record_usage(&mut self, workload: &id::Workload, peak: &Size) {
        self.profiles.record_usage(workload, peak);
    }

    /// The 90th percentile of the peak usage of a workload's tasks; `None` if
    /// too few were measured. It is never used to overcommit a worker.
    #[must_use]
    pub fn p90_usage(&self, workload: &id::Workload) -> Option<Size> {
        self.profiles.p90_usage(workload)
    }

    /// The weight of packing against waiting: 0 waits least, 100 packs most.
    #[must_use]
    pub fn packing(&self) -> u8 {
        self.packing
    }

    /// The number of jobs that wait, with or without a claim.
    #[must_use]
    pub fn waiting_jobs(&self) -> usize {
        self.queue.len() + self.claims.len()
    }

    /// What is reserved on each worker, including starts that the log hasn't
    /// applied yet.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        self.inventory.ledger()
    }

    /// The workers in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = &id::Worker> {
        self.quarantine.workers()
    }

    /// Whether a job of this runtime would end before a claim is expected to
    /// start. False for claims of urgent work, which may not be backfilled.
    pub(crate) fn ends_before(&self, claim: &Claim, runtime: Span, now: Time) -> bool {
        claim
            .expected_start
            .is_some_and(|at| now.after(runtime) <= at)
    }

    /// Adds a claim for a job that has left the queue.
    pub(crate) fn claim(&mut self, claim: Claim) {
        for (slot, count) in tasks_per_slot(&claim.slots) {
            if let Some(size) = claim.job.size.checked_mul(count) {
                self.inventory.claim(slot, &size);
            }
        }
        if claim.expected_start.is_none() {
            self.shares.set_urgent_claim(&claim.job, true);
        }
        self.claims.insert(claim.job.id, claim);
    }
}
