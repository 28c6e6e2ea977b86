//! Replication on a leader: sending entries, counting acknowledgements and
//! committing; and how a node's identity is verified.

use crate::consensus::node::Node;
use crate::consensus::peer::Peer;
use crate::consensus::{
    Append, Body, Entry, IdentityStatus, Index, Output, Payload, Position, Role,
};
use crate::id;
use crate::unit::Time;

/// How many bytes of entries, approximately, one message carries at most.
const APPEND_LIMIT: usize = 256 << 10;

/// After how many heartbeat intervals without a message a learner gets a
/// heartbeat.
const LEARNER_HEARTBEAT_INTERVALS: u64 = 2;

impl Node {
    /// Appends entries of the current term to the log and has them stored;
    /// returns their indexes.
    pub(super) fn append_to_log(
        &mut self,
        payloads: impl IntoIterator<Item = Payload>,
    ) -> Vec<Index> {
        let mut index = self.log.last().index;
        let mut entries = Vec::new();
        for payload in payloads {
            index = index.next();
            let entry = Entry {
                index,
                term: self.ballot.term,
                payload,
            };
            self.log.push(entry.clone());
            entries.push(entry);
        }
        let indexes = entries.iter().map(|entry| entry.index).collect();
        if !entries.is_empty() {
            self.outputs.push(Output::Store(entries));
        }
        indexes
    }

    /// Sends every peer the entries that it lacks, as far as its window allows.
    pub(super) fn replicate_to_all(&mut self, now: Time) {
        for node in self.peer_ids() {
            self.send_entries(node, now);
        }
    }

    fn peer_ids(&self) -> Vec<id::Node> {
        self.peers.keys().copied().collect()
    }

    /// Sends pending entries to every peer, or else a heartbeat: to voters at
    /// every interval, to learners less often.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        let timing = self.setup.timing;
        for node in self.peer_ids() {
            let is_voter = self.voters().contains(node);
            let Some(peer) = self.peers.get_mut(&node) else {
                continue;
            };
            peer.expire_in_flight(now, timing.election_timeout);
            let learner_interval = timing
                .heartbeat_interval
                .saturating_mul(LEARNER_HEARTBEAT_INTERVALS);
            let is_due = now.since(peer.sent_at) >= learner_interval;
            let sent = self.send_entries(node, now);
            if !sent && (is_voter || is_due) {
                self.send_heartbeat(node, now);
            }
        }
    }

    /// Sends a peer the entries that it lacks as far as its window allows, or a
    /// chunk of the snapshot if they are compacted away; false if nothing was
    /// sent.
    pub(super) fn send_entries(&mut self, to: id::Node, now: Time) -> bool {
        let mut sent = false;
        loop {
            let Some(peer) = self.peers.get(&to) else {
                return sent;
            };
            if self.log.term(peer.next_index.prev()).is_none() {
                return self.send_chunk(to, now) || sent;
            }
            if peer.disk_lost
                || peer.next_index > self.log.last().index
                || !peer.has_window()
            {
                return sent;
            }
            let entries = self
                .log
                .entries_from(peer.next_index, APPEND_LIMIT)
                .to_vec();
            self.send_append(to, entries, now);
            sent = true;
        }
    }

    /// Sends an append without entries, so that the peer keeps following. A peer
    /// that lost its disk is told that its identity is revoked instead.
    fn send_heartbeat(&mut self, to: id::Node, now: Time) {
        let lost = self.peers.get(&to).is_some_and(|peer| peer.disk_lost);
        if lost {
            return self.send(to, Body::IdentityRevoked { incarnation: None });
        }
        self.send_append(to, Vec::new(), now);
    }

    /// Sends entries from the peer's `next_index` on, and advances it without
    /// waiting for the acknowledgement.
    fn send_append(&mut self, to: id::Node, entries: Vec<Entry>, now: Time) {
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        let first = peer.next_index;
        let Some(term) = self.log.term(first.prev()) else {
            return;
        };
        self.last_seq += 1;
        let bytes = entries
            .iter()
            .map(|entry| entry.payload.approximate_size())
            .sum();
        peer.record_sent(self.last_seq, first, bytes, now);
        if let Some(last) = entries.last() {
            peer.next_index = last.index.next();
        }
        let append = Append {
            prev: Position {
                index: first.prev(),
                term,
            },
            entries,
            commit_index: self.commit_index,
            seq: self.last_seq,
        };
        self.send(to, Body::Append(append));
    }

    /// Advances the peer's match index, and then the commit index.
    pub(super) fn handle_append_ack(
        &mut self,
        from: id::Node,
        match_index: Index,
        seq: u64,
        now: Time,
    ) {
        let newest = self.last_seq;
        let last = self.log.last().index;
        let Some(peer) = self.record_ack(from, seq, now) else {
            return;
        };
        if match_index > last {
            return;
        }
        peer.transfer = None;
        peer.record_match(match_index, newest);
        self.advance_commit(now);
        self.send_entries(from, now);
    }

    /// Resumes sending where the peer asks.
    ///
    /// A rejection that proves the loss of acknowledged entries revokes a voter's
    /// identity. A learner has no vote to lose, and gets the entries again.
    pub(super) fn handle_append_reject(
        &mut self,
        from: id::Node,
        next: Index,
        seq: u64,
        now: Time,
    ) {
        let newest = self.last_seq;
        let last = self.log.last().index;
        let is_voter = self.voters().contains(from);
        let Some(peer) = self.record_ack(from, seq, now) else {
            return;
        };
        if next <= peer.match_index {
            if !peer.proves_loss(seq) {
                return;
            }
            if is_voter {
                peer.disk_lost = true;
                return self.send(from, Body::IdentityRevoked { incarnation: None });
            }
            peer.match_index = next.prev();
        }
        let next = next.max(Index(1)).min(last.next());
        if peer.rewind(next, seq, newest) {
            self.send_entries(from, now);
        }
    }

    /// Records a reply and returns its peer; `None` if this node doesn't lead,
    /// hasn't sent the message, or doesn't know the peer or its disk as intact.
    pub(super) fn record_ack(
        &mut self,
        from: id::Node,
        seq: u64,
        now: Time,
    ) -> Option<&mut Peer> {
        if self.role != Role::Leader || seq > self.last_seq {
            return None;
        }
        let peer = self.peers.get_mut(&from)?;
        if peer.disk_lost {
            return None;
        }
        peer.record_ack(seq, now);
        Some(peer)
    }

    /// Commits the entries that a majority stores, if the last of them is of the
    /// current term.
    ///
    /// Continues with the next voter change after a committed one; a leader that
    /// is no longer a voter hands over.
    pub(super) fn advance_commit(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last().index;
        let me = self.setup.node;
        let stored = self
            .voters()
            .quorum_value(|node| match self.peers.get(&node) {
                _ if node == me => last,
                Some(peer) if !peer.disk_lost => peer.match_index,
                Some(_) | None => Index(0),
            });
        let Some(stored) = stored else {
            return;
        };
        if stored <= self.commit_index || self.log.term(stored) != Some(self.ballot.term)
        {
            return;
        }
        let since = self.log.voters_since();
        let voters_committed = self.commit_index < since && since <= stored;
        self.commit_index = stored;
        self.apply_committed();
        if !self.voters().contains(me) {
            return self.transfer_leadership();
        }
        if voters_committed {
            self.repair_voters(now);
        }
    }

    /// Outputs the committed entries that haven't been applied yet.
    pub(super) fn apply_committed(&mut self) {
        if self.commit_index <= self.applied_index {
            return;
        }
        let entries = self
            .log
            .entries_between(self.applied_index.next(), self.commit_index);
        self.outputs.push(Output::Apply(entries.to_vec()));
        self.applied_index = self.commit_index;
    }

    /// Confirms the identity of a node with an empty disk if it never had a vote,
    /// and revokes it otherwise.
    ///
    /// Only a leader with a lease whose newest voters are committed can tell:
    /// elsewhere, a newer leader may have made the node a voter.
    pub(super) fn handle_verify_identity(
        &mut self,
        from: id::Node,
        incarnation: u64,
        now: Time,
    ) {
        if !self.holds_lease(now) || self.log.voters_since() > self.commit_index {
            return;
        }
        if !self.voters().contains(from) && !self.setup.voters.contains(from) {
            return self.send(from, Body::IdentityValid { incarnation });
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.disk_lost = true;
        }
        self.send(
            from,
            Body::IdentityRevoked {
                incarnation: Some(incarnation),
            },
        );
    }

    /// Makes an unverified identity valid once a leader has confirmed it, and
    /// writes the term.
    pub(super) fn handle_identity_valid(&mut self, incarnation: u64) {
        if self.identity_status == IdentityStatus::Unverified
            && incarnation == self.incarnation
        {
            self.identity_status = IdentityStatus::Valid;
            self.save_ballot();
        }
    }

    /// Stops all work under this identity, unless the message replies to a
    /// [`Body::VerifyIdentity`] of an earlier process or comes after the identity
    /// was confirmed.
    pub(super) fn handle_identity_revoked(&mut self, incarnation: Option<u64>) {
        let is_outdated = self.identity_status != IdentityStatus::Unverified
            || incarnation != Some(self.incarnation);
        if incarnation.is_some() && is_outdated {
            return;
        }
        self.identity_status = IdentityStatus::Revoked;
        self.change_role(Role::Follower(None));
    }
}
