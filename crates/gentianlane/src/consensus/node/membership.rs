//! Membership: learners, and changes of the voters, one at a time through the
//! log.

use indexmap::IndexMap;

use crate::consensus::node::Node;
use crate::consensus::peer::Peer;
use crate::consensus::{
    Attributes, Body, ChangeError, Index, Payload, Role, VoterChange, Voters,
};
use crate::id;
use crate::unit::Time;

/// How many peers a leader tracks at most.
const PEER_LIMIT: usize = 64;

/// How many entries behind the commit index a learner may be when it becomes a
/// voter.
const MAX_VOTER_LAG: u64 = 64;

impl Node {
    /// Records a node's attributes; an unknown node becomes a learner.
    ///
    /// A new node may know only the founding members, so followers redirect it
    /// to the leader.
    pub(super) fn handle_announce(
        &mut self,
        from: id::Node,
        attributes: Attributes,
        now: Time,
    ) {
        self.redirect_or_register(from, now);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.attributes = Some(attributes);
            peer.heard_at = now;
        }
        self.mark_predecessors_lost(from, now);
    }

    /// Marks the silent peers that had the VM of `successor` before as having
    /// lost their disk, since `successor` found it empty.
    fn mark_predecessors_lost(&mut self, successor: id::Node, now: Time) {
        let Some(address) = successor.address() else {
            return;
        };
        let timeout = self.setup.timing.election_timeout;
        for (&node, peer) in &mut self.peers {
            let is_predecessor = node != successor && node.address() == Some(address);
            if is_predecessor && now.since(peer.heard_at) >= timeout {
                peer.disk_lost = true;
            }
        }
    }

    /// On a follower, redirects a node to the leader; on the leader, adds it as
    /// a learner while there is room.
    pub(super) fn redirect_or_register(&mut self, node: id::Node, now: Time) {
        if let Role::Follower(Some(leader)) = self.role {
            return self.send(node, Body::Redirect { leader });
        }
        let has_room = self.peers.len() < PEER_LIMIT;
        let is_new = !self.peers.contains_key(&node);
        if self.role == Role::Leader && has_room && is_new {
            let next = self.log.last().index.next();
            self.peers.insert(node, Peer::new(next, now));
        }
    }

    /// Appends a change of the voters by one node to the log, and returns its
    /// index. The new voters are in force at once.
    ///
    /// # Errors
    ///
    /// [`ChangeError`] if the change is refused; nothing is appended.
    pub fn change_voters(
        &mut self,
        change: VoterChange,
        now: Time,
    ) -> Result<Index, ChangeError> {
        if self.role != Role::Leader {
            return Err(ChangeError::NotLeader);
        }
        if self.applied_index < self.term_start
            || self.log.voters_since() > self.commit_index
        {
            return Err(ChangeError::Pending);
        }
        let voters = self.voters_after(change).ok_or(ChangeError::Ineligible)?;
        self.append_to_log([Payload::Voters(voters)]);
        let index = self.log.last().index;
        self.replicate_to_all(now);
        self.advance_commit(now);
        Ok(index)
    }

    /// The voters after a change, or `None` if the node is ineligible for it.
    fn voters_after(&self, change: VoterChange) -> Option<Voters> {
        let voters = self.voters();
        match change {
            VoterChange::Add(node) => {
                let allowed = !voters.contains(node) && self.is_eligible(node);
                let all = voters.iter().chain([node]);
                allowed.then(|| all.collect())
            }
            VoterChange::Remove(node) => {
                let allowed = voters.contains(node) && voters.len() > 1;
                let rest = voters.iter().filter(|&voter| voter != node);
                allowed.then(|| rest.collect())
            }
        }
    }

    /// Whether a learner can become a voter: it has a disk and stores nearly all
    /// committed entries.
    ///
    /// It must have stored an entry of the current term. This shows that its disk
    /// is neither empty nor an outdated copy.
    fn is_eligible(&self, node: id::Node) -> bool {
        let is_fit = |peer: &Peer| {
            let caught_up = peer.match_index.0 + MAX_VOTER_LAG >= self.commit_index.0;
            peer.can_vote() && caught_up && peer.match_index >= self.term_start
        };
        self.peers.get(&node).is_some_and(is_fit)
    }

    /// Starts the next change that the voters need, if any.
    pub(super) fn repair_voters(&mut self, now: Time) {
        if let Some(change) = self.next_change(now) {
            // Refused while an earlier change is pending; the next heartbeat
            // tries again.
            let _ = self.change_voters(change, now);
        }
    }

    /// The change that brings the voters closer to the target: their number
    /// first, then replacements of lost voters, then one voter per domain.
    ///
    /// Without an eligible learner none is removed at the target number.
    fn next_change(&self, now: Time) -> Option<VoterChange> {
        let voters = self.voters();
        let target = self.target_voters;
        if voters.len() > target {
            return self.least_needed_voter(now).map(VoterChange::Remove);
        }
        let learner = self.best_learner(now)?;
        if voters.len() < target {
            return Some(VoterChange::Add(learner));
        }
        if let Some(node) = voters
            .iter()
            .find(|&node| self.needs_replacement(node, now))
        {
            return Some(VoterChange::Remove(node));
        }
        let shares_domain = voters
            .iter()
            .any(|node| self.voters_sharing_domain(node) > 0);
        let known_long = self.peers.get(&learner).is_some_and(|peer| {
            now.since(peer.known_since) >= self.setup.timing.replacement_delay
        });
        let improves =
            shares_domain && known_long && self.voters_sharing_domain(learner) == 0;
        (improves && self.domains().len() > voters.len())
            .then_some(VoterChange::Add(learner))
    }

    /// Whether a voter has lost its disk, or has been silent for the replacement
    /// delay.
    fn needs_replacement(&self, node: id::Node, now: Time) -> bool {
        let Some(peer) = self.peers.get(&node) else {
            return false;
        };
        peer.disk_lost || now.since(peer.heard_at) >= self.setup.timing.replacement_delay
    }

    /// The failure domains of this node and of the peers that have announced
    /// theirs.
    fn domains(&self) -> IndexMap<id::Node, &id::Domain> {
        let peers = self.peers.iter();
        let announced = peers.filter_map(|(&node, peer)| {
            let attributes = peer.attributes.as_ref()?;
            Some((node, &attributes.domain))
        });
        announced
            .chain([(self.setup.node, &self.attributes.domain)])
            .collect()
    }

    /// How many other voters with intact disks share a node's domain; zero if the
    /// domain isn't known.
    fn voters_sharing_domain(&self, node: id::Node) -> usize {
        let domains = self.domains();
        let Some(domain) = domains.get(&node) else {
            return 0;
        };
        let voters = self.voters().iter().filter(|&other| other != node);
        let lost =
            |other: &id::Node| self.peers.get(other).is_some_and(|peer| peer.disk_lost);
        voters
            .filter(|other| !lost(other))
            .filter(|other| domains.get(other) == Some(domain))
            .count()
    }

    /// The eligible learner, heard recently, that shares its domain with the
    /// fewest voters; the lowest identity among equals.
    fn best_learner(&self, now: Time) -> Option<id::Node> {
        let voters = self.voters();
        let timeout = self.setup.timing.election_timeout;
        let eligible = self.peers.iter().filter(|(node, peer)| {
            let is_heard = now.since(peer.heard_at) < timeout.saturating_mul(2);
            !voters.contains(**node) && is_heard && self.is_eligible(**node)
        });
        let best =
            eligible.min_by_key(|(node, _)| (self.voters_sharing_domain(**node), **node));
        best.map(|(&node, _)| node)
    }

    /// The voter to remove first: one that needs replacement, then the one that
    /// shares its domain with the most voters, then one that isn't this leader.
    fn least_needed_voter(&self, now: Time) -> Option<id::Node> {
        let me = self.setup.node;
        self.voters().iter().max_by_key(|&node| {
            let is_lost = self.needs_replacement(node, now);
            (is_lost, self.voters_sharing_domain(node), node != me, node)
        })
    }
}
