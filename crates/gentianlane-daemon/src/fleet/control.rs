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
use crate::fleet::log::Lines;
use crate::fleet::metrics::Metrics;

/// The longest pause between two looks at the time.
const STEP: Duration = Duration::from_millis(50);

/// The shortest one, so that a due time in the past doesn't spin.
const SHORTEST: Duration = Duration::from_millis(1);

/// The longest wait for another node to take the lead.
const HAND_OVER_LIMIT: Span = Span::from_secs(2);

/// The most inputs that are taken in before the node is flushed.
const BATCH: usize = 1_024;

/// How many inputs may wait for the control thread.
pub(crate) const INPUT_LIMIT: usize = 8_192;

/// How many batches of effects may wait for the traffic thread, which takes
/// them up without waiting for anything.
pub(crate) const EFFECT_LIMIT: usize = 8_192;

/// When to come back while the disk is full.
const FULL_RETRY: Span = Span::from_millis(1_000);

/// What the control thread takes in.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call, and where its reply goes.
    Call(Call, Asker),
    /// A message from another node.
    Message(id::Node, Message),
    /// A worker's answer to an order.
    Answer(CallId, Answer),
    /// The answer to a question.
    Opinion(Relay, AdviceResponse),
    /// A helper has come, or gone.
    Helper(Relay, bool),
    /// The process shall end in an orderly manner.
    Stop,
}

/// Who waits for a reply.
#[derive(Debug)]
pub(crate) enum Asker {
    /// A request that this process serves.
    Local(tokio::sync::oneshot::Sender<Reply>),
    /// A call of this number that came over a link.
    Link(Relay, u64),
}

/// What the traffic thread has to carry out, in order.
#[derive(Debug)]
pub(crate) enum Effect {
    Send(id::Node, Message),
    Reply(Asker, Reply, Option<Time>),
    Order(Order, Option<Time>),
    Ask(Relay, AdviceRequest),
    Guide(LeaderHint),
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
    pub(crate) lines: Lines,
    pub(crate) askers: IndexMap<Ticket, (Asker, Time)>,
    pub(crate) last_ticket: u64,
    /// What waits for room on the disk, and all that came after it.
    pub(crate) held: Vec<Output>,
    /// How many of these outputs are on the disk already.
    pub(crate) done: usize,
    /// What the traffic thread was last told of the leader.
    pub(crate) guide: LeaderHint,
}

impl Control {
    /// Runs until it is told to stop.
    ///
    /// # Errors
    ///
    /// The journal's fault; nothing that depends on the write has left.
    pub(crate) fn run(mut self, inputs: &Receiver<Input>) -> Result<(), Fault> {
        loop {
            match inputs.recv_timeout(self.pause()) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => {
                    self.take(input);
                    for input in inputs.try_iter().take(BATCH) {
                        if matches!(input, Input::Stop) {
                            return self.leave(inputs);
                        }
                        self.take(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.turn()?;
        }
        self.leave(inputs)
    }

    fn pause(&self) -> Duration {
        let left = self.node.due().since(self.clock.now());
        Duration::from(left).clamp(SHORTEST, STEP)
    }

    /// Does what the time asks for, and carries out what comes of it.
    fn turn(&mut self) -> Result<(), Fault> {
        if self.held.is_empty() {
            self.node.tick(self.clock.now(), Clock::wall());
        }
        self.flush()
    }

    fn take(&mut self, input: Input) {
        let (now, wall) = (self.clock.now(), Clock::wall());
        match input {
            Input::Call(_, asker) if !self.held.is_empty() => {
                let reply = Reply::Refused {
                    retry_after: FULL_RETRY,
                    reason: Refusal::Busy,
                };
                self.tell(vec![Effect::Reply(asker, reply, None)]);
            }
            Input::Message(..) if !self.held.is_empty() => {}
            Input::Call(call, asker) => {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.metrics.count("calls", 1);
                self.askers.insert(ticket, (asker, now));
                self.node.call(ticket, call, now, wall);
            }
            Input::Message(from, message) => self.node.receive(from, message, now),
            Input::Answer(number, answer) => {
                self.metrics.count("answers", 1);
                if matches!(answer, Answer::Lost | Answer::Unreachable) {
                    self.metrics.count("orders_lost", 1);
                }
                self.node.handle_answer(number, answer, now, wall);
            }
            Input::Opinion(helper, opinion) => {
                self.node.handle_advice(helper, opinion, now);
            }
            Input::Helper(helper, true) => self.node.add_relay(helper),
            Input::Helper(helper, false) => self.node.remove_relay(helper),
            Input::Stop => {}
        }
    }

    /// Hands the lead over, and works on until another node has taken it.
    fn leave(&mut self, inputs: &Receiver<Input>) -> Result<(), Fault> {
        let led = self.node.consensus().role() == Role::Leader;
        self.node.transfer_leadership();
        let end = self.clock.now().after(HAND_OVER_LIMIT);
        loop {
            self.turn()?;
            let me = self.node.consensus().id();
            let leader = self.node.consensus().leader();
            let taken = leader.is_some_and(|leader| leader != me);
            if !led || taken || self.clock.now() >= end {
                self.tell(vec![Effect::Stopped]);
                return Ok(());
            }
            if let Ok(input) = inputs.recv_timeout(SHORTEST) {
                self.take(input);
            }
        }
    }

    /// Carries out what the node wants done: all that is to be durable first.
    fn flush(&mut self) -> Result<(), Fault> {
        let was_full = !self.held.is_empty();
        if !was_full {
            self.held = self.node.flush(self.clock.now(), Clock::wall());
        }
        if self.held.is_empty() {
            let guide = self.new_guide();
            self.tell(guide.into_iter().collect());
            return Ok(());
        }
        match self.store() {
            Err(Fault::DiskFull { .. }) if was_full => return Ok(()),
            Err(fault @ Fault::DiskFull { .. }) => {
                warn!(self.log, "disk_full"; "fault" => %fault);
                return Ok(());
            }
            Err(fault) => return Err(fault),
            Ok(()) => self.done = 0,
        }
        if was_full {
            info!(self.log, "disk_room");
        }
        let outputs = std::mem::take(&mut self.held);
        let mut effects = Vec::with_capacity(outputs.len());
        for output in outputs {
            effects.extend(self.effect(output));
        }
        effects.extend(self.new_guide());
        self.tell(effects);
        self.check()
    }

    fn effect(&mut self, output: Output) -> Option<Effect> {
        match output {
            Output::Save(_) | Output::Store(_) | Output::Snapshot(_) => None,
            Output::Send(to, message) => Some(Effect::Send(to, message)),
            Output::Reply(ticket, reply, until) => {
                let (asker, since) = self.askers.swap_remove(&ticket)?;
                let took = self.clock.now().since(since);
                self.metrics.time("call", took.into());
                Some(Effect::Reply(asker, reply, until))
            }
            Output::Order(order, until) => {
                self.metrics.count("orders", 1);
                Some(Effect::Order(order, until))
            }
            Output::RequestAdvice(helper, question) => {
                self.metrics.count("questions", 1);
                Some(Effect::Ask(helper, question))
            }
            Output::Role(role) => {
                let term = self.node.consensus().term();
                info!(self.log, "role"; "role" => ?role, "term" => %term);
                None
            }
            Output::Decision(decision) => {
                self.lines.line(decision);
                None
            }
        }
    }

    /// The way to the leader, if it has changed.
    fn new_guide(&mut self) -> Option<Effect> {
        let agree = self.node.consensus();
        // A leader that no majority follows any more may not know it yet.
        let leads = agree.holds_lease(self.clock.now());
        let other = agree.leader().filter(|&leader| leader != agree.id());
        let leader = if leads { agree.leader() } else { other };
        let guide = LeaderHint {
            reaches_leader: leads,
            leader: leader.and_then(id::Node::address),
            voters: agree
                .voters()
                .iter()
                .filter_map(id::Node::address)
                .collect(),
            entries: Vec::new(),
        };
        (guide != self.guide).then(|| {
            self.guide.clone_from(&guide);
            Effect::Guide(guide)
        })
    }

    fn tell(&self, effects: Vec<Effect>) {
        if !effects.is_empty() {
            // Fails only while the process ends and nobody is left to care.
            let _ = self.effects.send(effects);
        }
    }

    /// Ends a node that may not go on with what it holds.
    fn check(&self) -> Result<(), Fault> {
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

    fn store(&mut self) -> Result<(), Fault> {
        if self.held.iter().all(|output| durable(output).is_none()) {
            return Ok(());
        }
        let began = self.clock.now();
        write(&mut self.journal, &self.held, durable, &mut self.done)?;
        let took = self.clock.now().since(began);
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
