//! Replication over links that drop, duplicate and reorder messages, and the
//! limits on what is in flight.

use gentianlane::consensus::{Body, Output};

use crate::net::{LinkFaults, Net};

/// The seed of the random generator in every test of this file.
const SEED: u64 = 41;

#[test]
fn lost_repeated_and_reordered_messages_change_nothing() {
    let mut net = Net::new(5, 1, SEED);
    net.wait_for_leader();
    net.link_faults = LinkFaults {
        drop: 100,
        duplicate: 100,
        delay: 80,
    };
    let mut accepted = 0;
    for number in 0..500_u32 {
        accepted += u64::from(net.propose([number.to_le_bytes().to_vec()]));
        net.run(20);
    }
    net.link_faults = LinkFaults::default();
    net.run(5_000);
    net.wait_for_leader();
    assert!(
        accepted > 400,
        "only {accepted} of 500 proposals were accepted"
    );
    net.propose([b"end".to_vec()]);
    net.run(3_000);
    net.assert_converged(0..6);
}

/// The number and the approximate bytes of the entries that `outputs` send to
/// node `to`.
fn entries_sent(outputs: &[Output], to: u64) -> (usize, usize) {
    let mut total = (0, 0);
    for output in outputs {
        let Output::Send(node, message) = output else {
            continue;
        };
        if let (Body::Append(append), true) = (&message.body, node.0 == to) {
            total.0 += append.entries.len();
            let sizes = append
                .entries
                .iter()
                .map(|entry| entry.payload.approximate_size());
            total.1 += sizes.sum::<usize>();
        }
    }
    total
}

#[test]
fn what_is_unanswered_is_limited_and_sent_once() {
    let mut net = Net::new(3, 0, SEED);
    let leader = net.wait_for_leader();
    net.run(1_000);
    let follower = net.machines[(leader + 1) % 3].id.0;
    let now = net.machines[leader].clock(net.now);
    let mut node = net.node(leader).clone();
    let mut total = (0, 0);
    for _ in 0..200 {
        node.propose([vec![7; 60 << 10]], now).unwrap();
        let (count, bytes) = entries_sent(&node.take_outputs(), follower);
        total = (total.0 + count, total.1 + bytes);
    }
    assert!(total.1 > 900 << 10 && total.1 < 1_400 << 10, "{total:?}");
    // A heartbeat must not resend entries that may still be acknowledged.
    node.tick(node.due());
    assert_eq!(entries_sent(&node.take_outputs(), follower).0, 0);
}

// The leader must not send its whole backlog again and again to a peer that
// can't be reached.
#[test]
fn a_peer_that_was_silent_for_long_is_sent_a_bounded_amount() {
    let mut net = Net::new(3, 0, SEED);
    let leader = net.wait_for_leader();
    net.run(1_000);
    let away = (leader + 1) % 3;
    net.isolate(away);
    for number in 0..60_u8 {
        assert!(net.propose((0..4).map(|_| vec![number; 20 << 10])));
        net.run(100);
    }
    let before = net.bytes;
    net.run(60_000);
    let wasted = net.bytes - before;
    assert!(
        wasted < 80 << 20,
        "{wasted} bytes sent to an unreachable peer within a minute"
    );
    net.cut_links.clear();
    net.run(5_000);
    net.assert_converged(0..3);
}

// Lost acknowledgements use up the limit of unacknowledged entries. The leader
// must not wait for them forever.
#[test]
fn answers_that_are_lost_do_not_hold_up_a_peer() {
    let mut net = Net::new(3, 0, SEED);
    let leader = net.wait_for_leader();
    net.run(1_000);
    let silent = (leader + 1) % 3;
    net.cut_links.insert((silent, leader));
    for number in 0..40_u8 {
        assert!(net.propose([vec![number; 60 << 10]]));
    }
    net.run(300);
    net.cut_links.clear();
    net.run(3_000);
    net.assert_converged(0..3);
}
