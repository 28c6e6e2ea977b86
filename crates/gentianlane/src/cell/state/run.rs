//! The lifecycle of jobs: start, end of tasks, preemption and closing.

use crate::api::{Ending, Finish, Output, Reply};
use crate::cell::job::Disposition;
use crate::cell::{AfterStop, Event, Job, Phase, Slot, State};
use crate::id;
use crate::verdict::{Outcome, Reason};

impl State {
    /// Starts a job if it still waits and all chosen workers still have room.
    /// Otherwise the start is rejected and nothing is reserved.
    pub(super) fn start(
        &mut self,
        id: id::Job,
        attempt: id::Attempt,
        workers: Vec<(id::Worker, id::Incarnation)>,
        events: &mut Vec<Event>,
    ) -> Reply {
        if !self.is_valid_start(id, attempt, &workers) {
            events.push(Event::StartRejected(id));
            return Reply::Done;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return Reply::Done;
        };
        let names: Vec<id::Worker> =
            workers.iter().map(|(name, _)| name.clone()).collect();
        if self.ledger.reserve(&names, &job.spec.size).is_err() {
            events.push(Event::StartRejected(id));
            return Reply::Done;
        }
        job.attempt = attempt;
        job.phase = Phase::Running;
        job.slots = workers
            .into_iter()
            .map(|(name, incarnation)| Slot::Reserved(name, incarnation))
            .collect();
        for (rank, name) in names.into_iter().enumerate() {
            let token = job.token(id, rank);
            self.reserved_tokens
                .entry(name.clone())
                .or_default()
                .insert(token);
            events.push(Event::OrdersQueued(name));
        }
        events.push(Event::JobStarted(id));
        Reply::Done
    }

    /// Whether the job waits, the attempt is its next one, there is a worker
    /// for each task, and all of them still have the incarnations given.
    fn is_valid_start(
        &self,
        id: id::Job,
        attempt: id::Attempt,
        workers: &[(id::Worker, id::Incarnation)],
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let is_current = |(name, incarnation): &(id::Worker, id::Incarnation)| {
            let worker = self.ledger.get(name);
            worker.is_some_and(|worker| worker.incarnation == *incarnation)
        };
        job.phase == Phase::Waiting
            && attempt.0 == job.attempt.0 + 1
            && workers.len() == job.spec.count as usize
            && workers.iter().all(is_current)
    }

    /// Records the end of a task. A report for an earlier attempt or from
    /// another worker or incarnation has no effect.
    pub(super) fn finish(&mut self, finish: Finish, events: &mut Vec<Event>) -> Reply {
        let Finish {
            worker,
            incarnation,
            token,
            ending,
            output,
        } = finish;
        let Some(job) = self.jobs.get(&token.task.job) else {
            return Reply::Done;
        };
        let output = output.capped(job.output_limit());
        let slot = job.slots.get(token.task.rank as usize);
        let reserved = Slot::Reserved(worker.clone(), incarnation);
        if job.attempt != token.attempt || slot != Some(&reserved) {
            return Reply::Done;
        }
        if let Some(tokens) = self.reserved_tokens.get_mut(&worker) {
            tokens.swap_remove(&token);
        }
        self.release(token, ending, output, events);
        Reply::Done
    }

    /// Releases a task's resources. Ends the attempt after its last task; if a
    /// task didn't succeed, the others are stopped.
    pub(super) fn release(
        &mut self,
        token: id::Token,
        ending: Ending,
        output: Output,
        events: &mut Vec<Event>,
    ) {
        let Some(job) = self.jobs.get_mut(&token.task.job) else {
            return;
        };
        let Some(slot) = job.slots.get_mut(token.task.rank as usize) else {
            return;
        };
        let Slot::Reserved(name, _) = slot else {
            return;
        };
        self.ledger.release(name, &job.spec.size);
        *slot = Slot::Ended(ending, output);
        events.push(Event::TaskEnded(token.task, ending));
        if job.all_tasks_ended() {
            self.finish_attempt(token.task.job, events);
        } else if ending != Ending::Done && job.phase == Phase::Running {
            self.stop(token.task.job, AfterStop::Requeue, events);
        }
    }

    /// Stops a job's tasks to make room for other work, if it is idempotent.
    pub(super) fn preempt(&mut self, id: id::Job, events: &mut Vec<Event>) {
        if self.jobs.get(&id).is_some_and(|job| job.spec.idempotent) {
            self.stop(id, AfterStop::Preempt, events);
        }
    }

    /// Queues a job again or ends it, after all tasks of an attempt have ended.
    fn finish_attempt(&mut self, id: id::Job, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.finish_attempt() {
            Disposition::Requeue => {
                job.phase = Phase::Waiting;
                job.slots.clear();
                events.push(Event::JobQueued(id));
            }
            Disposition::Finished(outcome) => self.finish_job(id, outcome, events),
        }
    }

    /// Removes a job and records the answer to its request.
    fn finish_job(&mut self, id: id::Job, outcome: Outcome, events: &mut Vec<Event>) {
        let Some(job) = self.jobs.swap_remove(&id) else {
            return;
        };
        events.push(Event::JobFinished(id));
        let Some(key) = job.key else {
            return;
        };
        self.remove_open_request(&job.spec.team);
        let answer = job.answer(id, key, outcome);
        self.close_record(answer.clone());
        events.push(Event::RequestAnswered(answer));
    }

    /// Subtracts one from a team's number of open requests.
    fn remove_open_request(&mut self, team: &id::Team) {
        let Some(count) = self.open_requests.get_mut(team) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.open_requests.swap_remove(team);
        }
    }

    /// Stops a running job's tasks; `after` says what happens once all have
    /// ended. If `after` closes the job, a waiting job is closed at once and one
    /// that is stopping already is closed instead of queued again. Has no effect
    /// on other jobs.
    pub(super) fn stop(
        &mut self,
        id: id::Job,
        after: AfterStop,
        events: &mut Vec<Event>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match (job.phase, after) {
            (Phase::Waiting, AfterStop::Close(reason)) => {
                let outcome = job.close_outcome(reason);
                return self.finish_job(id, outcome, events);
            }
            (Phase::Running, _) | (Phase::Stopping(_), AfterStop::Close(_))
                if !job.is_closing() =>
            {
                job.phase = Phase::Stopping(after);
            }
            (Phase::Waiting | Phase::Running | Phase::Stopping(_), _) => return,
        }
        for (_, name, _) in job.reserved_workers() {
            events.push(Event::OrdersQueued(name.clone()));
        }
    }

    /// Closes a job if it waits.
    pub(super) fn close(
        &mut self,
        id: id::Job,
        reason: Reason,
        events: &mut Vec<Event>,
    ) -> Reply {
        let waits = |job: &Job| job.phase == Phase::Waiting;
        if self.jobs.get(&id).is_some_and(waits) {
            self.stop(id, AfterStop::Close(reason), events);
        }
        Reply::Done
    }
}
