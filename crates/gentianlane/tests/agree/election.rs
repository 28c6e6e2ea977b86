//! Elections, leader leases and leadership transfer.

use gentianlane::consensus::{
    Ballot, Body, DurableState, Entry, Index, Message, Node, Payload, Position, Role,
    Setup, Term, Timing,
};
use gentianlane::id;
use gentianlane::unit::Time;

use crate::net::Net;

/// The seed of the random generator in every test of this file.
const SEED: u64 = 11;

/// A cell that has had a leader for a second, and the leader's index.
fn cell_with_leader(voters: u64) -> (Net, usize) {
    let mut net = Net::new(voters, 0, SEED);
    let leader = net.wait_for_leader();
    net.run(1_000);
    (net, leader)
}

#[test]
fn one_of_three_leads_and_all_apply_what_it_proposes() {
    let (mut net, leader) = cell_with_leader(3);
    assert_eq!(net.leader(), Some(leader));
    assert!(net.propose([b"one".to_vec(), b"two".to_vec()]));
    net.run(1_000);
    net.assert_converged(0..3);
    assert_eq!(net.machines[0].app.count, 2);
}

// Two leaders at once: an isolated leader keeps its role, since it hears of no
// newer term. Its lease must lapse before the others elect a new leader.
#[test]
fn a_leader_that_is_cut_off_stops_leading_before_another_begins() {
    let (mut net, old) = cell_with_leader(3);
    net.isolate(old);
    // Each step asserts that at most one node holds the lease.
    net.run(180_000);
    assert_ne!(net.leader(), Some(old));
    assert!(net.leader().is_some());
    assert_eq!(net.node(old).role(), Role::Leader);
    let stale = net.with(old, |node, now| {
        let _ = node.propose([b"lost".to_vec()], now);
        node.holds_lease(now)
    });
    assert!(!stale);
    net.cut_links.clear();
    net.run(1_000);
    assert_ne!(net.node(old).role(), Role::Leader);
    assert!(net.propose([b"kept".to_vec()]));
    net.run(1_000);
    net.assert_converged(0..3);
    assert_eq!(
        net.machines[old].app.count, 1,
        "the entry proposed without a lease must not be committed"
    );
}

// A node that was isolated must not raise the term and thereby force an
// election when its links work again.
#[test]
fn a_node_that_comes_back_does_not_unseat_the_leader() {
    let (mut net, leader) = cell_with_leader(3);
    let term = net.node(leader).term();
    let away = (leader + 1) % 3;
    net.isolate(away);
    net.run(20_000);
    net.cut_links.clear();
    net.run(5_000);
    assert_eq!(net.leader(), Some(leader));
    assert_eq!(net.node(leader).term(), term);
}

// A paused process that resumes after another was elected must see by its
// clock that its lease has expired, before it has received any message.
#[test]
fn a_leader_woken_after_its_lease_says_so_before_any_output() {
    let (mut net, old) = cell_with_leader(3);
    net.machines[old].paused = true;
    net.run(60_000);
    let new = net.leader().expect("another node is elected");
    assert_ne!(new, old);
    let now = net.machines[old].clock(net.now);
    assert!(!net.node(old).holds_lease(now));
    net.machines[old].paused = false;
    net.assert_single_leader();
    net.run(5_000);
    assert_eq!(net.node(old).leader(), Some(net.machines[new].id));
}

// The successor's election ignores the lease, so the old leader must give up its
// lease before it starts.
#[test]
fn a_leader_that_hands_over_never_leads_beside_the_next() {
    let (mut net, old) = cell_with_leader(3);
    let start = net.now;
    net.with(old, |node, _| node.transfer_leadership());
    net.assert_single_leader();
    assert_eq!(
        net.leader(),
        None,
        "the old leader must give up its lease before the election"
    );
    let new = net.wait_for_leader();
    assert_ne!(new, old);
    assert!(
        net.now - start < 1_000,
        "the transfer must not wait for an election timeout"
    );
    net.run(5_000);
    assert_eq!(net.leader(), Some(new));
}

// A delayed duplicate of `TimeoutNow` from the earlier term must not start
// another election.
#[test]
fn a_hand_over_that_arrives_late_unseats_nobody_twice() {
    let (mut net, old) = cell_with_leader(3);
    net.link_faults.delay = 0;
    let next = (old + 1) % 3;
    let term = net.node(old).term();
    net.with(old, |node, _| node.transfer_leadership());
    let new = net.wait_for_leader();
    let new_term = net.node(new).term();
    let message = Message {
        term,
        body: Body::TimeoutNow,
    };
    let from = net.machines[old].id;
    net.with(next, |node, now| node.receive(from, message, now));
    net.run(5_000);
    assert_eq!(net.leader(), Some(new));
    assert_eq!(net.node(new).term(), new_term);
}

// With links that fail in one direction the followers still receive
// heartbeats, but their acknowledgements are lost. The leader must step aside,
// or the cell makes no progress.
#[test]
fn a_leader_that_is_heard_but_does_not_hear_gives_way() {
    let (mut net, old) = cell_with_leader(3);
    for other in 0..3 {
        net.cut_links.insert((other, old));
    }
    net.run(10_000);
    assert_ne!(
        net.leader(),
        Some(old),
        "a leader without acknowledgements can't renew its lease"
    );
    net.cut_links.clear();
    net.wait_for_leader();
    net.run(5_000);
    assert!(net.propose([b"after".to_vec()]));
    net.run(1_000);
    net.assert_converged(0..3);
}

// A link that fails again and again must not depose a leader that the others
// still hear.
#[test]
fn flapping_links_never_make_two_leaders_and_keep_one_term_long() {
    let (mut net, leader) = cell_with_leader(5);
    let term = net.node(leader).term();
    let flapping = (leader + 1) % 5;
    for round in 0..100 {
        net.cut_links.insert((leader, flapping));
        net.run(300 + round % 7 * 100);
        net.cut_links.clear();
        net.run(200 + round % 5 * 100);
        net.propose([vec![round as u8]]);
    }
    net.run(2_000);
    assert_eq!(
        net.node(leader).term(),
        term,
        "a leader with a quorum must keep its term"
    );
    net.assert_converged(0..5);
}

// A node whose stored term is newer than the leader's rejects its messages.
// It must rejoin, and the cell must go on.
#[test]
fn a_node_with_a_newer_term_gets_back_into_the_cell() {
    let (mut net, leader) = cell_with_leader(3);
    let rejoining = (leader + 1) % 3;
    let term = Term(net.node(leader).term().0 + 5);
    net.crash(rejoining);
    net.machines[rejoining].disk.ballot.term = term;
    net.machines[rejoining].disk.ballot.vote = Some(net.machines[rejoining].id);
    net.start(rejoining, true);
    net.run(10_000);
    net.wait_for_leader();
    assert!(net.propose([b"x".to_vec()]));
    net.run(1_000);
    net.assert_converged(0..3);
}

// A restart loses the time of the last heartbeat. A voter that granted its
// vote at once could elect a second leader within the first one's lease.
#[test]
fn a_restarted_voter_votes_for_nobody_while_a_lease_may_run() {
    let (mut net, leader) = cell_with_leader(3);
    let other = (leader + 1) % 3;
    net.crash(other);
    net.start(other, true);
    let last = Position {
        index: net.node(leader).last_index(),
        term: net.node(leader).term(),
    };
    let term = Term(last.term.0 + 1);
    let body = Body::VoteRequest {
        last,
        ignore_lease: false,
    };
    let from = id::Node(((leader + 2) % 3) as u64 + 1);
    let request = Message { term, body };
    net.with(other, |node, now| node.receive(from, request, now));
    assert!(net.node(other).term() < term);
    assert!(net.machines[leader].leads(net.now));
}

// The link between one follower and the leader is cut. The follower times out,
// but its pre-vote requests must fail while the others follow the leader.
#[test]
fn a_node_that_hears_all_but_the_leader_does_not_unseat_it() {
    let (mut net, leader) = cell_with_leader(3);
    let term = net.node(leader).term();
    let separated = (leader + 1) % 3;
    net.cut_links.insert((leader, separated));
    net.cut_links.insert((separated, leader));
    net.run(20_000);
    assert_eq!(
        net.node(separated).term(),
        term,
        "its pre-vote requests must be rejected"
    );
    net.cut_links.clear();
    net.run(5_000);
    assert_eq!(net.leader(), Some(leader));
    assert_eq!(net.node(leader).term(), term);
}

/// A leader of term 5 whose log has two uncommitted entries of earlier terms
/// that no other node stores.
fn leader_with_uncommitted_entries() -> Node {
    let entry = |index, term| Entry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(vec![index as u8]),
    };
    let saved = DurableState {
        ballot: Ballot {
            term: Term(4),
            vote: None,
        },
        snapshot: None,
        entries: vec![entry(1, 2), entry(2, 4)],
    };
    let setup = Setup {
        node: id::Node(1),
        voters: (1..=3).map(id::Node).collect(),
        learners: Vec::new(),
        timing: Timing::default(),
        seed: SEED,
    };
    let mut node = Node::new(setup, saved, Time::default());
    let now = node.due();
    node.tick(now);
    let term = Term(5);
    for body in [
        Body::PreVoteReply {
            granted: true,
            no_leader_seen: false,
        },
        Body::VoteReply { granted: true },
    ] {
        node.receive(id::Node(2), Message { term, body }, now);
    }
    assert_eq!(node.role(), Role::Leader);
    node
}

// Raft's commit rule: an entry of an earlier term that a majority stores can
// still be overwritten, until an entry of the leader's own term is stored too.
#[test]
fn entries_of_earlier_terms_are_committed_with_one_of_the_leaders_own() {
    let mut node = leader_with_uncommitted_entries();
    let now = node.due();
    let ack = |index| Message {
        term: Term(5),
        body: Body::AppendAck {
            match_index: Index(index),
            seq: 1,
        },
    };
    node.receive(id::Node(2), ack(2), now);
    assert_eq!(
        node.applied_index(),
        Index(0),
        "a majority must not commit entries of earlier terms by itself"
    );
    node.receive(id::Node(2), ack(3), now);
    assert_eq!(node.applied_index(), Index(3));
}

/// Sends a machine a vote request from `candidate` in `term`.
fn request_vote(
    net: &mut Net,
    at: usize,
    candidate: id::Node,
    term: Term,
    last: Position,
) {
    let body = Body::VoteRequest {
        last,
        ignore_lease: false,
    };
    let message = Message { term, body };
    net.with(at, |node, now| {
        node.receive(candidate, message, now);
    });
}

// A voter that forgot its vote in a restart could vote twice in one term.
#[test]
fn a_vote_outlives_a_restart() {
    let (mut net, leader) = cell_with_leader(3);
    let voter = (leader + 1) % 3;
    let term = Term(net.node(voter).term().0 + 7);
    let last = Position {
        index: Index(1_000),
        term,
    };
    net.isolate(voter);
    let first = net.machines[leader].id;
    let second = net.machines[(leader + 2) % 3].id;
    for candidate in [first, second] {
        net.run(1_500);
        request_vote(&mut net, voter, candidate, term, last);
        assert_eq!(net.machines[voter].disk.ballot.term, term);
        assert_eq!(net.machines[voter].disk.ballot.vote, Some(first));
        net.crash(voter);
        net.start(voter, true);
    }
}

// A candidate whose log lacks an entry could overwrite it once elected.
#[test]
fn nobody_votes_for_a_log_that_lacks_an_entry() {
    let (mut net, leader) = cell_with_leader(3);
    assert!(net.propose([b"one".to_vec()]));
    net.run(1_000);
    let voter = (leader + 1) % 3;
    let term = net.node(voter).term();
    let index = net.node(voter).last_index().prev();
    net.isolate(voter);
    net.run(1_500);
    let next = Term(term.0 + 7);
    let candidate = net.machines[leader].id;
    request_vote(&mut net, voter, candidate, next, Position { index, term });
    assert_eq!(net.machines[voter].disk.ballot.vote, None);
}

#[test]
fn voters_that_all_began_just_now_wait_for_no_leader() {
    let (mut net, _) = cell_with_leader(3);
    for at in 0..3 {
        net.crash(at);
    }
    net.run(500);
    for at in 0..3 {
        net.start(at, false);
    }
    // Far less than the shortest election timeout, one second.
    net.run(400);
    assert!(net.leader().is_some());
    assert!(net.propose([b"one".to_vec()]));
    net.run(1_000);
    net.assert_converged(0..3);
}

#[test]
fn voters_that_began_just_now_wait_for_a_leader_that_may_live() {
    // The isolated leader still relies on its lease for most of a second. Each
    // step asserts that at most one node holds the lease.
    let (mut net, leader) = cell_with_leader(3);
    net.isolate(leader);
    for at in (0..3).filter(|&at| at != leader) {
        net.crash(at);
        net.start(at, false);
    }
    net.run(600);
    assert_eq!(net.leader(), Some(leader));
    net.run(5_000);
    assert!(net.leader().is_some_and(|at| at != leader));
}

#[test]
fn a_new_disk_speaks_for_the_node_that_stood_on_its_vm() {
    // Incident inc-9843 at norrvik-panna: after a power loss one disk was gone,
    // and the other two voters waited for a leader that could not be running.
    let node_at =
        |host: u8, generation| id::Node::at_address([10, 0, 0, host].into(), generation);
    let setup = Setup {
        node: node_at(1, 0),
        voters: [node_at(1, 0), node_at(2, 0), node_at(3, 0)]
            .into_iter()
            .collect(),
        learners: Vec::new(),
        timing: Timing::default(),
        seed: SEED,
    };
    let reply = |term| Message {
        term,
        body: Body::PreVoteReply {
            granted: false,
            no_leader_seen: true,
        },
    };
    let mut node = Node::new(setup, DurableState::default(), Time::default());
    let now = node.due();
    node.tick(now);
    assert_eq!(node.role(), Role::PreCandidate);
    node.receive(node_at(2, 0), reply(Term(1)), now);
    assert_eq!(
        node.role(),
        Role::PreCandidate,
        "the third voter has not replied"
    );
    node.receive(node_at(3, 9), reply(Term(1)), now);
    assert_eq!(node.role(), Role::Candidate);
}
