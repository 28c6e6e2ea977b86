//! Whole cores joined by hand-carried packets, fake workers that keep the
//! worker's real rules, and callers that resend for ever, on virtual time.

mod caller;
mod oracle;
mod packet;
mod worker;

use gentianlane::api::{Call, NoteText, Reply};
use gentianlane::cell::{Node, Output, Setup, Ticket};
use gentianlane::consensus::{DurableState, Setup as AgreeSetup, Timing, Voters};
use gentianlane::unit::{Span, Time, Wall};
use gentianlane::{id, lease, place};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use caller::{Caller, Wish};
pub(crate) use oracle::Oracle;
pub(crate) use packet::{Hop, Net, Packet, Peer};
pub(crate) use worker::Fake;

/// One step of virtual time.
const STEP: Span = Span::from_millis(10);

/// Civil time at the origin of virtual time, in milliseconds.
const ORIGIN: u64 = 1_800_000_000_000;

/// Short leases, so that histories are short.
pub(crate) const TERM: lease::Timing = lease::Timing {
    duration: Span::from_millis(2_000),
    clock_drift_margin: Span::from_millis(100),
};

/// A node's process, its disk and what is wrong with it.
pub(crate) struct Host {
    pub(crate) node: Option<Node>,
    pub(crate) saved: DurableState,
    pub(crate) up_at: Time,
    pub(crate) awake_at: Time,
    /// After how many outputs of a flush the process dies.
    pub(crate) dies_after: Option<usize>,
    /// The packets that came while it was paused.
    pub(crate) inbox: Vec<Packet>,
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) hosts: Vec<Host>,
    pub(crate) workers: Vec<Fake>,
    pub(crate) callers: Vec<Caller>,
    pub(crate) net: Net,
    pub(crate) oracle: Oracle,
    pub(crate) random: ChaCha8Rng,
    tickets: Vec<Peer>,
}

impl World {
    pub(crate) fn new(nodes: u64, workers: usize, seed: u64) -> Self {
        let now = Time::from_millis(0);
        let host = |node| Host {
            node: Some(Node::new(setup(node, nodes), DurableState::default(), now)),
            saved: DurableState::default(),
            up_at: now,
            awake_at: now,
            dies_after: None,
            inbox: Vec::new(),
        };
        let mut world = Self {
            now,
            hosts: (1..=nodes).map(host).collect(),
            workers: (0..workers).map(Fake::new).collect(),
            callers: Vec::new(),
            net: Net::default(),
            oracle: Oracle::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            tickets: Vec::new(),
        };
        world.run(Span::from_secs(5));
        world.note(include_str!("note.json"));
        world
    }

    pub(crate) fn wall(&self) -> Wall {
        Wall::from_millis(ORIGIN + self.now.as_millis())
    }

    /// The node that leads, if one does.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| {
            let node = host.node.as_ref();
            node.is_some_and(|node| node.consensus().holds_lease(self.now))
        };
        self.hosts.iter().position(leads)
    }

    fn note(&mut self, text: &str) {
        assert!(self.leader().is_some(), "no leader after five seconds");
        let leader = self.leader().unwrap_or_default();
        let text = text.to_owned();
        self.call_host(leader, Peer::Nobody, Call::Note(NoteText { text }));
        self.run(Span::from_secs(1));
        let node = self.hosts[leader].node.as_ref();
        let revision = node.map(|node| node.state().catalog().revision().0);
        assert_eq!(revision, Some(1), "the note is in force");
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until something holds; false if it doesn't within the span.
    pub(crate) fn until(&mut self, span: Span, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now.after(span);
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.step();
        }
        holds(self)
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now.after(STEP);
        for at in 0..self.hosts.len() {
            self.start_again(at);
        }
        for packet in self.net.due(self.now) {
            self.deliver(packet);
        }
        for at in 0..self.hosts.len() {
            self.turn(at);
        }
        self.step_workers();
        self.step_callers();
    }

    fn start_again(&mut self, at: usize) {
        let nodes = self.hosts.len() as u64;
        let host = &mut self.hosts[at];
        if host.node.is_none() && self.now >= host.up_at {
            let setup = setup(at as u64 + 1, nodes);
            host.node = Some(Node::new(setup, host.saved.clone(), self.now));
            host.dies_after = None;
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Message { to, .. } | Packet::Call { to, .. } => {
                if self.hosts[to].node.is_some() {
                    self.hosts[to].inbox.push(packet);
                }
            }
            Packet::Reply { to, reply } => match to {
                Peer::Nobody => {}
                Peer::Caller(at, _) => self.heard(at, &reply),
                Peer::Worker(at, ..) => self.worker_heard(at, to, reply),
            },
        }
    }

    fn turn(&mut self, at: usize) {
        let now = self.now;
        if self.hosts[at].node.is_none() || now < self.hosts[at].awake_at {
            return;
        }
        for packet in std::mem::take(&mut self.hosts[at].inbox) {
            match packet {
                Packet::Message { from, message, .. } => {
                    let from = id::Node(from as u64 + 1);
                    if let Some(node) = &mut self.hosts[at].node {
                        node.receive(from, message, now);
                    }
                }
                Packet::Call { from, call, .. } => self.call_host(at, from, call),
                Packet::Reply { .. } => {}
            }
        }
        let wall = self.wall();
        let Some(node) = &mut self.hosts[at].node else {
            return;
        };
        node.tick(now, wall);
        let outputs = node.flush(now, wall);
        self.carry_out(at, outputs);
    }

    pub(crate) fn call_host(&mut self, at: usize, from: Peer, call: Call) {
        let (now, wall) = (self.now, self.wall());
        self.tickets.push(from);
        let ticket = Ticket(self.tickets.len() as u64);
        if let Some(node) = &mut self.hosts[at].node {
            node.call(ticket, call, now, wall);
        }
    }

    fn carry_out(&mut self, at: usize, outputs: Vec<Output>) {
        for (count, output) in outputs.into_iter().enumerate() {
            if self.hosts[at]
                .dies_after
                .is_some_and(|after| count >= after)
            {
                let host = &mut self.hosts[at];
                host.node = None;
                host.inbox.clear();
                return;
            }
            match output {
                Output::Save(ballot) => self.hosts[at].saved.ballot = ballot,
                Output::Store(entries) => {
                    let stored = &mut self.hosts[at].saved.entries;
                    if let Some(first) = entries.first() {
                        stored.retain(|entry| entry.index < first.index);
                    }
                    stored.extend(entries);
                }
                Output::Snapshot(snapshot) => {
                    let saved = &mut self.hosts[at].saved;
                    let last = snapshot.last.index;
                    saved.entries.retain(|entry| entry.index > last);
                    saved.snapshot = Some(snapshot);
                }
                Output::Send(to, message) => {
                    let to = to.0 as usize - 1;
                    let packet = Packet::Message {
                        from: at,
                        to,
                        message,
                    };
                    self.net.send(&packet, self.now, &mut self.random);
                }
                Output::Reply(ticket, reply, until) => self.leave(ticket, reply, until),
                Output::Role(_) => {}
            }
        }
    }

    fn leave(&mut self, ticket: Ticket, reply: Reply, until: Option<Time>) {
        let to = self.tickets[ticket.0 as usize - 1];
        if until.is_some_and(|until| self.now >= until) {
            return;
        }
        if let Peer::Caller(at, _) = to {
            let wish = &self.callers[at].wish;
            self.oracle.leaving(wish, &reply);
        }
        let packet = Packet::Reply { to, reply };
        self.net.send(&packet, self.now, &mut self.random);
    }

    /// The worker at which a caller's task runs now, if one does.
    pub(crate) fn place(&self, caller: usize) -> Option<usize> {
        let payload = &self.callers[caller].wish.payload;
        let runs = |worker: &Fake| worker.state.runs().any(|run| run.payload == *payload);
        self.workers.iter().position(runs)
    }

    /// The leader's jobs and workers, for a failure's message.
    pub(crate) fn describe(&self) -> String {
        let Some(node) = self.leader().and_then(|at| self.hosts[at].node.as_ref()) else {
            return "no leader".to_owned();
        };
        let jobs = node.state().jobs().map(|(id, job)| {
            let (phase, attempt, payload) = (job.phase, job.attempt, &job.spec.payload);
            let slots = &job.slots;
            format!("{id} {payload:?} {phase:?} {attempt} {slots:?}")
        });
        let workers = node.state().ledger().iter();
        let workers = workers.map(|(name, worker)| format!("{name} {worker:?}"));
        jobs.chain(workers).collect::<Vec<_>>().join("\n")
    }

    /// Ends all troubles.
    pub(crate) fn heal(&mut self) {
        let now = self.now;
        self.net.heal();
        for host in &mut self.hosts {
            host.up_at = host.up_at.min(now);
            host.awake_at = now;
            host.dies_after = None;
        }
        for worker in &mut self.workers {
            worker.awake_at = now;
        }
    }

    /// A host chosen at random.
    pub(crate) fn any_host(&mut self) -> usize {
        self.random.random_range(0..self.hosts.len())
    }
}

fn setup(node: u64, nodes: u64) -> Setup {
    let voters: Voters = (1..=nodes).map(id::Node).collect();
    Setup {
        consensus: AgreeSetup {
            node: id::Node(node),
            voters,
            learners: Vec::new(),
            timing: Timing::default(),
            seed: node,
        },
        lease: TERM,
        place: place::Setup { seed: node },
    }
}
