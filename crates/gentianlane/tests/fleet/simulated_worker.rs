//! A simulated worker that follows the worker protocol: fencing tokens, leases,
//! idempotent starts, tickets and acknowledged ends.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gentianlane::fleet::job::{Resources, Spec, Stage, Task};
use gentianlane::fleet::order::{
    Action, ActiveRun, Answer, EndedRun, Order, Outcome, Reason, Start, Status,
};
use gentianlane::fleet::worker::{Incarnation, Profile, Report};
use gentianlane::id;
use gentianlane::unit::Wall;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A run that is active on the simulated worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) run: u64,
    pub(crate) demand: Resources,
    /// When it ends by itself, on the world's clock in milliseconds; `None` for
    /// a long-running task.
    pub(crate) ends_at: Option<u64>,
    /// How long it takes from start to end, in milliseconds.
    pub(crate) duration: u64,
    /// Whether it was started by a delayed order that was the first to reach this
    /// incarnation.
    pub(crate) before_contact: bool,
    pub(crate) outcome: Outcome,
    /// When an ordered stop takes effect, on the world's clock in milliseconds.
    pub(crate) stops_at: Option<u64>,
}

impl Run {
    /// The share of the run that is done, in percent.
    fn progress(&self, now: u64) -> u8 {
        let left = self
            .ends_at
            .map_or(0, |ends_at| ends_at.saturating_sub(now));
        let percent = 100 - left * 100 / self.duration.max(1);
        u8::try_from(percent).unwrap_or(100)
    }
}

/// One incarnation of a worker and what it remembers.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) incarnation: Incarnation,
    pub(crate) profile: Profile,
    /// When the process started, on the world's clock in milliseconds.
    pub(crate) spawned_at: u64,
    /// What the worker's own clock showed then, in milliseconds.
    pub(crate) clock_at_start: u64,
    pub(crate) up: bool,
    /// Whether its process has closed its listener and sends no reports.
    pub(crate) hidden: bool,
    pub(crate) draining: bool,
    /// Whether runs that are being stopped aren't listed until they have ended.
    pub(crate) hides_stopping: bool,
    pub(crate) reports: u64,
    /// The longest lease that it accepts, in milliseconds.
    pub(crate) lease_limit: u64,
    fencing_token: u64,
    deadline: u64,
    /// The active runs by task and number: a worker starts a run beside another
    /// one of the same task.
    pub(crate) runs: BTreeMap<(Task, u64), Run>,
    pub(crate) ended: Vec<EndedRun>,
    /// The most ends in a status.
    pub(crate) ends_limit: usize,
    /// The highest sequence number of an end at the last time the lease was
    /// found expired.
    expired_sequence: u64,
    /// Whether this incarnation has sent a status to any leader.
    status_sent: bool,
    /// Ends that a leader acknowledged before the lease expired, and which are
    /// no longer in the status.
    pub(crate) acknowledged: Vec<EndedRun>,
    last_sequence: u64,
    /// The highest run of each task that was stopped or has ended here; starts
    /// of these and earlier runs are refused as stale.
    closed_runs: BTreeMap<Task, u64>,
}

/// How long a stop takes for a step's first task, in milliseconds.
const STOP_MS: u64 = 150;

/// The longest lease that a worker accepts unless it is set, in milliseconds.
const LEASE_LIMIT_MS: u64 = 6_000;

/// What the clock of a process shows at its start, in milliseconds: less than that of any
/// process before, as a deadline for one of those is then far ahead here.
fn clock_at_start(now: u64) -> u64 {
    70_000_000_u64.saturating_sub(2 * now)
}

impl Worker {
    pub(crate) fn new(name: &str, port: u16, capacity: Resources, now: u64) -> Self {
        Self {
            incarnation: Incarnation {
                worker: id::Worker::from(name),
                started_at: Wall::from_millis(1_000_000 + now),
            },
            profile: Profile {
                pool: "pool".to_owned(),
                address: ([127, 0, 0, 1], port).into(),
                domain: "a".to_owned(),
                capacity,
                labels: vec!["kind".to_owned(), format!("rack-{}", port % 3)],
            },
            spawned_at: now,
            clock_at_start: clock_at_start(now),
            up: true,
            hidden: false,
            draining: false,
            hides_stopping: false,
            reports: 0,
            lease_limit: LEASE_LIMIT_MS,
            fencing_token: 0,
            deadline: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            ends_limit: 500,
            expired_sequence: 0,
            status_sent: false,
            acknowledged: Vec::new(),
            last_sequence: 0,
            closed_runs: BTreeMap::new(),
        }
    }

    /// Draws what its clock showed at its start, between zero and a day; any process at
    /// its address that starts at another time gets another reading.
    pub(crate) fn draw_clock(&mut self, seed: u64) {
        let port = u64::from(self.profile.address.port());
        let of_process = seed << 40 | port << 24 | self.spawned_at;
        let mut random = ChaCha8Rng::seed_from_u64(of_process);
        let hours = [0, 1, 4, 24][random.random_range(0..4)];
        self.clock_at_start = random.random_range(0..=hours * 3_600_000 + 5_000);
    }

    /// Whether its process takes connections at an address.
    pub(crate) fn listens_at(&self, address: SocketAddr) -> bool {
        self.up && !self.hidden && self.profile.address == address
    }

    /// Whether any order has reached this incarnation.
    pub(crate) fn is_reached(&self) -> bool {
        self.fencing_token > 0
    }

    /// Whether a run of a task was stopped or has ended here.
    pub(crate) fn has_closed(&self, task: &Task) -> bool {
        self.closed_runs.contains_key(task)
    }

    /// The worker's own clock in milliseconds, which is 2% slow.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        self.clock_at_start + (now - self.spawned_at) * 98 / 100
    }

    pub(crate) fn report(&mut self) -> Report {
        self.reports += 1;
        Report {
            incarnation: self.incarnation.clone(),
            profile: self.profile.clone(),
            sequence: self.reports,
            draining: self.draining,
        }
    }

    /// Delays the end of all active runs by some milliseconds.
    pub(crate) fn stall(&mut self, millis: u64) {
        for active in self.runs.values_mut() {
            active.ends_at = active.ends_at.map(|ends_at| ends_at + millis);
        }
    }

    /// The resources that active runs use, including runs that are being stopped
    /// but excluding those that no leader can know of yet.
    pub(crate) fn used(&self) -> Resources {
        let known = self
            .runs
            .values()
            .filter(|active| self.status_sent || !active.before_contact);
        let demands = known.map(|active| active.demand);
        demands.fold(Resources::default(), |sum, demand| sum.plus(&demand))
    }

    /// The number of a step's tasks that are active here, without the runs that
    /// [`Worker::used`] leaves out.
    pub(crate) fn count_of(&self, stage: &Stage) -> usize {
        let known = self.runs.iter().filter(|((task, _), active)| {
            task.stage == *stage && (self.status_sent || !active.before_contact)
        });
        known.count()
    }

    /// Ends the runs that are due, stopped or without a lease, and returns them.
    pub(crate) fn advance(&mut self, now: u64) -> Vec<(Task, u64, Outcome)> {
        let expired = self.clock(now) >= self.deadline;
        if expired {
            self.expired_sequence = self.last_sequence;
        }
        let mut ends = Vec::new();
        for ((task, _), active) in &self.runs {
            let outcome = match () {
                () if expired => Outcome::LeaseExpired,
                () if active.stops_at.is_some_and(|at| at <= now) => Outcome::Stopped,
                () if active.ends_at.is_some_and(|at| at <= now) => active.outcome,
                () => continue,
            };
            ends.push((*task, active.run, outcome));
        }
        for &(task, run, outcome) in &ends {
            self.runs.remove(&(task, run));
            let highest = self.closed_runs.entry(task).or_insert(0);
            *highest = (*highest).max(run);
            self.last_sequence += 1;
            self.ended.push(EndedRun {
                sequence: self.last_sequence,
                task,
                run,
                outcome,
                checkpoint: String::new(),
            });
        }
        ends
    }

    /// Carries out an order; for a start that is accepted, also returns its task
    /// and run.
    ///
    /// `repeated` says that a waiting lease renewal is evaluated again; `spec`
    /// gives a start's demand, duration and outcome.
    pub(crate) fn handle(
        &mut self,
        order: &Order,
        repeated: bool,
        spec: impl Fn(&Start) -> (Resources, Option<u64>, Outcome),
        now: u64,
    ) -> (Answer, Option<(Task, u64)>) {
        let clock = self.clock(now);
        if order.worker != self.incarnation.worker {
            return (Answer::OtherIncarnation, None);
        }
        let refused = |reason| Answer::Refused {
            clock: Some(clock),
            reason,
        };
        if order.fencing_token < self.fencing_token {
            return (refused(Reason::StaleToken), None);
        }
        let before_contact = self.fencing_token == 0;
        self.fencing_token = order.fencing_token;
        match &order.action {
            Action::Start(start) => {
                if start.deadline <= clock {
                    return (refused(Reason::DeadlinePassed), None);
                }
                self.extend_lease(start.deadline, clock);
                if self.runs.contains_key(&(start.task, start.run)) {
                    return (Answer::Done { clock }, None);
                }
                if self
                    .closed_runs
                    .get(&start.task)
                    .is_some_and(|&highest| start.run <= highest)
                {
                    return (refused(Reason::StaleRun), None);
                }
                if is_expired(start.ticket.as_deref(), now) {
                    return (refused(Reason::InvalidTicket), None);
                }
                let (demand, duration, outcome) = spec(start);
                let active = Run {
                    run: start.run,
                    demand,
                    ends_at: duration.map(|took| now + took),
                    duration: duration.unwrap_or_default(),
                    before_contact,
                    outcome,
                    stops_at: None,
                };
                self.runs.insert((start.task, start.run), active);
                (Answer::Done { clock }, Some((start.task, start.run)))
            }
            Action::Stop { task, run } => {
                match self.runs.get_mut(&(*task, *run)) {
                    Some(active) => {
                        active
                            .stops_at
                            .get_or_insert(now + STOP_MS + 80 * u64::from(task.index));
                    }
                    None => {
                        let highest = self.closed_runs.entry(*task).or_insert(0);
                        *highest = (*highest).max(*run);
                    }
                }
                (Answer::Done { clock }, None)
            }
            Action::Renew {
                deadline,
                acknowledged,
                ..
            } => {
                self.status_sent = true;
                // A waiting renewal is evaluated repeatedly, but its acknowledgement
                // counts only on arrival.
                let acknowledged = if repeated { &0 } else { acknowledged };
                let (forgotten, open) = std::mem::take(&mut self.ended)
                    .into_iter()
                    .partition(|end| end.sequence <= *acknowledged);
                self.ended = open;
                let forgotten: Vec<EndedRun> = forgotten;
                let within_lease = forgotten
                    .into_iter()
                    .filter(|end| end.sequence > self.expired_sequence);
                self.acknowledged.extend(within_lease);
                if let Some(deadline) = deadline {
                    self.extend_lease(*deadline, clock);
                }
                (Answer::Status(self.status(now)), None)
            }
            Action::Throttle { .. } => (Answer::Done { clock }, None),
        }
    }

    fn extend_lease(&mut self, deadline: u64, clock: u64) {
        self.deadline = self.deadline.max(deadline.min(clock + self.lease_limit));
    }

    /// The status that answers a lease renewal.
    pub(crate) fn status(&self, now: u64) -> Status {
        let running = |((task, _), active): (&(Task, u64), &Run)| ActiveRun {
            task: *task,
            run: active.run,
            checkpoint: String::new(),
            progress: active.progress(now),
            measurement: Some(active.demand.millicores),
        };
        let is_listed = |run: &Run| !self.hides_stopping || run.stops_at.is_none();
        let listed = self.runs.iter().filter(|(_, run)| is_listed(run));
        Status {
            started_at: Some(self.incarnation.started_at),
            clock: self.clock(now),
            running: listed.map(running).collect(),
            ended: self.ended.iter().take(self.ends_limit).cloned().collect(),
            ends_cut: self.ended.len() >= self.ends_limit,
        }
    }
}

/// Whether a start's ticket has expired; its end comes first, before a slash.
pub(crate) fn is_expired(ticket: Option<&str>, now: u64) -> bool {
    let expires = ticket.and_then(|ticket| ticket.split('/').next());
    let expires = expires.and_then(|expires| expires.parse::<u64>().ok());
    expires.is_some_and(|expires| expires <= now)
}

/// A job of one step with `count` equal tasks.
pub(crate) fn job(count: u32, millicores: u64) -> Spec {
    Spec {
        payload: "work".to_owned(),
        steps: vec![step(count, millicores)],
        schedule: None,
    }
}

/// A step of `count` equal tasks, each demanding `millicores` and 100 MiB.
pub(crate) fn step(count: u32, millicores: u64) -> gentianlane::fleet::job::Step {
    gentianlane::fleet::job::Step {
        count,
        resources: Resources {
            millicores,
            memory_mib: 100,
            accelerators: 0,
        },
        estimate: gentianlane::unit::Span::from_millis(400),
        ..gentianlane::fleet::job::Step::default()
    }
}
