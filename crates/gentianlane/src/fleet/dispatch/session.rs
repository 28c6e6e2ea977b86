//! The leader's side of one called worker: its clock, its lease, what runs
//! there and which ends it has told.

use indexmap::IndexMap;
use std::collections::VecDeque;

use crate::fleet::Member;
use crate::fleet::dispatch::estimate::NOMINAL;
use crate::fleet::dispatch::progress::Progress;
use crate::fleet::job::{Size, Task};
use crate::fleet::order::Number;
use crate::fleet::worker::{Life, Site};
use crate::unit::{Span, Time};

/// How much slower than the leader's a worker's clock may run, in thousandths;
/// the users' promise is 2%.
const CLOCK_SLACK: u64 = 25;

/// How far an answer that another one has overtaken may be behind on the
/// worker's clock, in milliseconds: no order is waited for any longer.
const MAX_REORDERING_MS: u64 = 2_000;

/// What a lease's end is put off by beyond that, for rounding and late timers.
const LEASE_MARGIN: Span = Span::from_millis(50);

/// One life of a worker, as the leader knows it.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    pub(crate) incarnation: Life,
    pub(crate) profile: Site,
    pub(crate) draining: bool,
    /// The worker's clock, and when it was read.
    clock: Option<(Time, u64)>,
    /// The end of the longest lease that any order carried, on the worker's
    /// clock.
    deadline: u64,
    /// When that lease has ended for sure, on the leader's clock.
    pub(crate) lease_end: Time,
    /// Whether this leadership has heard what runs there.
    pub(crate) reconciled: bool,
    /// The hold that is under way, and when it was sent.
    pub(crate) renewal: Option<(Number, Time)>,
    /// When the next hold is due.
    pub(crate) next_renewal: Time,
    /// When the worker last answered.
    pub(crate) last_answer: Time,
    /// When it last reported by itself.
    pub(crate) last_report: Time,
    /// The newest report's number.
    pub(crate) report_sequence: u64,
    /// How many orders in a row found no answer.
    pub(crate) unanswered: u32,
    /// How many times in a row nothing listened.
    pub(crate) unreachable: u32,
    /// No new work before this.
    pub(crate) avoid_until: Time,
    /// How many failures of unlike jobs stand against the worker.
    pub(crate) failures: u32,
    /// How long runs take here against other workers of the kind, in
    /// thousandths.
    pub(crate) slowdown: u64,
    /// When a run last failed here.
    pub(crate) last_failure: Time,
    /// What runs, may run or is being stopped there.
    pub(crate) runs: IndexMap<Task, Run>,
    /// The room that these take.
    pub(crate) used: Size,
    /// The newest end that was handled.
    last_end: u64,
    /// Ends that were handled and aren't forgotten there, with whether they
    /// are durable.
    open_ends: VecDeque<End>,
    /// The newest end that may be forgotten there.
    forgettable_end: u64,
}

#[derive(Debug, Clone, Copy)]
struct End {
    sequence: u64,
    task: Task,
    run: u64,
    durable: bool,
}

/// One run on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) size: Size,
    pub(crate) state: RunState,
    /// The order about it that is under way.
    pub(crate) order: Option<Number>,
    /// How often its present order was sent.
    pub(crate) tries: u32,
    /// When the order is sent again.
    pub(crate) retry_at: Time,
    /// Since when the worker has surely taken or refused the order.
    pub(crate) confirmed_at: Option<Time>,
    /// When the task was handed to the worker.
    pub(crate) started_at: Time,
    /// The newest checkpoint.
    pub(crate) checkpoint: String,
    /// Whether the task fills idle time only.
    pub(crate) fills: bool,
    /// The limit on a serving task's tail.
    pub(crate) tail_limit: Option<Span>,
    /// What the worker last told about it.
    pub(crate) gauge: Option<u64>,
    /// How far the worker has told that it is.
    pub(crate) progress: Progress,
    /// The share at which the task is paced, in percent; none for a run that
    /// an earlier leader may have paced.
    pub(crate) share: Option<u8>,
    /// Whether nobody remembers what room the run takes.
    pub(crate) unknown_size: bool,
    /// The ticket that its start carries.
    pub(crate) ticket: Option<String>,
}

impl Run {
    /// A run in a state that begins now, of nothing that is known but its size.
    pub(crate) fn new(number: u64, size: Size, state: RunState, now: Time) -> Self {
        Self {
            number,
            size,
            state,
            order: None,
            tries: 0,
            retry_at: now,
            confirmed_at: None,
            started_at: now,
            checkpoint: String::new(),
            fills: false,
            tail_limit: None,
            gauge: None,
            progress: Progress::default(),
            share: None,
            unknown_size: false,
            ticket: None,
        }
    }
}

/// What the leader wants of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    Starting,
    Running,
    Stopping,
}

impl Session {
    /// A life that may hold a lease of the given length already.
    pub(crate) fn new(member: &Member, lease: Span, now: Time) -> Self {
        let Member {
            life,
            site,
            draining,
        } = member.clone();
        Self {
            incarnation: life,
            profile: site,
            draining,
            clock: None,
            deadline: 0,
            lease_end: now.after(lease).after(LEASE_MARGIN),
            reconciled: false,
            renewal: None,
            next_renewal: now,
            last_answer: now,
            last_report: now,
            report_sequence: 0,
            unanswered: 0,
            unreachable: 0,
            avoid_until: now,
            failures: 0,
            slowdown: NOMINAL,
            last_failure: now,
            runs: IndexMap::new(),
            used: Size::default(),
            last_end: 0,
            open_ends: VecDeque::new(),
            forgettable_end: 0,
        }
    }

    /// Takes a reading of the worker's clock; false if it can't be this life's.
    ///
    /// The clock never goes back in a life, so one that has is that of a later
    /// life under the same name.
    pub(crate) fn update_clock(&mut self, clock: u64, now: Time) -> bool {
        let held = self.clock.map_or(0, |(_, held)| held);
        if clock >= held {
            self.clock = Some((now, clock));
        }
        clock + MAX_REORDERING_MS >= held
    }

    /// The end of a lease that begins now, on the worker's clock; none while
    /// that clock isn't known.
    ///
    /// The reading was taken before its answer came, so the worker's clock is
    /// ahead of this and the lease a little shorter than wanted.
    pub(crate) fn extend_lease(&mut self, lease: Span, now: Time) -> Option<u64> {
        let (read, clock) = self.clock?;
        let elapsed = now.since(read).as_millis();
        let deadline = clock + elapsed + lease.as_millis();
        self.deadline = self.deadline.max(deadline);
        let slow = elapsed - elapsed * CLOCK_SLACK / 1_000;
        let left = self.deadline.saturating_sub(clock + slow);
        let longest = left + left * CLOCK_SLACK / 1_000;
        let ends = now.after(Span::from_millis(longest)).after(LEASE_MARGIN);
        self.lease_end = self.lease_end.max(ends);
        Some(deadline)
    }

    /// How long the lease may still last.
    pub(crate) fn lease_remaining(&self, now: Time) -> Span {
        self.lease_end.since(now)
    }

    /// The kind of worker: its labels but for the rack.
    pub(crate) fn kind(&self) -> &str {
        match self.profile.labels.as_slice() {
            [kind, _, ..] => kind,
            _ => "",
        }
    }

    /// The room that nothing has.
    pub(crate) fn free(&self) -> Size {
        self.profile.capacity.less(&self.used)
    }

    /// Reserves the room of a run.
    pub(crate) fn insert(&mut self, task: Task, run: Run) {
        self.used = self.used.plus(&run.size);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.less(&old.size);
        }
    }

    /// Frees the room of a run.
    pub(crate) fn remove(&mut self, task: &Task) -> Option<Run> {
        let run = self.runs.swap_remove(task)?;
        self.used = self.used.less(&run.size);
        Some(run)
    }

    /// Whether an end is new; from then on it isn't.
    pub(crate) fn record_end(
        &mut self,
        sequence: u64,
        task: Task,
        run: u64,
        durable: bool,
    ) -> bool {
        if sequence <= self.last_end {
            return false;
        }
        self.last_end = sequence;
        self.open_ends.push_back(End {
            sequence,
            task,
            run,
            durable,
        });
        self.release_durable();
        true
    }

    /// Takes note that the ends of a task's run are durable.
    pub(crate) fn mark_durable(&mut self, task: &Task, run: u64) -> bool {
        let mut any = false;
        for end in &mut self.open_ends {
            if end.task == *task && end.run == run && !end.durable {
                end.durable = true;
                any = true;
            }
        }
        self.release_durable();
        any
    }

    fn release_durable(&mut self) {
        while let Some(end) = self.open_ends.front().filter(|end| end.durable) {
            self.forgettable_end = end.sequence;
            self.open_ends.pop_front();
        }
    }

    /// The newest end that may be forgotten at the worker.
    pub(crate) fn forgettable_end(&self) -> u64 {
        self.forgettable_end
    }

    /// Whether ends were told that aren't durable yet.
    pub(crate) fn has_open_ends(&self) -> bool {
        !self.open_ends.is_empty()
    }

    /// How many of a step's tasks run here.
    pub(crate) fn count_of(&self, stage: &crate::fleet::job::Stage) -> u32 {
        let of = self.runs.keys().filter(|task| task.stage == *stage);
        u32::try_from(of.count()).unwrap_or(u32::MAX)
    }

    /// Whether a task is under way that began since the last failure.
    pub(crate) fn has_trial_run(&self) -> bool {
        self.runs
            .values()
            .any(|run| run.started_at >= self.last_failure)
    }

    /// Whether the worker may get new work.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.reconciled
            && !self.draining
            && self.unanswered == 0
            && self.unreachable == 0
            && self.clock.is_some()
            && self.avoid_until <= now
            && !self.runs.values().any(|run| run.unknown_size)
    }
}
