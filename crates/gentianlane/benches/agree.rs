//! What the agreement costs and how long it takes.
//!
//! `cargo bench -p gentianlane --bench agree` prints one line a measurement.
//! Nodes, disks and links are those of the tests: processor time is the core's
//! alone, other times are virtual, and bytes are those of whole frames.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a bench ends where it is contradicted"
)]

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/agree/net.rs"]
mod net;

use std::time::Instant;

use gentianlane::consensus::Attributes;
use gentianlane::unit::Span;

use crate::net::Net;

/// The first of the seeds.
const SEED: u64 = 1;

/// How many leaders are lost.
const TAKEOVERS: u64 = 200;

/// The bytes of one command.
const COMMAND: usize = 100;

fn main() {
    for batch in [1, 10, 100, 1_000] {
        commits(batch);
    }
    takeover("crash", Net::crash);
    takeover("hand-over", |net, leader| {
        net.with(leader, |node, _| node.transfer_leadership());
    });
    for length in [1_000, 10_000, 50_000] {
        catch_up(length, false);
        catch_up(length, true);
    }
    idle();
}

fn quantile(values: &mut [u64], part: f64) -> u64 {
    values.sort_unstable();
    let at = (values.len() as f64 * part) as usize;
    values[at.min(values.len() - 1)]
}

/// Commits of three nodes, processor time of all of them together.
fn commits(batch: usize) {
    let mut net = Net::new(3, 0, SEED);
    let leader = net.wait_for_leader();
    net.run(1_000);
    let rounds = 20_000 / batch;
    let before = (net.messages, net.bytes, net.machines[leader].syncs);
    let mut nanos = Vec::new();
    let begun = Instant::now();
    for _ in 0..rounds {
        let start = Instant::now();
        let applied = net.machines[leader].app.count;
        assert!(net.propose((0..batch).map(|_| vec![7; COMMAND])));
        net.deliver();
        assert_eq!(net.machines[leader].app.count, applied + batch as u64);
        nanos.push(start.elapsed().as_nanos() as u64);
    }
    let total = begun.elapsed().as_secs_f64();
    let entries = (rounds * batch) as f64;
    println!(
        "commits batch={batch} entries_per_core_second={:.0} p99_us_per_batch={} \
         messages_per_entry={:.3} bytes_per_entry={:.1} leader_syncs_per_entry={:.3}",
        entries / total,
        quantile(&mut nanos, 0.99) / 1_000,
        (net.messages - before.0) as f64 / entries,
        (net.bytes - before.1) as f64 / entries,
        (net.machines[leader].syncs - before.2) as f64 / entries,
    );
}

/// From a leader's loss until another leads, with 3 ms on each link at most.
fn takeover(how: &str, lose: impl Fn(&mut Net, usize)) {
    let mut spans = Vec::new();
    for seed in SEED..SEED + TAKEOVERS {
        let mut net = Net::new(5, 4, seed);
        net.link_faults.delay = 3;
        let leader = net.wait_for_leader();
        net.run(2_000 + seed * 10);
        let begun = net.now;
        lose(&mut net, leader);
        net.wait_for_leader();
        spans.push(net.now - begun);
    }
    println!(
        "takeover how={how} runs={TAKEOVERS} p50_ms={} p99_ms={} max_ms={}",
        quantile(&mut spans, 0.5),
        quantile(&mut spans, 0.99),
        quantile(&mut spans, 1.0),
    );
}

/// A node with an empty disk joins, from the log or from a snapshot.
fn catch_up(length: u64, compact: bool) {
    let mut net = Net::new(3, 0, SEED);
    net.snapshot_size = 1 << 20;
    let leader = net.wait_for_leader();
    for _ in 0..length / 500 {
        assert!(net.propose((0..500).map(|_| vec![7; COMMAND])));
        net.run(50);
    }
    if compact {
        assert!(net.compact(leader));
    }
    let new = net.add(Attributes::default());
    let (begun, messages, bytes) = (net.now, net.messages, net.bytes);
    net.start(new, true);
    while net.machines[new].applied < net.machines[leader].applied {
        net.run(net::STEP);
    }
    println!(
        "catch_up entries={length} from_snapshot={compact} virtual_ms={} \
         messages={} bytes={}",
        net.now - begun,
        net.messages - messages,
        net.bytes - bytes,
    );
}

/// Nine nodes, five of them voters, with nothing to do and with 200 entries a
/// second.
fn idle() {
    const SECONDS: u64 = 60;
    for load in [0, 200] {
        let mut net = Net::new(5, 4, SEED);
        net.timing.replacement_delay = Span::from_secs(3_600);
        let leader = net.wait_for_leader();
        net.run(5_000);
        for machine in &mut net.machines {
            machine.traffic = (0, 0);
        }
        for _ in 0..SECONDS * 20 {
            if load > 0 {
                assert!(net.propose((0..load / 20).map(|_| vec![7; COMMAND])));
            }
            net.run(50);
        }
        let per_second = |count: u64| count as f64 / SECONDS as f64;
        let (messages, bytes) = net.machines[leader].traffic;
        let others = (0..9).filter(|&at| at != leader);
        let most = others
            .map(|at| net.machines[at].traffic)
            .max_by_key(|it| it.1);
        let (their_messages, their_bytes) = most.expect("others");
        println!(
            "traffic nodes=9 voters=5 entries_per_second={load} leader_messages_per_second={:.1} \
             leader_bytes_per_second={:.0} other_messages_per_second={:.1} \
             other_bytes_per_second={:.0}",
            per_second(messages),
            per_second(bytes),
            per_second(their_messages),
            per_second(their_bytes),
        );
    }
}
