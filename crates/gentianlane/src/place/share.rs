//! What teams use, against what they are entitled to.

use indexmap::IndexMap;

use crate::id;
use crate::note::Quota;
use crate::place::Job;
use crate::place::capacity::saturating_sub;
use crate::unit::{Size, Span};

/// How far the whole cell in one team's hands puts that team's jobs back.
const WHOLE_CELL: Span = Span::from_secs(600);

/// How far a job is put back that its team would have to borrow for.
const BORROWED: Span = Span::from_secs(300);

/// What teams use and may use.
#[derive(Debug, Default, Clone)]
pub(crate) struct Shares {
    teams: IndexMap<id::Team, Share>,
    weights: u64,
}

#[derive(Debug, Default, Clone)]
struct Share {
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
        for share in self.teams.values_mut() {
            share.quota = None;
        }
        for (team, quota) in quotas {
            self.teams.entry(team.clone()).or_default().quota = Some(quota.clone());
        }
        self.teams
            .retain(|_, share| share.quota.is_some() || share.used != Size::default());
        self.weights = self.teams.values().map(Share::weight).sum();
    }

    /// Takes in that a task of a job uses its size.
    pub(crate) fn take(&mut self, job: &Job) {
        let share = self.share(&job.team);
        share.used = share.used.plus(&job.size).unwrap_or(share.used);
        if job.urgent {
            share.urgent = share.urgent.plus(&job.size).unwrap_or(share.urgent);
        }
    }

    /// Takes in that a task of a job uses its size no more.
    pub(crate) fn give(&mut self, job: &Job) {
        let Some(share) = self.teams.get_mut(&job.team) else {
            return;
        };
        share.used = saturating_sub(&share.used, &job.size);
        if job.urgent {
            share.urgent = saturating_sub(&share.urgent, &job.size);
        }
    }

    /// Takes in that urgent work has room set aside for it, or not any more.
    pub(crate) fn press(&mut self, job: &Job, on: bool) {
        let more = job.size.times(job.count).unwrap_or(job.size);
        let share = self.share(&job.team);
        share.urgent = match on {
            true => share.urgent.plus(&more).unwrap_or(share.urgent),
            false => saturating_sub(&share.urgent, &more),
        };
    }

    fn share(&mut self, team: &id::Team) -> &mut Share {
        if !self.teams.contains_key(team) {
            self.weights += Share::default().weight();
        }
        self.teams.entry(team.clone()).or_default()
    }

    /// Whether a job goes before all that isn't urgent: a team's urgent work may
    /// do so up to the team's quota, whatever else the team uses.
    pub(crate) fn is_pressing(&self, job: &Job) -> bool {
        let Some(share) = self.teams.get(&job.team) else {
            return job.urgent;
        };
        let Some(quota) = &share.quota else {
            return job.urgent;
        };
        let more = job.size.times(job.count);
        let sum = more.and_then(|more| share.urgent.plus(&more));
        job.urgent && sum.is_some_and(|sum| sum.fits(&quota.size))
    }

    /// Whether a team may have this much more without borrowing. A team
    /// without a quota never borrows.
    pub(crate) fn is_entitled(&self, team: &id::Team, more: &Size) -> bool {
        let Some(share) = self.teams.get(team) else {
            return true;
        };
        let Some(quota) = &share.quota else {
            return true;
        };
        let sum = share.used.plus(more);
        sum.is_some_and(|sum| sum.fits(&quota.size))
    }

    /// How far a team's next job is put back for what the team uses already:
    /// in proportion to its share of the dominant resource by weight, and
    /// further if it would have to borrow. Never more than
    /// [`WHOLE_CELL`] and [`BORROWED`] together.
    pub(crate) fn penalty(&self, team: &id::Team, more: &Size, total: &Size) -> Span {
        let Some(share) = self.teams.get(team) else {
            return Span::ZERO;
        };
        let mean = self.weights as f64 / self.teams.len().max(1) as f64;
        let weight = share.weight() as f64 / mean.max(f64::MIN_POSITIVE);
        let part = (dominant(&share.used, total) / weight).min(1.0);
        let millis = (part * WHOLE_CELL.as_millis() as f64) as u64;
        let borrowed = match self.is_entitled(team, more) {
            true => Span::ZERO,
            false => BORROWED,
        };
        Span::from_millis(millis) + borrowed
    }
}

impl Share {
    fn weight(&self) -> u64 {
        let weight = self.quota.as_ref().map_or(1, |quota| quota.weight);
        u64::from(weight.max(1))
    }
}

/// The largest of the three parts that `size` is of `total`.
pub(crate) fn dominant(size: &Size, total: &Size) -> f64 {
    let part = |some: u64, all: u64| match all {
        0 => 0.0,
        _ => some as f64 / all as f64,
    };
    let accelerators = part(size.accelerators.0.into(), total.accelerators.0.into());
    part(size.cpu.0, total.cpu.0)
        .max(part(size.memory.0, total.memory.0))
        .max(accelerators)
}
