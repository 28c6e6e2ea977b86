//! Elections: terms, pre-votes, votes, and changes of role.

use rand::RngExt;

use crate::consensus::node::Node;
use crate::consensus::peer::Peer;
use crate::consensus::{
    Ballot, Body, IdentityStatus, Index, Message, Output, Payload, Position, Role, Term,
};
use crate::id;
use crate::unit::{Span, Time};

impl Node {
    /// Compares a message's term with the node's own, and adopts a newer one;
    /// false if the message has to be dropped.
    ///
    /// Messages of older terms are dropped, except announcements: a new node
    /// announces itself before it knows the term. Vote requests of a newer term
    /// are dropped while a leader may be alive, unless they ignore the lease, so
    /// that a candidate which lost contact doesn't depose the leader.
    pub(super) fn check_term(
        &mut self,
        from: id::Node,
        term: Term,
        body: &Body,
        now: Time,
    ) -> bool {
        if term < self.ballot.term {
            if matches!(body, Body::Append(_) | Body::Chunk(_)) {
                self.send(from, Body::StaleTerm);
            }
            return matches!(body, Body::Announce(_));
        }
        if term > self.ballot.term {
            let respects_lease = matches!(
                body,
                Body::VoteRequest {
                    ignore_lease: false,
                    ..
                }
            );
            if respects_lease && self.has_live_leader(now) {
                return false;
            }
            self.adopt_term(term, now);
        }
        true
    }

    /// Enters a newer term as a follower without a known leader.
    fn adopt_term(&mut self, term: Term, now: Time) {
        self.ballot = Ballot { term, vote: None };
        self.save_ballot();
        self.become_follower(None, now);
    }

    /// Writes the term and vote, unless the identity is unverified: such a node
    /// doesn't vote, and its disk stays empty.
    pub(super) fn save_ballot(&mut self) {
        if self.identity_status != IdentityStatus::Unverified {
            self.outputs.push(Output::Save(self.ballot));
        }
    }

    /// Whether the node's votes are durable and none was lost.
    fn may_vote(&self) -> bool {
        self.attributes.disk && self.identity_status == IdentityStatus::Valid
    }

    /// Whether a leader may still rely on this node not to vote for another one.
    fn has_live_leader(&self, now: Time) -> bool {
        match self.role {
            Role::Leader => self.holds_lease(now),
            _ => now.since(self.leader_heard_at) < self.setup.timing.election_timeout,
        }
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        to: id::Node,
        term: Term,
        last: &Position,
        now: Time,
    ) {
        let granted = term > self.ballot.term
            && self.may_vote()
            && !self.has_live_leader(now)
            && last.is_up_to_date_with(&self.log.last());
        let no_leader_seen = self.no_leader_seen
            && term > self.ballot.term
            && last.is_up_to_date_with(&self.log.last());
        // A refusal carries the node's own term, which an outdated sender adopts.
        let keeps_term = granted || no_leader_seen;
        let message = Message {
            term: if keeps_term { term } else { self.ballot.term },
            body: Body::PreVoteReply {
                granted,
                no_leader_seen,
            },
        };
        self.outputs.push(Output::Send(to, message));
        if self.has_live_leader(now) {
            self.redirect_or_register(to, now);
        }
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        from: id::Node,
        term: Term,
        granted: bool,
        no_leader_seen: bool,
        now: Time,
    ) {
        if self.role != Role::PreCandidate {
            return;
        }
        if no_leader_seen && term.0 == self.ballot.term.0 + 1 {
            self.no_leader_reports.insert(from);
            if self.no_voter_has_leader() {
                return self.start_election(true, now);
            }
        }
        if !granted {
            if term > self.ballot.term && !no_leader_seen {
                self.adopt_term(term, now);
            }
            return;
        }
        if term.0 != self.ballot.term.0 + 1 {
            return;
        }
        self.votes.insert(from);
        if self.has_vote_quorum() {
            self.start_election(false, now);
        }
    }

    /// Whether every voter has reported that it has seen no leader since its
    /// process started, so that no lease can be running.
    ///
    /// A leader relies on its followers not to vote for another node during its
    /// lease, and a restarted follower doesn't know whether it followed one. But
    /// a leader is a voter too: if no voter has led or followed since it started,
    /// there is no leader. A node with a new disk reports for the node that had
    /// its VM before.
    fn no_voter_has_leader(&self) -> bool {
        let me = self.setup.node;
        let has_reported = |node: id::Node| {
            let mut all = self.no_leader_reports.iter();
            all.any(|&other| {
                other == node
                    || (node.address().is_some() && other.address() == node.address())
            })
        };
        self.no_leader_seen
            && self
                .voters()
                .iter()
                .all(|node| node == me || has_reported(node))
    }

    pub(super) fn handle_vote_request(
        &mut self,
        to: id::Node,
        last: &Position,
        ignore_lease: bool,
        now: Time,
    ) {
        let vote_is_free = self.ballot.vote.is_none_or(|vote| vote == to);
        let lease_permits = ignore_lease || !self.has_live_leader(now);
        let granted = self.may_vote()
            && vote_is_free
            && lease_permits
            && last.is_up_to_date_with(&self.log.last());
        if granted {
            self.no_leader_seen = false;
        }
        if granted && self.ballot.vote.is_none() {
            self.ballot.vote = Some(to);
            self.save_ballot();
            self.reset_election_timer(now);
        }
        self.send(to, Body::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, from: id::Node, granted: bool, now: Time) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from);
        if self.has_vote_quorum() {
            self.become_leader(now);
        }
    }

    fn has_vote_quorum(&self) -> bool {
        self.voters().has_quorum(|node| self.votes.contains(&node))
    }

    /// Restarts the election timer with the election timeout.
    pub(super) fn reset_election_timer(&mut self, now: Time) {
        self.set_timer(self.setup.timing.election_timeout, now);
    }

    /// Starts the election timer of a new process with a short delay: if all
    /// voters have just started, they needn't wait for a leader.
    pub(super) fn set_initial_timer(&mut self, now: Time) {
        self.set_timer(INITIAL_ELECTION_DELAY, now);
    }

    /// Sets the timer to a random time, once to twice `span` from now.
    fn set_timer(&mut self, span: Span, now: Time) {
        let shortest = span.as_millis();
        let delay = self.random.random_range(shortest..=2 * shortest);
        self.due = now.after(Span::from_millis(delay));
    }

    /// Becomes a follower of `leader`, or of none yet.
    ///
    /// A leader that steps down grants no vote for an election timeout, since
    /// replies that it hasn't sent yet may rely on its lease.
    pub(super) fn become_follower(&mut self, leader: Option<id::Node>, now: Time) {
        if self.role == Role::Leader {
            self.leader_heard_at = now;
        }
        self.change_role(Role::Follower(leader));
        self.peers.clear();
        self.votes.clear();
        self.announced_at = None;
        self.reset_election_timer(now);
    }

    /// Starts a round of pre-votes, or announces a node that can't be elected.
    ///
    /// Called when the election timer ends without contact from a leader.
    pub(super) fn handle_election_timeout(&mut self, now: Time) {
        if self.may_vote() && self.voters().contains(self.setup.node) {
            return self.start_pre_vote(now);
        }
        self.change_role(Role::Follower(None));
        self.reset_election_timer(now);
        for node in self.known_nodes() {
            self.send(node, Body::Announce(self.attributes.clone()));
        }
    }

    /// Asks the other voters whether they would vote for this node.
    fn start_pre_vote(&mut self, now: Time) {
        self.set_timer(self.setup.timing.heartbeat_interval, now);
        self.change_role(Role::PreCandidate);
        self.votes.clear();
        self.no_leader_reports.clear();
        self.votes.insert(self.setup.node);
        if self.has_vote_quorum() {
            return self.start_election(false, now);
        }
        let term = Term(self.ballot.term.0 + 1);
        let last = self.log.last();
        for node in self.other_voters() {
            let body = Body::PreVoteRequest { last };
            self.outputs
                .push(Output::Send(node, Message { term, body }));
        }
    }

    /// Becomes a candidate in a new term and requests votes.
    pub(super) fn start_election(&mut self, ignore_lease: bool, now: Time) {
        let is_electable = self.may_vote() && self.voters().contains(self.setup.node);
        if !is_electable || self.role == Role::Leader {
            return;
        }
        let term = Term(self.ballot.term.0 + 1);
        self.ballot = Ballot {
            term,
            vote: Some(self.setup.node),
        };
        self.save_ballot();
        self.no_leader_seen = false;
        self.change_role(Role::Candidate);
        self.votes.clear();
        self.votes.insert(self.setup.node);
        self.set_timer(self.setup.timing.heartbeat_interval.saturating_mul(2), now);
        if self.has_vote_quorum() {
            return self.become_leader(now);
        }
        let last = self.log.last();
        for node in self.other_voters() {
            self.send(node, Body::VoteRequest { last, ignore_lease });
        }
    }

    /// Takes over as leader of the current term, and appends its first entry.
    fn become_leader(&mut self, now: Time) {
        let next = self.log.last().index.next();
        let nodes = self.known_nodes();
        self.change_role(Role::Leader);
        self.term_start = next;
        self.last_seq = 0;
        self.incoming = None;
        let peer = |node| (node, Peer::new(next, now));
        self.peers = nodes.into_iter().map(peer).collect();
        self.due = now.after(self.setup.timing.heartbeat_interval);
        let first = self.first_entry();
        self.append_to_log([first]);
        self.replicate_to_all(now);
        self.advance_commit(now);
    }

    /// The payload of the first entry of this leader's term.
    ///
    /// The first entry of the whole log contains the founding voters, so that a
    /// node that joins later learns them from the log.
    fn first_entry(&self) -> Payload {
        match self.log.last().index {
            Index(0) => Payload::Voters(self.voters().clone()),
            _ => Payload::Empty,
        }
    }

    /// Sets the role, and reports it if it is another one.
    pub(super) fn change_role(&mut self, role: Role) {
        if self.role != role {
            self.role = role;
            self.outputs.push(Output::Role(role));
        }
    }

    fn other_voters(&self) -> Vec<id::Node> {
        let me = self.setup.node;
        self.voters().iter().filter(|&node| node != me).collect()
    }

    /// Hands the leadership to the voter with the most complete log, and steps
    /// down; does nothing if there is no such voter or the node doesn't lead.
    ///
    /// The chosen voter may start an election at any later time, and nodes in
    /// contact with this leader may vote for it. So this leader's lease is void
    /// from now on, even if the request is lost.
    pub fn transfer_leadership(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let eligible = self
            .peers
            .iter()
            .filter(|(node, peer)| self.voters().contains(**node) && !peer.disk_lost);
        let best =
            eligible.max_by_key(|(_, peer)| (peer.match_index, peer.acked_sent_at));
        let Some((&node, _)) = best else {
            return;
        };
        self.send(node, Body::TimeoutNow);
        self.become_follower(None, self.latest_time);
    }
}

/// The minimum time from a node's start to its first round of pre-votes, so that
/// its connections can be established; the maximum is twice that.
const INITIAL_ELECTION_DELAY: Span = Span::from_millis(40);
