//! When a silent voter should be replaced, and by what.
//!
//! `cargo bench -p gentianlane --bench agree_repair` runs one virtual day of
//! seven control VMs for each delay, with warm spares, which are learners all
//! the time, and with cold ones, which are started empty when a voter has been
//! silent for the delay and are given back once all voters are there.
//!
//! Each VM restarts and fails forty times as often as the aim's 280 restarts
//! and 4 failures a day among 767 VMs would make it, so that a day has enough
//! of them. Four restarts in five take 20 s to 2 min, the fifth 5 to 30 min; a
//! failed VM is replaced by an empty one after 30 min.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a bench ends where it is contradicted"
)]

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/agree/net.rs"]
mod net;

use gentianlane::consensus::{Attributes, Payload};
use gentianlane::unit::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::net::Net;

const SEED: u64 = 7;
const VOTERS: usize = 5;
const SPARES: usize = 2;

/// How long each run is, in seconds.
const DAY: u64 = 86_400;

/// Restarts and failures of one VM in a day, at forty times the aim's rates.
const RESTARTS: f64 = 280.0 / 767.0 * 40.0;
const FAILURES: f64 = 4.0 / 767.0 * 40.0;

/// When a failed VM has been replaced, in seconds.
const REPLACED: u64 = 1_800;

/// What happens to one VM, by second.
#[derive(Clone)]
struct Plan {
    /// When it stops, and when it comes back.
    restarts: Vec<(u64, u64)>,
    /// When it fails for good.
    fails: Option<u64>,
}

fn plan(random: &mut ChaCha8Rng) -> Plan {
    let mut restarts = Vec::new();
    let mut fails = None;
    let mut at = 60;
    while at < DAY {
        let chance: f64 = random.random_range(0.0..1.0);
        let minute = 60.0 / DAY as f64;
        if chance < FAILURES * minute && fails.is_none() {
            fails = Some(at);
        } else if chance < (FAILURES + RESTARTS) * minute {
            let short = random.random_range(0..5) > 0;
            let length = match short {
                true => random.random_range(20..120),
                false => random.random_range(300..1_800),
            };
            restarts.push((at, at + length));
            at += length;
        }
        at += 60;
    }
    Plan { restarts, fails }
}

fn main() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let plans: Vec<Plan> = (0..VOTERS + SPARES).map(|_| plan(&mut random)).collect();
    for warm in [true, false] {
        std::thread::scope(|scope| {
            for delay in [30, 180, 600, 1_800] {
                let plans = &plans;
                scope.spawn(move || day(warm, delay, plans));
            }
        });
    }
}

/// One day of a cell.
struct Day {
    net: Net,
    /// Which machine each VM is at present; none if it isn't taken.
    vms: Vec<Option<usize>>,
    delay: u64,
    silent: u64,
}

impl Day {
    fn is_up(&self, at: usize) -> bool {
        self.net.machines[at].node.is_some()
    }

    fn act(&mut self, second: u64, plans: &[Plan]) {
        for (vm, plan) in plans.iter().enumerate() {
            let Some(at) = self.vms[vm] else {
                continue;
            };
            if plan.fails == Some(second) {
                self.net.wipe(at);
            }
            if plan.fails.is_some_and(|fails| fails + REPLACED == second) {
                let new = self.net.add(Attributes::default());
                self.net.start(new, true);
                self.vms[vm] = Some(new);
            }
            let gone = |at| {
                plan.fails
                    .is_some_and(|fails| fails <= at && at < fails + REPLACED)
            };
            for &(stop, start) in &plan.restarts {
                if stop == second && !gone(second) {
                    self.net.crash(at);
                }
                if start == second && !gone(second) && !self.is_up(at) {
                    self.net.start(at, true);
                }
            }
        }
    }

    fn voters(&self) -> Option<Vec<usize>> {
        let leader = self.net.leader()?;
        let voters = self.net.node(leader).voters().iter();
        Some(voters.map(|node| node.0 as usize - 1).collect())
    }

    /// Starts a cold spare when a voter has been silent, and gives it back.
    fn supply(&mut self, voters: &[usize]) {
        let down = voters.iter().any(|&at| !self.is_up(at));
        self.silent = if down { self.silent + 1 } else { 0 };
        let idle = |at: &usize| self.is_up(*at) && !voters.contains(at);
        let idle: Vec<usize> = self.vms.iter().flatten().copied().filter(idle).collect();
        let free = self.vms.iter().position(Option::is_none);
        if let (true, true, Some(vm)) = (self.silent >= self.delay, idle.is_empty(), free)
        {
            let new = self.net.add(Attributes::default());
            self.net.start(new, true);
            self.vms[vm] = Some(new);
            self.silent = 0;
        }
        if !down && voters.len() == VOTERS {
            for at in idle {
                self.net.wipe(at);
                let vm = self.vms.iter().position(|&it| it == Some(at));
                self.vms[vm.expect("a VM")] = None;
            }
        }
    }
}

fn day(warm: bool, delay: u64, plans: &[Plan]) {
    let spares = if warm { SPARES as u64 } else { 0 };
    let mut net = Net::new(VOTERS as u64, spares, SEED);
    net.snapshot_size = 1 << 20;
    net.timing.replacement_delay = Span::from_secs(delay);
    for at in 0..net.machines.len() {
        net.crash(at);
        net.start(at, at >= VOTERS);
    }
    let mut day = Day {
        net,
        vms: (0..VOTERS + SPARES)
            .map(|vm| (warm || vm < VOTERS).then_some(vm))
            .collect(),
        delay,
        silent: 0,
    };
    let (mut leaderless, mut bare) = (0, 0);
    for second in 0..DAY {
        day.act(second, plans);
        day.net.run(1_000);
        if second % 10 == 0 {
            day.net.propose((0..10).map(|_| vec![7; 100]));
        }
        if second % 600 == 599 {
            for at in 0..day.net.machines.len() {
                if day.is_up(at) {
                    day.net.compact(at);
                }
            }
        }
        let Some(voters) = day.voters() else {
            leaderless += 1;
            continue;
        };
        let up = voters.iter().filter(|&&at| day.is_up(at)).count();
        bare += u64::from(up <= voters.len() / 2 + 1);
        if !warm {
            day.supply(&voters);
        }
    }
    let entries = day.net.oracle.committed.values();
    let changes = entries.filter(|entry| matches!(entry.payload, Payload::Voters(_)));
    println!(
        "repair spares={} delay_s={delay} voter_changes={} snapshots_sent={} \
         bare_majority_s={bare} no_leader_s={leaderless}",
        if warm { "warm" } else { "cold" },
        changes.count(),
        day.net.restores,
    );
}
