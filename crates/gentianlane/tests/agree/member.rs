//! Membership changes: replacement and removal of voters, lost disks, failure
//! domains.

use gentianlane::consensus::{
    Attributes, Body, ChangeError, IdentityStatus, Message, Output, Role, VoterChange,
};
use gentianlane::id;

use crate::net::Net;

/// The seed of the random generator in every test of this file.
const SEED: u64 = 23;

/// The indices of the machines that are voters, as machine `at` knows them.
fn voters(net: &Net, at: usize) -> Vec<usize> {
    let voters = net.node(at).voters().iter();
    let mut indices: Vec<usize> = voters.map(|node| node.0 as usize - 1).collect();
    indices.sort_unstable();
    indices
}

/// Proposes `count` commands, 50 ms apart.
fn propose(net: &mut Net, count: u8) {
    for number in 0..count {
        assert!(net.propose([vec![number]]));
        net.run(50);
    }
}

/// A cell that has a leader and has committed five commands, and the leader's
/// index.
fn cell_with_leader(initial_voters: u64, learners: u64) -> (Net, usize) {
    let mut net = Net::new(initial_voters, learners, SEED);
    let leader = net.wait_for_leader();
    net.run(2_000);
    propose(&mut net, 5);
    (net, leader)
}

/// A voter that isn't in `excluded`.
fn voter_except(net: &Net, excluded: &[usize]) -> usize {
    let leader = net.leader().expect("a leader");
    let all = voters(net, leader);
    let found = all.into_iter().find(|at| !excluded.contains(at));
    found.expect("another voter")
}

// The voter that replaces a lost one must hold every committed entry, or the loss
// of the leader right afterwards loses entries.
#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let (mut net, leader) = cell_with_leader(3, 1);
    let lost = voter_except(&net, &[leader]);
    net.crash(lost);
    let spare = 3;
    while !voters(&net, leader).contains(&spare) || voters(&net, leader).len() != 3 {
        net.run(10);
        assert!(
            net.now < 60_000,
            "the lost voter must be replaced within a minute"
        );
    }
    propose(&mut net, 3);
    net.crash(leader);
    let new = net.wait_for_leader();
    propose(&mut net, 3);
    net.run(1_000);
    assert_eq!(net.machines[new].app.count, 11);
    net.assert_converged([new, spare]);
}

// A short restart, within the replacement delay, must not change the voters.
#[test]
fn a_voter_that_restarts_within_the_delay_keeps_its_vote() {
    let (mut net, leader) = cell_with_leader(3, 1);
    let before = voters(&net, leader);
    let away = voter_except(&net, &[leader]);
    net.crash(away);
    net.run(2_500);
    net.start(away, true);
    net.run(20_000);
    assert_eq!(voters(&net, leader), before);
    net.assert_converged(0..4);
}

// A voter that lost its disk has forgotten its votes and entries. If it could
// vote, it would elect a node that lacks the last committed entries.
#[test]
fn wipe_one_and_kill_another_elects_nobody_who_lacks_an_entry() {
    let (mut net, leader) = cell_with_leader(3, 0);
    let wiped = voter_except(&net, &[leader]);
    let behind = voter_except(&net, &[leader, wiped]);
    net.isolate(behind);
    propose(&mut net, 3);
    // Only the leader and the wiped node held the last three commands.
    net.crash(leader);
    net.wipe(wiped);
    net.cut_links.clear();
    net.start(wiped, true);
    net.run(60_000);
    assert_eq!(
        net.leader(),
        None,
        "an empty and an outdated disk must not form a quorum"
    );
    assert_eq!(
        net.node(wiped).identity_status(),
        IdentityStatus::Unverified
    );
    net.start(leader, true);
    let new = net.wait_for_leader();
    net.run(5_000);
    assert_eq!(net.machines[new].app.count, 8);
    assert_eq!(net.node(wiped).identity_status(), IdentityStatus::Revoked);
}

// A voter that lost its disk must not rejoin under its old identity. With a new
// identity it replaces its former self.
#[test]
fn a_wiped_voter_comes_back_as_a_new_member_and_is_replaced() {
    let (mut net, leader) = cell_with_leader(3, 0);
    let wiped = voter_except(&net, &[leader]);
    net.wipe(wiped);
    net.start(wiped, true);
    net.run(2_000);
    assert_eq!(net.node(wiped).identity_status(), IdentityStatus::Revoked);
    assert!(
        net.machines[wiped].disk.is_blank(),
        "a revoked node must store nothing"
    );
    net.crash(wiped);
    let new = net.add(Attributes::default());
    net.start(new, true);
    net.run(10_000);
    assert_eq!(net.node(new).identity_status(), IdentityStatus::Valid);
    let voters = voters(&net, leader);
    assert!(
        voters.contains(&new) && !voters.contains(&wiped),
        "{voters:?}"
    );
    net.assert_converged([leader, new]);
}

// A disk restored from an old copy lacks entries that its node has acknowledged,
// so that the node's identity must be revoked.
#[test]
fn a_disk_that_was_rolled_back_is_refused() {
    let (mut net, leader) = cell_with_leader(3, 1);
    let old = voter_except(&net, &[leader]);
    let copy = net.machines[old].disk.clone();
    propose(&mut net, 5);
    net.crash(old);
    net.machines[old].disk = copy;
    net.start(old, true);
    net.run(10_000);
    assert_eq!(net.node(old).identity_status(), IdentityStatus::Revoked);
    let voters = voters(&net, leader);
    assert!(!voters.contains(&old), "{voters:?}");
}

#[test]
fn a_leader_that_removes_itself_leads_until_that_is_committed() {
    let (mut net, leader) = cell_with_leader(3, 1);
    let leader_id = net.machines[leader].id;
    let change = net.with(leader, |node, now| {
        node.change_voters(VoterChange::Remove(leader_id), now)
    });
    assert!(change.is_ok());
    assert_eq!(net.node(leader).role(), Role::Leader);
    net.run(2_000);
    let new = net.wait_for_leader();
    assert_ne!(new, leader);
    propose(&mut net, 2);
    net.run(3_000);
    let members = voters(&net, new);
    assert_eq!(
        members.len(),
        3,
        "the learner must become a voter: {members:?}"
    );
    net.assert_converged(0..4);
}

// Voters are changed one at a time: two pending changes could give two disjoint
// majorities.
#[test]
fn a_second_change_waits_for_the_first() {
    let (mut net, leader) = cell_with_leader(5, 0);
    let first = net.machines[voter_except(&net, &[leader])].id;
    net.isolate(leader);
    let changes = net.with(leader, |node, now| {
        let one = node.change_voters(VoterChange::Remove(first), now);
        (one, node.change_voters(VoterChange::Add(first), now))
    });
    assert!(changes.0.is_ok());
    assert_eq!(changes.1, Err(ChangeError::Pending));
    // The log of the next leader overwrites the isolated leader's change.
    net.run(10_000);
    net.cut_links.clear();
    net.run(2_000);
    assert_eq!(voters(&net, leader).len(), 5);
}

// A node without a disk forgets its votes and entries in each restart.
#[test]
fn a_node_without_a_disk_never_gets_a_vote() {
    let mut net = Net::new(3, 0, SEED);
    let attributes = Attributes {
        disk: false,
        ..Attributes::default()
    };
    let learner = net.add(attributes);
    net.start(learner, true);
    let leader = net.wait_for_leader();
    net.run(3_000);
    net.crash(voter_except(&net, &[leader]));
    net.run(20_000);
    assert!(!voters(&net, leader).contains(&learner));
    let node = net.machines[learner].id;
    let denied = net.with(leader, |leader_node, now| {
        leader_node.change_voters(VoterChange::Add(node), now)
    });
    assert_eq!(denied, Err(ChangeError::Ineligible));
    // Without a disk its log is lost in each restart and must be sent again.
    net.crash(learner);
    net.run(1_000);
    net.start(learner, true);
    net.cut_links.insert((leader, learner));
    net.run(2_000);
    net.cut_links.clear();
    net.run(5_000);
    net.assert_converged([leader, learner]);
}

// Two voters in one failure domain would be lost together.
#[test]
fn voters_end_up_in_different_domains() {
    let mut net = Net::new(3, 3, SEED);
    for (at, domain) in ["a", "a", "b", "a", "b", "c"].into_iter().enumerate() {
        net.machines[at].attributes.domain = id::Domain::from(domain);
        net.crash(at);
        net.start(at, at >= 3);
    }
    net.wait_for_leader();
    net.run(30_000);
    let leader = net.wait_for_leader();
    let members = voters(&net, leader);
    let mut domains: Vec<_> = members
        .iter()
        .map(|&at| net.machines[at].attributes.domain.to_string())
        .collect();
    domains.sort();
    assert_eq!(domains, ["a", "b", "c"]);
    // The only node of domain c stops: another replaces it as a voter, until it
    // is back.
    net.crash(5);
    net.run(30_000);
    let leader = net.wait_for_leader();
    assert!(!voters(&net, leader).contains(&5));
    net.start(5, true);
    net.run(30_000);
    let leader = net.wait_for_leader();
    assert!(voters(&net, leader).contains(&5));
    assert_eq!(voters(&net, leader).len(), 3);
}

// Two voters are left, one of them with a revoked identity: the leader must not
// count it towards a quorum.
#[test]
fn a_refused_voter_counts_neither_for_commits_nor_for_the_lease() {
    let (mut net, leader) = cell_with_leader(3, 0);
    let wiped = voter_except(&net, &[leader]);
    net.wipe(wiped);
    net.start(wiped, true);
    net.run(2_000);
    assert_eq!(net.node(wiped).identity_status(), IdentityStatus::Revoked);
    assert_eq!(net.leader(), Some(leader));
    net.crash(voter_except(&net, &[leader, wiped]));
    net.run(3_000);
    assert_eq!(net.leader(), None);
    assert_eq!(net.machines[leader].app.count, 5);
}

// A leader without a lease may be outdated, so it can't confirm that an identity
// has never had a vote.
#[test]
fn a_leader_without_a_lease_welcomes_nobody() {
    let (mut net, leader) = cell_with_leader(3, 0);
    let confirms_identity = |net: &mut Net| {
        let mut node = net.node(leader).clone();
        let term = node.term();
        let body = Body::VerifyIdentity { incarnation: 5 };
        let now = net.machines[leader].clock(net.now);
        node.receive(id::Node(9), Message { term, body }, now);
        let reply = Body::IdentityValid { incarnation: 5 };
        let is_confirmation =
            |output: &Output| matches!(output, Output::Send(_, it) if it.body == reply);
        node.take_outputs().iter().any(is_confirmation)
    };
    assert!(confirms_identity(&mut net));
    net.isolate(leader);
    net.run(3_000);
    assert!(
        !confirms_identity(&mut net),
        "a newer leader may have made this identity a voter"
    );
}
