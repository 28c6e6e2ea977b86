//! Random sequences of events and faults, checked by the oracle.
//!
//! `GENTIANLANE_FUZZ_SEED` sets the seed and `GENTIANLANE_FUZZ_TESTS` the
//! number of sequences, for a longer run. A failing sequence is shrunk and
//! printed.

use gentianlane::consensus::IdentityStatus;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::net::{LinkFaults, Net};

/// The seed unless `GENTIANLANE_FUZZ_SEED` is set.
const SEED: u64 = 20_260;

/// How many sequences are run unless `GENTIANLANE_FUZZ_TESTS` is set.
const TESTS: u64 = 200;

/// The maximum number of events in a sequence.
const SIZE: usize = 80;

/// One event; the index of a machine is taken modulo their number.
#[derive(Debug, Clone, Copy)]
enum Event {
    Propose(u8),
    Run(u8),
    Crash(usize),
    CrashAfter(usize, u8),
    Start(usize),
    Wipe(usize),
    Replace(usize),
    CutLink(usize, usize),
    Isolate(usize),
    RestoreLinks,
    Pause(usize),
    Resume(usize),
    Compact(usize),
    TransferLeadership,
    LinkFaults(u8, u8, u8),
}

impl Arbitrary for Event {
    fn arbitrary(random: &mut Gen) -> Self {
        let at = usize::from(u8::arbitrary(random));
        let other = usize::from(u8::arbitrary(random));
        let small = u8::arbitrary(random);
        match u8::arbitrary(random) % 32 {
            0..=6 => Self::Propose(small % 8),
            7..=14 => Self::Run(small),
            15 => Self::Crash(at),
            16 => Self::CrashAfter(at, small % 6),
            17..=18 => Self::Start(at),
            19 => Self::Wipe(at),
            20 => Self::Replace(at),
            21..=22 => Self::CutLink(at, other),
            23 => Self::Isolate(at),
            24 => Self::RestoreLinks,
            25 => Self::Pause(at),
            26..=27 => Self::Resume(at),
            28..=29 => Self::Compact(at),
            30 => Self::TransferLeadership,
            _ => Self::LinkFaults(small % 100, other as u8 % 100, at as u8),
        }
    }
}

/// Applies an event to the cell. `count` numbers the commands.
fn apply_event(net: &mut Net, event: Event, count: &mut u64) {
    let machine_count = net.machines.len();
    let is_running = |net: &Net, at: usize| net.machines[at].node.is_some();
    match event {
        Event::Propose(size) => {
            let commands = (0..=u64::from(size)).map(|at| (*count + at).to_le_bytes());
            let commands: Vec<_> = commands.map(|bytes| bytes.to_vec()).collect();
            *count += commands.len() as u64;
            net.propose(commands);
        }
        Event::Run(steps) => net.run(u64::from(steps) * 10),
        Event::Crash(at) => net.crash(at % machine_count),
        Event::CrashAfter(at, outputs) => {
            net.machines[at % machine_count].outputs_until_crash =
                Some(usize::from(outputs));
        }
        Event::Start(at) if !is_running(net, at % machine_count) => {
            net.start(at % machine_count, true);
        }
        Event::Wipe(at) => net.wipe(at % machine_count),
        Event::Replace(at) => {
            let is_revoked = |at: usize| {
                let node = net.machines[at].node.as_ref();
                node.is_some_and(|node| node.identity_status() == IdentityStatus::Revoked)
            };
            if is_revoked(at % machine_count) && machine_count < 9 {
                net.crash(at % machine_count);
                let new = net.add(gentianlane::consensus::Attributes::default());
                net.start(new, true);
            }
        }
        Event::CutLink(from, to) => {
            net.cut_links
                .insert((from % machine_count, to % machine_count));
        }
        Event::Isolate(at) => net.isolate(at % machine_count),
        Event::RestoreLinks => net.cut_links.clear(),
        Event::Pause(at) => {
            net.machines[at % machine_count].paused = is_running(net, at % machine_count);
        }
        Event::Resume(at) => {
            net.machines[at % machine_count].paused = false;
            net.assert_single_leader();
        }
        Event::Compact(at) if is_running(net, at % machine_count) => {
            net.compact(at % machine_count);
        }
        Event::TransferLeadership => {
            if let Some(at) = net.leader() {
                net.with(at, |node, _| node.transfer_leadership());
            }
        }
        Event::LinkFaults(drop, duplicate, delay) => {
            net.link_faults = LinkFaults {
                drop: u32::from(drop) * 3,
                duplicate: u32::from(duplicate) * 2,
                delay: u64::from(delay),
            };
        }
        Event::Start(_) | Event::Compact(_) => {}
    }
    net.assert_single_leader();
}

/// Runs a sequence of events, then removes all faults; panics if the oracle finds
/// a violation or the cell doesn't recover.
fn check_history(seed: u64, events: Vec<Event>) -> bool {
    let mut net = Net::new(3, 2, seed);
    for at in 0..net.machines.len() {
        net.machines[at].clock_rate = 980 + (seed >> (8 * at)) % 41;
    }
    net.snapshot_size = 16 + (seed % 200_000) as usize;
    net.run(3_000);
    let mut count = 0;
    let is_wipe = |event: &Event| matches!(event, Event::Wipe(_));
    let intact = !events.iter().any(is_wipe);
    for event in events {
        apply_event(&mut net, event, &mut count);
    }
    net.repair_all();
    net.run(10_000);
    let Some(leader) = net.leader() else {
        assert!(
            !intact,
            "no leader, though no disk was lost and all faults are removed"
        );
        return true;
    };
    assert!(net.propose([b"last".to_vec()]));
    net.run(5_000);
    if intact {
        net.assert_converged(0..net.machines.len());
    } else {
        net.assert_converged(net.leader().or(Some(leader)));
    }
    true
}

/// The number in an environment variable, or the default if it isn't set.
fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| {
        text.parse().expect("the environment variable is a number")
    })
}

#[test]
fn random_faults_lose_nothing_and_never_make_two_leaders() {
    let seed = env_number("GENTIANLANE_FUZZ_SEED", SEED);
    let tests = env_number("GENTIANLANE_FUZZ_TESTS", TESTS);
    println!("GENTIANLANE_FUZZ_SEED={seed} GENTIANLANE_FUZZ_TESTS={tests}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed))
        .tests(tests)
        .max_tests(tests)
        .quickcheck(check_history as fn(u64, Vec<Event>) -> bool);
}
