//! A cell of one node that leads, on virtual time.

use gentianlane::api::{Call, Reply};
use gentianlane::cell::{self, Node, Output, Ticket};
use gentianlane::consensus;
use gentianlane::unit::{Span, Time, Wall};
use gentianlane::{id, lease, place};

/// The civil time of every call.
pub(crate) const WALL: Wall = Wall::from_millis(1_800_000_000_000);

/// How far time moves in one step.
pub(crate) const STEP: Span = Span::from_millis(10);

/// A node that leads, and the time.
pub(crate) struct Solo {
    pub(crate) node: Node,
    now: Time,
}

impl Solo {
    /// A node that has led for a while.
    pub(crate) fn new(seed: u64) -> Self {
        let setup = cell::Setup {
            consensus: consensus::Setup {
                node: id::Node(1),
                voters: [id::Node(1)].into_iter().collect(),
                learners: Vec::new(),
                timing: consensus::Timing::default(),
                seed,
            },
            lease: lease::Timing::default(),
            place: place::Setup { seed },
        };
        let now = Time::from_millis(0);
        let node = Node::new(setup, consensus::DurableState::default(), now);
        let mut solo = Self { node, now };
        solo.pass(Span::from_secs(10));
        solo
    }

    /// Makes a call; its reply comes as time passes.
    pub(crate) fn call(&mut self, ticket: u64, call: Call) {
        self.node.call(Ticket(ticket), call, self.now, WALL);
    }

    /// The replies that leave in this span.
    pub(crate) fn pass(&mut self, span: Span) -> Vec<(Ticket, Reply)> {
        let end = self.now.after(span);
        let mut replies = Vec::new();
        while self.now < end {
            self.now = self.now.after(STEP);
            self.node.tick(self.now, WALL);
            for output in self.node.flush(self.now, WALL) {
                if let Output::Reply(ticket, reply, _) = output {
                    replies.push((ticket, reply));
                }
            }
        }
        replies
    }
}
