//! How crashes of workers change the state.

use crate::fleet::crash::{Ledger, Run};
use crate::fleet::job::{Phase, Task};
use crate::fleet::worker::Incarnation;
use crate::fleet::{Event, State};
use crate::unit::Wall;

impl State {
    /// The workers that may have crashed, and the tasks charged with crashes.
    pub(crate) fn crashes(&self) -> &Ledger {
        &self.crashes
    }

    /// Removes a worker that has crashed, charges the tasks that may have caused it,
    /// and gives up those that were charged too often.
    pub(super) fn record_crash(
        &mut self,
        at: Wall,
        incarnation: Incarnation,
        widespread: bool,
    ) -> Vec<Event> {
        let runs = self.crashes.clear(&incarnation).into_iter();
        let mut runs: Vec<Run> = runs
            .map(|run| Run {
                task: self.unit_task(run.task),
                ..run
            })
            .collect();
        runs.sort_by_key(|run| run.task);
        runs.dedup_by_key(|run| run.task);
        self.deregister(&incarnation);
        let mut events = vec![Event::WorkerCrashed(incarnation)];
        let suspects = self.crashes.suspects(&runs, widespread);
        let alone = !widespread && suspects.len() == 1;
        for suspect in suspects {
            if !self.is_unit_open(&suspect.task) {
                continue;
            }
            // A gang is on several workers, so that a crash hits one of its members more
            // often.
            let alone = alone && !self.is_in_gang(&suspect.task);
            let Some(suspicion) = self.crashes.charge(&suspect, alone) else {
                continue;
            };
            events.push(Event::TaskSuspected(suspect.task, suspicion));
            if suspicion.is_conclusive() {
                let job = suspect.task.stage.job;
                events.extend(self.finish_job(job, Phase::Failed, at));
            }
        }
        events
    }

    /// Whether a task has to run together with others.
    fn is_in_gang(&self, task: &Task) -> bool {
        let job = self.jobs.get(&task.stage.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.stage.step)));
        step.is_some_and(|step| step.gang && step.count > 1)
    }

    /// The task that stands for a task's unit of completion.
    fn unit_task(&self, task: Task) -> Task {
        let index = if self.is_in_gang(&task) {
            0
        } else {
            task.index
        };
        Task { index, ..task }
    }

    /// Whether a task's unit hasn't succeeded yet and its job is open.
    fn is_unit_open(&self, task: &Task) -> bool {
        let job = self.jobs.get(&task.stage.job).filter(|job| job.is_open());
        job.is_some_and(|job| {
            let step = job.spec.steps.get(usize::from(task.stage.step));
            job.is_stage_open(&task.stage)
                && step.is_some_and(|step| task.index < step.units())
                && !job.unit(&task.stage, task.index).done
        })
    }
}
