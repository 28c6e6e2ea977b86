//! Fair sharing between teams by weighted dominant resource share and quota.

use indexmap::IndexMap;

use crate::id;
use crate::note::Quota;
use crate::place::Job;
use crate::place::capacity::saturating_sub;
use crate::unit::{Size, Span};

/// The penalty on the rank of a team's jobs when the team uses the whole cell.
const MAX_SHARE_PENALTY: Span = Span::from_secs(600);

/// The additional penalty on a job that would take its team over its quota.
const OVER_QUOTA_PENALTY: Span = Span::from_secs(300);

/// The usage and quotas of all teams.
#[derive(Debug, Default, Clone)]
pub(crate) struct Shares {
    teams: IndexMap<id::Team, Entry>,
    /// The sum of the weights of all teams in the table.
    total_weight: u64,
}

/// One team.
#[derive(Debug, Default, Clone)]
struct Entry {
    quota: Option<Quota>,
    /// What the team's running tasks hold.
    used: Size,
    /// What its urgent tasks hold, plus the claims of its urgent jobs.
    urgent: Size,
}

impl Shares {
    /// Replaces all quotas, and forgets teams that have none and use nothing.
    pub(crate) fn configure<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a id::Team, &'a Quota)>,
    ) {
        for entry in self.teams.values_mut() {
            entry.quota = None;
        }
        for (team, quota) in quotas {
            self.teams.entry(team.clone()).or_default().quota = Some(quota.clone());
        }
        self.teams
            .retain(|_, entry| entry.quota.is_some() || entry.used != Size::default());
        self.total_weight = self.teams.values().map(Entry::weight).sum();
    }

    /// Adds the size of one task of a job to its team's usage.
    pub(crate) fn charge(&mut self, job: &Job) {
        let entry = self.entry(&job.team);
        entry.used = entry.used.checked_add(&job.size).unwrap_or(entry.used);
        if job.urgent {
            entry.urgent = entry.urgent.checked_add(&job.size).unwrap_or(entry.urgent);
        }
    }

    /// Subtracts the size of one task of a job from its team's usage.
    pub(crate) fn release(&mut self, job: &Job) {
        let Some(entry) = self.teams.get_mut(&job.team) else {
            return;
        };
        entry.used = saturating_sub(&entry.used, &job.size);
        if job.urgent {
            entry.urgent = saturating_sub(&entry.urgent, &job.size);
        }
    }

    /// Adds or subtracts the claim of an urgent job, which counts against the
    /// quota for urgent work.
    pub(crate) fn set_urgent_claim(&mut self, job: &Job, on: bool) {
        let request = job.size.checked_mul(job.count).unwrap_or(job.size);
        let entry = self.entry(&job.team);
        entry.urgent = match on {
            true => entry.urgent.checked_add(&request).unwrap_or(entry.urgent),
            false => saturating_sub(&entry.urgent, &request),
        };
    }

    /// A team's entry, which is added if there is none.
    fn entry(&mut self, team: &id::Team) -> &mut Entry {
        if !self.teams.contains_key(team) {
            self.total_weight += Entry::default().weight();
        }
        self.teams.entry(team.clone()).or_default()
    }

    /// Whether a job has priority over all work that isn't urgent. A team's
    /// urgent work has it up to the team's quota, whatever else the team uses;
    /// without a quota all of its urgent work has it.
    pub(crate) fn is_urgent_within_quota(&self, job: &Job) -> bool {
        let Some(entry) = self.teams.get(&job.team) else {
            return job.urgent;
        };
        let Some(quota) = &entry.quota else {
            return job.urgent;
        };
        let request = job.size.checked_mul(job.count);
        let sum = request.and_then(|request| entry.urgent.checked_add(&request));
        job.urgent && sum.is_some_and(|sum| sum.fits(&quota.size))
    }

    /// Whether a team stays within its quota with this request on top. A team
    /// without a quota always does.
    pub(crate) fn is_within_quota(&self, team: &id::Team, request: &Size) -> bool {
        let Some(entry) = self.teams.get(team) else {
            return true;
        };
        let Some(quota) = &entry.quota else {
            return true;
        };
        let sum = entry.used.checked_add(request);
        sum.is_some_and(|sum| sum.fits(&quota.size))
    }

    /// The penalty on the rank of a team's next job: proportional to the team's
    /// dominant share of the cell divided by its weight relative to the mean, and
    /// higher if the job would take the team over its quota. At most
    /// [`MAX_SHARE_PENALTY`] plus [`OVER_QUOTA_PENALTY`].
    pub(crate) fn penalty(&self, team: &id::Team, request: &Size, total: &Size) -> Span {
        let Some(entry) = self.teams.get(team) else {
            return Span::ZERO;
        };
        let mean = self.total_weight as f64 / self.teams.len().max(1) as f64;
        let weight = entry.weight() as f64 / mean.max(f64::MIN_POSITIVE);
        let share = (dominant_share(&entry.used, total) / weight).min(1.0);
        let millis = (share * MAX_SHARE_PENALTY.as_millis() as f64) as u64;
        let over_quota = match self.is_within_quota(team, request) {
            true => Span::ZERO,
            false => OVER_QUOTA_PENALTY,
        };
        Span::from_millis(millis) + over_quota
    }
}

impl Entry {
    /// The team's weight: at least 1, and 1 without a quota.
    fn weight(&self) -> u64 {
        let weight = self.quota.as_ref().map_or(1, |quota| quota.weight);
        u64::from(weight.max(1))
    }
}

/// The dominant share of `size` in `total`: the largest of its shares of
/// processors, memory and accelerators. A dimension of which there is none
/// doesn't count.
pub(crate) fn dominant_share(size: &Size, total: &Size) -> f64 {
    let share = |some: u64, all: u64| match all {
        0 => 0.0,
        _ => some as f64 / all as f64,
    };
    let accelerators = share(size.accelerators.0.into(), total.accelerators.0.into());
    share(size.cpu.0, total.cpu.0)
        .max(share(size.memory.0, total.memory.0))
        .max(accelerators)
}
