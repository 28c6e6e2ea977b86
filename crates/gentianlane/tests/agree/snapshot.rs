//! Log compaction, and the transfer of snapshots to followers.

use gentianlane::consensus::{
    Append, Body, Entry, Index, Message, Payload, Position, Term,
};

use crate::net::{LinkFaults, Net};

/// The seed of the random generator in every test of this file.
const SEED: u64 = 37;

/// Proposes `batches` batches of 20 commands each, 50 ms apart.
fn propose_batches(net: &mut Net, batches: u64) {
    for batch in 0..batches {
        let commands = (0..20_u64).map(|at| (batch * 20 + at).to_le_bytes().to_vec());
        assert!(net.propose(commands));
        net.run(50);
    }
}

/// A cell of which one voter is down while 4,000 commands are committed and
/// the others compact their logs, with the indices of the leader and of the
/// voter that is down.
fn cell_with_lagging_voter() -> (Net, usize, usize) {
    let mut net = Net::new(3, 0, SEED);
    let leader = net.wait_for_leader();
    net.timing.replacement_delay = gentianlane::unit::Span::from_secs(3_600);
    let lagging = (leader + 1) % 3;
    net.crash(lagging);
    propose_batches(&mut net, 200);
    net.run(500);
    for at in 0..3 {
        if at != lagging {
            assert!(net.compact(at));
        }
    }
    (net, leader, lagging)
}

#[test]
fn a_follower_behind_the_logs_beginning_gets_a_snapshot() {
    let (mut net, leader, lagging) = cell_with_lagging_voter();
    let base = net.node(leader).base().index;
    assert!(base > Index(2_000), "{base}");
    net.start(lagging, true);
    net.run(5_000);
    net.assert_converged(0..3);
    let saved = net.machines[lagging].disk.snapshot.as_ref();
    assert!(saved.is_some(), "the snapshot must be stored on disk");
    net.crash(lagging);
    net.start(lagging, true);
    net.run(3_000);
    net.assert_converged(0..3);
}

#[test]
fn a_snapshot_arrives_over_a_bad_link() {
    let (mut net, _, lagging) = cell_with_lagging_voter();
    net.link_faults = LinkFaults {
        drop: 200,
        duplicate: 200,
        delay: 60,
    };
    net.start(lagging, true);
    net.run(60_000);
    net.link_faults = LinkFaults::default();
    net.run(3_000);
    net.assert_converged(0..3);
}

// The process crashes after each of the first outputs in turn; from whatever is
// on disk by then, the node must catch up.
#[test]
fn a_crash_while_a_snapshot_is_stored_loses_nothing() {
    for outputs in 0..8 {
        let (mut net, _, lagging) = cell_with_lagging_voter();
        net.start(lagging, true);
        net.machines[lagging].outputs_until_crash = Some(outputs);
        net.run(5_000);
        net.crash(lagging);
        net.start(lagging, true);
        net.run(5_000);
        net.assert_converged(0..3);
    }
}

#[test]
fn a_node_leads_from_a_snapshot_after_a_restart_of_all() {
    let (mut net, ..) = cell_with_lagging_voter();
    for at in 0..3 {
        net.crash(at);
    }
    for at in 0..3 {
        net.start(at, true);
    }
    net.wait_for_leader();
    propose_batches(&mut net, 3);
    net.run(5_000);
    net.assert_converged(0..3);
}

#[test]
fn only_what_was_applied_is_compacted_and_only_once() {
    let mut net = Net::new(3, 0, SEED);
    let leader = net.wait_for_leader();
    propose_batches(&mut net, 2);
    let applied = net.node(leader).applied_index();
    let early = net.with(leader, |node, _| node.compact(applied.next(), vec![0; 16]));
    assert!(!early);
    assert!(net.compact(leader));
    assert!(!net.compact(leader));
}

// An outdated or conflicting message for an index that is already committed
// must not truncate the log.
#[test]
fn entries_older_than_the_commit_never_cut_what_is_committed() {
    let mut net = Net::new(3, 0, SEED);
    let leader = net.wait_for_leader();
    propose_batches(&mut net, 3);
    net.run(1_000);
    let follower = (leader + 1) % 3;
    let before = net.machines[follower].disk.entries.clone();
    let (from, term) = (net.machines[leader].id, net.node(leader).term());
    let old = before[1].clone();
    let forged = Entry {
        term: Term(term.0 + 1),
        payload: Payload::Empty,
        ..old.clone()
    };
    for (term, entry) in [(term, old), (Term(term.0 + 1), forged)] {
        let append = Append {
            prev: Position {
                index: before[0].index,
                term: before[0].term,
            },
            entries: vec![entry],
            commit_index: Index(0),
            seq: 1,
        };
        let body = Body::Append(append);
        let message = Message { term, body };
        net.with(follower, |node, now| node.receive(from, message, now));
    }
    assert_eq!(net.machines[follower].disk.entries, before);
    assert_eq!(net.node(follower).last_index().0, before.len() as u64);
}
