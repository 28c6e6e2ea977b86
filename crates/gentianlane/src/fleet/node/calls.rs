//! How the leading node handles calls from callers, workers and operators.

use crate::fleet::Command;
use crate::fleet::call::{Call, Refusal, Reply, Target};
use crate::fleet::decision::Decision;
use crate::fleet::job::{Id, Phase, Spec};
use crate::fleet::node::{Node, Output, Ticket};
use crate::fleet::plan::Plan;
use crate::fleet::worker::{Incarnation, Report};
use crate::unit::{Span, Time, Wall};

/// The retry delay while no plan is in force.
const NO_PLAN_RETRY: Span = Span::from_millis(1_000);

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
        match call {
            Call::Submit { target, spec } => self.submit(&target, *spec, ticket, wall),
            Call::Status(target) => {
                let reply = self.status(&target);
                self.reply(ticket, reply);
            }
            Call::Cancel(target) => self.cancel(&target, ticket, wall),
            Call::ReplacePlan(plan) => self.replace_plan(*plan, ticket),
            Call::ReadPlan => {
                let text = self.state.plan().map(|plan| plan.text.clone());
                let reply = text.map_or(no_plan(), Reply::Plan);
                self.reply(ticket, reply);
            }
            Call::Report(report) => self.report(&report, ticket, now),
            Call::Leave(incarnation) => self.leave(&incarnation, ticket),
            Call::Overview => {
                let reply = self.overview(now);
                self.reply(ticket, reply);
            }
        }
    }

    fn submit(&mut self, target: &Target, spec: Spec, ticket: Ticket, wall: Wall) {
        let Some(plan) = self.state.plan() else {
            return self.reply(ticket, no_plan());
        };
        let version = plan.version;
        let Some((name, _, rest)) = plan.find_queue(&target.host, &target.path) else {
            return self.reply(ticket, Reply::NoQueue);
        };
        let Some(job) = job_id(rest) else {
            let detail =
                "the path doesn't end with a job id of 16 hexadecimal digits".to_owned();
            return self.reply(ticket, Reply::Malformed(detail));
        };
        if self.state.job(&job).is_some() {
            return self.reply(ticket, Reply::Done);
        }
        if !spec.is_valid() {
            let detail = "the steps are invalid: a job needs at least one and not too \
                many, each with tasks and dependencies only on earlier steps"
                .to_owned();
            return self.reply(ticket, Reply::Malformed(detail));
        }
        let Some(dispatcher) = &self.dispatcher else {
            return;
        };
        let name = name.to_owned();
        if let Some(refusal) = dispatcher.admission_refusal() {
            let (reason, retry_after) = refusal;
            self.outputs.push(Output::Decision(Decision::Refused {
                job,
                queue: name,
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
        self.outputs.push(Output::Decision(Decision::Accepted {
            job,
            queue: name.clone(),
            tasks: spec.steps.iter().map(|step| step.count).sum(),
            plan: version,
            waiting: dispatcher.open_jobs(),
        }));
        let command = Command::Submit {
            at: wall,
            job,
            queue: name,
            spec: Box::new(spec),
        };
        self.propose(command, Some(ticket));
    }

    fn status(&self, target: &Target) -> Reply {
        let Some(plan) = self.state.plan() else {
            return no_plan();
        };
        let Some((name, _, rest)) = plan.find_queue(&target.host, &target.path) else {
            return Reply::NoQueue;
        };
        let Some(dispatcher) = &self.dispatcher else {
            return no_plan();
        };
        if rest.is_empty() {
            return Reply::Waiting(dispatcher.waiting_jobs(name));
        }
        let job = job_id(rest);
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

    fn cancel(&mut self, target: &Target, ticket: Ticket, wall: Wall) {
        let Some(plan) = self.state.plan() else {
            return self.reply(ticket, no_plan());
        };
        let Some((_, _, rest)) = plan.find_queue(&target.host, &target.path) else {
            return self.reply(ticket, Reply::NoQueue);
        };
        let job = job_id(rest);
        let found = job.and_then(|id| Some((id, self.state.job(&id)?)));
        match found {
            Some((job, current)) if current.is_open() => {
                self.propose(Command::Cancel { at: wall, job }, Some(ticket));
            }
            Some(_) => self.reply(ticket, Reply::Done),
            None => self.reply(ticket, Reply::NoJob),
        }
    }

    fn replace_plan(&mut self, plan: Plan, ticket: Ticket) {
        if let Err(fault) = plan.check() {
            return self.reply(ticket, Reply::Malformed(fault.to_string()));
        }
        let current = self.state.plan().map_or(0, |plan| plan.version);
        match plan.version > current {
            true => self.propose(Command::Plan(Box::new(plan)), Some(ticket)),
            false => self.reply(ticket, Reply::Done),
        }
    }

    fn report(&mut self, report: &Report, ticket: Ticket, now: Time) {
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        let mut commands = dispatcher.handle_report(&self.state, report, now);
        let Some(last) = commands.pop() else {
            return self.reply(ticket, Reply::Done);
        };
        for command in commands {
            self.propose(command, None);
        }
        self.propose(last, Some(ticket));
    }

    fn leave(&mut self, incarnation: &Incarnation, ticket: Ticket) {
        let current = self
            .state
            .worker(&incarnation.worker)
            .map(|worker| worker.incarnation.clone());
        match current {
            // A worker that gives no start time means its registered incarnation.
            Some(current)
                if incarnation.started_at == Wall::default()
                    || current == *incarnation =>
            {
                self.propose(
                    Command::Leave {
                        incarnation: current,
                    },
                    Some(ticket),
                );
            }
            _ => self.reply(ticket, Reply::Done),
        }
    }

    /// The leader's view of the fleet, as JSON for an operator.
    fn overview(&self, now: Time) -> Reply {
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
        match dispatcher.overview(&self.state, voters.collect(), now) {
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

/// Parses a job's id, sixteen hexadecimal digits, from the rest of a path.
fn job_id(rest: &str) -> Option<Id> {
    let is_hex = rest.len() == 16 && rest.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = is_hex.then(|| u64::from_str_radix(rest, 16).ok())?;
    number.map(Id)
}
