//! Answers to operators' queries: workers, jobs, members and notes in force.

use crate::api::{
    Explanation, JobView, MemberView, NodeRevision, NoteStatus, Refusal, Reply,
    WorkerView,
};
use crate::cell::{Job, Node, Phase};
use crate::id;
use crate::unit::Time;
use crate::verdict::Reason;

impl Node {
    pub(super) fn note_status(&self) -> Reply {
        let applied = self.consensus.applied_index();
        let local = NodeRevision {
            node: self.consensus.id(),
            applied,
            in_force: true,
        };
        let peers = self.consensus.peers().map(|(node, stored)| NodeRevision {
            node,
            applied: stored.min(applied),
            in_force: stored >= applied,
        });
        let nodes = std::iter::once(local).chain(peers).collect();
        Reply::NoteStatus(NoteStatus {
            revision: self.state.catalog().revision(),
            nodes,
        })
    }

    pub(super) fn workers(&self) -> Reply {
        let workers = self.state.ledger().iter().map(|(name, worker)| WorkerView {
            worker: name.clone(),
            incarnation: worker.incarnation,
            domain: worker.domain.clone(),
            rack: worker.rack.clone(),
            size: worker.size,
            reserved: worker.reserved(),
            draining: worker.draining,
            tasks: u32::try_from(self.state.reserved_tokens(name).count())
                .unwrap_or(u32::MAX),
        });
        Reply::Workers(workers.collect())
    }

    pub(super) fn jobs(&self) -> Reply {
        let jobs = self.state.jobs().map(|(id, job)| JobView {
            job: id,
            key: job.key,
            team: job.spec.team.clone(),
            workload: job.spec.workload.clone(),
            kind: job.spec.kind,
            attempt: job.attempt,
            workers: job
                .reserved_workers()
                .map(|(_, name, _)| name.clone())
                .collect(),
        });
        Reply::Jobs(jobs.collect())
    }

    pub(super) fn explain(&self, id: id::Job, now: Time) -> Reply {
        let Some(job) = self.state.job(id) else {
            let detail = format!("job {id} has ended or never existed");
            return Reply::Refused(Refusal::not_run(Reason::Malformed, detail));
        };
        let workers = job
            .reserved_workers()
            .map(|(_, name, _)| name.clone())
            .collect();
        let summary = self.summary(id, job, now);
        Reply::Explain(Explanation {
            job: id,
            summary,
            workers,
        })
    }

    fn summary(&self, id: id::Job, job: &Job, now: Time) -> String {
        let attempt = job.attempt;
        match job.phase {
            Phase::Waiting => {
                let why = self
                    .leader
                    .as_ref()
                    .and_then(|leader| leader.explain(id, now));
                why.unwrap_or_else(|| "is about to start".to_owned())
            }
            Phase::Running => format!("runs as attempt {attempt}"),
            Phase::Stopping(_) => format!("attempt {attempt} is being stopped"),
        }
    }

    pub(super) fn members(&self) -> Reply {
        let term = self.consensus.term();
        let voters = self.consensus.voters();
        let local = MemberView {
            node: self.consensus.id(),
            voter: voters.contains(self.consensus.id()),
            leader: true,
            term,
            stored: self.consensus.last_index(),
        };
        let peers = self.consensus.peers().map(|(node, stored)| MemberView {
            node,
            voter: voters.contains(node),
            leader: false,
            term,
            stored,
        });
        Reply::Members(std::iter::once(local).chain(peers).collect())
    }
}
