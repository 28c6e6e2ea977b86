//! One run of a planner against fake workers in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use gentianlane::id;
use gentianlane::note::{Quota, Settings};
use gentianlane::place::{Baseline, Decision, Exit, Job, Kind, Planner, Setup, Worker};
use gentianlane::unit::{Size, Span, Time};
use indexmap::IndexMap;

use crate::outcome::{Outcome, add};
use crate::site::{Plan, Site};

/// How often the planner is asked.
const STEP: Span = Span::from_millis(50);

/// How many decisions it may take at once.
const DECISIONS: usize = 256;

/// How long a task takes to write a checkpoint and stop.
const STOPPING: Span = Span::from_secs(1);

/// How long a worker that fails every task takes to do so.
const FAILING: Span = Span::from_millis(50);

/// How long a lost rack is away.
const AWAY: Span = Span::from_secs(180);

/// How often a job that fails is tried.
const ATTEMPTS: u32 = 3;

/// The planner to measure.
pub(crate) enum Side {
    Baseline(Box<Baseline>),
    Planner(Box<Planner>),
}

/// What goes wrong in a run.
#[derive(Clone, Copy)]
pub(crate) struct Trouble {
    /// Every so many workers, one fails all that it starts.
    pub(crate) black_holes: Option<usize>,
    /// How many jobs are put in and soon withdrawn, at half of the time.
    pub(crate) wave: usize,
    /// Whether a rack is lost, at two thirds of the time.
    pub(crate) rack: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(usize, u32),
    Stop(usize, u32),
    Wave(usize),
    Unwave(usize),
    LoseRack,
    ReturnRack,
}

struct State {
    attempt: u32,
    failures: u32,
    /// When it was started first.
    first: Option<Time>,
    /// When the run began that did the work, or that still goes on.
    useful: Option<Time>,
    begun: Time,
    places: Vec<id::Worker>,
}

struct Run<'a> {
    side: Side,
    plans: &'a [Plan],
    states: Vec<State>,
    workers: IndexMap<id::Worker, Worker>,
    bad: Vec<id::Worker>,
    away: Vec<id::Worker>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    now: Time,
    /// From when on is measured.
    warm: Time,
    outcome: Outcome,
}

/// Runs a planner over some jobs for `span`; what is measured is the part after
/// the first quarter.
pub(crate) fn run(
    site: &Site,
    plans: &[Plan],
    side: Side,
    span: Span,
    trouble: Trouble,
) -> Outcome {
    let workers: IndexMap<id::Worker, Worker> = site.workers().into_iter().collect();
    let bad = trouble.black_holes.map_or(Vec::new(), |every| {
        workers
            .keys()
            .skip(every / 2)
            .step_by(every)
            .cloned()
            .collect()
    });
    let states = plans.iter().map(|_| State {
        attempt: 0,
        failures: 0,
        first: None,
        useful: None,
        begun: Time::default(),
        places: Vec::new(),
    });
    let mut run = Run {
        side,
        plans,
        states: states.collect(),
        workers,
        bad,
        away: Vec::new(),
        events: BinaryHeap::new(),
        now: Time::default(),
        warm: Time::from_millis(span.as_millis() / 4),
        outcome: Outcome::default(),
    };
    run.prepare(site, span, trouble);
    run.go(Time::from_millis(span.as_millis()));
    run.outcome
}

impl Run<'_> {
    fn prepare(&mut self, site: &Site, span: Span, trouble: Trouble) {
        let total = site.total();
        let part = |all: u64| all / site.teams as u64;
        let quota = Quota {
            size: Size::new(
                part(total.cpu.0),
                part(total.memory.0),
                total.accelerators.0 / site.teams as u32,
            ),
            weight: 1,
        };
        let teams: Vec<id::Team> = (0..site.teams)
            .map(|at| id::Team(format!("t{at}")))
            .collect();
        if let Side::Planner(planner) = &mut self.side {
            let packing = planner.packing();
            let teams = teams.iter().map(|team| (team, &quota));
            planner.configure(&settings(packing), teams);
        }
        for (name, worker) in &self.workers {
            match &mut self.side {
                Side::Baseline(side) => side.put_worker(name, worker),
                Side::Planner(side) => side.put_worker(name, worker),
            }
        }
        for (at, plan) in self.plans.iter().enumerate() {
            self.events
                .push(Reverse((plan.job.queued_at, Event::Arrive(at))));
        }
        let at = |part: u64| Time::from_millis(span.as_millis() * part / 6);
        if trouble.wave > 0 {
            self.events
                .push(Reverse((at(3), Event::Wave(trouble.wave))));
            let soon = at(3).after(Span::from_secs(2));
            self.events
                .push(Reverse((soon, Event::Unwave(trouble.wave))));
        }
        if trouble.rack {
            self.events.push(Reverse((at(4), Event::LoseRack)));
            self.events
                .push(Reverse((at(4).after(AWAY), Event::ReturnRack)));
        }
    }

    fn go(&mut self, end: Time) {
        while self.now < end {
            while let Some(Reverse((at, event))) = self.events.peek().copied() {
                if at > self.now {
                    break;
                }
                self.events.pop();
                self.happen(event);
            }
            self.plan();
            self.measure();
            self.now = self.now.after(STEP);
        }
        for at in 0..self.plans.len() {
            let plan = &self.plans[at];
            let until = self.states[at].useful.unwrap_or(end);
            if plan.job.queued_at >= self.warm && plan.job.queued_at < end {
                let waited = until.since(plan.job.queued_at).as_millis();
                self.note(at, waited);
                let until = self.states[at].first.unwrap_or(end);
                if plan.job.urgent {
                    let waited = until.since(plan.job.queued_at).as_millis();
                    let first = self.outcome.waits.entry("urgent, first start");
                    first.or_default().push(waited);
                }
            }
        }
        self.outcome.waiting = match &self.side {
            Side::Baseline(side) => side.waiting_jobs(),
            Side::Planner(side) => side.waiting_jobs(),
        };
    }

    fn note(&mut self, at: usize, waited: u64) {
        let job = &self.plans[at].job;
        let sort = match job.kind {
            _ if job.urgent => "urgent",
            Kind::Service => return,
            Kind::Gang if job.size.accelerators.0 > 0 => "gang, accelerators",
            Kind::Gang => "gang, processors",
            Kind::Batch if job.size.accelerators.0 > 0 => "batch, accelerators",
            Kind::Batch => "batch, processors",
        };
        self.outcome.waits.entry(sort).or_default().push(waited);
        self.outcome.waits.entry("all").or_default().push(waited);
    }

    fn admit(&mut self, job: Job) {
        match &mut self.side {
            Side::Baseline(side) => side.admit(job).unwrap(),
            Side::Planner(side) => side.admit(job).unwrap(),
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(at) => self.admit(self.plans[at].job.clone()),
            Event::End(at, attempt) if self.states[at].attempt == attempt => {
                let bad = |name| self.bad.contains(name);
                let span = self.now.since(self.states[at].begun);
                if self.states[at].places.iter().any(bad) {
                    self.fail(at, span);
                } else {
                    self.outcome.done += 1;
                    self.release(at, Exit::Done(span));
                }
            }
            Event::Stop(at, attempt) if self.states[at].attempt == attempt => {
                self.requeue(at);
            }
            Event::End(..) | Event::Stop(..) => {}
            Event::Wave(count) => self.wave(count, true),
            Event::Unwave(count) => self.wave(count, false),
            Event::LoseRack => self.lose_rack(),
            Event::ReturnRack => {
                for name in std::mem::take(&mut self.away) {
                    let worker = &self.workers[&name];
                    match &mut self.side {
                        Side::Baseline(side) => side.put_worker(&name, worker),
                        Side::Planner(side) => side.put_worker(&name, worker),
                    }
                }
            }
        }
    }

    fn fail(&mut self, at: usize, span: Span) {
        let failed = self.states[at].places.clone();
        let bad: Vec<bool> = failed.iter().map(|name| self.bad.contains(name)).collect();
        self.release_each(at, |rank| match bad.get(rank) {
            Some(true) => Exit::Failed(span),
            _ => Exit::Stopped,
        });
        self.states[at].failures += 1;
        let again = self.plans[at].job.idempotent;
        if again && self.states[at].failures < ATTEMPTS {
            self.outcome.run_again += 1;
            self.again(at);
        } else {
            self.outcome.given_up += 1;
        }
    }

    fn requeue(&mut self, at: usize) {
        if self.states[at].places.is_empty() {
            return;
        }
        self.release(at, Exit::Stopped);
        if self.plans[at].job.idempotent {
            self.outcome.run_again += 1;
            self.again(at);
        } else {
            self.outcome.given_up += 1;
        }
    }

    fn again(&mut self, at: usize) {
        let queued_at = self.now;
        let job = self.plans[at].job.clone();
        self.admit(Job { queued_at, ..job });
    }

    fn release(&mut self, at: usize, ended: Exit) {
        self.release_each(at, |_| ended);
    }

    fn release_each(&mut self, at: usize, ended: impl Fn(usize) -> Exit) {
        let job = self.plans[at].job.id;
        let places = std::mem::take(&mut self.states[at].places);
        self.states[at].attempt += 1;
        if !matches!(ended(0), Exit::Done(_)) {
            self.states[at].useful = None;
        }
        self.outcome.running -= places.len();
        for rank in 0..places.len() {
            let task = id::Task {
                job,
                rank: rank as u32,
            };
            match &mut self.side {
                Side::Baseline(side) => side.release(task, ended(rank), self.now),
                Side::Planner(side) => side.release(task, ended(rank), self.now),
            }
        }
    }

    /// Puts in jobs that will be withdrawn, or withdraws them.
    fn wave(&mut self, count: usize, on: bool) {
        let like = self
            .plans
            .iter()
            .find(|plan| plan.job.size.accelerators.0 == 4);
        let like = like.unwrap().job.clone();
        for number in 0..count as u64 {
            let id = id::Job((1 << 40) + number);
            let queued_at = self.now;
            match (&mut self.side, on) {
                (_, true) => self.admit(Job {
                    id,
                    queued_at,
                    ..like.clone()
                }),
                (Side::Baseline(side), false) => {
                    side.withdraw(id);
                }
                (Side::Planner(side), false) => {
                    side.withdraw(id);
                }
            }
        }
    }

    fn lose_rack(&mut self) {
        let (_, first) = self.workers.get_index(self.workers.len() / 2).unwrap();
        let rack = first.rack.clone();
        let lost = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.rack == rack);
        let lost: Vec<id::Worker> = lost.map(|(name, _)| name.clone()).collect();
        for at in 0..self.plans.len() {
            let hit = |name| lost.contains(name);
            if self.states[at].places.iter().any(hit) {
                self.requeue(at);
            }
        }
        for name in &lost {
            match &mut self.side {
                Side::Baseline(side) => side.remove_worker(name),
                Side::Planner(side) => side.remove_worker(name),
            }
        }
        self.away = lost;
    }

    fn plan(&mut self) {
        let begun = Instant::now();
        let decisions = match &mut self.side {
            Side::Baseline(side) => side.plan(self.now, DECISIONS),
            Side::Planner(side) => side.plan(self.now, DECISIONS),
        };
        let spent = begun.elapsed();
        if self.now >= self.warm {
            self.outcome.spent += spent;
            self.outcome.rounds.push(spent);
            if let Some(each) = spent.checked_div(decisions.len() as u32) {
                let costs = std::iter::repeat_n(each, decisions.len());
                self.outcome.costs.extend(costs);
            }
        }
        for decision in decisions {
            match decision {
                Decision::Start { job, workers } => self.start(job, workers),
                Decision::Preempt { job } => {
                    let at = job.0 as usize - 1;
                    self.outcome.preempted += 1;
                    let stop = Event::Stop(at, self.states[at].attempt);
                    self.events.push(Reverse((self.now.after(STOPPING), stop)));
                }
                Decision::Evict { .. } | Decision::Refuse { .. } => unreachable!(),
            }
        }
    }

    fn start(&mut self, job: id::Job, workers: Vec<id::Worker>) {
        match &mut self.side {
            Side::Baseline(side) => side.confirm_start(job, self.now),
            Side::Planner(side) => side.confirm_start(job, self.now),
        }
        let at = job.0 as usize - 1;
        if job.0 >= 1 << 40 {
            for rank in 0..workers.len() as u32 {
                let task = id::Task { job, rank };
                match &mut self.side {
                    Side::Baseline(side) => {
                        side.release(task, Exit::Stopped, self.now);
                    }
                    Side::Planner(side) => side.release(task, Exit::Stopped, self.now),
                }
            }
            return;
        }
        let plan = &self.plans[at];
        let bad = workers.iter().any(|name| self.bad.contains(name));
        let run = if bad { FAILING } else { plan.run };
        self.outcome.started += 1;
        self.outcome.running += workers.len();
        let state = &mut self.states[at];
        state.places = workers;
        state.begun = self.now;
        let end = Event::End(at, state.attempt);
        self.events.push(Reverse((self.now.after(run), end)));
        state.first.get_or_insert(self.now);
        state.useful = Some(self.now);
    }

    /// Adds up what is reserved and used, once a second.
    fn measure(&mut self) {
        if self.now < self.warm || !self.now.as_millis().is_multiple_of(1_000) {
            return;
        }
        let mut reserved = Size::default();
        let mut used = Size::default();
        for (state, plan) in self.states.iter().zip(self.plans) {
            for name in &state.places {
                reserved += plan.job.size;
                if !self.bad.contains(name) {
                    used += plan.uses;
                }
            }
        }
        let away = |name: &&id::Worker| !self.away.contains(name);
        let names = self.workers.keys().filter(away);
        let all: Size = names.map(|name| self.workers[name].size).sum();
        let outcome = &mut self.outcome;
        add(&mut outcome.reserved, &reserved);
        add(&mut outcome.used, &used);
        add(&mut outcome.all, &all);
    }
}

#[allow(clippy::needless_update, reason = "other settings may come")]
fn settings(packing: u8) -> Settings {
    Settings {
        packing,
        ..Settings::default()
    }
}

/// The two planners to measure, the second at both ends of its weight.
pub(crate) fn sides() -> [(&'static str, Side); 3] {
    let planner = |packing| {
        let mut planner = Planner::new(&Setup::default());
        planner.configure(&settings(packing), [].into_iter());
        Side::Planner(Box::new(planner))
    };
    [
        ("first fit", Side::Baseline(Box::default())),
        ("wait least", planner(0)),
        ("pack most", planner(100)),
    ]
}
