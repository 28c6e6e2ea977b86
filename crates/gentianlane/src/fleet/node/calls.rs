//! How the leading node handles calls from callers, workers and operators.

use crate::fleet::Command;
use crate::fleet::call::{Call, Refusal, Reply, Target};
use crate::fleet::decision::Decision;
use crate::fleet::dispatch::{Reception, Verdict};
use crate::fleet::job::{Id, Phase, Spec};
use crate::fleet::node::{Node, Output, Ticket};
use crate::fleet::plan::Plan;
use crate::fleet::team::{Access, Credential};
use crate::fleet::worker::{Incarnation, Report};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// The times at which a call is handled, by the two clocks.
#[derive(Debug, Clone, Copy)]
struct Clock {
    now: Time,
    wall: Wall,
}

/// The retry delay while no plan is in force.
const NO_PLAN_RETRY: Span = Span::from_millis(1_000);

/// The retry delay for cancellations of unknown jobs while too many are recorded.
const WITHDRAWN_RETRY: Span = Span::from_millis(1_000);

/// For how long another cancellation of an unknown job isn't recorded again.
const WITHDRAWN_REFRESH: Span = Span::from_secs(60);

/// The retry delay for workers whose call was refused.
const WORKER_RETRY: Span = Span::from_millis(1_000);

impl Node {
    /// Handles a call. Its reply follows as an [`Output::Reply`] with the same
    /// ticket, which may be used again only after that.
    pub fn call(&mut self, ticket: Ticket, call: Call, now: Time, wall: Wall) {
        if !self.consensus.holds_lease(now) || self.dispatcher.is_none() {
            let leader = self.consensus.leader();
            let other = leader.filter(|&leader| leader != self.consensus.id());
            return self.outputs.push(Output::Reply(
                ticket,
                Reply::NotLeader(other),
                None,
            ));
        }
        let (credential, call) = match call {
            Call::Authorized(credential, call) => (Some(credential), *call),
            call => (None, call),
        };
        let credential = credential.as_ref();
        match call {
            Call::Submit { target, spec } => {
                let clock = Clock { now, wall };
                self.submit(&target, credential, *spec, ticket, clock);
            }
            Call::Status(target) => {
                let reply = self.status(&target, credential);
                self.reply(ticket, reply);
            }
            Call::Cancel(target) => self.cancel(&target, credential, ticket, wall),
            Call::ReplacePlan(plan) => self.replace_plan(*plan, None, ticket),
            Call::ReplacePlanWithAccess(plan, access) => {
                self.replace_plan(*plan, Some(access), ticket);
            }
            Call::Authorized(..) => {
                let detail = "the call has two keys".to_owned();
                self.reply(ticket, Reply::Malformed(detail));
            }
            Call::ReadPlan => {
                let text = self.state.plan().map(|plan| plan.text.clone());
                let reply = text.map_or(no_plan(), Reply::Plan);
                self.reply(ticket, reply);
            }
            Call::Report(report) => self.report(&report, ticket, now),
            Call::Leave(incarnation) => self.leave(&incarnation, ticket, now),
            Call::Overview => {
                let reply = self.overview(now, wall);
                self.reply(ticket, reply);
            }
        }
    }

    fn submit(
        &mut self,
        target: &Target,
        credential: Option<&Credential>,
        spec: Spec,
        ticket: Ticket,
        clock: Clock,
    ) {
        let (queue, team, rest) = match self.authorize(target, credential) {
            Ok(authorized) => authorized,
            Err(reply) => return self.reply(ticket, reply),
        };
        let version = self.state.plan().map_or(0, |plan| plan.version);
        let Some(job) = job_id(rest) else {
            let detail =
                "the path doesn't end with a job id of 16 hexadecimal digits".to_owned();
            return self.reply(ticket, Reply::Malformed(detail));
        };
        let queue = queue.to_owned();
        if self.state.withdrawn().at(team.as_ref(), job).is_some() {
            let rejected = Decision::SubmissionRejected { job };
            self.outputs.push(Output::Decision(rejected));
            return self.reply(ticket, cancelled_before());
        }
        if self.state.job(&job).is_some() {
            let reply = match self.state.may_access(&job, &queue, team.as_ref()) {
                true => Reply::Done,
                false => Reply::Malformed("the job's id is taken".to_owned()),
            };
            return self.reply(ticket, reply);
        }
        if !spec.is_valid() {
            let detail = "the steps are invalid: a job needs at least one and not too \
                many, each with tasks and dependencies only on earlier steps"
                .to_owned();
            return self.reply(ticket, Reply::Malformed(detail));
        }
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        if !dispatcher.can_hold(&queue, &spec) {
            let detail = "the job needs more memory than the jobs of one caller may take"
                .to_owned();
            return self.reply(ticket, Reply::Malformed(detail));
        }
        let refusal =
            dispatcher.admission_refusal(&self.state, &queue, team.as_ref(), &spec);
        if let Some(refusal) = refusal {
            let (reason, retry_after) = refusal;
            self.outputs.push(Output::Decision(Decision::Refused {
                job,
                queue,
                reason,
                retry_after,
            }));
            return self.reply(
                ticket,
                Reply::Refused {
                    retry_after,
                    reason,
                },
            );
        }
        let access = self.state.owners().access();
        let owner = team.and_then(|name| {
            Some((access?.team(&name).copied().unwrap_or_default(), name))
        });
        let owner = match owner {
            None => None,
            Some((team, name)) => {
                match dispatcher.admit_for_team(&name, &team, &spec, clock.now) {
                    Ok(beyond_share) => Some((name, beyond_share)),
                    Err((reason, retry_after)) => {
                        self.outputs.push(Output::Decision(Decision::TeamRefused {
                            job,
                            queue,
                            team: name,
                            reason,
                            retry_after,
                        }));
                        let reply = Reply::Refused {
                            retry_after,
                            reason,
                        };
                        return self.reply(ticket, reply);
                    }
                }
            }
        };
        let team = owner.as_ref().map(|(team, _)| team);
        dispatcher.admit(job, &queue, team, &spec);
        self.outputs.push(Output::Decision(Decision::Accepted {
            job,
            queue: queue.clone(),
            tasks: spec.steps.iter().map(|step| step.count).sum(),
            plan: version,
            waiting: dispatcher.open_jobs(),
        }));
        let (at, spec) = (clock.wall, Box::new(spec));
        let command = match owner {
            None => Command::Submit {
                at,
                job,
                queue,
                spec,
            },
            Some((team, beyond_share)) => {
                self.outputs.push(Output::Decision(Decision::Owned {
                    job,
                    team: team.clone(),
                    beyond_share,
                }));
                Command::SubmitFor {
                    team,
                    beyond_share,
                    at,
                    job,
                    queue,
                    spec,
                }
            }
        };
        self.propose(command, Some(ticket));
    }

    /// Finds the queue that a caller addresses, and the caller's team.
    ///
    /// Gives the queue's name, the team if the call has its key, and the rest of the
    /// path; otherwise the reply that rejects the call. The leader alone decides this,
    /// by the plan in force, so that no other process can act on a withdrawn key.
    fn authorize<'a>(
        &mut self,
        target: &'a Target,
        credential: Option<&Credential>,
    ) -> Result<(String, Option<id::Team>, &'a str), Reply> {
        let Some(plan) = self.state.plan() else {
            return Err(no_plan());
        };
        let Some((name, _, rest)) = plan.find_queue(&target.host, &target.path) else {
            return Err(Reply::NoQueue);
        };
        let name = name.to_owned();
        let Some(access) = self.state.owners().access() else {
            return Ok((name, None, rest));
        };
        let team = credential.and_then(|credential| access.identify(credential));
        match team {
            None if !access.is_public(&name) => {
                let rejected = Decision::Unauthorized { queue: name };
                self.outputs.push(Output::Decision(rejected));
                Err(Reply::Unauthorized)
            }
            team => Ok((name, team.cloned(), rest)),
        }
    }

    fn status(&mut self, target: &Target, credential: Option<&Credential>) -> Reply {
        let (name, team, rest) = match self.authorize(target, credential) {
            Ok(authorized) => authorized,
            Err(reply) => return reply,
        };
        let Some(dispatcher) = &self.dispatcher else {
            return no_plan();
        };
        if rest.is_empty() {
            return Reply::Waiting(dispatcher.waiting_jobs(&name));
        }
        let may_access = |id: &Id| self.state.may_access(id, &name, team.as_ref());
        let job = job_id(rest).filter(may_access);
        let found = job.and_then(|id| Some((id, self.state.job(&id)?)));
        let Some((id, job)) = found else {
            return Reply::NoJob;
        };
        let phase = match job.outcome {
            Some((phase, _)) => phase,
            None if job.has_ended_runs() || dispatcher.has_started(&id) => Phase::Running,
            None => Phase::Pending,
        };
        Reply::Phase(phase)
    }

    fn cancel(
        &mut self,
        target: &Target,
        credential: Option<&Credential>,
        ticket: Ticket,
        wall: Wall,
    ) {
        let (name, team, rest) = match self.authorize(target, credential) {
            Ok(authorized) => authorized,
            Err(reply) => return self.reply(ticket, reply),
        };
        let Some(job) = job_id(rest) else {
            return self.reply(ticket, Reply::NoJob);
        };
        match self.state.job(&job) {
            None => self.cancel_unknown(job, name, team, ticket, wall),
            Some(_) if !self.state.may_access(&job, &name, team.as_ref()) => {
                self.reply(ticket, Reply::NoJob);
            }
            Some(current) if current.is_open() => {
                self.propose(Command::Cancel { at: wall, job }, Some(ticket));
            }
            Some(_) => self.reply(ticket, Reply::Done),
        }
    }

    /// Cancels a job that isn't known. Its submission may be on its way or in the log,
    /// so the log decides which came first.
    fn cancel_unknown(
        &mut self,
        job: Id,
        queue: String,
        team: Option<id::Team>,
        ticket: Ticket,
        wall: Wall,
    ) {
        let withdrawn = self.state.withdrawn();
        let is_recent = |at: Wall| wall.since(at) < WITHDRAWN_REFRESH;
        if withdrawn.at(team.as_ref(), job).is_some_and(is_recent) {
            return self.reply(ticket, Reply::NoJob);
        }
        if withdrawn.is_full() {
            let reply = Reply::Refused {
                retry_after: WITHDRAWN_RETRY,
                reason: Refusal::Busy,
            };
            return self.reply(ticket, reply);
        }
        let command = Command::Withdraw {
            at: wall,
            job,
            queue,
            team,
        };
        self.propose(command, Some(ticket));
    }

    fn replace_plan(&mut self, plan: Plan, access: Option<Box<Access>>, ticket: Ticket) {
        if let Err(fault) = plan.check() {
            return self.reply(ticket, Reply::Malformed(fault.to_string()));
        }
        let current = self.state.plan().map_or(0, |plan| plan.version);
        if plan.version <= current {
            return self.reply(ticket, Reply::Done);
        }
        let plan = Box::new(plan);
        let command = match access {
            None => Command::Plan(plan),
            Some(access) => Command::PlanWithAccess(plan, access),
        };
        self.propose(command, Some(ticket));
    }

    fn report(&mut self, report: &Report, ticket: Ticket, now: Time) {
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        let reception = dispatcher.handle_report(&self.state, report, ticket, now);
        self.receive_worker_call(reception, ticket);
    }

    fn receive_worker_call(&mut self, reception: Reception, ticket: Ticket) {
        match reception {
            Reception::Change(commands) => self.propose_in_order(commands, ticket),
            Reception::Asked => {}
            Reception::Busy => self.refuse_worker_call(ticket, Refusal::Busy),
        }
    }

    /// Proposes what became of a worker's call that couldn't be answered at once, or
    /// refuses it.
    pub(super) fn conclude_call(&mut self, verdict: Verdict) {
        let Verdict { ticket, outcome } = verdict;
        match outcome {
            Ok(commands) => self.propose_in_order(commands, ticket),
            Err(reason) => self.refuse_worker_call(ticket, reason),
        }
    }

    /// Proposes commands; the call is answered once the last one is in the log.
    fn propose_in_order(&mut self, mut commands: Vec<Command>, ticket: Ticket) {
        let Some(last) = commands.pop() else {
            return self.reply(ticket, Reply::Done);
        };
        for command in commands {
            self.propose(command, None);
        }
        self.propose(last, Some(ticket));
    }

    fn refuse_worker_call(&mut self, ticket: Ticket, reason: Refusal) {
        let retry_after = WORKER_RETRY;
        self.reply(
            ticket,
            Reply::Refused {
                retry_after,
                reason,
            },
        );
    }

    /// Handles a worker's announcement that its process ends.
    fn leave(&mut self, incarnation: &Incarnation, ticket: Ticket, now: Time) {
        let registered = self.state.worker(&incarnation.worker);
        // A worker that gives no start time means its registered incarnation.
        let is_registered = registered.is_some_and(|registered| {
            incarnation.started_at == Wall::default()
                || registered.incarnation == *incarnation
        });
        let dispatcher = self.dispatcher.as_mut().filter(|_| is_registered);
        let reception = match dispatcher {
            Some(dispatcher) => {
                dispatcher.handle_departure(&incarnation.worker, ticket, now)
            }
            None => Reception::Change(Vec::new()),
        };
        self.receive_worker_call(reception, ticket);
    }

    /// The leader's view of the fleet, as JSON for an operator.
    fn overview(&self, now: Time, wall: Wall) -> Reply {
        let voters = self
            .consensus
            .voters()
            .iter()
            .map(|node| match node.address() {
                Some(address) => format!("{address}/{}", node.0 as u32),
                None => node.to_string(),
            });
        let Some(dispatcher) = &self.dispatcher else {
            return Reply::NotLeader(None);
        };
        match dispatcher.overview(&self.state, voters.collect(), now, wall) {
            Ok(text) => Reply::Overview(text),
            Err(error) => Reply::Malformed(error.to_string()),
        }
    }
}

fn no_plan() -> Reply {
    Reply::Refused {
        retry_after: NO_PLAN_RETRY,
        reason: Refusal::NoPlan,
    }
}

/// The reply to the submission of a job that was cancelled before.
pub(super) fn cancelled_before() -> Reply {
    let detail = "the job was cancelled; submit it again under another id";
    Reply::Malformed(detail.to_owned())
}

/// Parses a job's id, sixteen hexadecimal digits, from the rest of a path.
fn job_id(rest: &str) -> Option<Id> {
    let is_hex = rest.len() == 16 && rest.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = is_hex.then(|| u64::from_str_radix(rest, 16).ok())?;
    number.map(Id)
}
