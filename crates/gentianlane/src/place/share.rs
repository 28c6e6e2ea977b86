//! What teams use, against what they are entitled to.

use indexmap::IndexMap;

use crate::id;
use crate::note::Quota;
use crate::place::Job;
use crate::place::capacity::saturating_sub;
use crate::unit::{Size, Span};

/// How far the whole cell in one team's hands puts that team's jobs back.
const MAX_SHARE_PENALTY: Span = Span::from_secs(600);

/// How far a job is put back that its team would have to borrow for.
const OVER_QUOTA_PENALTY: Span = Span::from_secs(300);

/// What teams use and may use.
#[derive(Debug, Default, Clone)]
pub(crate) struct Shares {
    teams: IndexMap<id::Team, Entry>,
    total_weight: u64,
}

#[derive(Debug, Default, Clone)]
struct Entry {
    quota: Option<Quota>,
    used: Size,
    /// What urgent work uses of it.
    urgent: Size,
}

impl Shares {
    /// Takes over the quotas in force.
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

    /// Takes in that a task of a job uses its size.
    pub(crate) fn charge(&mut self, job: &Job) {
        let entry = self.entry(&job.team);
        entry.used = entry.used.plus(&job.size).unwrap_or(entry.used);
        if job.urgent {
            entry.urgent = entry.urgent.plus(&job.size).unwrap_or(entry.urgent);
        }
    }

    /// Takes in that a task of a job uses its size no more.
    pub(crate) fn release(&mut self, job: &Job) {
        let Some(entry) = self.teams.get_mut(&job.team) else {
            return;
        };
        entry.used = saturating_sub(&entry.used, &job.size);
        if job.urgent {
            entry.urgent = saturating_sub(&entry.urgent, &job.size);
        }
    }

    /// Takes in that urgent work has room set aside for it, or not any more.
    pub(crate) fn set_urgent_claim(&mut self, job: &Job, on: bool) {
        let more = job.size.times(job.count).unwrap_or(job.size);
        let entry = self.entry(&job.team);
        entry.urgent = match on {
            true => entry.urgent.plus(&more).unwrap_or(entry.urgent),
            false => saturating_sub(&entry.urgent, &more),
        };
    }

    fn entry(&mut self, team: &id::Team) -> &mut Entry {
        if !self.teams.contains_key(team) {
            self.total_weight += Entry::default().weight();
        }
        self.teams.entry(team.clone()).or_default()
    }

    /// Whether a job goes before all that isn't urgent: a team's urgent work may
    /// do so up to the team's quota, whatever else the team uses.
    pub(crate) fn is_urgent_within_quota(&self, job: &Job) -> bool {
        let Some(entry) = self.teams.get(&job.team) else {
            return job.urgent;
        };
        let Some(quota) = &entry.quota else {
            return job.urgent;
        };
        let more = job.size.times(job.count);
        let sum = more.and_then(|more| entry.urgent.plus(&more));
        job.urgent && sum.is_some_and(|sum| sum.fits(&quota.size))
    }

    /// Whether a team may have this much more without borrowing. A team
    /// without a quota never borrows.
    pub(crate) fn is_within_quota(&self, team: &id::Team, more: &Size) -> bool {
        let Some(entry) = self.teams.get(team) else {
            return true;
        };
        let Some(quota) = &entry.quota else {
            return true;
        };
        let sum = entry.used.plus(more);
        sum.is_some_and(|sum| sum.fits(&quota.size))
    }

    /// How far a team's next job is put back for what the team uses already:
    /// in proportion to its share of the dominant resource by weight, and
    /// further if it would have to borrow. Never more than
    /// [`MAX_SHARE_PENALTY`] and [`OVER_QUOTA_PENALTY`] together.
    pub(crate) fn penalty(&self, team: &id::Team, more: &Size, total: &Size) -> Span {
        let Some(entry) = self.teams.get(team) else {
            return Span::ZERO;
        };
        let mean = self.total_weight as f64 / self.teams.len().max(1) as f64;
        let weight = entry.weight() as f64 / mean.max(f64::MIN_POSITIVE);
        let part = (dominant_share(&entry.used, total) / weight).min(1.0);
        let millis = (part * MAX_SHARE_PENALTY.as_millis() as f64) as u64;
        let borrowed = match self.is_within_quota(team, more) {
            true => Span::ZERO,
            false => OVER_QUOTA_PENALTY,
        };
        Span::from_millis(millis) + borrowed
    }
}

impl Entry {
    fn weight(&self) -> u64 {
        let weight = self.quota.as_ref().map_or(1, |quota| quota.weight);
        u64::from(weight.max(1))
    }
}

/// The largest of the three parts that `size` is of `total`.
pub(crate) fn dominant_share(size: &Size, total: &Size) -> f64 {
    let part = |some: u64, all: u64| match all {
        0 => 0.0,
        _ => some as f64 / all as f64,
    };
    let accelerators = part(size.accelerators.0.into(), total.accelerators.0.into());
    part(size.cpu.0, total.cpu.0)
        .max(part(size.memory.0, total.memory.0))
        .max(accelerators)
}
