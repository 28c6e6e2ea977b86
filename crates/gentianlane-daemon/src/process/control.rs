//! The control thread, which owns the cell's node, its journal and its clock.
//!
//! It takes inputs from one queue, advances the node and carries out the node's
//! outputs. Outputs that have to be durable are written before any other output
//! of the same flush is sent.

use std::collections::HashMap;
use std::time::Duration;

use flume::{RecvTimeoutError, Sender};
use gentianlane::api::Reply;
use gentianlane::cell::{Node, Output, Ticket};
use gentianlane::consensus::{Body, IdentityStatus, Message, Role};
use gentianlane::id;
use gentianlane::unit::{Span, Time};
use gentianlane_store::{Fault, Journal};
use slog::{Logger, crit, info, warn};

use crate::channel::{ControlReceiver, Input, LeasedReply};
use crate::clock::Clock;
use crate::connection::peer::Outbox;
use crate::durable::{Write, write};
use crate::process::telemetry::metrics::Metrics;
use crate::process::{disk_full, view};

/// The longest time between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The longest wait at shutdown for another node to become the leader.
const TRANSFER_TIMEOUT: Span = Span::from_secs(2);

/// The interval at which the length of the input queue is reported.
const GAUGE_INTERVAL: Span = Span::from_secs(1);

/// The most further inputs handled before the node is flushed.
const MAX_BATCH: usize = 1_024;

/// The state of the control thread.
pub(crate) struct Control {
    pub(crate) node: Node,
    pub(crate) journal: Option<Journal>,
    pub(crate) clock: Clock,
    pub(crate) view: view::Shared,
    pub(crate) outbox: Outbox,
    pub(crate) metrics: Metrics,
    pub(crate) next_gauge: Time,
    pub(crate) log: Logger,
    pub(crate) replies: HashMap<Ticket, Sender<LeasedReply>>,
    pub(crate) last_ticket: u64,
    /// The outputs of the node's last flush while the disk is too full to
    /// store them; empty otherwise.
    pub(crate) unflushed: Vec<Output>,
    /// How many of `unflushed`, from the front, are on the disk already or
    /// don't have to be.
    pub(crate) written: usize,
}

impl Control {
    /// Runs until [`Input::Stop`] arrives or all senders are gone.
    ///
    /// # Errors
    ///
    /// A fault of the journal other than a full disk, before any output that
    /// depends on the failed write is sent; [`Fault::Poisoned`] if the node's
    /// state is corrupt or its identity is revoked.
    pub(crate) fn run(mut self, inputs: &ControlReceiver) -> Result<(), Fault> {
        loop {
            match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => {
                    self.handle_input(input);
                    for input in inputs.try_iter().take(MAX_BATCH) {
                        if matches!(input, Input::Stop) {
                            return self.shut_down(inputs);
                        }
                        self.handle_input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.unflushed.is_empty() {
                self.node.tick(self.clock.now(), Clock::wall());
            }
            self.flush()?;
            self.report_queue_length(inputs.len());
        }
        self.shut_down(inputs)
    }

    /// Reports the length of the input queue once per [`GAUGE_INTERVAL`].
    fn report_queue_length(&mut self, waiting: usize) {
        let now = self.clock.now();
        if now >= self.next_gauge {
            self.next_gauge = now.after(GAUGE_INTERVAL);
            self.metrics.control_queue_length(waiting);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Call(call, reply) if !self.unflushed.is_empty() => {
                let now = self.clock.now();
                let refusal = disk_full::refusal(&self.node, &self.unflushed, &call, now);
                let until = self.node.consensus().lease_expiry();
                let refused = Reply::Refused(refusal);
                let _ = reply.try_send(LeasedReply {
                    reply: refused,
                    until,
                });
            }
            Input::Message(from, message) if !self.unflushed.is_empty() => {
                self.observe_leader(from, &message);
            }
            Input::Call(call, reply) => {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.replies.insert(ticket, reply);
                self.node
                    .call(ticket, call, self.clock.now(), Clock::wall());
            }
            Input::Message(from, message) => {
                self.node.receive(from, message, self.clock.now());
            }
            Input::Stop => {}
        }
    }

    /// Routes calls to a leader that can still write while this node is blocked
    /// by a full disk.
    fn observe_leader(&self, from: id::Node, message: &Message) {
        let is_newer = message.term >= self.node.consensus().term();
        if is_newer && matches!(message.body, Body::Append(_)) {
            self.view.set_leader(Some(from));
        }
    }

    /// Transfers leadership, and goes on serving until another node leads or
    /// [`TRANSFER_TIMEOUT`] is over.
    fn shut_down(&mut self, inputs: &ControlReceiver) -> Result<(), Fault> {
        let was_leader = self.node.consensus().role() == Role::Leader;
        self.node.transfer_leadership();
        let deadline = self.clock.now().after(TRANSFER_TIMEOUT);
        loop {
            self.flush()?;
            let own_id = self.node.consensus().id();
            let leader = self.node.consensus().leader();
            let is_transferred = leader.is_some_and(|leader| leader != own_id);
            if !was_leader || is_transferred || self.clock.now() >= deadline {
                return Ok(());
            }
            if let Ok(input) = inputs.recv_timeout(TICK_INTERVAL) {
                self.handle_input(input);
            }
            if self.unflushed.is_empty() {
                self.node.tick(self.clock.now(), Clock::wall());
            }
        }
    }

    /// Carries out the node's outputs, the durable ones first.
    ///
    /// On a full disk all outputs are kept in `unflushed`, and the next flush
    /// tries them again before the node advances.
    fn flush(&mut self) -> Result<(), Fault> {
        let was_full = !self.unflushed.is_empty();
        if !was_full {
            self.unflushed = self.node.flush(self.clock.now(), Clock::wall());
        }
        if self.unflushed.is_empty() {
            return Ok(());
        }
        match self.write_durable() {
            Err(fault) if fault.is_exhaustion() && was_full => return Ok(()),
            Err(fault) if fault.is_exhaustion() => {
                warn!(self.log, "disk_full"; "fault" => %fault);
                return Ok(());
            }
            Err(fault) => {
                warn!(self.log, "journal"; "fault" => %fault);
                return Err(fault);
            }
            Ok(()) => self.written = 0,
        }
        if was_full {
            info!(self.log, "disk_room");
        }
        for output in std::mem::take(&mut self.unflushed) {
            match output {
                Output::Save(_) | Output::Store(_) | Output::Snapshot(_) => {}
                Output::Send(to, message) => self.outbox.send(to, message),
                Output::Reply(ticket, reply, until) => {
                    if let Some(sender) = self.replies.remove(&ticket) {
                        let _ = sender.try_send(LeasedReply { reply, until });
                    }
                }
                Output::Role(role) => {
                    let term = self.node.consensus().term();
                    self.metrics.role_change(role);
                    info!(self.log, "role"; "role" => ?role, "term" => %term);
                }
            }
        }
        self.view.set_leader(self.node.consensus().leader());
        self.check_usable()
    }

    /// Fails if the node's state is corrupt or its identity has been revoked.
    fn check_usable(&self) -> Result<(), Fault> {
        if self.node.is_corrupt() {
            crit!(self.log, "broken"; "reason" => "the snapshot can't be decoded");
            return Err(Fault::Poisoned);
        }
        if self.node.consensus().identity_status() == IdentityStatus::Revoked {
            let reason = "the disk lost votes or entries that were acknowledged; \
                rejoin under a new node number";
            crit!(self.log, "refused"; "reason" => reason);
            return Err(Fault::Poisoned);
        }
        Ok(())
    }

    /// Writes and syncs the outputs that have to be durable.
    fn write_durable(&mut self) -> Result<(), Fault> {
        let Some(journal) = &mut self.journal else {
            return Ok(());
        };
        if self
            .unflushed
            .iter()
            .all(|output| as_write(output).is_none())
        {
            return Ok(());
        }
        let started = self.clock.now();
        let stored = write(journal, &self.unflushed, as_write, &mut self.written);
        self.metrics
            .journal_sync(self.clock.now().since(started).into());
        stored
    }
}

/// The durable write of an output, if it has to be durable.
fn as_write(output: &Output) -> Option<Write<'_>> {
    match output {
        Output::Save(ballot) => Some(Write::Ballot(ballot)),
        Output::Store(entries) => Some(Write::Entries(entries)),
        Output::Snapshot(snapshot) => Some(Write::Snapshot(snapshot)),
        Output::Send(..) | Output::Reply(..) | Output::Role(_) => None,
    }
}
