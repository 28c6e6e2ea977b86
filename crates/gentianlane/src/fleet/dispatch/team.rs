//! Holds teams to their limits and shares.
//!
//! Limits answer a team that has far more work than it may run. A step whose team
//! has no room left isn't placed, reserves and preempts nothing and doesn't count
//! as backlog of its pool. Shares answer a team that sends many times its usual:
//! jobs beyond its share rank after those of all other teams.

use crate::fleet::State;
use crate::fleet::call::Refusal;
use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::backlog::{TOP_PRIORITY, effective_priority};
use crate::fleet::dispatch::preempt::PREEMPTION_DELAY;
use crate::fleet::dispatch::rank::{Timeliness, assess_deadline};
use crate::fleet::dispatch::session::RunState;
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::survey::Survey;
use crate::fleet::job::{self, Phase, Resources, Spec};
use crate::fleet::team::{Charge, Ledger, Team, can_ever_start};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// For how long after a job was cancelled or has failed its runs may go on at workers
/// that a new leader hasn't reached: a lease, and by how much wall clocks may differ.
const FINISHED_JOB_WINDOW: Span = Span::from_millis(15_000);

/// The shortest and longest time after which a caller may submit again that was
/// refused because of its team's backlog; it grows with the number of steps in that.
const MIN_BACKLOG_RETRY: Span = Span::from_millis(1_000);
const MAX_BACKLOG_RETRY: Span = Span::from_millis(8_000);

impl Stage {
    /// What a run of a task counts for; none if the job has no owner.
    pub(super) fn charge(&self) -> Option<Charge> {
        self.owner.clone().map(|team| Charge {
            team,
            amount: self.step.resources,
        })
    }
}

impl Dispatcher {
    /// Recounts what each team uses. Nothing is counted without teams.
    pub(super) fn rebuild_ledger(&mut self, state: &State, now: Time) {
        let mut teams = state.owners().teams().peekable();
        if teams.peek().is_none() {
            self.ledger = Ledger::default();
            return;
        }
        let mut ledger = Ledger::new(teams);
        for session in self.sessions.values() {
            for (team, used) in &session.charges {
                ledger.add(team, used);
            }
        }
        let has_session = |worker: &id::Worker| self.sessions.contains_key(worker);
        for charge in self.unconfirmed.charges_elsewhere(has_session, now) {
            ledger.charge(charge);
        }
        if self.recovering {
            self.add_unknown_runs(&mut ledger);
        }
        self.ledger = ledger;
    }

    /// Counts the runs that an earlier leader may have left on workers that haven't
    /// listed theirs yet: those of each task that isn't known to run elsewhere, and of
    /// jobs that have ended lately, but no more than these workers can hold.
    fn add_unknown_runs(&self, ledger: &mut Ledger) {
        let unlisted = self.sessions.values().filter(|session| !session.reconciled);
        let capacity = unlisted.fold(Resources::default(), |sum, session| {
            sum.plus(&session.profile.capacity)
        });
        let mut unknown = self.ended_charges.clone();
        for stage in self.stages.values().filter(|stage| stage.recovering) {
            if let Some(team) = &stage.owner {
                let tasks = stage.step.resources.times(stage.pending.len() as u64);
                let sum = unknown.entry(team.clone()).or_default();
                *sum = sum.plus(&tasks);
            }
        }
        for (team, amount) in unknown {
            ledger.add(&team, &amount.least(&capacity));
        }
    }

    /// Counts the runs of jobs that ended under earlier leaders, as far as they may go on.
    pub(super) fn inherit_ended_charges(&mut self, state: &State, wall: Wall) {
        let ended = state.owners().jobs().filter(|(id, _)| {
            let outcome = state.job(id).and_then(|job| job.outcome);
            outcome.is_some_and(|(_, at)| wall.since(at) < FINISHED_JOB_WINDOW)
        });
        let ended: Vec<job::Id> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.count_ended_job(state, &id);
        }
    }

    /// Counts what a job's runs may use on workers that haven't listed theirs, if it
    /// ended before all of its tasks did.
    pub(super) fn count_ended_job(&mut self, state: &State, id: &job::Id) {
        let outcome = state.job(id).and_then(|job| job.outcome);
        let has_runs = outcome.is_some_and(|(phase, _)| phase != Phase::Completed);
        if let (true, true, Some(owner)) =
            (self.recovering, has_runs, state.owners().of(id))
        {
            let sum = self.ended_charges.entry(owner.team.clone()).or_default();
            *sum = sum.plus(&owner.total());
        }
    }

    /// How many of a step's pending tasks its team may start now; all members of a
    /// gang or none.
    pub(super) fn team_allowance(&self, stage: &Stage) -> u32 {
        let Some(team) = &stage.owner else {
            return u32::MAX;
        };
        let task = &stage.step.resources;
        match stage.step.gang {
            true if self.ledger.allows_gang(team, task, stage.step.count) => u32::MAX,
            true => 0,
            false => self.ledger.allowance(team, task),
        }
    }

    /// Whether a step has pending tasks and its team may start none of them now.
    pub(super) fn is_held_by_limit(&self, id: &job::Stage) -> bool {
        let stage = self.stages.get(id);
        stage.is_some_and(|stage| {
            !stage.pending.is_empty() && self.team_allowance(stage) == 0
        })
    }

    /// Notes that a step waits for its team's limit; it needs no capacity meanwhile.
    ///
    /// What it needs next is kept free of the team's steps that rank below it, so that
    /// their small tasks don't keep a gang or a large task from ever starting.
    pub(super) fn hold_for_limit(
        &mut self,
        id: &job::Stage,
        survey: &mut Survey,
        now: Time,
    ) {
        let Some(stage) = self.stages.get_mut(id) else {
            return;
        };
        let Some(team) = stage.owner.clone() else {
            return;
        };
        stage.blocked_since = None;
        stage.reserved.clear();
        stage.examined = false;
        let newly_held = stage.held_since.is_none();
        stage.held_since.get_or_insert(now);
        let pending = stage.pending.len();
        let task = stage.step.resources;
        let next = match stage.step.gang {
            true => task.times(u64::from(stage.step.count)),
            false => task,
        };
        let has_value = assess_deadline(stage, now).0 != Timeliness::Expired;
        if newly_held {
            self.effects.decisions.push(Decision::HeldByLimit {
                stage: *id,
                team: team.clone(),
                pending,
                used: self.ledger.used(&team).unwrap_or_default(),
            });
        }
        if has_value {
            self.ledger.claim(&team, next);
        }
        if survey.scope.plans {
            self.preempt_within_team(id, survey, now);
        }
    }

    /// Preempts a team's own tasks of lower priority for its step of the highest one
    /// that waits for the team's limit: only the team's own work can make room there.
    fn preempt_within_team(&mut self, id: &job::Stage, survey: &mut Survey, now: Time) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let (timeliness, slack) = assess_deadline(stage, now);
        let priority = effective_priority(stage, slack);
        let has_waited = stage
            .held_since
            .is_some_and(|since| now.since(since) >= PREEMPTION_DELAY);
        let (Some(team), true) = (&stage.owner, has_waited) else {
            return;
        };
        if priority != TOP_PRIORITY
            || timeliness == Timeliness::Expired
            || stage.step.gang
            || stage.beyond_share
            || !survey.preempting_teams.insert(team.clone())
        {
            return;
        }
        let task = stage.step.resources;
        let mut wanted = task.times(stage.pending.len() as u64);
        let mut preemptible = Vec::new();
        for session in self.sessions.values() {
            if !session.charges.contains_key(team) {
                continue;
            }
            for ((task, _), run) in &session.runs {
                let Some(charge) = run.charge.as_ref().filter(|it| it.team == *team)
                else {
                    continue;
                };
                if run.state == RunState::Stopping {
                    wanted = wanted.less(&charge.amount);
                } else if self.is_preemptible(priority, task, run, now) {
                    preemptible.push((charge.amount, *task));
                }
            }
        }
        preemptible.sort_unstable_by_key(|(amount, task)| (amount.weight(), *task));
        let budget = self.stop_limit().saturating_sub(survey.stopping);
        let mut victims = Vec::new();
        for (amount, victim) in preemptible.into_iter().take(budget) {
            if wanted.weight() == 0 {
                break;
            }
            wanted = wanted.less(&amount);
            victims.push(victim);
        }
        survey.stopping += victims.len();
        for victim in victims {
            self.stop_run(&victim, Cause::Preempted, now);
        }
    }

    /// Takes the jobs that an earlier leader has accepted lately off the teams' shares,
    /// so that a change of leader gives no team more than its share.
    pub(super) fn inherit_shares(&mut self, state: &State, now: Time, wall: Wall) {
        let Some(access) = state.owners().access() else {
            return;
        };
        for (id, owner) in state.owners().jobs().filter(|(_, it)| !it.beyond_share) {
            let job = state.job(id);
            let is_recent = job.is_some_and(|it| {
                wall.since(it.submitted_at) < crate::fleet::team::BURST_WINDOW
            });
            if let (true, Some(team)) = (is_recent, access.team(&owner.team)) {
                self.shares.take(&owner.team, team.share_permille, now);
            }
        }
    }

    /// Why a team's job is refused; otherwise whether it lies beyond the team's share.
    ///
    /// # Errors
    ///
    /// The reason, and after what time the caller may retry.
    pub fn admit_for_team(
        &mut self,
        name: &id::Team,
        team: &Team,
        spec: &Spec,
        now: Time,
    ) -> Result<bool, (Refusal, Span)> {
        let never_starts = |step: &job::Step| {
            step.gang && !can_ever_start(&team.limit, &step.resources, step.count)
        };
        if spec.steps.iter().any(never_starts) {
            return Err((Refusal::TeamLimit, MAX_BACKLOG_RETRY));
        }
        if self.shares.take(name, team.share_permille, now) {
            return Ok(false);
        }
        match self.backlog_retry(name, now) {
            Some(retry_after) => Err((Refusal::TeamShare, retry_after)),
            None => Ok(true),
        }
    }

    /// After what time a team may submit beyond its share again, if what it has
    /// submitted beyond it so far already waits for longer than it has value.
    fn backlog_retry(&self, name: &id::Team, now: Time) -> Option<Span> {
        let waiting = self.stages.values().filter(|stage| {
            stage.beyond_share
                && stage.owner.as_ref() == Some(name)
                && !stage.pending.is_empty()
        });
        let expired = waiting
            .filter(|stage| assess_deadline(stage, now).0 == Timeliness::Expired)
            .count();
        if expired == 0 {
            return None;
        }
        let retry = MIN_BACKLOG_RETRY.saturating_mul(expired as u64);
        Some(retry.min(MAX_BACKLOG_RETRY))
    }
}
