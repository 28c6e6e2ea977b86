//! A node with its disk and the state of its process.

use gentianlane::api::Call;
use gentianlane::cell::{Node, Output, Setup, Ticket};
use gentianlane::consensus::{self, DurableState, Message, Timing};
use gentianlane::unit::{Span, Time, Wall};
use gentianlane::{id, lease, place};

/// How many inputs a paused process finds waiting when it goes on.
const WAITING_LIMIT: usize = 512;

/// What waits for a paused process.
enum Input {
    Message(id::Node, Message),
    Call(Ticket, Box<Call>),
}

/// A node with its disk and the state of its process.
pub(crate) struct Host {
    pub(crate) id: id::Node,
    setup: Setup,
    node: Option<Node>,
    pub(crate) saved: DurableState,
    paused: bool,
    /// Since when the whole VM stands still with its clock.
    suspended: Option<Time>,
    /// How far its clock is behind, from all suspensions.
    lag: Span,
    waiting: Vec<Input>,
}

impl Host {
    pub(crate) fn new(id: id::Node, all: &[id::Node], seed: u64, now: Time) -> Self {
        let consensus = consensus::Setup {
            node: id,
            voters: all.iter().copied().collect(),
            learners: Vec::new(),
            timing: Timing::default(),
            seed: seed ^ id.0,
        };
        let place = place::Setup { seed };
        let setup = Setup {
            consensus,
            lease: lease::Timing::default(),
            place,
        };
        let saved = DurableState::default();
        let node = Some(Node::new(setup.clone(), saved.clone(), now));
        Self {
            id,
            setup,
            node,
            saved,
            paused: false,
            suspended: None,
            lag: Span::ZERO,
            waiting: Vec::new(),
        }
    }

    /// The time on the process's own clock.
    pub(crate) fn clock(&self, now: Time) -> Time {
        let now = self.suspended.unwrap_or(now);
        Time::from_millis(
            now.since(Time::default())
                .saturating_sub(self.lag)
                .as_millis(),
        )
    }

    /// The VM stands still, and its clock with it.
    pub(crate) fn suspend(&mut self, now: Time) {
        self.paused = true;
        self.suspended = Some(now);
    }

    pub(crate) fn is_down(&self) -> bool {
        self.node.is_none()
    }

    /// Whether its clock ever stood still: then it may take itself for leader
    /// for a moment, and what matters is what it can still do.
    pub(crate) fn was_suspended(&self) -> bool {
        self.lag > Span::ZERO
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.paused
    }

    pub(crate) fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    pub(crate) fn leads(&self, now: Time) -> bool {
        self.node
            .as_ref()
            .is_some_and(|node| node.consensus().holds_lease(self.clock(now)))
    }

    pub(crate) fn leader(&self) -> Option<id::Node> {
        self.node.as_ref()?.consensus().leader()
    }

    /// A node that isn't among the first voters, with an empty disk.
    pub(crate) fn learner(
        id: id::Node,
        voters: &[id::Node],
        seed: u64,
        now: Time,
    ) -> Self {
        let mut host = Self::new(id, voters, seed, now);
        host.start(now);
        host
    }

    /// Begins the process with what the disk holds, in a cell that isn't new.
    fn start(&mut self, now: Time) {
        let domain = id::Domain(format!("domain-{}", self.id));
        let site = consensus::Attributes { disk: true, domain };
        let now = self.clock(now);
        let node = Node::new(self.setup.clone(), self.saved.clone(), now);
        self.node = Some(node.with_attributes(site).in_existing_cell());
    }

    /// The disk is lost with the process; the node comes back without either.
    pub(crate) fn wipe(&mut self, now: Time) {
        self.kill();
        self.saved = DurableState::default();
        self.start(now);
    }

    /// Puts a snapshot in place of the log.
    pub(crate) fn compact(&mut self) {
        if let Some(node) = &mut self.node {
            node.compact();
        }
    }

    pub(crate) fn kill(&mut self) {
        self.node = None;
        self.paused = false;
        self.waiting.clear();
    }

    pub(crate) fn restart(&mut self, now: Time) {
        self.kill();
        self.start(now);
    }

    pub(crate) fn pause(&mut self) {
        self.paused = true;
    }

    pub(crate) fn resume(&mut self, now: Time, wall: Wall) {
        self.paused = false;
        if let Some(since) = self.suspended.take() {
            self.lag += now.since(since);
        }
        for input in std::mem::take(&mut self.waiting) {
            match input {
                Input::Message(from, message) => self.receive(from, message, now),
                Input::Call(ticket, call) => {
                    self.call(ticket, *call, now, wall);
                }
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Time, wall: Wall) {
        let now = self.clock(now);
        if let (Some(node), false) = (&mut self.node, self.paused) {
            node.tick(now, wall);
        }
    }

    pub(crate) fn receive(&mut self, from: id::Node, message: Message, now: Time) {
        if self.paused {
            return self.keep(Input::Message(from, message));
        }
        let now = self.clock(now);
        if let Some(node) = &mut self.node {
            node.receive(from, message, now);
        }
    }

    pub(crate) fn call(
        &mut self,
        ticket: Ticket,
        call: Call,
        now: Time,
        wall: Wall,
    ) -> Option<()> {
        if self.paused {
            self.keep(Input::Call(ticket, Box::new(call)));
            return Some(());
        }
        let now = self.clock(now);
        self.node.as_mut()?.call(ticket, call, now, wall);
        Some(())
    }

    fn keep(&mut self, input: Input) {
        if self.waiting.len() < WAITING_LIMIT {
            self.waiting.push(input);
        }
    }

    /// What the node wants done, with its disk written first.
    pub(crate) fn flush(&mut self, now: Time, wall: Wall) -> Vec<Output> {
        let now = self.clock(now);
        let (Some(node), false) = (&mut self.node, self.paused) else {
            return Vec::new();
        };
        let outputs = node.flush(now, wall);
        for output in &outputs {
            match output {
                Output::Save(ballot) => self.saved.ballot = *ballot,
                Output::Store(entries) => {
                    let first = entries.first().map(|entry| entry.index);
                    let before = |index| first.is_none_or(|first| index < first);
                    self.saved.entries.retain(|entry| before(entry.index));
                    self.saved.entries.extend(entries.iter().cloned());
                }
                Output::Snapshot(snapshot) => {
                    let last = snapshot.last.index;
                    self.saved.entries.retain(|entry| entry.index > last);
                    self.saved.snapshot = Some(snapshot.clone());
                }
                Output::Send(..) | Output::Reply(..) | Output::Role(_) => {}
            }
        }
        outputs
    }
}
