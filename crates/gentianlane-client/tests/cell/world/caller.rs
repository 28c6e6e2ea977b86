//! Callers that resend for ever.

use gentianlane::api::{Call, Cancel, Reply, Submit};
use gentianlane::id;
use gentianlane::unit::{Span, Time};
use rand::RngExt;

use super::{Packet, Peer, World};

/// How long a call is held.
const HOLD: Span = Span::from_millis(300);

/// What one caller wants.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    pub(crate) key: id::Key,
    pub(crate) workload: &'static str,
    pub(crate) payload: String,
    pub(crate) output: String,
    pub(crate) tasks: u32,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Option<Span>,
}

pub(crate) struct Caller {
    pub(crate) wish: Wish,
    pub(crate) cancels: bool,
    /// How often it has heard a final reply.
    pub(crate) heard: u32,
    next: Time,
    calls: u64,
}

impl World {
    /// A caller that wants a workload run with a script as its payload.
    pub(crate) fn want(
        &mut self,
        workload: &'static str,
        script: &str,
        deadline: Option<Span>,
    ) -> usize {
        let at = self.callers.len();
        let random = self.random.random();
        let (tasks, idempotent) = match workload {
            "duo" => (2, false),
            "trio" => (3, true),
            "notice" => (1, false),
            _ => (1, true),
        };
        let wish = Wish {
            key: id::Key::new(self.wall(), &random),
            workload,
            payload: format!("r{at} {script}"),
            output: format!("r{at}"),
            tasks,
            idempotent,
            deadline,
        };
        self.callers.push(Caller {
            wish,
            cancels: false,
            heard: 0,
            next: self.now,
            calls: 0,
        });
        at
    }

    pub(crate) fn step_callers(&mut self) {
        for at in 0..self.callers.len() {
            if self.now >= self.callers[at].next {
                self.resend(at);
            }
        }
        let wishes: Vec<Wish> = self
            .callers
            .iter()
            .map(|caller| caller.wish.clone())
            .collect();
        self.oracle.check(&wishes);
    }

    pub(crate) fn resend(&mut self, at: usize) {
        let to = self.any_host();
        let pause = self.random.random_range(50..400);
        let caller = &mut self.callers[at];
        caller.calls += 1;
        let rare = if caller.heard > 3 { 20 } else { 1 };
        caller.next = self.now.after(Span::from_millis(pause * rare));
        let wish = &caller.wish;
        let call = match caller.cancels && caller.calls.is_multiple_of(2) {
            true => Call::Cancel(Cancel {
                key: wish.key,
                hold: HOLD,
            }),
            false => Call::Submit(wish.submit()),
        };
        let from = Peer::Caller(at, caller.calls);
        let packet = Packet::Call { from, to, call };
        self.net.send(&packet, self.now, &mut self.random);
    }

    pub(crate) fn heard(&mut self, at: usize, reply: &Reply) {
        let is_final = match reply {
            Reply::Answer(_) => true,
            Reply::Refused(refusal) => refusal.outcome.retry_after.is_none(),
            _ => false,
        };
        if is_final {
            self.callers[at].heard += 1;
        }
    }
}

impl Wish {
    pub(crate) fn submit(&self) -> Submit {
        Submit {
            key: self.key,
            team: id::Team::from("town"),
            workload: id::Workload::from(self.workload),
            payload: self.payload.clone(),
            count: None,
            deadline: self.deadline,
            trace: None,
            hold: HOLD,
        }
    }
}
