//! A cell whose messages, clocks, disks, workers and callers are fakes.
//!
//! Time is virtual and moves a few milliseconds a step. What a node stores is
//! kept apart from the node, so that a killed node comes back with its disk.

mod caller;
mod host;
mod worker;

use std::collections::BTreeSet;

use gentianlane::api::{Answer, Call, Reply, Submit};
use gentianlane::cell::{Output, Ticket};
use gentianlane::consensus::{Body, Message};
use gentianlane::id;
use gentianlane::unit::{Span, Time, Wall};
use gentianlane::verdict::Verdict;
use indexmap::IndexMap;

pub(crate) use caller::Caller;
pub(crate) use host::Host;
pub(crate) use worker::Machine;

/// How far time moves in one step.
pub(crate) const STEP: Span = Span::from_millis(5);

/// Civil time when the world begins, in milliseconds since 1970.
const EPOCH: u64 = 1_800_000_000_000;

/// Who made a call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Asker {
    Caller(usize),
    Worker(id::Worker),
    Operator(usize),
}

/// A call that a node holds.
#[derive(Debug, Clone)]
struct Open {
    asker: Asker,
    call: Call,
    entry: id::Node,
}

/// A whole cell with its surroundings.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) hosts: IndexMap<id::Node, Host>,
    pub(crate) machines: IndexMap<id::Worker, Machine>,
    pub(crate) callers: Vec<Caller>,
    /// What operators were told, in the order of their calls.
    pub(crate) told: Vec<Option<Reply>>,
    /// Links that carry nothing, from one node to another.
    pub(crate) cut: BTreeSet<(id::Node, id::Node)>,
    /// Breaches of what must always hold.
    pub(crate) breaches: Vec<String>,
    /// The most bytes of one message.
    pub(crate) largest: usize,
    /// How many parts of snapshots were sent.
    pub(crate) chunks: usize,
    /// The first voters.
    founders: Vec<id::Node>,
    open: IndexMap<Ticket, Open>,
    last_ticket: u64,
}

impl World {
    pub(crate) fn new(nodes: u64, seed: u64) -> Self {
        let now = Time::from_millis(0);
        let ids: Vec<id::Node> = (1..=nodes).map(id::Node).collect();
        let host = |&id: &id::Node| (id, Host::new(id, &ids, seed, now));
        Self {
            now,
            hosts: ids.iter().map(host).collect(),
            machines: IndexMap::new(),
            callers: Vec::new(),
            told: Vec::new(),
            cut: BTreeSet::new(),
            breaches: Vec::new(),
            largest: 0,
            chunks: 0,
            founders: ids,
            open: IndexMap::new(),
            last_ticket: 0,
        }
    }

    /// Adds a node that isn't among the first voters.
    pub(crate) fn learner(&mut self, id: id::Node, seed: u64) {
        let host = Host::learner(id, &self.founders, seed, self.now);
        self.hosts.insert(id, host);
    }

    pub(crate) fn wall(&self) -> Wall {
        Wall::from_millis(EPOCH + self.now.as_millis())
    }

    /// The node that leads now, if one does.
    pub(crate) fn leader(&self) -> Option<id::Node> {
        let leads = |(_, host): &(&id::Node, &Host)| host.leads(self.now);
        self.hosts.iter().find(leads).map(|(&id, _)| id)
    }

    pub(crate) fn advance(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.step();
        }
    }

    /// Moves time on until a condition holds; false if it doesn't in time.
    pub(crate) fn until(&mut self, limit: Span, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now.after(limit);
        while self.now < end && !holds(self) {
            self.step();
        }
        holds(self)
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        let wall = self.wall();
        for host in self.hosts.values_mut() {
            host.tick(self.now, wall);
        }
        self.exchange();
        self.drive_machines();
        self.drive_callers();
        self.exchange();
        self.check_leaders();
    }

    /// Carries messages and replies until nothing moves any more.
    fn exchange(&mut self) {
        for _ in 0..64 {
            let mut messages = Vec::new();
            let mut replies = Vec::new();
            let (now, wall) = (self.now, self.wall());
            for host in self.hosts.values_mut() {
                let clock = host.clock(now);
                for output in host.flush(now, wall) {
                    match output {
                        Output::Send(to, message) => {
                            let bytes = postcard::to_allocvec(&message);
                            let bytes = bytes.map_or(0, |bytes| bytes.len());
                            self.largest = self.largest.max(bytes);
                            let chunk = matches!(message.body, Body::Chunk(_));
                            self.chunks += usize::from(chunk);
                            messages.push((host.id, to, message));
                        }
                        Output::Reply(ticket, reply, until) => {
                            let valid = until.is_none_or(|until| clock < until);
                            replies.push((host.id, ticket, reply, valid));
                        }
                        _ => {}
                    }
                }
            }
            if messages.is_empty() && replies.is_empty() {
                return;
            }
            for (from, to, message) in messages {
                self.carry(from, to, message);
            }
            for (from, ticket, reply, valid) in replies {
                self.carry_reply(from, ticket, reply, valid);
            }
        }
    }

    fn carry(&mut self, from: id::Node, to: id::Node, message: Message) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&to) {
            host.receive(from, message, now);
        }
    }

    /// Makes a call at an entry; it goes to whom the entry takes for leader.
    pub(crate) fn call(
        &mut self,
        asker: Asker,
        entry: id::Node,
        call: Call,
    ) -> Option<Ticket> {
        let leader = self.hosts.get(&entry)?.leader()?;
        if leader != entry && self.cut.contains(&(entry, leader)) {
            return None;
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let (now, wall) = (self.now, self.wall());
        let host = self.hosts.get_mut(&leader)?;
        host.call(ticket, call.clone(), now, wall)?;
        self.open.insert(ticket, Open { asker, call, entry });
        Some(ticket)
    }

    fn carry_reply(&mut self, from: id::Node, ticket: Ticket, reply: Reply, valid: bool) {
        let Some(open) = self.open.swap_remove(&ticket) else {
            return;
        };
        if from != open.entry && self.cut.contains(&(from, open.entry)) || !valid {
            return;
        }
        if self.hosts.get(&open.entry).is_none_or(Host::is_down) {
            return;
        }
        match open.asker {
            Asker::Caller(at) => self.callers[at].hear(reply, &mut self.breaches),
            Asker::Worker(name) => {
                if let Some(machine) = self.machines.get_mut(&name) {
                    machine.hear(&open.call, reply, self.now);
                }
            }
            Asker::Operator(at) => self.told[at] = Some(reply),
        }
    }

    /// An operator's call at an entry; the reply comes to `told`.
    pub(crate) fn operate(&mut self, entry: id::Node, call: Call) -> usize {
        self.told.push(None);
        let at = self.told.len() - 1;
        self.call(Asker::Operator(at), entry, call);
        at
    }

    /// What one node itself says at once; messages that it sends with that are
    /// lost.
    pub(crate) fn ask(&mut self, node: id::Node, call: Call) -> Option<Reply> {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let (now, wall) = (self.now, self.wall());
        let host = self.hosts.get_mut(&node)?;
        host.call(ticket, call, now, wall)?;
        let outputs = host.flush(now, wall).into_iter();
        let mut replies = outputs.filter_map(|output| match output {
            Output::Reply(known, reply, _) if known == ticket => Some(reply),
            _ => None,
        });
        replies.next()
    }

    /// A caller asks for work, and asks again until it is answered.
    pub(crate) fn submit(&mut self, entry: id::Node, submit: Submit) -> usize {
        self.callers.push(Caller::new(entry, submit));
        self.callers.len() - 1
    }

    pub(crate) fn answer(&self, caller: usize) -> Option<&Answer> {
        self.callers.get(caller)?.answer.as_ref()
    }

    fn drive_callers(&mut self) {
        for at in 0..self.callers.len() {
            let nodes = self.hosts.len() as u64;
            if let Some((entry, call)) = self.callers[at].due(self.now, nodes) {
                self.call(Asker::Caller(at), entry, call);
            }
        }
    }

    fn drive_machines(&mut self) {
        let nodes = self.hosts.len() as u64;
        let names: Vec<id::Worker> = self.machines.keys().cloned().collect();
        for name in names {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            for (entry, call) in machine.tick(self.now, nodes) {
                self.call(Asker::Worker(name.clone()), entry, call);
            }
        }
        self.check_places();
    }

    /// No task runs in two places, and no VM runs more than it has.
    fn check_places(&mut self) {
        let mut places: IndexMap<id::Task, id::Worker> = IndexMap::new();
        for (name, machine) in &self.machines {
            for run in machine.live(self.now) {
                if let Some(other) = places.insert(run.token.task, name.clone()) {
                    let task = run.token.task;
                    let breach = format!("{task} runs on {other} and on {name}");
                    self.breaches.push(breach);
                }
            }
            if !machine.load().is_some_and(|load| load.fits(&machine.size)) {
                self.breaches.push(format!("{name} runs more than it has"));
            }
        }
    }

    fn check_leaders(&mut self) {
        let leads = |host: &&Host| {
            !host.is_paused() && !host.was_suspended() && host.leads(self.now)
        };
        if self.hosts.values().filter(leads).count() > 1 {
            self.breaches
                .push(format!("two nodes lead at {}", self.now));
        }
    }

    /// How often a key's tasks of rank zero began, on all workers.
    pub(crate) fn began(&self, payload: &str) -> usize {
        let runs = self.machines.values().flat_map(|machine| &machine.history);
        runs.filter(|run| run.token.task.rank == 0 && run.payload == payload)
            .count()
    }

    /// What must hold at the end: answers are true to what really ran.
    pub(crate) fn judge(&mut self, run_once: impl Fn(&str) -> bool) {
        for at in 0..self.callers.len() {
            let caller = &self.callers[at];
            let (payload, workload) = (&caller.submit.payload, &caller.submit.workload);
            let began = self.began(payload);
            let once = run_once(workload.as_str());
            if once && began > 1 {
                self.breaches.push(format!("{payload} ran {began} times"));
            }
            let verdict = caller.answer.as_ref().map(|answer| answer.outcome.verdict);
            let wrong = match verdict {
                Some(Verdict::NotRun) => began != 0,
                Some(Verdict::Ran) => began == 0,
                Some(Verdict::MayHaveRun) | None => false,
            };
            if wrong {
                self.breaches
                    .push(format!("{payload} began {began} times: {verdict:?}"));
            }
        }
    }
}
