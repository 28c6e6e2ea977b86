//! The control thread of a core: owns the node, its journal and its clock.

use std::net::Ipv4Addr;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use gentianlane::consensus::{IdentityStatus, Message, Role};
use gentianlane::fleet::call::{Call, Refusal, Reply};
use gentianlane::fleet::dispatch::Relay;
use gentianlane::fleet::link::LeaderHint;
use gentianlane::fleet::order::{AdviceRequest, AdviceResponse, Answer, CallId, Order};
use gentianlane::fleet::{Node, Output, Ticket};
use gentianlane::id;
use gentianlane::unit::{Span, Time};
use gentianlane_store::{Fault, Journal};
use indexmap::IndexMap;
use slog::{Logger, crit, info, warn};

use crate::clock::Clock;
use crate::durable::{Write, write};
use crate::fleet::log::LogWriter;
use crate::fleet::metrics::Metrics;

/// The longest pause between two looks at the time.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// The shortest one, so that a due time in the past doesn't spin.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The longest wait for another node to take the lead.
const TRANSFER_TIMEOUT: Span = Span::from_secs(2);

/// The most inputs that are taken in before the node is flushed.
const INPUT_BATCH_LIMIT: usize = 1_024;

/// How many inputs may wait for the control thread.
pub(crate) const INPUT_QUEUE_LIMIT: usize = 8_192;

/// How many batches of effects may wait for the traffic thread, which takes
/// them up without waiting for anything.
pub(crate) const EFFECT_QUEUE_LIMIT: usize = 8_192;

/// When to come back while the disk is full.
const DISK_FULL_RETRY: Span = Span::from_millis(1_000);

/// What the control thread takes in.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call, and where its reply goes.
    Call(Call, ReplyTarget),
    /// A message from another node.
    Message(id::Node, Message),
    /// A worker's answer to an order.
    Answer(CallId, Answer),
    /// The answer to a question.
    Advice(Relay, AdviceResponse),
    /// A helper has come, or gone.
    Relay(Relay, bool),
    /// The process shall end in an orderly manner.
    Stop,
}

/// Who waits for a reply.
#[derive(Debug)]
pub(crate) enum ReplyTarget {
    /// A request that this process serves.
    Local(tokio::sync::oneshot::Sender<Reply>),
    /// A call of this number that came over a link.
    Link(Relay, u64),
}

/// What the traffic thread has to carry out, in order.
#[derive(Debug)]
pub(crate) enum Effect {
    Send(id::Node, Message),
    Reply(ReplyTarget, Reply, Option<Time>),
    Order(Order, Option<Time>),
    RequestAdvice(Relay, AdviceRequest),
    LeaderHint(LeaderHint),
    /// The control thread has ended in an orderly manner.
    Stopped,
}

/// The control thread's belongings.
pub(crate) struct Control {
    pub(crate) node: Node,
    pub(crate) journal: Journal,
    pub(crate) clock: Clock,
    pub(crate) effects: Sender<Vec<Effect>>,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    pub(crate) log_writer: LogWriter,
    pub(crate) pending_replies: IndexMap<Ticket, (ReplyTarget, Time)>,
    pub(crate) last_ticket: u64,
    /// What waits for room on the disk, and all that came after it.
    pub(crate) pending_outputs: Vec<Output>,
    /// How many of these outputs are on the disk already.
    pub(crate) completed_outputs: usize,
    /// What the traffic thread was last told of the leader.
    pub(crate) last_hint: LeaderHint,
}

impl Control {
    /// Runs until it is told to stop.
    ///
    /// # Errors
    ///
    /// The journal's fault; nothing that depends on the write has left.
    pub(crate) fn run(mut self, inputs: &Receiver<Input>) -> Result<(), Fault> {
        loop {
            match inputs.recv_timeout(self.next_wait()) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => {
                    self.handle_input(input);
                    for input in inputs.try_iter().take(INPUT_BATCH_LIMIT) {
                        if matches!(input, Input::Stop) {
                            return self.shut_down(inputs);
                        }
                        self.handle_input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.tick()?;
        }
        self.shut_down(inputs)
    }

    fn next_wait(&self) -> Duration {
        let left = self.node.due().since(self.clock.now());
        Duration::from(left).clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Does what the time asks for, and carries out what comes of it.
    fn tick(&mut self) -> Result<(), Fault> {
        if self.pending_outputs.is_empty() {
            self.node.tick(self.clock.now(), Clock::wall());
        }
        self.flush()
    }

    fn handle_input(&mut self, input: Input) {
        let (now, wall) = (self.clock.now(), Clock::wall());
        match input {
            Input::Call(_, target) if !self.pending_outputs.is_empty() => {
                let reply = Reply::Refused {
                    retry_after: DISK_FULL_RETRY,
                    reason: Refusal::Busy,
                };
                self.send_effects(vec![Effect::Reply(target, reply, None)]);
            }
            Input::Message(..) if !self.pending_outputs.is_empty() => {}
            Input::Call(call, target) => {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.metrics.count("calls", 1);
                self.pending_replies.insert(ticket, (target, now));
                self.node.call(ticket, call, now, wall);
            }
            Input::Message(from, message) => self.node.receive(from, message, now),
            Input::Answer(order_id, answer) => {
                self.metrics.count("answers", 1);
                if matches!(answer, Answer::Lost | Answer::Unreachable) {
                    self.metrics.count("orders_lost", 1);
                }
                self.node.handle_answer(order_id, answer, now, wall);
            }
            Input::Advice(relay, advice) => {
                self.node.handle_advice(relay, advice, now);
            }
            Input::Relay(relay, true) => self.node.add_relay(relay),
            Input::Relay(relay, false) => self.node.remove_relay(relay),
            Input::Stop => {}
        }
    }

    /// Hands the lead over, and works on until another node has taken it.
    fn shut_down(&mut self, inputs: &Receiver<Input>) -> Result<(), Fault> {
        let was_leader = self.node.consensus().role() == Role::Leader;
        self.node.transfer_leadership();
        let end = self.clock.now().after(TRANSFER_TIMEOUT);
        loop {
            self.tick()?;
            let own_id = self.node.consensus().id();
            let leader = self.node.consensus().leader();
            let taken = leader.is_some_and(|leader| leader != own_id);
            if !was_leader || taken || self.clock.now() >= end {
                self.send_effects(vec![Effect::Stopped]);
                return Ok(());
            }
            if let Ok(input) = inputs.recv_timeout(MIN_WAIT) {
                self.handle_input(input);
            }
        }
    }

    /// Carries out what the node wants done: all that is to be durable first.
    fn flush(&mut self) -> Result<(), Fault> {
        let was_full = !self.pending_outputs.is_empty();
        if !was_full {
            self.pending_outputs = self.node.flush(self.clock.now(), Clock::wall());
        }
        if self.pending_outputs.is_empty() {
            let hint = self.changed_hint();
            self.send_effects(hint.into_iter().collect());
            return Ok(());
        }
        match self.store_outputs() {
            Err(Fault::DiskFull { .. }) if was_full => return Ok(()),
            Err(fault @ Fault::DiskFull { .. }) => {
                warn!(self.log, "disk_full"; "fault" => %fault);
                return Ok(());
            }
            Err(fault) => return Err(fault),
            Ok(()) => self.completed_outputs = 0,
        }
        if was_full {
            info!(self.log, "disk_room");
        }
        let outputs = std::mem::take(&mut self.pending_outputs);
        let mut effects = Vec::with_capacity(outputs.len());
        for output in outputs {
            effects.extend(self.convert_output(output));
        }
        effects.extend(self.changed_hint());
        self.send_effects(effects);
        self.check_integrity()
    }

    fn convert_output(&mut self, output: Output) -> Option<Effect> {
        match output {
            Output::Save(_) | Output::Store(_) | Output::Snapshot(_) => None,
            Output::Send(to, message) => Some(Effect::Send(to, message)),
            Output::Reply(ticket, reply, until) => {
                let (target, since) = self.pending_replies.swap_remove(&ticket)?;
                let took = self.clock.now().since(since);
                self.metrics.time("call", took.into());
                Some(Effect::Reply(target, reply, until))
            }
            Output::Order(order, until) => {
                self.metrics.count("orders", 1);
                Some(Effect::Order(order, until))
            }
            Output::RequestAdvice(relay, request) => {
                self.metrics.count("questions", 1);
                Some(Effect::RequestAdvice(relay, request))
            }
            Output::Role(role) => {
                let term = self.node.consensus().term();
                info!(self.log, "role"; "role" => ?role, "term" => %term);
                None
            }
            Output::Decision(decision) => {
                self.log_writer.write_line(decision);
                None
            }
        }
    }

    /// The way to the leader, if it has changed.
    fn changed_hint(&mut self) -> Option<Effect> {
        let consensus = self.node.consensus();
        // A leader that no majority follows any more may not know it yet.
        let leads = consensus.holds_lease(self.clock.now());
        let other = consensus
            .leader()
            .filter(|&leader| leader != consensus.id());
        let leader = if leads { consensus.leader() } else { other };
        let hint = LeaderHint {
            reaches_leader: leads,
            leader: leader.and_then(id::Node::address),
            voters: consensus
                .voters()
                .iter()
                .filter_map(id::Node::address)
                .collect(),
            entries: Vec::new(),
        };
        (hint != self.last_hint).then(|| {
            self.last_hint.clone_from(&hint);
            Effect::LeaderHint(hint)
        })
    }

    fn send_effects(&self, effects: Vec<Effect>) {
        if !effects.is_empty() {
            // Fails only while the process ends and nobody is left to care.
            let _ = self.effects.send(effects);
        }
    }

    /// Ends a node that may not go on with what it holds.
    fn check_integrity(&self) -> Result<(), Fault> {
        if self.node.is_corrupt() {
            crit!(self.log, "broken"; "reason" => "the snapshot or the log isn't a state");
            return Err(Fault::Poisoned);
        }
        if self.node.consensus().identity_status() == IdentityStatus::Revoked {
            crit!(self.log, "refused"; "reason" => "the disk has lost promises");
            return Err(Fault::Poisoned);
        }
        Ok(())
    }

    fn store_outputs(&mut self) -> Result<(), Fault> {
        if self
            .pending_outputs
            .iter()
            .all(|output| durable(output).is_none())
        {
            return Ok(());
        }
        let started = self.clock.now();
        write(
            &mut self.journal,
            &self.pending_outputs,
            durable,
            &mut self.completed_outputs,
        )?;
        let took = self.clock.now().since(started);
        self.metrics.time("store", took.into());
        Ok(())
    }
}

fn durable(output: &Output) -> Option<Write<'_>> {
    match output {
        Output::Save(ballot) => Some(Write::Ballot(ballot)),
        Output::Store(entries) => Some(Write::Entries(entries)),
        Output::Snapshot(snapshot) => Some(Write::Snapshot(snapshot)),
        _ => None,
    }
}

/// Where the node on a VM takes workers' and operators' calls.
pub(crate) fn control_address(
    own: std::net::SocketAddr,
    vm: Ipv4Addr,
) -> std::net::SocketAddr {
    (vm, own.port()).into()
}
