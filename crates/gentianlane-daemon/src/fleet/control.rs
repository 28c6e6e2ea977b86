//! The control thread of a core. It owns the node and its journal, feeds the
//! node with inputs and the time, writes what has to be durable, and only then
//! hands the resulting effects to the traffic thread.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
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
use crate::fleet::lateness::Lateness;
use crate::fleet::log::LogWriter;
use crate::fleet::metrics::Metrics;

/// The longest wait for an input between two ticks of the node.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// The shortest wait, so that a due time in the past doesn't cause a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// How long a leader that shuts down waits for another node to become leader.
const TRANSFER_TIMEOUT: Span = Span::from_secs(2);

/// The most inputs that are handled before the node is flushed.
const MAX_BATCH: usize = 1_024;

/// The capacity of the control thread's input queue.
const INPUT_QUEUE_LIMIT: usize = 8_192;

/// The capacity of the traffic thread's queue, in batches of effects. That
/// thread starts effects without waiting for their completion.
pub(crate) const EFFECT_QUEUE_LIMIT: usize = 8_192;

/// How long the control thread leaves the processor to the traffic thread while
/// dispatch is held.
const HOLD_WAIT: Duration = Duration::from_millis(5);

/// The retry delay for callers while the disk is full.
const DISK_FULL_RETRY: Span = Span::from_millis(1_000);

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A call, and the target of its reply.
    Call(Call, ReplyTarget),
    /// A message from another node.
    Message(id::Node, Message),
    /// A worker's answer to the order with the id.
    Answer(CallId, Answer),
    /// The response to an advice request, and the relay that it came through.
    Advice(Relay, AdviceResponse),
    /// A relay has connected (true) or disconnected (false).
    Relay(Relay, bool),
    /// A request to shut down in an orderly manner.
    Stop,
}

/// An input or a batch of effects in a queue, and when it was put there.
#[derive(Debug)]
pub(crate) struct Queued<T> {
    pub(crate) since: Time,
    pub(crate) item: T,
}

/// The input queue has no room.
#[derive(Debug)]
pub(crate) struct QueueFull;

/// The sending end of the control thread's input queue.
#[derive(Debug, Clone)]
pub(crate) struct Inputs {
    sender: Sender<Queued<Input>>,
    clock: Clock,
}

impl Inputs {
    /// A queue for inputs, empty.
    pub(crate) fn queue(clock: Clock) -> (Self, Receiver<Queued<Input>>) {
        let (sender, receiver) = flume::bounded(INPUT_QUEUE_LIMIT);
        (Self { sender, clock }, receiver)
    }

    /// Queues an input, unless the queue is full.
    pub(crate) fn try_send(&self, input: Input) -> Result<(), QueueFull> {
        let queued = self.queued(input);
        self.sender.try_send(queued).map_err(|_| QueueFull)
    }

    /// Queues an input, after a wait for room if need be.
    pub(crate) async fn send_async(&self, input: Input) {
        // Fails only when the control thread has ended, with the process.
        let _ = self.sender.send_async(self.queued(input)).await;
    }

    fn queued(&self, item: Input) -> Queued<Input> {
        Queued {
            since: self.clock.now(),
            item,
        }
    }
}

/// Where a reply goes.
#[derive(Debug)]
pub(crate) enum ReplyTarget {
    /// To an HTTP request that this process serves.
    Local(tokio::sync::oneshot::Sender<Reply>),
    /// To the call with the number that came over the link.
    Link(Relay, u64),
}

/// An effect that the traffic thread executes, in order. A time in it is the end
/// of the leader lease.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Sends a consensus message to another core.
    Send(id::Node, Message),
    /// Replies to a call. After the time, the reply says that the outcome is
    /// indeterminate; without a time the reply is always valid.
    Reply(ReplyTarget, Reply, Option<Time>),
    /// Sends an order to its worker. After the time, or without one, it isn't
    /// sent.
    Order(Order, Option<Time>),
    /// Sends a request to the adviser through the relay.
    RequestAdvice(Relay, AdviceRequest),
    /// Tells other processes where the leader is.
    LeaderHint(LeaderHint),
    /// Ends the process: the control thread has shut down.
    Stopped,
}

/// The control thread's state.
pub(crate) struct Control {
    pub(crate) node: Node,
    pub(crate) journal: Journal,
    pub(crate) clock: Clock,
    pub(crate) effects: Sender<Queued<Vec<Effect>>>,
    /// The orders that the traffic thread hasn't begun to send.
    pub(crate) order_backlog: Arc<AtomicUsize>,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    pub(crate) log_writer: LogWriter,
    /// The calls without a reply so far: its target, and when the call arrived.
    pub(crate) pending_replies: IndexMap<Ticket, (ReplyTarget, Time)>,
    pub(crate) last_ticket: u64,
    /// The outputs of the node's last flush while the disk is too full to store
    /// them; empty otherwise.
    pub(crate) unflushed: Vec<Output>,
    /// How many of these outputs, from the front, are on the disk already or
    /// don't have to be.
    pub(crate) written: usize,
    /// The last leader hint that went to the traffic thread.
    pub(crate) last_hint: LeaderHint,
    /// How long inputs wait in the queue.
    pub(crate) input_wait: Lateness,
    /// How long a pass takes: the flush of the node, without the journal.
    pub(crate) pass: Lateness,
}

impl Control {
    /// Runs until it is told to stop.
    ///
    /// # Errors
    ///
    /// The journal's fault, or [`Fault::Poisoned`] for a node that must not go on.
    /// No effect that depends on the failed write has been sent.
    pub(crate) fn run(mut self, inputs: &Receiver<Queued<Input>>) -> Result<(), Fault> {
        loop {
            match inputs.recv_timeout(self.next_wait()) {
                Ok(Queued {
                    item: Input::Stop, ..
                })
                | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => {
                    self.handle_input(input);
                    for input in inputs.try_iter().take(MAX_BATCH) {
                        if matches!(input.item, Input::Stop) {
                            return self.shut_down(inputs);
                        }
                        self.handle_input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.tick()?;
            if self.node.is_dispatch_held() {
                self.metrics.count("held_passes", 1);
                thread::sleep(HOLD_WAIT);
            }
        }
        self.shut_down(inputs)
    }

    /// How long to wait for an input: until the node's next due time.
    fn next_wait(&self) -> Duration {
        let left = self.node.due().since(self.clock.now());
        Duration::from(left).clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Ticks the node, unless outputs wait for space on the disk, and flushes it.
    fn tick(&mut self) -> Result<(), Fault> {
        let backlog = self.order_backlog.load(Ordering::Relaxed);
        self.node.set_order_backlog(backlog);
        if self.unflushed.is_empty() {
            self.node.tick(self.clock.now(), Clock::wall());
        }
        self.flush()
    }

    /// Feeds the node with an input. While the disk is full, calls are refused,
    /// and consensus messages are dropped; their senders repeat them.
    fn handle_input(&mut self, input: Queued<Input>) {
        let (now, wall) = (self.clock.now(), Clock::wall());
        self.input_wait.record(now.since(input.since), now);
        match input.item {
            Input::Call(_, target) if !self.unflushed.is_empty() => {
                let reply = Reply::Refused {
                    retry_after: DISK_FULL_RETRY,
                    reason: Refusal::Busy,
                };
                self.send_effects(vec![Effect::Reply(target, reply, None)]);
            }
            Input::Message(..) if !self.unflushed.is_empty() => {}
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
                let is_lost = matches!(
                    answer,
                    Answer::Lost | Answer::Unreachable | Answer::ConnectionRefused
                );
                if is_lost {
                    self.metrics.count("orders_lost", 1);
                }
                if answer == Answer::Unsent {
                    self.metrics.count("orders_unsent", 1);
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

    /// Transfers the leadership, and runs on until another node leads or
    /// [`TRANSFER_TIMEOUT`] is over.
    fn shut_down(&mut self, inputs: &Receiver<Queued<Input>>) -> Result<(), Fault> {
        let was_leader = self.node.consensus().role() == Role::Leader;
        self.node.transfer_leadership();
        let deadline = self.clock.now().after(TRANSFER_TIMEOUT);
        loop {
            self.tick()?;
            let own_id = self.node.consensus().id();
            let leader = self.node.consensus().leader();
            let is_transferred = leader.is_some_and(|leader| leader != own_id);
            if !was_leader || is_transferred || self.clock.now() >= deadline {
                self.send_effects(vec![Effect::Stopped]);
                return Ok(());
            }
            if let Ok(input) = inputs.recv_timeout(MIN_WAIT) {
                self.handle_input(input);
            }
        }
    }

    /// Stores the node's outputs that have to be durable, then sends the effects.
    ///
    /// If the disk is full the outputs stay in `unflushed`, and the next call
    /// tries again.
    fn flush(&mut self) -> Result<(), Fault> {
        let was_full = !self.unflushed.is_empty();
        if !was_full {
            let started = self.clock.now();
            self.unflushed = self.node.flush(started, Clock::wall());
            let now = self.clock.now();
            self.node.rest_placement(started, now);
            self.pass.record(now.since(started), now);
            if let Some(bytes) = self.node.job_memory() {
                self.metrics.set("job_memory_bytes", bytes);
            }
        }
        if self.unflushed.is_empty() {
            let hint = self.changed_hint();
            self.send_effects(hint.into_iter().collect());
            return Ok(());
        }
        match self.write_durable() {
            Err(fault) if fault.is_exhaustion() && was_full => return Ok(()),
            Err(fault) if fault.is_exhaustion() => {
                warn!(self.log, "disk_full"; "fault" => %fault);
                return Ok(());
            }
            Err(fault) => return Err(fault),
            Ok(()) => self.written = 0,
        }
        if was_full {
            info!(self.log, "disk_room");
        }
        let outputs = std::mem::take(&mut self.unflushed);
        let mut effects = Vec::with_capacity(outputs.len());
        for output in outputs {
            effects.extend(self.convert_output(output));
        }
        effects.extend(self.changed_hint());
        self.send_effects(effects);
        self.check_integrity()
    }

    /// The effect of an output that is stored as far as need be, if it has any.
    fn convert_output(&mut self, output: Output) -> Option<Effect> {
        match output {
            Output::Save(_) | Output::Store(_) | Output::Snapshot(_) => None,
            Output::Send(to, message) => Some(Effect::Send(to, message)),
            Output::Reply(ticket, reply, until) => {
                let (target, received_at) = self.pending_replies.swap_remove(&ticket)?;
                let took = self.clock.now().since(received_at);
                self.metrics.time("call", took.into());
                Some(Effect::Reply(target, reply, until))
            }
            Output::Order(order, until) => {
                self.metrics.count("orders", 1);
                self.order_backlog.fetch_add(1, Ordering::Relaxed);
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
                if let Some(counter) = decision.counter() {
                    self.metrics.count(counter, 1);
                }
                self.log_writer.write_line(decision);
                None
            }
        }
    }

    /// The current leader hint, if it differs from the last one.
    fn changed_hint(&mut self) -> Option<Effect> {
        let consensus = self.node.consensus();
        // A leader that was cut off from the majority may not have noticed yet;
        // only the lease proves that it still leads.
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
            // Fails only when the traffic thread has ended, with the process.
            let _ = self.effects.send(Queued {
                since: self.clock.now(),
                item: effects,
            });
        }
    }

    /// Fails if the node's state is corrupt or its identity was revoked.
    fn check_integrity(&self) -> Result<(), Fault> {
        if self.node.is_corrupt() {
            crit!(self.log, "broken";
                "reason" => "the snapshot or the log can't be decoded");
            return Err(Fault::Poisoned);
        }
        if self.node.consensus().identity_status() == IdentityStatus::Revoked {
            crit!(self.log, "refused";
                "reason" => "the disk lost votes or entries that were acknowledged");
            return Err(Fault::Poisoned);
        }
        Ok(())
    }

    fn write_durable(&mut self) -> Result<(), Fault> {
        if self
            .unflushed
            .iter()
            .all(|output| durable(output).is_none())
        {
            return Ok(());
        }
        let started = self.clock.now();
        write(
            &mut self.journal,
            &self.unflushed,
            durable,
            &mut self.written,
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

/// The control address of the core on a VM: cores of a fleet share the port.
pub(crate) fn control_address(
    own: std::net::SocketAddr,
    vm: Ipv4Addr,
) -> std::net::SocketAddr {
    (vm, own.port()).into()
}
