//! Which jobs a team sends beyond its share.
//!
//! A share is a rate of jobs. A team that sends many times its usual gets its share
//! served in turn with the other teams, and the rest from what they leave idle.

use crate::collections::IndexMap;
use crate::id;
use crate::unit::{Span, Time};

/// How long a team may send at more than its share before its jobs count as beyond
/// it, if it has sent nothing before. A burst of some seconds at twice the usual
/// isn't held against a team.
pub(crate) const BURST_WINDOW: Span = Span::from_secs(5);

/// A whole job, in the units of the buckets: thousandths of a job.
const JOB: u64 = 1_000;

/// A token bucket for each team.
#[derive(Debug, Default, Clone)]
pub struct Shares {
    buckets: IndexMap<id::Team, Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// The jobs that may be sent at once, in thousandths.
    tokens: u64,
    updated_at: Time,
}

impl Shares {
    /// Takes a job off a team's share, given in thousandths of a job per second;
    /// false if the job lies beyond it.
    ///
    /// ```
    /// use gentianlane::fleet::team::Shares;
    /// use gentianlane::unit::Time;
    /// let (mut shares, now) = (Shares::default(), Time::from_millis(1));
    /// let within = (0..100).filter(|_| shares.take(&"a".into(), 2_000, now)).count();
    /// assert_eq!(within, 10);
    /// ```
    pub fn take(&mut self, team: &id::Team, share_permille: u64, now: Time) -> bool {
        if share_permille == 0 {
            return true;
        }
        let depth =
            (share_permille.saturating_mul(BURST_WINDOW.as_millis()) / 1_000).max(JOB);
        let full = Bucket {
            tokens: depth,
            updated_at: now,
        };
        let bucket = self.buckets.entry(team.clone()).or_insert(full);
        let elapsed = now.since(bucket.updated_at).as_millis();
        let refill = elapsed.saturating_mul(share_permille) / 1_000;
        if refill > 0 {
            bucket.tokens = bucket.tokens.saturating_add(refill).min(depth);
            bucket.updated_at = now;
        }
        let within = bucket.tokens >= JOB;
        if within {
            bucket.tokens -= JOB;
        }
        within
    }

    /// Forgets the teams that a plan doesn't have.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&id::Team) -> bool) {
        self.buckets.retain(|team, _| is_kept(team));
    }
}
