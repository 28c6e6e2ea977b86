//! Membership: who may vote, one change at a time through the log.

use indexmap::IndexMap;

use crate::consensus::node::Node;
use crate::consensus::peer::Peer;
use crate::consensus::{
    Attributes, Body, ChangeError, Index, Payload, Role, VoterChange, Voters,
};
use crate::id;
use crate::unit::Time;

/// How many nodes a leader keeps in mind.
const PEER_LIMIT: usize = 64;

/// How many entries a node may lag behind when it gets a vote.
const MAX_VOTER_LAG: u64 = 64;

impl Node {
    /// A node says where it stands; one that is new becomes a learner.
    ///
    /// A new node may know the founding members alone, so they name the leader.
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

    /// Takes the silent predecessors on a node's VM for lost: their disk is the
    /// one that the node found empty.
    fn mark_predecessors_lost(&mut self, by: id::Node, now: Time) {
        let Some(seat) = by.seat() else {
            return;
        };
        let silence = self.setup.timing.election_timeout;
        for (&node, peer) in &mut self.peers {
            let earlier = node != by && node.seat() == Some(seat);
            if earlier && now.since(peer.heard_at) >= silence {
                peer.disk_lost = true;
            }
        }
    }

    /// Brings a node that looks for a leader and the leader together.
    pub(super) fn redirect_or_register(&mut self, node: id::Node, now: Time) {
        if let Role::Follower(Some(leader)) = self.role {
            return self.send(node, Body::Redirect { leader });
        }
        let room = self.peers.len() < PEER_LIMIT;
        let new = !self.peers.contains_key(&node);
        if self.role == Role::Leader && room && new {
            let next = self.log.last().index.next();
            self.peers.insert(node, Peer::new(next, now));
        }
    }

    /// Changes the voters by one, through the log.
    ///
    /// # Errors
    ///
    /// [`ChangeError`] with the reason; nothing was changed.
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

    /// The voters after a change, if it can be made.
    fn voters_after(&self, change: VoterChange) -> Option<Voters> {
        let voters = self.voters();
        match change {
            VoterChange::Add(node) => {
                let fit = !voters.contains(node) && self.is_eligible(node);
                let all = voters.iter().chain([node]);
                fit.then(|| all.collect())
            }
            VoterChange::Remove(node) => {
                let fit = voters.contains(node) && voters.len() > 1;
                let rest = voters.iter().filter(|&voter| voter != node);
                fit.then(|| rest.collect())
            }
        }
    }

    /// Whether a node has a disk and nearly all that is committed.
    ///
    /// It has to have stored an entry of this term, so that its disk is neither
    /// blank nor as it was long ago.
    fn is_eligible(&self, node: id::Node) -> bool {
        let fit = |peer: &Peer| {
            let near = peer.match_index.0 + MAX_VOTER_LAG >= self.commit_index.0;
            peer.can_vote() && near && peer.match_index >= self.term_start
        };
        self.peers.get(&node).is_some_and(fit)
    }

    /// Makes the next change that the voters need, if any.
    pub(super) fn repair_voters(&mut self, now: Time) {
        if let Some(change) = self.next_change(now) {
            // Refused while an earlier change is on its way: it is wanted
            // again at the next heartbeat.
            let _ = self.change_voters(change, now);
        }
    }

    fn next_change(&self, now: Time) -> Option<VoterChange> {
        let voters = self.voters();
        let target = self.target_voters;
        if voters.len() > target {
            return self.least_needed_voter(now).map(VoterChange::Remove);
        }
        let spare = self.best_learner(now)?;
        if voters.len() < target {
            return Some(VoterChange::Add(spare));
        }
        if let Some(node) = voters
            .iter()
            .find(|&node| self.needs_replacement(node, now))
        {
            return Some(VoterChange::Remove(node));
        }
        let crowded = voters
            .iter()
            .any(|node| self.voters_sharing_domain(node) > 0);
        let settled = self.peers.get(&spare).is_some_and(|peer| {
            now.since(peer.known_since) >= self.setup.timing.replacement_delay
        });
        let better = crowded && settled && self.voters_sharing_domain(spare) == 0;
        (better && self.domains().len() > voters.len()).then_some(VoterChange::Add(spare))
    }

    /// Whether a voter has been silent for so long that it is replaced, or has
    /// lost its disk.
    fn needs_replacement(&self, node: id::Node, now: Time) -> bool {
        let Some(peer) = self.peers.get(&node) else {
            return false;
        };
        peer.disk_lost || now.since(peer.heard_at) >= self.setup.timing.replacement_delay
    }

    /// The domains of this node and of the peers that have said theirs.
    fn domains(&self) -> IndexMap<id::Node, &id::Domain> {
        let peers = self.peers.iter();
        let told = peers.filter_map(|(&node, peer)| {
            let attributes = peer.attributes.as_ref()?;
            Some((node, &attributes.domain))
        });
        told.chain([(self.setup.node, &self.attributes.domain)])
            .collect()
    }

    /// How many other voters that aren't lost share a node's domain.
    fn voters_sharing_domain(&self, node: id::Node) -> usize {
        let sites = self.domains();
        let Some(domain) = sites.get(&node) else {
            return 0;
        };
        let voters = self.voters().iter().filter(|&other| other != node);
        let lost =
            |other: &id::Node| self.peers.get(other).is_some_and(|peer| peer.disk_lost);
        voters
            .filter(|other| !lost(other))
            .filter(|other| sites.get(other) == Some(domain))
            .count()
    }

    /// The learner that would make the best voter.
    fn best_learner(&self, now: Time) -> Option<id::Node> {
        let voters = self.voters();
        let quiet = self.setup.timing.election_timeout;
        let able = self.peers.iter().filter(|(node, peer)| {
            let heard = now.since(peer.heard_at) < quiet.times(2);
            !voters.contains(**node) && heard && self.is_eligible(**node)
        });
        let best =
            able.min_by_key(|(node, _)| (self.voters_sharing_domain(**node), **node));
        best.map(|(&node, _)| node)
    }

    /// The voter that can best be done without.
    fn least_needed_voter(&self, now: Time) -> Option<id::Node> {
        let me = self.setup.node;
        self.voters().iter().max_by_key(|&node| {
            let gone = self.needs_replacement(node, now);
            (gone, self.voters_sharing_domain(node), node != me, node)
        })
    }
}
