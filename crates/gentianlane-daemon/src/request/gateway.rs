//! A call from outside, on its way to whoever leads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use gentianlane::admit::Budget;
use gentianlane::api::{Call, Reply};
use gentianlane::id;
use gentianlane::route::{Forward, LinkError, Next};

use crate::channel::ControlSender;
use crate::clock::Clock;
use crate::connection::rpc::{self, Fault};
use crate::process::view;
use crate::request::local;

/// How many calls may be asked again at once after lost replies.
const RETRIES: u32 = 256;

/// The way from a listener to the leader.
#[derive(Clone)]
pub(crate) struct Entry {
    node: id::Node,
    control: ControlSender,
    view: view::Shared,
    clock: Clock,
    forward: rpc::Forward,
    budget: Arc<Mutex<Budget>>,
}

impl Entry {
    pub(crate) fn new(
        node: id::Node,
        control: ControlSender,
        view: view::Shared,
        clock: Clock,
        forward: rpc::Forward,
    ) -> Self {
        Self {
            node,
            control,
            view,
            clock,
            forward,
            budget: Arc::new(Mutex::new(Budget::new(RETRIES))),
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
        let mut forward = Forward::new(call.clone(), self.clock.now());
        loop {
            let heard = self.ask_once(&forward.current_call(self.clock.now()));
            let next = forward.handle_reply(
                heard.map_err(cut),
                self.clock.now(),
                &mut self.budget(),
                &mut rand::rng(),
            );
            match next {
                Next::Retry(pause) => thread::sleep(pause.into()),
                Next::Reply(reply) => return reply,
            }
        }
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
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
}

fn cut(fault: Fault) -> LinkError {
    match fault {
        Fault::Unreachable => LinkError::Unreachable,
        Fault::Lost => LinkError::ReplyLost,
    }
}
