//! Random histories of troubles against an oracle that counts real runs.
//!
//! `GENTIANLANE_FUZZ` gives the number of histories for a longer run.

use crate::world::{Peer, World};
use gentianlane::api::{Call, Drain};
use gentianlane::unit::Span;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// The seed of the histories.
const SEED: u64 = 0x6765_6e74;

/// How many histories a short run has.
const HISTORIES: u64 = 60;

/// How many steps a history has at most.
const LENGTH: usize = 40;

/// How long everything that is open may take once all troubles are over.
const SETTLING: Span = Span::from_secs(120);

#[derive(Debug, Clone, Copy)]
enum Step {
    Want(u8, u8, Option<u16>),
    Cancel(u8),
    Resend(u8),
    PauseNode(u8, u16),
    KillNode(u8, u8, u16),
    CutNode(u8),
    HandOver,
    Compact(u8),
    PauseWorker(u8, u16),
    MuteWorker(u8),
    RestartWorker(u8),
    LeaveWorker(u8),
    Resize(u8, u8),
    Drain(u8, bool),
    Weather(u8, u8, u8),
    Pass(u16),
}

#[derive(Debug, Clone)]
struct History {
    nodes: u64,
    seed: u64,
    steps: Vec<Step>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        let span = u16::arbitrary(g) % 6_000;
        match u8::arbitrary(g) % 26 {
            0..=6 => {
                let deadline = (b % 4 == 0).then_some(span);
                Self::Want(a, b, deadline)
            }
            7 | 8 => Self::Cancel(a),
            9 => Self::Resend(a),
            10 => Self::PauseNode(a, span),
            11 => Self::KillNode(a, b % 8, span),
            12 => Self::CutNode(a),
            13 => Self::HandOver,
            14 | 15 => Self::PauseWorker(a, span),
            16 => Self::RestartWorker(a),
            17 => Self::LeaveWorker(a),
            18 => Self::Resize(a, b),
            19 => Self::Drain(a, b % 2 == 0),
            20 => Self::Weather(a % 30, b % 30, (span % 20) as u8),
            22 => Self::Compact(a),
            21 => Self::MuteWorker(a),
            _ => Self::Pass(span / 2),
        }
    }
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            nodes: if bool::arbitrary(g) { 3 } else { 1 },
            seed: u64::arbitrary(g),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let (nodes, seed) = (self.nodes, self.seed);
        let shorter = self.steps.shrink();
        Box::new(shorter.map(move |steps| Self { nodes, seed, steps }))
    }
}

fn take(world: &mut World, step: Step) {
    let node = |at: u8, world: &World| at as usize % world.hosts.len();
    let worker = |at: u8, world: &World| at as usize % world.workers.len();
    let millis = |span: u16| Span::from_millis(u64::from(span));
    let now = world.now;
    match step {
        Step::Want(kind, script, deadline) => {
            let kinds = ["notice", "notice", "batch", "duo", "trio", "unknown"];
            let scripts = ["", "sleep=300", "sleep=3000", "fail", "sleep=900 fail"];
            let workload = kinds[kind as usize % kinds.len()];
            let script = scripts[script as usize % scripts.len()];
            world.want(workload, script, deadline.map(millis));
        }
        Step::Cancel(at) if !world.callers.is_empty() => {
            let at = at as usize % world.callers.len();
            world.callers[at].cancels = true;
        }
        Step::Resend(at) if !world.callers.is_empty() => {
            world.resend(at as usize % world.callers.len());
        }
        Step::Cancel(_) | Step::Resend(_) => {}
        Step::PauseNode(at, span) => {
            let at = node(at, world);
            world.hosts[at].awake_at = now.after(millis(span));
        }
        Step::KillNode(at, after, span) => {
            let at = node(at, world);
            world.hosts[at].dies_after = Some(after.into());
            world.hosts[at].up_at = now.after(millis(span));
        }
        Step::CutNode(at) => {
            let at = node(at, world);
            match world.net.cut.is_empty() {
                true => world.net.cut.push(at),
                false => world.net.cut.clear(),
            }
        }
        Step::HandOver => {
            let leader = world.leader();
            let node = leader.and_then(|at| world.hosts[at].node.as_mut());
            if let Some(node) = node {
                node.transfer_leadership();
            }
        }
        Step::Compact(at) => {
            let at = node(at, world);
            if let Some(node) = &mut world.hosts[at].node {
                node.compact();
            }
        }
        Step::PauseWorker(at, span) => {
            let at = worker(at, world);
            world.workers[at].awake_at = now.after(millis(span));
        }
        Step::MuteWorker(at) => {
            let at = worker(at, world);
            match world.net.mute.contains(&at) {
                true => world.net.mute.clear(),
                false => world.net.mute.push(at),
            }
        }
        Step::RestartWorker(at) => {
            let at = worker(at, world);
            world.workers[at].restart();
        }
        Step::LeaveWorker(at) => {
            let at = worker(at, world);
            world.leave_worker(at);
        }
        Step::Resize(at, room) => {
            let at = worker(at, world);
            world.workers[at].room = 1 + u64::from(room) % 3;
            let announce = world.workers[at].announce();
            if let Some(leader) = world.leader() {
                world.call_host(leader, Peer::Nobody, Call::Announce(announce));
            }
        }
        Step::Drain(at, on) => {
            let worker = world.workers[worker(at, world)].name.clone();
            if let Some(leader) = world.leader() {
                let call = Call::Drain(Drain { worker, on });
                world.call_host(leader, Peer::Nobody, call);
            }
        }
        Step::Weather(loss, twice, late) => {
            let net = &mut world.net;
            (net.loss, net.twice, net.late) = (loss.into(), twice.into(), late.into());
        }
        Step::Pass(span) => world.run(millis(span)),
    }
    world.run(Span::from_millis(20));
}

fn settle(world: &mut World) {
    world.heal();
    for at in 0..world.workers.len() {
        world.workers[at].room = 3;
        world.workers[at].restart();
    }
    world.run(Span::from_secs(5));
    for at in 0..world.workers.len() {
        take(world, Step::Drain(at as u8, false));
    }
    let answered = |world: &World| world.callers.iter().all(|caller| caller.heard > 4);
    if !world.until(SETTLING, answered) {
        let open = world.callers.iter().filter(|caller| caller.heard <= 4);
        let open: Vec<_> = open.map(|caller| caller.wish.clone()).collect();
        let cell = world.describe();
        world
            .oracle
            .fault(format!("never answered: {open:?}\n{cell}"));
    }
}

fn holds(history: History) -> TestResult {
    let mut world = World::new(history.nodes, 4, history.seed);
    for step in history.steps {
        take(&mut world, step);
        if !world.oracle.faults.is_empty() {
            break;
        }
    }
    if world.oracle.faults.is_empty() {
        settle(&mut world);
    }
    match world.oracle.faults.first() {
        Some(fault) => TestResult::error(fault.clone()),
        None => TestResult::passed(),
    }
}

#[test]
fn what_is_said_of_a_request_is_true_in_every_history() {
    let histories = std::env::var("GENTIANLANE_FUZZ").ok();
    let histories = histories.and_then(|text| text.parse().ok());
    let histories = histories.unwrap_or(HISTORIES);
    println!("seed {SEED:#x}, {histories} histories");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(LENGTH, SEED))
        .tests(histories)
        .max_tests(histories)
        .quickcheck(holds as fn(History) -> TestResult);
}
