//! Rolling updates: the gradual replacement of service replicas that have an
//! earlier note's specification.

use crate::cell::{AfterStop, Event, Job, Phase, Spec, State};
use crate::id;
use crate::place::Kind;
use crate::verdict::Reason;

/// At most one replica in this many, but at least one, is unavailable at a time
/// for an update.
const UNAVAILABLE_DIVISOR: usize = 10;

/// The replicas of one service, by what an update has to do with them.
#[derive(Default)]
struct Replicas {
    /// Outdated and waiting for a worker.
    outdated_waiting: Vec<id::Job>,
    /// Outdated and running, or stopping to be queued again.
    outdated_running: Vec<id::Job>,
    /// Up to date, but not running.
    starting: usize,
    /// Stopping to be closed.
    stopping: usize,
}

impl State {
    /// Continues the rolling updates, if an event may have changed how many
    /// replicas are available.
    pub(super) fn continue_rolling_updates(&mut self, events: &mut Vec<Event>) {
        let affects_replicas = |event: &Event| {
            matches!(
                event,
                Event::NotesChanged | Event::JobStarted(_) | Event::JobFinished(_)
            )
        };
        if self.updating_services.is_empty() || !events.iter().any(affects_replicas) {
            return;
        }
        for name in std::mem::take(&mut self.updating_services) {
            if self.replace_outdated(&name, events) {
                self.updating_services.insert(name);
            }
        }
    }

    /// Replaces a service's outdated replicas: all that wait, and as many that
    /// run as may be unavailable. False if none is left to replace.
    fn replace_outdated(&mut self, name: &id::Workload, events: &mut Vec<Event>) -> bool {
        let Some(workload) = self.catalog.workload(name) else {
            return false;
        };
        if workload.kind != Kind::Service {
            return false;
        }
        let limit = (workload.count as usize / UNAVAILABLE_DIVISOR).max(1);
        let spec = Spec {
            count: 1,
            ..Spec::new(name, workload, &workload.team)
        };
        let replicas = self.replicas_of(&spec);
        let unavailable = replicas.starting.max(replicas.stopping);
        let allowed = limit.saturating_sub(unavailable);
        let has_more = replicas.outdated_running.len() > allowed;
        let outdated_running = replicas.outdated_running.into_iter().take(allowed);
        for job in replicas
            .outdated_waiting
            .into_iter()
            .chain(outdated_running)
        {
            self.stop(job, AfterStop::Close(Reason::Withdrawn), events);
            self.open_job(None, spec.clone(), None, events);
        }
        has_more
    }

    fn replicas_of(&self, spec: &Spec) -> Replicas {
        let mut replicas = Replicas::default();
        let matching = self
            .jobs
            .iter()
            .filter(|(_, job)| job.key.is_none() && job.spec.workload == spec.workload);
        for (&id, job) in matching {
            match job.phase {
                Phase::Stopping(AfterStop::Close(_)) => replicas.stopping += 1,
                Phase::Waiting if is_outdated(job, spec) => {
                    replicas.outdated_waiting.push(id);
                }
                _ if is_outdated(job, spec) => replicas.outdated_running.push(id),
                Phase::Running => {}
                Phase::Waiting | Phase::Stopping(_) => replicas.starting += 1,
            }
        }
        replicas
    }
}

/// Whether a replica has to be replaced to match a specification.
fn is_outdated(job: &Job, spec: &Spec) -> bool {
    let immutable_parts = |spec: &Spec| (spec.size, spec.idempotent, spec.kind);
    immutable_parts(&job.spec) != immutable_parts(spec)
        || job.spec.payload != spec.payload
        || job.spec.team != spec.team
}
