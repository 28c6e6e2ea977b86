//! Routes a caller's call to the current leader, with retries.

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

/// The most retries after lost replies that the retry budget holds.
const RETRY_BUDGET: u32 = 256;

/// Sends calls to the leader: this node's control thread or another node.
#[derive(Clone)]
pub(crate) struct Gateway {
    node: id::Node,
    control: ControlSender,
    view: view::Shared,
    clock: Clock,
    rpc: rpc::Client,
    retry_budget: Arc<Mutex<Budget>>,
}

impl Gateway {
    pub(crate) fn new(
        node: id::Node,
        control: ControlSender,
        view: view::Shared,
        clock: Clock,
        rpc: rpc::Client,
    ) -> Self {
        Self {
            node,
            control,
            view,
            clock,
            rpc,
            retry_budget: Arc::new(Mutex::new(Budget::new(RETRY_BUDGET))),
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.view.get().stopping
    }

    pub(crate) fn is_ready(&self) -> bool {
        let view = self.view.get();
        view.leader.is_some() && !view.stopping
    }

    /// Sends a call to the current leader and retries until it is answered or
    /// [`Forward`] gives up.
    ///
    /// Repeating a call is safe: requests are deduplicated by their keys, and all
    /// other calls are idempotent.
    pub(crate) fn call(&self, call: &Call) -> Reply {
        let mut forward = Forward::new(call.clone(), self.clock.now());
        loop {
            let reply = self.call_once(&forward.current_call(self.clock.now()));
            let next = forward.handle_reply(
                reply.map_err(link_error),
                self.clock.now(),
                &mut self.retry_budget(),
                &mut rand::rng(),
            );
            match next {
                Next::Retry(delay) => thread::sleep(delay.into()),
                Next::Reply(reply) => return reply,
            }
        }
    }

    fn retry_budget(&self) -> MutexGuard<'_, Budget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn call_once(&self, call: &Call) -> Result<Reply, Fault> {
        match self.view.get().leader {
            Some(leader) if leader == self.node => {
                let _span = self.rpc.start_span("control", call);
                Ok(local::call(&self.control, &self.clock, call.clone()))
            }
            Some(leader) => self.rpc.call(leader, call),
            None => Err(Fault::Unreachable),
        }
    }
}

fn link_error(fault: Fault) -> LinkError {
    match fault {
        Fault::Unreachable => LinkError::Unreachable,
        Fault::ReplyLost => LinkError::ReplyLost,
    }
}
