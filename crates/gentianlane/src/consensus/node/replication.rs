//! A leader's side of replication.

use crate::consensus::node::Node;
use crate::consensus::peer::Peer;
use crate::consensus::{
    Append, Body, Entry, IdentityStatus, Index, Output, Payload, Position, Role,
};
use crate::id;
use crate::unit::Time;

/// About how many bytes of entries one message carries.
const APPEND_LIMIT: usize = 256 << 10;

/// After how many heartbeats without a message a learner gets one.
const LEARNER_HEARTBEAT_INTERVALS: u64 = 2;

impl Node {
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

    /// Sends every peer the entries that it lacks.
    pub(super) fn replicate_to_all(&mut self, now: Time) {
        for node in self.peer_ids() {
            self.send_entries(node, now);
        }
    }

    fn peer_ids(&self) -> Vec<id::Node> {
        self.peers.keys().copied().collect()
    }

    /// Speaks to every voter, and to learners less often.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        let timing = self.setup.timing;
        for node in self.peer_ids() {
            let votes = self.voters().contains(node);
            let Some(peer) = self.peers.get_mut(&node) else {
                continue;
            };
            peer.expire_in_flight(now, timing.election_timeout);
            let pace = timing.heartbeat_interval.times(LEARNER_HEARTBEAT_INTERVALS);
            let quiet = now.since(peer.sent_at) >= pace;
            let sent = self.send_entries(node, now);
            if !sent && (votes || quiet) {
                self.send_heartbeat(node, now);
            }
        }
    }

    /// Sends what a peer lacks as far as there is room; false if nothing was
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

    /// Sends a peer no entries, so that it goes on following.
    fn send_heartbeat(&mut self, to: id::Node, now: Time) {
        let lost = self.peers.get(&to).is_some_and(|peer| peer.disk_lost);
        if lost {
            return self.send(to, Body::IdentityRevoked { incarnation: None });
        }
        self.send_append(to, Vec::new(), now);
    }

    /// Sends entries from the peer's next on, and counts on their arrival.
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

    pub(super) fn handle_append_ack(
        &mut self,
        from: id::Node,
        stored: Index,
        seq: u64,
        now: Time,
    ) {
        let newest = self.last_seq;
        let last = self.log.last().index;
        let Some(peer) = self.record_ack(from, seq, now) else {
            return;
        };
        if stored > last {
            return;
        }
        peer.transfer = None;
        peer.record_match(stored, newest);
        self.advance_commit(now);
        self.send_entries(from, now);
    }

    pub(super) fn handle_append_reject(
        &mut self,
        from: id::Node,
        next: Index,
        seq: u64,
        now: Time,
    ) {
        let newest = self.last_seq;
        let last = self.log.last().index;
        let votes = self.voters().contains(from);
        let Some(peer) = self.record_ack(from, seq, now) else {
            return;
        };
        if next <= peer.match_index {
            if !peer.proves_loss(seq) {
                return;
            }
            if votes {
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

    /// Takes note of an answer; `None` if it isn't for a leader, or from a
    /// node that doesn't count.
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

    /// Commits what a majority has stored, if it is of the own term.
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
        let changed = self.commit_index < since && since <= stored;
        self.commit_index = stored;
        self.apply_committed();
        if !self.voters().contains(me) {
            return self.transfer_leadership();
        }
        if changed {
            self.repair_voters(now);
        }
    }

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

    /// A node says that its disk holds nothing.
    ///
    /// Only a leader that no other can have followed, whose voters are
    /// committed, knows that a node has no vote.
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

    pub(super) fn handle_identity_valid(&mut self, incarnation: u64) {
        if self.identity_status == IdentityStatus::Unverified
            && incarnation == self.incarnation
        {
            self.identity_status = IdentityStatus::Valid;
            self.save_ballot();
        }
    }

    pub(super) fn handle_identity_revoked(&mut self, incarnation: Option<u64>) {
        let late = self.identity_status != IdentityStatus::Unverified
            || incarnation != Some(self.incarnation);
        if incarnation.is_some() && late {
            return;
        }
        self.identity_status = IdentityStatus::Revoked;
        self.change_role(Role::Follower(None));
    }
}
