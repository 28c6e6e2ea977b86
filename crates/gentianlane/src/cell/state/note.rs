//! Release notes and the replicas of the services that they declare.

use indexmap::IndexMap;

use crate::api::{NoteReply, Reply};
use crate::cell::{AfterStop, Event, Job, Phase, Spec, State};
use crate::id;
use crate::note::Note;
use crate::place::Kind;
use crate::unit::Wall;
use crate::verdict::Reason;

impl State {
    /// Accepts or refuses a release note, and adjusts the number of replicas if
    /// another revision came into force.
    pub(super) fn apply_note(&mut self, note: &Note, events: &mut Vec<Event>) -> Reply {
        let before = self.catalog.revision();
        let ruling = self.catalog.apply(note);
        if self.catalog.revision() != before {
            events.push(Event::NotesChanged);
            self.reconcile_services(events);
        }
        Reply::Note(NoteReply {
            digest: note.digest(),
            ruling,
        })
    }

    /// Opens and closes replicas until each service has as many as the notes in
    /// force ask for. Replicas with an outdated specification stay for now and
    /// are replaced by a rolling update.
    fn reconcile_services(&mut self, events: &mut Vec<Event>) {
        let mut existing: IndexMap<id::Workload, Vec<id::Job>> = IndexMap::new();
        let is_active_replica = |job: &Job| {
            job.key.is_none()
                && !matches!(job.phase, Phase::Stopping(AfterStop::Close(_)))
        };
        for (&id, job) in self.jobs.iter().filter(|(_, job)| is_active_replica(job)) {
            existing
                .entry(job.spec.workload.clone())
                .or_default()
                .push(id);
        }
        let mut missing = Vec::new();
        for (name, workload) in self.catalog.workloads() {
            if workload.kind != Kind::Service {
                continue;
            }
            let wanted = workload.count as usize;
            let jobs = existing.get_mut(name);
            let have = jobs.as_ref().map_or(0, |jobs| jobs.len());
            if let Some(jobs) = jobs {
                jobs.drain(..wanted.min(have));
            }
            let spec = Spec::new(name, workload, &workload.team);
            self.updating_services.insert(name.clone());
            for _ in have..wanted {
                missing.push(Spec {
                    count: 1,
                    ..spec.clone()
                });
            }
        }
        for job in existing.into_values().flatten() {
            self.stop(job, AfterStop::Close(Reason::Withdrawn), events);
        }
        for spec in missing {
            self.open_job(None, spec, None, events);
        }
    }

    /// Adds a waiting job and returns its number.
    pub(super) fn open_job(
        &mut self,
        key: Option<id::Key>,
        spec: Spec,
        deadline: Option<Wall>,
        events: &mut Vec<Event>,
    ) -> id::Job {
        self.last_job = id::Job(self.last_job.0 + 1);
        if key.is_some() {
            *self.open_requests.entry(spec.team.clone()).or_default() += 1;
        }
        let job = Job {
            key,
            spec,
            deadline,
            attempt: id::Attempt(0),
            may_have_run: false,
            attempts_used: 0,
            consecutive_failures: 0,
            phase: Phase::Waiting,
            slots: Vec::new(),
        };
        self.jobs.insert(self.last_job, job);
        events.push(Event::JobQueued(self.last_job));
        self.last_job
    }
}
