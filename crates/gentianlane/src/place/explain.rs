//! Why a job waits.

use crate::id;
use crate::place::capacity::partitions;
use crate::place::claim::Claim;
use crate::place::queue::Shape;
use crate::place::{Job, Kind, Planner};
use crate::unit::Time;

impl Planner {
    /// Why a job waits, in one sentence; `None` if it doesn't wait here.
    #[must_use]
    pub fn explain(&self, job: id::Job, now: Time) -> Option<String> {
        if let Some(claim) = self.claims.get(&job) {
            return Some(self.explain_claim(claim, now));
        }
        let job = self.queue.get(job)?;
        let waited = now.since(job.queued_at);
        Some(format!("waits since {waited} {}", self.obstacle(job)))
    }

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
                "waits since {waited} for tasks to end on {names}, where room is set \
                 aside for it, in about {}",
                at.since(now)
            ),
            None => format!(
                "waits since {waited} for tasks to stop on {names}, which make room \
                 for it"
            ),
        }
    }

    fn obstacle(&self, job: &Job) -> String {
        let (count, size) = (job.count, job.size);
        if self.inventory.len() == 0 {
            return "for a worker to announce itself; none is known".to_owned();
        }
        if let Some(reason) = self.catalog.infeasibility(&Shape::of(job)) {
            return format!("for a larger worker to announce itself: {reason}");
        }
        let able = self.inventory.iter().filter(|(slot, entry)| {
            self.inventory.free(*slot).is_some() && size.fits(&entry.size)
        });
        if able.count() == 0 {
            return format!(
                "for a worker that can hold {size} to come back into use; those that \
                 could are lost, draining or in quarantine"
            );
        }
        if job.kind == Kind::Service && !self.limiter.has_replica_token() {
            return "as replicas are placed at a bounded rate".to_owned();
        }
        let mut indexes = partitions(&size)
            .iter()
            .map(|&partition| &self.inventory.all[partition]);
        if indexes.any(|room| room.has_room(&size)) && count == 1 {
            let before = self.queue.count_ahead(job.id);
            return format!("for its turn; {before} jobs are before it");
        }
        let more = size.times(count).unwrap_or(size);
        let borrows = match self.shares.is_within_quota(&job.team, &more) {
            true => String::new(),
            false => format!("; team {} has used up its quota", job.team),
        };
        format!("for room for {count} times {size}{borrows}")
    }
}
