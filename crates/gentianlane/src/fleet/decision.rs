//! The leader's decisions and what it learns about workers, for the log.

use derive_more::Display;
use std::net::SocketAddr;

use crate::fleet::call::Refusal;
use crate::fleet::job::{Id, Phase, Resources, Stage, Task};
use crate::fleet::order::{Outcome, Reason};
use crate::fleet::worker::Incarnation;
use crate::id;
use crate::unit::{Span, Time};

/// A decision or observation with its reasons, shown as `key=value` pairs.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Decision {
    /// A job was accepted and is proposed to the log.
    #[display(
        "event=accepted job={job} queue={queue} tasks={tasks} plan={plan} waiting={waiting}"
    )]
    Accepted {
        /// The id of the job.
        job: Id,
        /// The name of the job's queue.
        queue: String,
        /// The number of tasks in one occurrence of the job.
        tasks: u32,
        /// The version of the plan in force.
        plan: u64,
        /// The number of jobs that were open already.
        waiting: usize,
    },
    /// A job was refused admission.
    #[display("event=refused job={job} queue={queue} reason=\"{reason}\" retry_ms={}", retry_after.as_millis())]
    Refused {
        /// The id of the job.
        job: Id,
        /// The name of the job's queue.
        queue: String,
        /// Why the job was refused.
        reason: Refusal,
        /// How long the caller is told to wait before it submits again.
        retry_after: Span,
    },
    /// A job has completed or failed, or was cancelled.
    #[display("event=over job={job} phase={phase}")]
    JobFinished {
        /// The id of the job.
        job: Id,
        /// The job's final phase.
        phase: Phase,
    },
    /// A job was cancelled that isn't known; a submission that arrives later is rejected.
    #[display("event=cancelled_unknown job={job}")]
    UnknownJobCancelled {
        /// The id of the job.
        job: Id,
    },
    /// A submission was rejected, as its job had been cancelled before.
    #[display("event=submission_rejected job={job} why=cancelled")]
    SubmissionRejected {
        /// The id of the job.
        job: Id,
    },
    /// An order to start a task was sent to a worker.
    #[display("event=start task={task} run={run} life={incarnation} heard_ms={} lease_ms={} try={attempt}", since_answer.as_millis(), lease.as_millis())]
    Start {
        /// The task to start.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The incarnation of the worker.
        incarnation: Incarnation,
        /// The time since the worker's last answer.
        since_answer: Span,
        /// The remaining time of the worker's lease.
        lease: Span,
        /// How many times this start has been sent, this time included.
        attempt: u32,
    },
    /// A worker refused to start a task, or can't have received the order.
    #[display(
        "event=start_refused task={task} run={run} worker={worker} reason={reason}"
    )]
    StartRefused {
        /// The task that wasn't started.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The worker that the start was sent to.
        worker: id::Worker,
        /// Why the task wasn't started.
        reason: Reason,
    },
    /// A start got no answer, so that it may be carried out seconds later.
    #[display("event=start_unanswered task={task} run={run} worker={worker} binds_ms={}", binds.as_millis())]
    StartUnanswered {
        /// The task that may start.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The worker that the start was sent to.
        worker: id::Worker,
        /// How long from now the task may run on no other worker.
        binds: Span,
    },
    /// A run that an earlier leader started was adopted.
    #[display("event=adopt task={task} run={run} worker={worker}")]
    Adopt {
        /// The task that runs.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The worker that runs the task.
        worker: id::Worker,
    },
    /// An order to stop a run is sent to a worker.
    #[display("event=stop task={task} run={run} worker={worker} why={cause}")]
    Stop {
        /// The task to stop.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The worker that runs the task.
        worker: id::Worker,
        /// Why the run is stopped.
        cause: Cause,
    },
    /// A worker reported the end of a run.
    #[display(
        "event=end task={task} run={run} worker={worker} how={outcome} number={sequence}"
    )]
    End {
        /// The task that ran.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The worker that ran the task.
        worker: id::Worker,
        /// Whether the run succeeded, or why it ended otherwise.
        outcome: Outcome,
        /// The sequence number of the ended run at the worker.
        sequence: u64,
    },
    /// A run can't be active any more, although no worker reported its end.
    #[display("event=gone task={task} run={run} worker={worker} why={cause} heard_ms={} lease_ms={} drains={drains} leaves={leaves}", since_answer.as_millis(), lease.as_millis())]
    RunLost {
        /// The task that ran.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The worker that the run was on.
        worker: id::Worker,
        /// Why the run can't be active any more.
        cause: Cause,
        /// The time since the worker's last answer.
        since_answer: Span,
        /// The longest time for which its lease may still last.
        lease: Span,
        /// Whether the worker had reported that it drains.
        drains: bool,
        /// Whether it had announced that its process ends.
        leaves: bool,
    },
    /// A worker lists a run of a task that is placed elsewhere: the task may have run
    /// twice at a time.
    #[display(
        "level=WARN event=second_run task={task} run={run} worker={worker} other_run={other_run} other_worker={other_worker}"
    )]
    SecondRun {
        /// The task.
        task: Task,
        /// The run that is listed.
        run: u64,
        /// The worker that lists it.
        worker: id::Worker,
        /// The run for which the task is placed.
        other_run: u64,
        /// The worker where that is.
        other_worker: id::Worker,
    },
    /// Workers are kept for the trial of a task under which others have crashed.
    #[display("event=trial_chosen task={task} worker={worker} workers={workers} clear_in_ms={}", clear_in.as_millis())]
    TrialChosen {
        /// The task, or the first member of the gang.
        task: Task,
        /// The worker, or the first of a gang's.
        worker: id::Worker,
        /// The number of workers.
        workers: usize,
        /// The time after which nothing else on them could be blamed for a crash.
        clear_in: Span,
    },
    /// A trial was given up, as the task wasn't started in time.
    #[display("level=WARN event=trial_lapsed task={task} worker={worker}")]
    TrialLapsed {
        /// The task, or the first member of the gang.
        task: Task,
        /// The worker that was kept for it, or the first of a gang's.
        worker: id::Worker,
    },
    /// The adviser answered a request.
    #[display("event=advice stage={stage} asked={asked} eligible={eligible} took_ms={}", elapsed.as_millis())]
    Advice {
        /// The stage to be placed.
        stage: Stage,
        /// The number of workers in the request.
        asked: usize,
        /// The number of workers that may run the stage's tasks.
        eligible: usize,
        /// The time from the request to the answer.
        elapsed: Span,
    },
    /// Tasks of a stage wait because no worker that may run them has room.
    #[display("event=blocked stage={stage} pending={pending} able={feasible} eligible={eligible} waited_ms={} slack_ms={slack}", waited.as_millis())]
    Blocked {
        /// The blocked stage.
        stage: Stage,
        /// The number of tasks that wait.
        pending: usize,
        /// The number of available workers that could run the tasks if they
        /// had room.
        feasible: usize,
        /// The number of workers that the adviser allows; zero if it hasn't
        /// answered or isn't needed.
        eligible: usize,
        /// The time that the job's caller has waited.
        waited: Span,
        /// How much longer the stage can wait without making its job late, in
        /// milliseconds; negative if it is late already.
        slack: i64,
    },
    /// An advice request got no answer.
    #[display("event=advice_lost stage={stage} took_ms={}", elapsed.as_millis())]
    AdviceLost {
        /// The stage to be placed.
        stage: Stage,
        /// The time since the request.
        elapsed: Span,
    },
    /// A worker answered for the first time, or again after a silence.
    #[display("event=worker_heard life={incarnation} running={running} clock_ms={} lease_ms={}", clock.as_millis(), lease.as_millis())]
    WorkerResponsive {
        /// The incarnation that answered.
        incarnation: Incarnation,
        /// The number of active runs that it reported.
        running: usize,
        /// The time on the worker's clock, which may begin anywhere.
        clock: Time,
        /// The longest time for which its lease may last, by what this leader knows.
        lease: Span,
    },
    /// A worker stopped answering.
    #[display("event=worker_silent life={incarnation} why={cause} lease_ms={}", lease.as_millis())]
    WorkerSilent {
        /// The incarnation that doesn't answer.
        incarnation: Incarnation,
        /// What became of the order.
        cause: Cause,
        /// The longest time for which its lease may still last.
        lease: Span,
    },
    /// A report changes nothing, as what it claims isn't shown to be true.
    #[display("event=report_rejected life={incarnation} address={address} why={cause}")]
    ReportRejected {
        /// The incarnation that the report names.
        incarnation: Incarnation,
        /// The address that it gives.
        address: SocketAddr,
        /// What was found instead.
        cause: Cause,
    },
    /// A worker announced that its process ends.
    #[display("event=worker_leaving life={incarnation} drained={drained} runs={runs}")]
    WorkerLeaving {
        /// The incarnation that ends.
        incarnation: Incarnation,
        /// Whether it had reported before that it drains.
        drained: bool,
        /// The number of runs that it may still have.
        runs: usize,
    },
    /// A worker's incarnation has ended, and its runs with it.
    #[display("event=worker_gone life={incarnation} why={cause} known_ms={} heard_ms={}", known.as_millis(), since_answer.as_millis())]
    WorkerGone {
        /// The incarnation that has ended.
        incarnation: Incarnation,
        /// What shows that it has ended.
        cause: Cause,
        /// How long this leader has known that.
        known: Span,
        /// The time since the incarnation's last answer.
        since_answer: Span,
    },
    /// An incarnation that counted as ended has sent a report.
    #[display("level=WARN event=worker_alive life={incarnation} why={cause} gone_ms={}", since.as_millis())]
    WorkerAlive {
        /// The incarnation.
        incarnation: Incarnation,
        /// What seemed to show that it had ended.
        cause: Cause,
        /// How long ago its runs were released.
        since: Span,
    },
    /// A worker's incarnation ended without having announced it.
    #[display("event=worker_crashed life={incarnation} why={cause} runs={runs}")]
    WorkerCrashed {
        /// The incarnation that crashed.
        incarnation: Incarnation,
        /// How the leader learnt of it.
        cause: Cause,
        /// The number of runs that were lost.
        runs: usize,
    },
    /// A run was lost in the crash of its worker.
    #[display("event=run_crashed task={task} run={run} worker={worker} ran_ms={}", ran.as_millis())]
    RunCrashed {
        /// The task that ran, or was to be started.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The worker that crashed.
        worker: id::Worker,
        /// The time from the run's start to the worker's last answer.
        ran: Span,
    },
    /// A task was charged with the crash of a worker; at enough points it is given up,
    /// and its job fails.
    #[display(
        "event=task_suspected task={task} crashes={crashes} points={points} given_up={given_up}"
    )]
    TaskSuspected {
        /// The task; for a gang its first member.
        task: Task,
        /// How many workers crashed under it.
        crashes: u32,
        /// The weight of these crashes.
        points: u32,
        /// Whether the task is given up.
        given_up: bool,
    },
    /// A worker reported a capacity other than before.
    #[display(
        "event=capacity_changed life={incarnation} from={from} to={to} used={used}"
    )]
    CapacityChanged {
        /// The incarnation that reported it.
        incarnation: Incarnation,
        /// The capacity before.
        from: Resources,
        /// The capacity from now on.
        to: Resources,
        /// What its runs use.
        used: Resources,
    },
    /// A worker gets no new tasks for a time.
    #[display("event=worker_avoided worker={worker} why={cause} for_ms={}", duration.as_millis())]
    WorkerAvoided {
        /// The worker to avoid.
        worker: id::Worker,
        /// Why the worker is avoided.
        cause: Cause,
        /// How long the worker is avoided.
        duration: Span,
    },
    /// A run has failed on a worker, which takes one probe at a time until one shows that
    /// it is sound.
    #[display("event=worker_on_probation worker={worker} task={task} failures={failures} pause_ms={}", pause.as_millis())]
    WorkerOnProbation {
        /// The worker.
        worker: id::Worker,
        /// The task whose run has failed.
        task: Task,
        /// How many failures count against the worker.
        failures: u32,
        /// How long the worker takes no probe; zero if it may take one at once.
        pause: Span,
    },
    /// A run has shown that a worker on probation is sound.
    #[display("event=worker_sound worker={worker} why={soundness}")]
    WorkerSound {
        /// The worker.
        worker: id::Worker,
        /// What the run has done.
        soundness: Soundness,
    },
    /// A stage waits for a place where its tasks run faster than where there is room.
    #[display("event=waits_for_place stage={stage} here_ms={} there_ms={} free_in_ms={} limit_ms={}", here.as_millis(), there.as_millis(), free_in.as_millis(), limit.as_millis())]
    WaitsForPlace {
        /// The stage that waits.
        stage: Stage,
        /// How long a task would run at the best place that is free.
        here: Span,
        /// How long it would run at the better place.
        there: Span,
        /// When that is likely to be free.
        free_in: Span,
        /// How long it waits at most.
        limit: Span,
    },
    /// Tasks of a stage wait because their team runs as much as it may.
    #[display(
        "event=held_by_limit stage={stage} team={team} pending={pending} used={used}"
    )]
    HeldByLimit {
        /// The stage that waits.
        stage: Stage,
        /// The team that owns the job.
        team: id::Team,
        /// The number of tasks that wait.
        pending: usize,
        /// What the team's runs use.
        used: Resources,
    },
    /// A team's job was refused admission.
    #[display("event=team_refused job={job} queue={queue} team={team} reason=\"{reason}\" retry_ms={}", retry_after.as_millis())]
    TeamRefused {
        /// The id of the job.
        job: Id,
        /// The name of the job's queue.
        queue: String,
        /// The team whose caller submitted it.
        team: id::Team,
        /// Why the job was refused.
        reason: Refusal,
        /// How long the caller is told to wait before it submits again.
        retry_after: Span,
    },
    /// A job was accepted for a team.
    #[display("event=owned job={job} team={team} beyond_share={beyond_share}")]
    Owned {
        /// The id of the job.
        job: Id,
        /// The team whose caller submitted it.
        team: id::Team,
        /// Whether it lies beyond the team's share.
        beyond_share: bool,
    },
    /// A call to a queue was rejected, as no team has its key.
    #[display("event=unauthorized queue={queue}")]
    Unauthorized {
        /// The name of the queue.
        queue: String,
    },
    /// What placement has cost in the last second, if steps waited.
    #[display(
        "event=placement inputs={inputs} passes={passes} waiting={waiting_steps} examined={examined}"
    )]
    Placement {
        /// The inputs that called for a placement pass.
        inputs: u64,
        /// The passes over the waiting steps.
        passes: u64,
        /// The most steps that waited in one pass.
        waiting_steps: usize,
        /// The pairs of step and worker that were examined.
        examined: u64,
    },
    /// The best-effort tasks on a worker are throttled to another share.
    #[display("event=pace worker={worker} percent={percent} tail_ms={} limit_ms={}", tail.as_millis(), limit.as_millis())]
    Throttle {
        /// The worker that the tasks run on.
        worker: id::Worker,
        /// The tasks' new share of processor time, in percent.
        percent: u8,
        /// The tail response time of the long-running task beside them.
        tail: Span,
        /// The limit on that tail response time.
        limit: Span,
    },
}

impl Decision {
    /// The counter that tells how often this has happened; none if it has no counter.
    ///
    /// ```
    /// use gentianlane::fleet::decision::Decision;
    /// let unauthorized = Decision::Unauthorized { queue: "q".to_owned() };
    /// assert_eq!(unauthorized.counter(), None);
    /// ```
    #[must_use]
    pub const fn counter(&self) -> Option<&'static str> {
        match self {
            Self::RunLost { cause, .. } => Some(match cause {
                Cause::LeaseExpired => "runs_lost_lease_over",
                Cause::NotListed => "runs_lost_not_listed",
                Cause::OtherIncarnation => "runs_lost_other_life",
                Cause::Left => "runs_lost_left",
                Cause::Unsent | Cause::Unreachable => "runs_lost_unsent",
                _ => "runs_lost_other",
            }),
            Self::SecondRun { .. } => Some("second_runs"),
            Self::WorkerAlive { .. } => Some("workers_alive"),
            Self::UnknownJobCancelled { .. } => Some("cancelled_unknown"),
            Self::SubmissionRejected { .. } => Some("submissions_rejected"),
            _ => None,
        }
    }
}

/// The cause of a decision, or how the leader learnt of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cause {
    /// The run's job has finished.
    #[display("job_over")]
    JobFinished,
    /// The run isn't the task's current one.
    #[display("superseded")]
    Superseded,
    /// Another member of the task's gang doesn't run.
    #[display("gang_incomplete")]
    GangIncomplete,
    /// The order wasn't answered.
    #[display("no_answer")]
    NoAnswer,
    /// The start was never sent, and the worker can't take the task any more.
    #[display("unsent")]
    Unsent,
    /// The task makes no progress.
    #[display("stands_still")]
    NoProgress,
    /// The task is several times slower than before.
    #[display("slow")]
    Slow,
    /// The worker is draining.
    #[display("draining")]
    Draining,
    /// The worker announced that its process ends.
    #[display("leaving")]
    Leaving,
    /// More urgent tasks need the resources.
    #[display("preempted")]
    Preempted,
    /// The worker's lease has expired.
    #[display("lease_over")]
    LeaseExpired,
    /// The worker's status doesn't list the run.
    #[display("not_listed")]
    NotListed,
    /// Another worker or incarnation answers at the address.
    #[display("other_life")]
    OtherIncarnation,
    /// The report's sequence number is higher than the worker can have reached.
    #[display("sequence_gap")]
    SequenceGap,
    /// The plan names no such pool.
    #[display("unknown_pool")]
    UnknownPool,
    /// No connection could be opened.
    #[display("unreachable")]
    Unreachable,
    /// The connection was refused.
    #[display("connection_refused")]
    ConnectionRefused,
    /// The worker ended without having announced it.
    #[display("crashed")]
    Crashed,
    /// The worker announced that its process ends, and nothing listens at its address.
    #[display("left")]
    Left,
    /// The worker has sent no report for a long time.
    #[display("unreported")]
    Unreported,
    /// The worker refused to renew its lease.
    #[display("refusals")]
    Refusals,
}

/// How a run has shown that its worker is sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Soundness {
    /// It has completed.
    #[display("completed")]
    Completed,
    /// It has been active for a while without failing.
    #[display("lasted")]
    Lasted,
}
