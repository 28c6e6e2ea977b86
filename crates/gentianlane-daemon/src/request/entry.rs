//! A call from outside, on its way to whoever leads.

use std::thread;
use std::time::{Duration, Instant};

use gentianlane::api::{Call, Refusal, Reply};
use gentianlane::id;
use gentianlane::unit::Span;
use gentianlane::verdict::Reason;
use rand::RngExt;

use crate::channel::Control;
use crate::clock::Clock;
use crate::connection::rpc::{Fault, Forward};
use crate::process::view;
use crate::request::local;

/// How long a call looks for a leader beyond its own hold.
const LEADER_PATIENCE: Duration = Duration::from_secs(3);

/// The pause before the leader is looked for again.
const PAUSE: Duration = Duration::from_millis(50);

/// When to come back if no leader was found.
const NO_QUORUM_RETRY: Span = Span::from_millis(500);

/// The way from a listener to the leader.
#[derive(Clone)]
pub(crate) struct Entry {
    node: id::Node,
    control: Control,
    view: view::Shared,
    clock: Clock,
    forward: Forward,
}

impl Entry {
    pub(crate) fn new(
        node: id::Node,
        control: Control,
        view: view::Shared,
        clock: Clock,
        forward: Forward,
    ) -> Self {
        Self {
            node,
            control,
            view,
            clock,
            forward,
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.view.get().stopping
    }

    pub(crate) fn is_ready(&self) -> bool {
        let view = self.view.get();
        view.leader.is_some() && !view.stopping
    }

    /// Asks whoever leads, and asks again where that is safe.
    ///
    /// Every call may be asked again: requests by their keys, the rest because
    /// it changes nothing the second time.
    pub(crate) fn ask(&self, call: &Call) -> Reply {
        let end = Instant::now() + LEADER_PATIENCE;
        let mut may_have_arrived = false;
        loop {
            match self.ask_once(call) {
                Ok(Reply::Refused(refusal))
                    if refusal.outcome.reason == Reason::NoQuorum => {}
                Ok(reply) => return reply,
                Err(Fault::Unreachable) => {}
                Err(Fault::Lost) => may_have_arrived = true,
            }
            if Instant::now() >= end {
                return self.give_up(may_have_arrived);
            }
            thread::sleep(rand::rng().random_range(PAUSE..PAUSE * 2));
        }
    }

    fn ask_once(&self, call: &Call) -> Result<Reply, Fault> {
        match self.view.get().leader {
            Some(leader) if leader == self.node => {
                let _span = self.forward.hop("control", call);
                Ok(local::ask(&self.control, &self.clock, call.clone()))
            }
            Some(leader) => self.forward.call(leader, call),
            None => Err(Fault::Unreachable),
        }
    }

    fn give_up(&self, may_have_arrived: bool) -> Reply {
        if may_have_arrived {
            return local::pending();
        }
        let refusal = Refusal::not_run(Reason::NoQuorum, "no leader can be reached");
        Reply::Refused(refusal.retry_after(NO_QUORUM_RETRY))
    }
}
