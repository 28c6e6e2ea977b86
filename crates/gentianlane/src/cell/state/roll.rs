//! The replacement of replicas that stand as an earlier note had them.

use crate::cell::{AfterStop, Event, Job, Phase, Spec, State};
use crate::id;
use crate::place::Kind;
use crate::verdict::Reason;

/// One replica in this many, at least one, is away at once.
const SHARE: usize = 10;

/// Replicas of one service, by how they stand.
#[derive(Default)]
struct Census {
    /// Outdated and without a worker.
    waiting: Vec<id::Job>,
    /// Outdated and running.
    running: Vec<id::Job>,
    /// Up to date, but not running yet.
    coming: usize,
    /// Being stopped for good.
    going: usize,
}

impl State {
    /// Goes on with replacing replicas, if something has changed for them.
    pub(super) fn roll(&mut self, events: &mut Vec<Event>) {
        let matters = |event: &Event| {
            matches!(
                event,
                Event::NotesChanged | Event::JobStarted(_) | Event::JobFinished(_)
            )
        };
        if self.rolling.is_empty() || !events.iter().any(matters) {
            return;
        }
        for name in std::mem::take(&mut self.rolling) {
            if self.replace(&name, events) {
                self.rolling.insert(name);
            }
        }
    }

    /// Replaces as many replicas of a service as may be away at once; false
    /// once all are up to date.
    fn replace(&mut self, name: &id::Workload, events: &mut Vec<Event>) -> bool {
        let Some(workload) = self.book.workload(name) else {
            return false;
        };
        if workload.kind != Kind::Service {
            return false;
        }
        let limit = (workload.count as usize / SHARE).max(1);
        let spec = Spec {
            count: 1,
            ..Spec::new(name, workload, &workload.team)
        };
        let census = self.census(&spec);
        let away = census.coming.max(census.going);
        let room = limit.saturating_sub(away);
        let left = census.running.len() > room;
        let running = census.running.into_iter().take(room);
        for job in census.waiting.into_iter().chain(running) {
            self.stop(job, AfterStop::Close(Reason::Withdrawn), events);
            self.open(None, spec.clone(), None, events);
        }
        left
    }

    fn census(&self, spec: &Spec) -> Census {
        let mut census = Census::default();
        let replicas = self
            .jobs
            .iter()
            .filter(|(_, job)| job.key.is_none() && job.spec.workload == spec.workload);
        for (&id, job) in replicas {
            match job.phase {
                Phase::Stopping(AfterStop::Close(_)) => census.going += 1,
                Phase::Waiting if is_outdated(job, spec) => census.waiting.push(id),
                _ if is_outdated(job, spec) => census.running.push(id),
                Phase::Running => {}
                Phase::Waiting | Phase::Stopping(_) => census.coming += 1,
            }
        }
        census
    }
}

/// Whether a replica can't go on as it is under another specification.
fn is_outdated(job: &Job, spec: &Spec) -> bool {
    let what = |spec: &Spec| (spec.size, spec.idempotent, spec.kind);
    what(&job.spec) != what(spec)
        || job.spec.payload != spec.payload
        || job.spec.team != spec.team
}
