//! Explanations of why a job waits, for operators.

use crate::id;
use crate::place::capacity::partitions;
use crate::place::claim::Claim;
use crate::place::queue::Shape;
use crate::place::{Job, Kind, Planner};
use crate::unit::Time;

impl Planner {
    /// Why a job waits, as a sentence without its subject; `None` if the job
    /// isn't waiting.
    #[must_use]
    pub fn explain(&self, job: id::Job, now: Time) -> Option<String> {
        if let Some(claim) = self.claims.get(&job) {
            return Some(self.explain_claim(claim, now));
        }
        let job = self.queue.get(job)?;
        let waited = now.since(job.queued_at);
        Some(format!("has waited {waited}; {}", self.obstacle(job)))
    }

    /// Explains the wait of a job with a claim.
    fn explain_claim(&self, claim: &Claim, now: Time) -> String {
        let waited = now.since(claim.job.queued_at);
        let names: indexmap::IndexSet<&id::Worker> = claim
            .slots
            .iter()
            .map(|&slot| &self.inventory.entry(slot).name)
            .collect();
        let names: Vec<String> = names.iter().map(ToString::to_string).collect();
        let names = names.join(", ");
        match claim.expected_start {
            Some(at) => format!(
                "has waited {waited}; it has a claim on {names}, where enough tasks \
                 should have ended in about {}",
                at.since(now)
            ),
            None => format!(
                "has waited {waited}; it has a claim on {names}, where other tasks \
                 are being preempted for it"
            ),
        }
    }

    /// The first reason that applies for a queued job without a claim.
    fn obstacle(&self, job: &Job) -> String {
        let (count, size) = (job.count, job.size);
        if self.inventory.len() == 0 {
            return "no worker is announced".to_owned();
        }
        if let Some(reason) = self.known_workers.infeasibility(&Shape::of(job)) {
            return format!("the workers announced so far are too small: {reason}");
        }
        let usable = self.inventory.iter().filter(|(slot, entry)| {
            self.inventory.free(*slot).is_some() && size.fits(&entry.size)
        });
        if usable.count() == 0 {
            return format!(
                "all workers that could hold {size} are lost, draining or in \
                 quarantine"
            );
        }
        if job.kind == Kind::Service && !self.limiter.has_replica_token() {
            return "replicas of services are placed at a limited rate".to_owned();
        }
        let mut indexes = partitions(&size)
            .iter()
            .map(|&partition| &self.inventory.all[partition]);
        if indexes.any(|index| index.has_room(&size)) && count == 1 {
            let ahead = self.queue.count_ahead(job.id);
            return format!("{ahead} jobs in the queue are ahead of it");
        }
        let request = size.checked_mul(count).unwrap_or(size);
        let over_quota = match self.shares.is_within_quota(&job.team, &request) {
            true => String::new(),
            false => format!("; team {} would exceed its quota", job.team),
        };
        format!("too little is available for {count} tasks of {size}{over_quota}")
    }
}
