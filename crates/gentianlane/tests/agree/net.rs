//! A simulated cell, whose disks, clocks and links can fail, and an oracle that
//! checks what its nodes do.

use std::collections::{BTreeMap, BTreeSet};

use gentianlane::consensus::{
    Attributes, DurableState, Entry, Index, Message, Node, Output, Payload, Role, Setup,
    Snapshot, Term, Timing, Voters,
};
use gentianlane::id;
use gentianlane::unit::{Span, Time};
use gentianlane::wire::{Frame, VERSION};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How far one simulation step advances the time, in milliseconds.
pub(crate) const STEP: u64 = 10;

/// The size in bytes that a snapshot's data is padded to, so that it takes
/// several messages.
const SNAPSHOT_SIZE: usize = 150 << 10;

/// The replicated state machine: the number of applied commands and a digest of
/// them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct App {
    pub(crate) count: u64,
    pub(crate) digest: u64,
}

impl App {
    fn apply(&mut self, bytes: &[u8]) {
        self.count += 1;
        for &byte in bytes {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        self.digest = self.digest.rotate_left(7).wrapping_add(self.count);
    }

    fn encode(&self, length: usize) -> Vec<u8> {
        let mut data = [self.count.to_le_bytes(), self.digest.to_le_bytes()].concat();
        data.resize(length.max(16), 0);
        data
    }

    fn decode(data: &[u8]) -> Self {
        let number = |at: usize| u64::from_le_bytes(data[at..at + 8].try_into().unwrap());
        Self {
            count: number(0),
            digest: number(8),
        }
    }
}

/// One simulated machine: its disk, and its node while the process runs.
pub(crate) struct Machine {
    pub(crate) id: id::Node,
    pub(crate) node: Option<Node>,
    pub(crate) disk: DurableState,
    pub(crate) app: App,
    pub(crate) applied: Index,
    pub(crate) paused: bool,
    pub(crate) attributes: Attributes,
    /// How many more outputs are processed before the process crashes, if any
    /// limit is set.
    pub(crate) outputs_until_crash: Option<usize>,
    /// The speed of its clock, in thousandths of the true time's.
    pub(crate) clock_rate: u64,
    /// The messages and bytes that it has sent or received.
    pub(crate) traffic: (u64, u64),
    /// The number of syncs of its disk.
    pub(crate) syncs: u64,
    started_at: u64,
}

impl Machine {
    /// The time since the process started, by the machine's clock.
    pub(crate) fn clock(&self, now: u64) -> Time {
        Time::from_millis((now - self.started_at) * self.clock_rate / 1_000)
    }

    /// Whether its process runs, isn't paused and holds the leader lease.
    pub(crate) fn leads(&self, now: u64) -> bool {
        let node = self.node.as_ref().filter(|_| !self.paused);
        node.is_some_and(|node| node.holds_lease(self.clock(now)))
    }

    fn store_entries(&mut self, entries: &[Entry]) {
        let first = entries[0].index;
        while let Some(last) = self.disk.entries.last() {
            if last.index < first {
                break;
            }
            self.disk.entries.pop();
        }
        self.disk.entries.extend_from_slice(entries);
    }

    fn store_snapshot(&mut self, snapshot: Snapshot) {
        let last = snapshot.last.index;
        self.disk.entries.retain(|entry| entry.index > last);
        self.disk.snapshot = Some(snapshot);
    }
}

/// Faults of all links: the chances that a message is dropped or duplicated, in
/// thousandths, and the longest delay in milliseconds.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct LinkFaults {
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    pub(crate) delay: u64,
}

/// What the nodes have done so far, for comparison: committed entries, leaders by
/// term, and the state after each entry.
#[derive(Default)]
pub(crate) struct Oracle {
    pub(crate) committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, id::Node>,
    apps: BTreeMap<Index, App>,
}

/// A simulated cell: machines, the messages between them, and the true time in
/// milliseconds.
pub(crate) struct Net {
    pub(crate) machines: Vec<Machine>,
    pub(crate) now: u64,
    pub(crate) link_faults: LinkFaults,
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    pub(crate) oracle: Oracle,
    pub(crate) timing: Timing,
    pub(crate) snapshot_size: usize,
    /// The number of messages that were sent.
    pub(crate) messages: u64,
    /// The size of all sent messages in bytes.
    pub(crate) bytes: u64,
    /// How many snapshots were restored.
    pub(crate) restores: u64,
    initial_voters: Voters,
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    rng: ChaCha8Rng,
    last_sequence: u64,
}

impl Net {
    /// A cell of `voters` initial voters and `learners` learners with disks.
    pub(crate) fn new(voters: u64, learners: u64, seed: u64) -> Self {
        let timing = Timing {
            replacement_delay: Span::from_secs(3),
            ..Timing::default()
        };
        let mut net = Self {
            machines: Vec::new(),
            now: 0,
            link_faults: LinkFaults::default(),
            cut_links: BTreeSet::new(),
            oracle: Oracle::default(),
            timing,
            snapshot_size: SNAPSHOT_SIZE,
            messages: 0,
            bytes: 0,
            restores: 0,
            initial_voters: (1..=voters).map(id::Node).collect(),
            in_flight: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_sequence: 0,
        };
        for number in 1..=voters + learners {
            net.add(Attributes::default());
            net.start(number as usize - 1, number > voters);
        }
        net
    }

    /// Adds a machine with an empty disk and returns its index.
    pub(crate) fn add(&mut self, attributes: Attributes) -> usize {
        let at = self.machines.len();
        self.machines.push(Machine {
            id: id::Node(at as u64 + 1),
            node: None,
            disk: DurableState::default(),
            app: App::default(),
            applied: Index(0),
            paused: false,
            attributes,
            outputs_until_crash: None,
            clock_rate: 1_000,
            traffic: (0, 0),
            syncs: 0,
            started_at: 0,
        });
        at
    }

    /// Starts a machine's process from its disk; `returning` says that the cell
    /// already exists.
    pub(crate) fn start(&mut self, at: usize, returning: bool) {
        let seed = self.rng.next_u64();
        let machine = &mut self.machines[at];
        if !machine.attributes.disk {
            machine.disk = DurableState::default();
        }
        machine.started_at = self.now;
        machine.paused = false;
        machine.outputs_until_crash = None;
        let snapshot = machine.disk.snapshot.as_ref();
        let data = snapshot.map(|snapshot| App::decode(&snapshot.data));
        machine.app = data.unwrap_or_default();
        machine.applied = snapshot.map_or(Index(0), |snapshot| snapshot.last.index);
        let setup = Setup {
            node: machine.id,
            voters: self.initial_voters.clone(),
            learners: Vec::new(),
            timing: self.timing,
            seed,
        };
        let node = Node::new(setup, machine.disk.clone(), machine.clock(self.now));
        let node = node.with_attributes(machine.attributes.clone());
        machine.node = Some(if returning {
            node.in_existing_cell()
        } else {
            node
        });
    }

    pub(crate) fn crash(&mut self, at: usize) {
        self.machines[at].node = None;
        self.machines[at].paused = false;
    }

    /// Crashes a machine and empties its disk.
    pub(crate) fn wipe(&mut self, at: usize) {
        self.crash(at);
        self.machines[at].disk = DurableState::default();
    }

    /// Cuts the links of a machine to all others, in both directions.
    pub(crate) fn isolate(&mut self, at: usize) {
        for other in 0..self.machines.len() {
            self.cut_links.insert((at, other));
            self.cut_links.insert((other, at));
        }
    }

    pub(crate) fn node(&self, at: usize) -> &Node {
        self.machines[at].node.as_ref().expect("the node runs")
    }

    /// The index of the machine that holds the leader lease now.
    pub(crate) fn leader(&self) -> Option<usize> {
        let mut all = 0..self.machines.len();
        all.find(|&at| self.machines[at].leads(self.now))
    }

    /// Runs until a node leads and returns its index; panics after a minute.
    pub(crate) fn wait_for_leader(&mut self) -> usize {
        for _ in 0..60_000 / STEP {
            if let Some(at) = self.leader() {
                return at;
            }
            self.run(STEP);
        }
        panic!("no leader within a minute");
    }

    /// Proposes commands to the leader; false if there is none or it rejects them.
    pub(crate) fn propose(
        &mut self,
        commands: impl IntoIterator<Item = Vec<u8>>,
    ) -> bool {
        let Some(at) = self.leader() else {
            return false;
        };
        self.with(at, |node, now| node.propose(commands, now).is_ok())
    }

    /// Calls a node and processes its outputs.
    pub(crate) fn with<T>(
        &mut self,
        at: usize,
        call: impl FnOnce(&mut Node, Time) -> T,
    ) -> T {
        let now = self.machines[at].clock(self.now);
        let node = self.machines[at].node.as_mut().expect("the node runs");
        let value = call(node, now);
        self.process_outputs(at);
        value
    }

    /// Compacts a node's log up to the last applied entry.
    pub(crate) fn compact(&mut self, at: usize) -> bool {
        let (app, applied) = (self.machines[at].app, self.machines[at].applied);
        let data = app.encode(self.snapshot_size);
        self.with(at, |node, _| node.compact(applied, data))
    }

    /// Advances the time step by step, delivering messages and checking for a
    /// second leader.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP;
            for at in 0..self.machines.len() {
                if self.machines[at].node.is_some() && !self.machines[at].paused {
                    self.with(at, Node::tick);
                }
            }
            self.deliver();
            self.assert_single_leader();
        }
    }

    /// Delivers the messages that are due; those to paused machines stay queued.
    pub(crate) fn deliver(&mut self) {
        let mut deferred = Vec::new();
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let (key, (from, to, message)) = first.remove_entry();
            if self.cut_links.contains(&(from, to)) || self.machines[to].node.is_none() {
                continue;
            }
            if self.machines[to].paused {
                deferred.push((key, (from, to, message)));
                continue;
            }
            let sender = self.machines[from].id;
            self.with(to, |node, now| node.receive(sender, message, now));
        }
        self.in_flight.extend(deferred);
    }

    fn process_outputs(&mut self, at: usize) {
        let Some(node) = self.machines[at].node.as_mut() else {
            return;
        };
        for output in node.take_outputs() {
            if let Some(remaining) = &mut self.machines[at].outputs_until_crash {
                if *remaining == 0 {
                    return self.crash(at);
                }
                *remaining -= 1;
            }
            self.process_output(at, output);
        }
    }

    fn process_output(&mut self, at: usize, output: Output) {
        let machine = &mut self.machines[at];
        match output {
            Output::Save(ballot) => machine.disk.ballot = ballot,
            Output::Store(entries) => {
                machine.syncs += 1;
                machine.store_entries(&entries);
            }
            Output::Snapshot(snapshot) => machine.store_snapshot(snapshot),
            Output::Restore(data) => {
                self.restores += 1;
                machine.app = App::decode(&data);
                let node = machine.node.as_ref().expect("the node runs");
                machine.applied = node.base().index.max(machine.applied);
                let last = machine.disk.snapshot.as_ref().map(|saved| saved.last.index);
                machine.applied =
                    last.expect("a snapshot is saved before it is restored");
                self.oracle.check_restore(machine.applied, machine.app);
            }
            Output::Send(to, message) => self.send(at, to, &message),
            Output::Apply(entries) => {
                for entry in entries {
                    assert_eq!(
                        entry.index,
                        machine.applied.next(),
                        "entries must be applied in order"
                    );
                    machine.applied = entry.index;
                    if let Payload::Command(bytes) = &entry.payload {
                        machine.app.apply(bytes);
                    }
                    self.oracle.check_apply(&entry, machine.app);
                }
            }
            Output::Role(Role::Leader) => {
                let term = machine.disk.ballot.term;
                let id = machine.id;
                let expected = *self.oracle.leaders.entry(term).or_insert(id);
                assert_eq!(expected, id, "a second leader in {term}");
            }
            Output::Role(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: id::Node, message: &Message) {
        let to = to.0 as usize - 1;
        let bytes = self.frame_size(from, to, message);
        self.messages += 1;
        self.bytes += bytes;
        for at in [from, to] {
            self.machines[at].traffic.0 += 1;
            self.machines[at].traffic.1 += bytes;
        }
        let copies = match self.rng.random_range(0..1_000) {
            chance if chance < self.link_faults.drop => 0,
            chance if chance < self.link_faults.drop + self.link_faults.duplicate => 2,
            _ => 1,
        };
        for _ in 0..copies {
            self.last_sequence += 1;
            let delay = self.rng.random_range(0..=self.link_faults.delay);
            let key = (self.now + delay, self.last_sequence);
            self.in_flight.insert(key, (from, to, message.clone()));
        }
    }

    /// The size of a message on a connection, in bytes.
    fn frame_size(&self, from: usize, to: usize, message: &Message) -> u64 {
        let frame = Frame {
            version: VERSION,
            cell: id::Cell::from("norrvik"),
            from: self.machines[from].id,
            incarnation: id::Incarnation(1_800_000_000_000),
            to: self.machines[to].id,
            message: message.clone(),
        };
        frame.encode().unwrap().len() as u64 + 4
    }

    /// Asserts that at most one node leads at the present true time.
    pub(crate) fn assert_single_leader(&self) {
        let leaders = self
            .machines
            .iter()
            .filter(|machine| machine.leads(self.now));
        let leaders: Vec<id::Node> = leaders.map(|machine| machine.id).collect();
        assert!(leaders.len() <= 1, "{leaders:?} lead at {} ms", self.now);
    }

    /// Removes all faults: restores links, resumes paused processes and starts
    /// those that are down.
    pub(crate) fn repair_all(&mut self) {
        self.link_faults = LinkFaults::default();
        self.cut_links.clear();
        for at in 0..self.machines.len() {
            self.machines[at].paused = false;
            self.machines[at].outputs_until_crash = None;
            if self.machines[at].node.is_none() {
                self.start(at, true);
            }
        }
    }

    /// Asserts that all `members` have applied every committed entry and have the
    /// same state.
    pub(crate) fn assert_converged(&self, members: impl IntoIterator<Item = usize>) {
        let (&last, _) = self
            .oracle
            .committed
            .last_key_value()
            .expect("an entry is committed");
        for at in members {
            let machine = &self.machines[at];
            assert_eq!(
                machine.applied, last,
                "{} must have applied every committed entry",
                machine.id
            );
            assert_eq!(
                machine.app, self.oracle.apps[&last],
                "the state of {}",
                machine.id
            );
        }
    }
}

impl Oracle {
    fn check_apply(&mut self, entry: &Entry, app: App) {
        let index = entry.index;
        let expected = self.apps.entry(index).or_insert(app);
        assert_eq!(*expected, app, "nodes differ in the state after {index}");
        let expected = self.committed.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(expected, entry, "nodes differ in the entry at {index}");
    }

    fn check_restore(&self, index: Index, app: App) {
        assert_eq!(
            self.apps.get(&index),
            Some(&app),
            "the snapshot differs from the state at {index}"
        );
    }
}
