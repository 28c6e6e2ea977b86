//! The leader's session with one worker: its clock, its lease, its runs and the
//! ends of runs that it has reported.

use crate::collections::IndexMap;
use std::collections::VecDeque;

use crate::fleet::Worker;
use crate::fleet::dispatch::estimate::NOMINAL;
use crate::fleet::dispatch::gone::{Proof, Sign};
use crate::fleet::dispatch::grant::LateGrant;
use crate::fleet::dispatch::probation::Probation;
use crate::fleet::dispatch::progress::Progress;
use crate::fleet::dispatch::speed::Speed;
use crate::fleet::dispatch::survey::Seen;
use crate::fleet::job::{Resources, Task};
use crate::fleet::order::CallId;
use crate::fleet::team::Charge;
use crate::fleet::worker::{Incarnation, Profile};
use crate::id;
use crate::unit::{Span, Time};

/// How much slower than the leader's clock a worker's may run, in thousandths;
/// the users guarantee 2%.
const CLOCK_SLACK: u64 = 25;

/// Added to a lease's end beyond the clock slack, for rounding and late timers.
const LEASE_MARGIN: Span = Span::from_millis(50);

/// The time on the leader's clock by which a lease that now begins has ended on
/// the slowest clock of a worker.
pub(crate) fn longest_lease(lease: Span) -> Span {
    let slack = Span::from_millis(lease.as_millis() * CLOCK_SLACK / 1_000);
    lease + slack + LEASE_MARGIN
}

/// The leader's state for one incarnation of a worker.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    pub(crate) incarnation: Incarnation,
    pub(crate) profile: Profile,
    pub(crate) draining: bool,
    /// The token of orders to this incarnation, higher than that of any order to an
    /// earlier one under the name.
    pub(crate) fencing_token: u64,
    /// The newest reading of the worker's clock in milliseconds, and when it
    /// was taken.
    clock: Option<(Time, u64)>,
    /// The latest lease end that any order carried, in milliseconds on the
    /// worker's clock.
    deadline: u64,
    /// The time on the leader's clock by which that lease, or one that an earlier leader
    /// granted, has certainly ended.
    granted_until: Time,
    /// The lease that the incarnation may hold from an order to an earlier one.
    pub(crate) late_grant: Option<LateGrant>,
    /// Whether the worker has listed its runs in this leader's term.
    pub(crate) reconciled: bool,
    /// The pending lease renewal, and when it was sent.
    pub(crate) renewal: Option<(CallId, Time)>,
    /// When the next lease renewal is due.
    pub(crate) next_renewal: Time,
    /// When the worker last answered an order.
    pub(crate) last_answer: Time,
    /// When the worker last sent a report of its own accord.
    pub(crate) last_report: Time,
    /// The newest report's sequence number.
    pub(crate) report_sequence: u64,
    /// Consecutive lease renewals without a usable answer; zero while the
    /// worker is responsive.
    pub(crate) unanswered: u32,
    /// Whether a later incarnation, which hasn't registered yet, has answered.
    pub(crate) is_replaced: bool,
    /// Whether runs of the worker are in the log, or proposed to it, as it may have
    /// crashed or may crash.
    pub(crate) exposed: bool,
    /// Whether these are all its runs, as it is silent.
    pub(crate) silence_recorded: bool,
    /// When the worker first announced that its process ends, if it has.
    pub(crate) leaving_since: Option<Time>,
    /// What suggests that its process has ended, since it last answered.
    pub(crate) sign: Option<Sign>,
    /// What shows that the incarnation runs nothing any more, if its removal is proposed.
    pub(crate) proof: Option<Proof>,
    /// The task whose trial the worker is kept for.
    pub(crate) trial: Option<Task>,
    /// Consecutive orders for which nothing listened at the worker's address.
    pub(crate) unreachable: u32,
    /// The worker gets no new tasks before this time, as it refused an order or its runs
    /// stand still.
    pub(crate) avoid_until: Time,
    /// What the failures of runs there say about the worker.
    pub(crate) probation: Probation,
    /// The worker's speed, as far as it has been learned.
    pub(crate) speed: Speed,
    /// Run times here relative to other workers of the kind, in thousandths.
    pub(crate) slowdown: u64,
    /// The runs that are, may be or are being stopped on the worker, by task and
    /// number: a worker starts a run beside another one of its task.
    pub(crate) runs: IndexMap<(Task, u64), Run>,
    /// The sum of these runs' demands.
    pub(crate) used: Resources,
    /// The sum of what they count for, by team.
    pub(crate) charges: IndexMap<id::Team, Resources>,
    /// How many runs have been removed from `runs`, by which a placement pass sees
    /// that the worker has changed.
    pub(crate) removed_runs: u64,
    /// The worker as the last placement pass saw it.
    pub(crate) seen: Seen,
    /// The sequence number of the newest end that was recorded.
    last_end: u64,
    /// The recorded ends that the worker has to keep, oldest first.
    open_ends: VecDeque<End>,
    /// The newest end that is acknowledged to the worker, which may discard it.
    acknowledged_end: u64,
}

/// The end of a run, as the worker reported it.
#[derive(Debug, Clone, Copy)]
struct End {
    sequence: u64,
    task: Task,
    run: u64,
    /// Whether the end is in the replicated log, or need not be.
    durable: bool,
}

/// One run of a task on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) demand: Resources,
    pub(crate) state: RunState,
    /// The pending order for the run.
    pub(crate) order: Option<CallId>,
    /// How often the current start or stop was sent.
    pub(crate) tries: u32,
    /// The earliest time for the next order concerning the run.
    pub(crate) retry_at: Time,
    /// When the worker is known to have carried out or refused the current
    /// start or stop.
    pub(crate) confirmed_at: Option<Time>,
    /// Since when the worker lists the run neither as active nor as ended, though it is
    /// known to have received the current start or stop.
    pub(crate) unlisted_since: Option<Time>,
    /// Until when an earlier incarnation of the worker may have the run, whatever this
    /// one lists.
    pub(crate) earlier_until: Option<Time>,
    /// When the run was placed on the worker, or found there.
    pub(crate) started_at: Time,
    /// The newest checkpoint; empty if there is none.
    pub(crate) checkpoint: String,
    /// Whether the task uses only processor time that other tasks leave.
    pub(crate) best_effort: bool,
    /// The limit on the tail of a serving task's response times.
    pub(crate) tail_limit: Option<Span>,
    /// The newest measurement from the worker: for a serving task, the tail of
    /// its response times in milliseconds; otherwise the millicores in use.
    pub(crate) measurement: Option<u64>,
    /// The progress that the worker has reported.
    pub(crate) progress: Progress,
    /// The share to which the task is throttled, in percent; none if an earlier
    /// leader may have set it.
    pub(crate) share: Option<u8>,
    /// Whether the order that set the share has no answer that says so.
    pub(crate) share_in_doubt: bool,
    /// Whether the demand is unknown, as the job's specification is gone.
    pub(crate) unknown_demand: bool,
    /// The adviser's ticket that the start order carries.
    pub(crate) ticket: Option<String>,
    /// Whether the run has to be in the log before it is started.
    pub(crate) awaits_record: bool,
    /// What the run counts for against its team's limit, if its job has an owner.
    pub(crate) charge: Option<Charge>,
}

impl Run {
    /// A run that enters `state` now, with defaults for all that isn't given.
    pub(crate) fn new(
        number: u64,
        demand: Resources,
        state: RunState,
        now: Time,
    ) -> Self {
        Self {
            number,
            demand,
            state,
            order: None,
            tries: 0,
            retry_at: now,
            confirmed_at: None,
            unlisted_since: None,
            earlier_until: None,
            started_at: now,
            checkpoint: String::new(),
            best_effort: false,
            tail_limit: None,
            measurement: None,
            progress: Progress::default(),
            share: None,
            share_in_doubt: false,
            unknown_demand: false,
            ticket: None,
            awaits_record: false,
            charge: None,
        }
    }

    /// By when a run that isn't listed has ended: a worker may list a run that is being
    /// stopped only once it has ended, and any leader may have ordered the stop. None if
    /// it is listed, or not known to have received the order.
    pub(crate) fn unlisted_end(&self, stop_time: Span) -> Option<Time> {
        let stopped_at = match self.state {
            RunState::Stopping => self.confirmed_at,
            RunState::Starting | RunState::Running => self.unlisted_since,
        };
        self.unlisted_since?;
        Some(stopped_at?.after(longest_lease(stop_time)))
    }

    /// Whether what the worker lists tells all about the run: no order for it is under way,
    /// and no earlier incarnation may have it.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        self.order.is_none() && !self.may_run_earlier(now)
    }

    /// Whether an earlier incarnation of the worker may have the run.
    pub(crate) fn may_run_earlier(&self, now: Time) -> bool {
        self.earlier_until.is_some_and(|until| now < until)
    }

    /// Whether the worker can't know of the run, as no start of it was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        self.state == RunState::Starting && self.tries == 0 && self.order.is_none()
    }
}

/// Where a run stands in its life cycle on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Placed here; the worker hasn't confirmed the start.
    Starting,
    /// Started, or found on the worker.
    Running,
    /// To be stopped; the worker hasn't reported its end.
    Stopping,
}

impl Session {
    /// A session with a worker that may already hold a lease of length `lease`.
    pub(crate) fn new(
        worker: &Worker,
        fencing_token: u64,
        lease: Span,
        now: Time,
    ) -> Self {
        let Worker {
            incarnation,
            profile,
            draining,
        } = worker.clone();
        Self {
            incarnation,
            profile,
            draining,
            fencing_token,
            clock: None,
            deadline: 0,
            granted_until: now.after(lease).after(LEASE_MARGIN),
            late_grant: None,
            reconciled: false,
            renewal: None,
            next_renewal: now,
            last_answer: now,
            last_report: now,
            report_sequence: 0,
            unanswered: 0,
            is_replaced: false,
            exposed: false,
            silence_recorded: false,
            leaving_since: None,
            sign: None,
            proof: None,
            trial: None,
            unreachable: 0,
            avoid_until: now,
            probation: Probation::new(now),
            speed: Speed::default(),
            slowdown: NOMINAL,
            runs: IndexMap::default(),
            used: Resources::default(),
            charges: IndexMap::default(),
            removed_runs: 0,
            seen: Seen::default(),
            last_end: 0,
            open_ends: VecDeque::new(),
            acknowledged_end: 0,
        }
    }

    /// Records a reading of the worker's clock, in milliseconds; false if it
    /// can't come from this incarnation.
    ///
    /// `earlier` is the newest reading at the time at which the order was sent. The clock
    /// never goes back within an incarnation, so a reading below that one comes from a
    /// later incarnation under the same name. One that is ahead
    /// may come from an earlier one, unless the answer names the incarnation; it would
    /// make leases longer than they are reckoned.
    pub(crate) fn update_clock(
        &mut self,
        clock: u64,
        earlier: u64,
        is_named: bool,
        now: Time,
    ) -> bool {
        let newest = self.newest_clock();
        let expected = self.clock_at(now).map_or(0, Time::as_millis);
        if clock >= newest && (is_named || clock <= expected) {
            self.clock = Some((now, clock));
        }
        clock >= earlier
    }

    /// The newest reading of the worker's clock, in milliseconds; zero if there is none.
    pub(crate) fn newest_clock(&self) -> u64 {
        self.clock.map_or(0, |(_, newest)| newest)
    }

    /// Extends the lease to `lease` from now; returns its end in milliseconds
    /// on the worker's clock, or none while that clock isn't known.
    ///
    /// The worker read its clock before the answer arrived, so its clock is
    /// ahead of this estimate and the lease slightly shorter than asked for.
    pub(crate) fn extend_lease(&mut self, lease: Span, now: Time) -> Option<u64> {
        let (read, clock) = self.clock?;
        let elapsed = now.since(read).as_millis();
        let now_there = clock.saturating_add(elapsed);
        let deadline = now_there.saturating_add(lease.as_millis());
        self.deadline = self.deadline.max(deadline);
        // The worker's clock may be slow, both since its reading and until the
        // lease ends.
        let slow_elapsed = elapsed - elapsed * CLOCK_SLACK / 1_000;
        let slow_clock = clock.saturating_add(slow_elapsed);
        let remaining = self.deadline.saturating_sub(slow_clock);
        let slack = remaining.saturating_mul(CLOCK_SLACK) / 1_000;
        let longest = remaining.saturating_add(slack);
        let ends = now.after(Span::from_millis(longest)).after(LEASE_MARGIN);
        self.granted_until = self.granted_until.max(ends);
        Some(deadline)
    }

    /// The worker's clock at `now`, by its newest reading; none while that clock
    /// isn't known.
    pub(crate) fn clock_at(&self, now: Time) -> Option<Time> {
        let (read, clock) = self.clock?;
        Some(Time::from_millis(clock).after(now.since(read)))
    }

    /// Counts the longest lease, as a later incarnation, which isn't registered yet, may
    /// have taken one of at most `limit` from an order to this one.
    pub(crate) fn note_later_incarnation(&mut self, limit: Span, now: Time) {
        self.granted_until = self.granted_until.max(now.after(longest_lease(limit)));
    }

    /// The time on the leader's clock by which the worker's lease, from whichever order,
    /// has certainly ended.
    pub(crate) fn lease_end(&self) -> Time {
        let late_end = self.late_grant.map(|grant| grant.ends_by);
        late_end.map_or(self.granted_until, |end| end.max(self.granted_until))
    }

    /// The longest time for which the lease may still last.
    pub(crate) fn lease_remaining(&self, now: Time) -> Span {
        self.lease_end().since(now)
    }

    /// The kind of worker, which is its first label; empty if the worker has no
    /// label besides its rack.
    pub(crate) fn kind(&self) -> &str {
        match self.profile.labels.as_slice() {
            [kind, _, ..] => kind,
            _ => "",
        }
    }

    /// The capacity that no run takes.
    pub(crate) fn free(&self) -> Resources {
        self.profile.capacity.less(&self.used)
    }

    /// Whether the runs use more than the worker has, as it has shrunk.
    pub(crate) fn is_overcommitted(&self) -> bool {
        !self.used.fits(&self.profile.capacity)
    }

    /// Adds a run and reserves its demand; replaces what was known of the run.
    pub(crate) fn insert(&mut self, task: Task, run: Run) {
        self.used = self.used.plus(&run.demand);
        if let Some(charge) = &run.charge {
            let sum = self.charges.entry(charge.team.clone()).or_default();
            *sum = sum.plus(&charge.amount);
        }
        if let Some(old) = self.runs.insert((task, run.number), run) {
            self.discount(&old);
        }
    }

    /// Removes a task's run and frees its demand.
    pub(crate) fn remove(&mut self, task: &Task, number: u64) -> Option<Run> {
        let run = self.runs.swap_remove(&(*task, number))?;
        self.discount(&run);
        Some(run)
    }

    /// Takes a run that was removed off the sums.
    fn discount(&mut self, run: &Run) {
        self.used = self.used.less(&run.demand);
        self.removed_runs += 1;
        if let Some(charge) = &run.charge
            && let Some(sum) = self.charges.get_mut(&charge.team)
        {
            *sum = sum.less(&charge.amount);
            if *sum == Resources::default() {
                self.charges.swap_remove(&charge.team);
            }
        }
    }

    /// Records a run's end; false if it was recorded before.
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
        self.acknowledge_durable();
        true
    }

    /// Marks the recorded ends of a task's run as durable; false if there was
    /// none to mark.
    pub(crate) fn mark_durable(&mut self, task: &Task, run: u64) -> bool {
        let mut any = false;
        for end in &mut self.open_ends {
            if end.task == *task && end.run == run && !end.durable {
                end.durable = true;
                any = true;
            }
        }
        self.acknowledge_durable();
        any
    }

    /// Acknowledges the ends before the first one that isn't durable.
    fn acknowledge_durable(&mut self) {
        while let Some(end) = self.open_ends.front().filter(|end| end.durable) {
            self.acknowledged_end = end.sequence;
            self.open_ends.pop_front();
        }
    }

    /// The sequence number of the newest end to acknowledge, up to which the
    /// worker may discard its ends; zero if there is none.
    pub(crate) fn acknowledged_end(&self) -> u64 {
        self.acknowledged_end
    }

    /// Whether ends were reported that aren't durable yet.
    pub(crate) fn has_open_ends(&self) -> bool {
        !self.open_ends.is_empty()
    }

    /// The number of a step's tasks on this worker.
    pub(crate) fn count_of(&self, stage: &crate::fleet::job::Stage) -> u32 {
        let of = self.runs.keys().filter(|(task, _)| task.stage == *stage);
        u32::try_from(of.count()).unwrap_or(u32::MAX)
    }

    /// Whether the worker may have a run of a task.
    pub(crate) fn has_run(&self, task: &Task) -> bool {
        self.runs.keys().any(|(other, _)| other == task)
    }

    /// Whether the worker has drained and then announced that its process ends.
    pub(crate) fn leaves(&self) -> bool {
        self.draining && self.leaving_since.is_some()
    }

    /// Whether the worker may have runs: it may hold a lease, and has listed runs or
    /// hasn't listed any yet.
    pub(crate) fn may_run(&self, now: Time) -> bool {
        now < self.lease_end() && (!self.reconciled || !self.runs.is_empty())
    }

    /// Whether the worker answers orders and is to stay.
    pub(crate) fn is_available(&self) -> bool {
        !self.is_ending() && self.unanswered == 0 && self.proof.is_none()
    }

    /// Whether the worker has announced that its process will end or ends.
    pub(crate) fn is_ending(&self) -> bool {
        self.draining || self.leaving_since.is_some()
    }

    /// Whether the worker may get new tasks, and doesn't pause after failures.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.is_ready(now) && !self.probation.is_paused(now)
    }

    /// Whether the worker may get new tasks, whatever has failed there: it is
    /// reconciled, responsive, to stay and not avoided, and the demand of all its runs is
    /// known.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.reconciled
            && self.is_available()
            && self.unreachable == 0
            && self.clock.is_some()
            && self.avoid_until <= now
            && !self.runs.values().any(|run| run.unknown_demand)
    }
}
