//! Fake workers: the simulated worker's state machine on virtual time.

use gentianlane::api::{Announce, Call, Lease, Leave, Reply};
use gentianlane::id::{self, Incarnation};
use gentianlane::unit::{Size, Span, Time};
use gentianlane::verdict::Reason;
use gentianlane_client::simulated::State;

use super::{Packet, Peer, World};

/// How long a renewal is held for orders.
const HOLD: Span = Span::from_millis(200);

/// When a call that got no reply is sent again.
const AGAIN: Span = Span::from_millis(600);

/// How many tasks of the test's size a worker holds.
pub(crate) const ROOM: u64 = 3;

pub(crate) struct Fake {
    pub(crate) name: id::Worker,
    pub(crate) life: u64,
    pub(crate) state: State,
    pub(crate) room: u64,
    pub(crate) awake_at: Time,
    /// Whether the cell has taken the announcement.
    known: bool,
    /// The number of the newest call.
    calls: u64,
    /// When the next renewal or announcement is sent if no reply comes.
    pub(crate) next: Time,
    next_report: Time,
    inbox: Vec<(Peer, Reply)>,
}

impl Fake {
    pub(crate) fn new(at: usize) -> Self {
        let name = id::Worker(format!("w{at}"));
        Self {
            state: State::new(name.clone(), Incarnation(1)),
            name,
            life: 1,
            room: ROOM,
            awake_at: Time::from_millis(0),
            known: false,
            calls: 0,
            next: Time::from_millis(0),
            next_report: Time::from_millis(0),
            inbox: Vec::new(),
        }
    }

    /// The process dies with all its tasks, and another one begins.
    pub(crate) fn restart(&mut self) {
        self.life += 1;
        self.state = State::new(self.name.clone(), Incarnation(self.life));
        self.known = false;
        self.inbox.clear();
    }

    pub(crate) fn announce(&self) -> Announce {
        Announce {
            worker: self.name.clone(),
            incarnation: Incarnation(self.life),
            size: Size::new(self.room * 1_000, self.room * 1_000, 0),
            region: id::Region::default(),
            domain: id::Domain::from("d"),
            rack: id::Rack::from("k"),
            address: String::new(),
        }
    }

    fn next_call(&mut self) -> Call {
        if !self.known {
            return Call::Announce(self.announce());
        }
        Call::Renew(self.state.renewal(HOLD))
    }
}

impl World {
    pub(crate) fn step_workers(&mut self) {
        for at in 0..self.workers.len() {
            if self.now >= self.workers[at].awake_at {
                self.step_worker(at);
            }
        }
        self.check_places();
    }

    fn step_worker(&mut self, at: usize) {
        let now = self.now;
        self.workers[at].state.tick(now);
        for (peer, reply) in std::mem::take(&mut self.workers[at].inbox) {
            self.take_reply(at, peer, reply);
        }
        if now >= self.workers[at].next {
            self.workers[at].next = now.after(AGAIN);
            let call = self.workers[at].next_call();
            self.worker_calls(at, call);
        }
        if now >= self.workers[at].next_report {
            self.workers[at].next_report = now.after(Span::from_millis(100));
            for finish in self.workers[at].state.results() {
                self.worker_calls(at, Call::Finish(finish));
            }
        }
    }

    fn worker_calls(&mut self, at: usize, call: Call) {
        let to = self.leader_guess();
        let worker = &mut self.workers[at];
        worker.calls += 1;
        let life = worker.life;
        let from = match &call {
            Call::Finish(finish) => {
                Peer::Worker(at, life, self.now, token_number(&finish.token))
            }
            _ => Peer::Worker(at, life, self.now, 0),
        };
        let packet = Packet::Call { from, to, call };
        self.net.send(&packet, self.now, &mut self.random);
    }

    /// Mostly the leader, as an entry would find it; at times any node.
    fn leader_guess(&mut self) -> usize {
        let any = self.any_host();
        match rand::RngExt::random_range(&mut self.random, 0..4) {
            0 => any,
            _ => self.leader().unwrap_or(any),
        }
    }

    pub(crate) fn worker_heard(&mut self, at: usize, peer: Peer, reply: Reply) {
        let Peer::Worker(_, life, ..) = peer else {
            return;
        };
        if life == self.workers[at].life {
            self.workers[at].inbox.push((peer, reply));
        }
    }

    fn take_reply(&mut self, at: usize, peer: Peer, reply: Reply) {
        let Peer::Worker(_, _, sent, number) = peer else {
            return;
        };
        let now = self.now;
        let worker = &mut self.workers[at];
        match reply {
            Reply::Lease(lease) => self.take_lease(at, lease, sent),
            Reply::Done if number > 0 => {
                let tokens = worker.state.tokens();
                let token = tokens.iter().find(|token| token_number(token) == number);
                if let Some(token) = token {
                    worker.state.acknowledge(token, now);
                }
            }
            Reply::Done => {
                worker.known = true;
                worker.next = now;
            }
            Reply::Refused(refusal) if refusal.outcome.reason == Reason::WorkerLost => {
                worker.known = false;
                worker.next = now;
            }
            _ => worker.next = now.after(Span::from_millis(50)),
        }
    }

    fn take_lease(&mut self, at: usize, lease: Lease, sent: Time) {
        let now = self.now;
        let worker = &mut self.workers[at];
        worker.next = now;
        let begun = worker.state.handle_lease(lease, sent, now);
        for run in begun {
            self.oracle.began(&run.payload, run.token.task);
            if run.script.ending == gentianlane::api::Ending::Done {
                self.oracle.done(&run.payload);
            }
        }
    }

    /// No task in two places, and no worker over its room.
    fn check_places(&mut self) {
        let mut places = indexmap::IndexMap::new();
        for worker in &self.workers {
            let runs: Vec<_> = worker.state.runs().collect();
            if !worker.state.has_lease(self.now) {
                continue;
            }
            if runs.len() as u64 > ROOM {
                let text = format!("{} runs {} tasks", worker.name, runs.len());
                self.oracle.faults.push(text);
            }
            for run in runs {
                let other = places.insert(run.token.task, &worker.name);
                if let Some(other) = other {
                    let text = format!("{} at {other} and {}", run.token, worker.name);
                    self.oracle.faults.push(text);
                }
            }
        }
    }

    /// A worker says that it goes; its tasks are gone.
    pub(crate) fn leave_worker(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        let leave = Leave {
            worker: worker.name.clone(),
            incarnation: Incarnation(worker.life),
        };
        worker.restart();
        self.worker_calls(at, Call::Leave(leave));
    }
}

/// A number from one on that tells a worker's tokens apart.
fn token_number(token: &id::Token) -> u64 {
    1 + token.attempt.0 + 64 * (u64::from(token.task.rank) + 16 * token.task.job.0)
}
