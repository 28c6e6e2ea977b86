//! Claims of reports: to be an incarnation, or to have an address, that isn't
//! registered.
//!
//! Anyone can write a report. Before one registers anything, the process at its address
//! is asked who it is: an order that changes nothing is sent there, and the answer has
//! to be that of the worker and the incarnation that the report names. So a report
//! displaces nothing by its word, and what it claims gets into the log only if it is
//! true.

use crate::collections::IndexMap;

use crate::fleet::call::Refusal;
use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::dispatcher::{OrderKind, PendingOrder};
use crate::fleet::order::{Action, Answer, CallId, Order};
use crate::fleet::worker::{Incarnation, Report};
use crate::fleet::{Command, State, Ticket, Worker};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// The most claims that are checked at a time. More workers than that have to report
/// for the first time within the timeout of an order for one to be turned away.
const CLAIM_LIMIT: usize = 4_096;

/// A report whose claim is being checked.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    report: Report,
    /// The call by which the report came.
    ticket: Ticket,
}

/// The claims that are being checked, by the order that checks them.
pub(crate) type Claims = IndexMap<CallId, Claim>;

/// What became of a call that couldn't be answered at once.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// The call.
    pub ticket: Ticket,
    /// The changes that are to be proposed before the call is answered, in order; or why
    /// the call is refused.
    pub outcome: Result<Vec<Command>, Refusal>,
}

/// What is to be done about a worker's call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reception {
    /// These changes are to be proposed, in order, before the call is answered.
    Change(Vec<Command>),
    /// The process at the worker's address is asked; a [`Verdict`] follows.
    Asked,
    /// Too many others are being asked.
    Busy,
}

impl Dispatcher {
    /// Asks the process at a report's address whether it is the incarnation that the
    /// report names.
    pub(super) fn check_claim(
        &mut self,
        report: &Report,
        ticket: Ticket,
        now: Time,
    ) -> Reception {
        let claim = Claim {
            report: report.clone(),
            ticket,
        };
        let is_same = |other: &Claim| {
            other.report.incarnation == report.incarnation
                && other.report.profile.address == report.profile.address
        };
        // The caller of the earlier call has given up waiting.
        if let Some(pending) = self.claims.values_mut().find(|claim| is_same(claim)) {
            let earlier = std::mem::replace(pending, claim);
            self.conclude(earlier.ticket, Err(Refusal::Unverified));
            return Reception::Asked;
        }
        if self.claims.len() >= CLAIM_LIMIT {
            return Reception::Busy;
        }
        let id = self.send_question(&report.incarnation, report.profile.address, now);
        self.claims.insert(id, claim);
        Reception::Asked
    }

    /// Asks the process at the address of a session whether it is still that worker.
    pub(super) fn question_session(&mut self, worker: &id::Worker, now: Time) {
        if let Some(session) = self.sessions.get(worker) {
            let (incarnation, address) =
                (session.incarnation.clone(), session.profile.address);
            self.send_question(&incarnation, address, now);
        }
    }

    /// Sends an order that changes nothing to an incarnation at an address.
    fn send_question(
        &mut self,
        incarnation: &Incarnation,
        address: std::net::SocketAddr,
        now: Time,
    ) -> CallId {
        self.last_call_id += 1;
        let id = self.last_call_id;
        let timeout = self.setup.renewal_margin;
        // A higher token than that of the session would have the worker refuse its orders;
        // a lower one than the worker has seen before would be refused itself.
        let session = self.sessions.get(&incarnation.worker);
        let fencing_token =
            session.map_or(self.fencing_token, |session| session.fencing_token);
        let question = PendingOrder {
            worker: incarnation.worker.clone(),
            started_at: incarnation.started_at,
            sent_at: now,
            timeout,
            ticket_until: None,
            kind: OrderKind::Question,
            extends_lease: false,
            clock: 0,
        };
        self.pending_orders.insert(id, question);
        self.effects.orders.push(Order {
            id,
            worker: incarnation.worker.clone(),
            started_at: incarnation.started_at,
            address,
            fencing_token,
            timeout,
            action: Action::Renew {
                deadline: None,
                acknowledged: 0,
                wait: Span::ZERO,
            },
        });
        id
    }

    /// Handles the answer to a question.
    pub(super) fn handle_question_answer(
        &mut self,
        state: &State,
        id: CallId,
        order: &PendingOrder,
        answer: &Answer,
        now: Time,
        wall: Wall,
    ) {
        let Some(claim) = self.claims.swap_remove(&id) else {
            let session = self.sessions.get(&order.worker);
            let incarnation = session.map(|session| session.incarnation.clone());
            let asked = incarnation.filter(|it| it.started_at == order.started_at);
            if let (Some(asked), Answer::OtherIncarnation) = (asked, answer) {
                self.handle_other_worker(&asked.worker, now, wall);
            }
            return;
        };
        let Claim { report, ticket } = claim;
        let outcome = match refutation(&report, answer) {
            None => {
                self.first_sequences
                    .insert(report.incarnation.clone(), report.sequence);
                Ok(registration(state, &report))
            }
            Some(cause) => {
                self.effects.decisions.push(Decision::ReportRejected {
                    incarnation: report.incarnation,
                    address: report.profile.address,
                    cause,
                });
                Err(Refusal::Unverified)
            }
        };
        self.conclude(ticket, outcome);
    }

    /// Answers a call that couldn't be answered at once.
    pub(super) fn conclude(
        &mut self,
        ticket: Ticket,
        outcome: Result<Vec<Command>, Refusal>,
    ) {
        self.effects.verdicts.push(Verdict { ticket, outcome });
        self.schedule.want();
    }

    /// The calls that aren't answered yet when the leader's term ends.
    pub(crate) fn unanswered_calls(self) -> impl Iterator<Item = Ticket> {
        let decided = self.effects.verdicts.into_iter();
        let decided = decided.map(|verdict| verdict.ticket);
        let claims = self.claims.into_values().map(|claim| claim.ticket);
        let departures = self.departures.into_values();
        let departures = departures.map(|departure| departure.ticket);
        decided.chain(claims).chain(departures)
    }
}

/// Why an answer doesn't show that a report's claim is true; none if it does.
fn refutation(report: &Report, answer: &Answer) -> Option<Cause> {
    let claimed = &report.incarnation;
    match answer {
        Answer::Status(status) => {
            // A worker that gives no start times has one incarnation only.
            let started_at = status.started_at.unwrap_or_default();
            (started_at != claimed.started_at).then_some(Cause::OtherIncarnation)
        }
        Answer::OtherIncarnation | Answer::Replaced => Some(Cause::OtherIncarnation),
        Answer::Unreachable | Answer::ConnectionRefused => Some(Cause::Unreachable),
        Answer::Done { .. } | Answer::Refused { .. } => Some(Cause::Refusals),
        Answer::Lost | Answer::Unsent => Some(Cause::NoAnswer),
    }
}

/// The changes that register what a report says.
fn registration(state: &State, report: &Report) -> Vec<Command> {
    let (incarnation, profile) = (report.incarnation.clone(), report.profile.clone());
    // Its number has any leader turn down older reports.
    let update = Command::Update {
        incarnation: incarnation.clone(),
        profile: profile.clone(),
        sequence: report.sequence,
    };
    let registered = state.worker(&incarnation.worker);
    let Some(registered) = registered.filter(|it| it.incarnation == incarnation) else {
        let is_later = |it: &Worker| it.incarnation.started_at > incarnation.started_at;
        let register = match registered.is_some_and(is_later) {
            true => Command::Reinstate {
                incarnation,
                profile,
            },
            false => Command::Join {
                incarnation,
                profile,
            },
        };
        return vec![register, update];
    };
    let mut commands = vec![update];
    if report.draining && !registered.draining {
        commands.push(Command::Drain { incarnation });
    }
    commands
}
