//! What a leader decided or came to believe, for the log.

use derive_more::Display;

use crate::fleet::call::Refusal;
use crate::fleet::job::{Id, Phase, Stage, Task};
use crate::fleet::order::{Outcome, Reason};
use crate::fleet::worker::Incarnation;
use crate::id;
use crate::unit::Span;

/// One decision with what it was based on, shown as pairs of key and value.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Decision {
    /// A job is stored.
    #[display(
        "event=accepted job={job} queue={queue} tasks={tasks} plan={plan} waiting={waiting}"
    )]
    Accepted {
        /// The job.
        job: Id,
        /// Its queue.
        queue: String,
        /// How many tasks it has.
        tasks: u32,
        /// The plan's version.
        plan: u64,
        /// How many jobs waited already.
        waiting: usize,
    },
    /// A job was turned away.
    #[display("event=refused job={job} queue={queue} reason=\"{reason}\" retry_ms={}", retry.as_millis())]
    Refused {
        /// The job.
        job: Id,
        /// Its queue.
        queue: String,
        /// Why.
        reason: Refusal,
        /// When it may come back.
        retry: Span,
    },
    /// A job is over.
    #[display("event=over job={job} phase={phase}")]
    JobFinished {
        /// The job.
        job: Id,
        /// How it ended.
        phase: Phase,
    },
    /// A task was handed to a worker.
    #[display("event=start task={task} run={run} life={incarnation} heard_ms={} lease_ms={} try={tries}", heard.as_millis(), lease.as_millis())]
    Start {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// The worker's life.
        incarnation: Incarnation,
        /// How long ago the worker was last heard.
        heard: Span,
        /// How long its lease still lasts.
        lease: Span,
        /// How often this start was sent.
        tries: u32,
    },
    /// A start didn't come about.
    #[display(
        "event=start_refused task={task} run={run} worker={worker} reason={reason}"
    )]
    StartRefused {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// The worker.
        worker: id::Worker,
        /// Why.
        reason: Reason,
    },
    /// A run that an earlier leader started was taken over.
    #[display("event=adopt task={task} run={run} worker={worker}")]
    Adopt {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// The worker.
        worker: id::Worker,
    },
    /// A run is being stopped.
    #[display("event=stop task={task} run={run} worker={worker} why={cause}")]
    Stop {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// The worker.
        worker: id::Worker,
        /// Why.
        cause: Cause,
    },
    /// A run has ended.
    #[display(
        "event=end task={task} run={run} worker={worker} how={outcome} number={number}"
    )]
    End {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// The worker.
        worker: id::Worker,
        /// How it ended.
        outcome: Outcome,
        /// The end's number at the worker.
        number: u64,
    },
    /// A run is gone without an end that anyone has told.
    #[display("event=gone task={task} run={run} worker={worker} why={cause}")]
    RunLost {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// The worker.
        worker: id::Worker,
        /// Why it can't run any more.
        cause: Cause,
    },
    /// Advice came for a step.
    #[display("event=advice stage={stage} asked={asked} eligible={eligible} took_ms={}", took.as_millis())]
    Advice {
        /// The step.
        stage: Stage,
        /// How many workers were asked about.
        asked: usize,
        /// How many may run it.
        eligible: usize,
        /// How long the answer took.
        took: Span,
    },
    /// Tasks of a step wait, as no worker that may run them has room.
    #[display("event=blocked stage={stage} pending={pending} able={able} eligible={eligible} waited_ms={} slack_ms={slack}", waited.as_millis())]
    Blocked {
        /// The step.
        stage: Stage,
        /// How many tasks wait.
        pending: usize,
        /// How many sound workers may run them.
        able: usize,
        /// How many workers advice allows; zero where none is needed.
        eligible: usize,
        /// How long the job's caller has waited.
        waited: Span,
        /// How long the step can still wait for the job to be in time, in
        /// milliseconds.
        slack: i64,
    },
    /// A question for advice found no answer.
    #[display("event=advice_lost stage={stage} took_ms={}", took.as_millis())]
    AdviceLost {
        /// The step.
        stage: Stage,
        /// How long it was waited for.
        took: Span,
    },
    /// A worker's answers have come back, or came for the first time.
    #[display("event=worker_heard life={incarnation} running={running}")]
    WorkerResponsive {
        /// The life.
        incarnation: Incarnation,
        /// How many runs it told.
        running: usize,
    },
    /// A worker stopped answering.
    #[display("event=worker_silent life={incarnation} lease_ms={}", lease.as_millis())]
    WorkerSilent {
        /// The life.
        incarnation: Incarnation,
        /// How long its lease may still last.
        lease: Span,
    },
    /// A life is over.
    #[display("event=worker_gone life={incarnation} why={cause}")]
    WorkerGone {
        /// The life.
        incarnation: Incarnation,
        /// How that is known.
        cause: Cause,
    },
    /// A worker gets no work for a while.
    #[display("event=worker_avoided worker={worker} why={cause} for_ms={}", span.as_millis())]
    WorkerAvoided {
        /// The worker.
        worker: id::Worker,
        /// Why.
        cause: Cause,
        /// For how long.
        span: Span,
    },
    /// Tasks that fill a worker's idle time work at another share.
    #[display("event=pace worker={worker} percent={percent} tail_ms={} limit_ms={}", tail.as_millis(), limit.as_millis())]
    Throttle {
        /// The worker.
        worker: id::Worker,
        /// The share, in percent.
        percent: u8,
        /// The tail of the serving task's response times.
        tail: Span,
        /// The limit that it must keep.
        limit: Span,
    },
}

/// What a decision rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cause {
    /// The job is over.
    #[display("job_over")]
    JobFinished,
    /// The run isn't the task's present one.
    #[display("superseded")]
    Superseded,
    /// Another member of the gang isn't there.
    #[display("gang_incomplete")]
    GangIncomplete,
    /// No answer to the start came.
    #[display("no_answer")]
    NoAnswer,
    /// The task makes no progress.
    #[display("stands_still")]
    NoProgress,
    /// The task is several times slower than it was.
    #[display("slow")]
    Slow,
    /// The worker is being emptied.
    #[display("draining")]
    Draining,
    /// More urgent work needs the room.
    #[display("preempted")]
    Preempted,
    /// The lease has ended.
    #[display("lease_over")]
    LeaseExpired,
    /// The worker doesn't list the run any more.
    #[display("not_listed")]
    NotListed,
    /// Another life answers at the address.
    #[display("other_life")]
    OtherIncarnation,
    /// Nothing listens at the address.
    #[display("unreachable")]
    Unreachable,
    /// The worker said that it leaves.
    #[display("left")]
    Left,
    /// No report came for long.
    #[display("unreported")]
    Unreported,
    /// Runs of unlike jobs failed there.
    #[display("failures")]
    Failures,
    /// The worker refused orders.
    #[display("refusals")]
    Refusals,
}
