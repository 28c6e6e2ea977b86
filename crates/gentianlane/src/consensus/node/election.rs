//! Elections: who may ask, who may vote, and what a new leader begins with.

use rand::RngExt;

use crate::consensus::node::Node;
use crate::consensus::peer::Peer;
use crate::consensus::{
    Ballot, Body, IdentityStatus, Index, Message, Output, Payload, Position, Role, Term,
};
use crate::id;
use crate::unit::{Span, Time};

impl Node {
    /// Compares terms; false if the message is to be dropped.
    ///
    /// A node that is new announces itself before it can know the term.
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
            let asks = matches!(
                body,
                Body::VoteRequest {
                    ignore_lease: false,
                    ..
                }
            );
            if asks && self.has_live_leader(now) {
                return false;
            }
            self.adopt_term(term, now);
        }
        true
    }

    fn adopt_term(&mut self, term: Term, now: Time) {
        self.ballot = Ballot { term, vote: None };
        self.save_ballot();
        self.become_follower(None, now);
    }

    /// Has the promise written; a blank disk stays blank, as it makes none.
    pub(super) fn save_ballot(&mut self) {
        if self.identity_status != IdentityStatus::Unverified {
            self.outputs.push(Output::Save(self.ballot));
        }
    }

    /// Whether the node's votes last and were never lost.
    fn may_vote(&self) -> bool {
        self.attributes.disk && self.identity_status == IdentityStatus::Valid
    }

    /// Whether a leader may count on this node not to help another one.
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
            && last.covers(&self.log.last());
        let no_leader_seen = self.no_leader_seen
            && term > self.ballot.term
            && last.covers(&self.log.last());
        let told = granted || no_leader_seen;
        let message = Message {
            term: if told { term } else { self.ballot.term },
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

    /// Whether no voter leads, by the word of every one of them.
    ///
    /// An earlier leader may count on those that followed it not to help
    /// another for a while, and one that was restarted doesn't know whom it
    /// followed. But that leader is a voter too: once all say that they have
    /// neither led nor followed since they began, there is none. A node whose
    /// disk is new speaks for the one that stood on its VM before.
    fn no_voter_has_leader(&self) -> bool {
        let me = self.setup.node;
        let told = |node: id::Node| {
            let mut all = self.no_leader_reports.iter();
            all.any(|&other| {
                other == node || (node.seat().is_some() && other.seat() == node.seat())
            })
        };
        self.no_leader_seen && self.voters().iter().all(|node| node == me || told(node))
    }

    pub(super) fn handle_vote_request(
        &mut self,
        to: id::Node,
        last: &Position,
        ignore_lease: bool,
        now: Time,
    ) {
        let free = self.ballot.vote.is_none_or(|vote| vote == to);
        let quiet = ignore_lease || !self.has_live_leader(now);
        let granted = self.may_vote() && free && quiet && last.covers(&self.log.last());
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

    /// Puts the next election off by a random time.
    pub(super) fn reset_election_timer(&mut self, now: Time) {
        self.set_timer(self.setup.timing.election_timeout, now);
    }

    /// Puts the first question off by little: if all voters began just now, no
    /// leader has to be waited for.
    pub(super) fn set_initial_timer(&mut self, now: Time) {
        self.set_timer(INITIAL_ELECTION_DELAY, now);
    }

    /// Asks again after a random time: once to twice a span.
    fn set_timer(&mut self, span: Span, now: Time) {
        let shortest = span.as_millis();
        let pause = self.random.random_range(shortest..=2 * shortest);
        self.due = now.after(Span::from_millis(pause));
    }

    /// Follows a leader, or waits for one.
    ///
    /// A leader that gives up votes for nobody for as long as its replies that
    /// have yet to leave may count on its lease.
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

    /// No leader was heard for long enough.
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

    pub(super) fn start_election(&mut self, ignore_lease: bool, now: Time) {
        let votes = self.may_vote() && self.voters().contains(self.setup.node);
        if !votes || self.role == Role::Leader {
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
        self.set_timer(self.setup.timing.heartbeat_interval.times(2), now);
        if self.has_vote_quorum() {
            return self.become_leader(now);
        }
        let last = self.log.last();
        for node in self.other_voters() {
            self.send(node, Body::VoteRequest { last, ignore_lease });
        }
    }

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

    /// A term's first entry.
    ///
    /// The log's very first one names the voters, so that a node that joins
    /// later needn't know who the founders were.
    fn first_entry(&self) -> Payload {
        match self.log.last().index {
            Index(0) => Payload::Voters(self.voters().clone()),
            _ => Payload::Empty,
        }
    }

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

    /// Asks the follower with the longest log to stand, as this leader leaves.
    ///
    /// The one that is asked may stand at any time from now on and be voted for
    /// by nodes that still hear this leader, so this leader stops leading for
    /// good.
    pub fn transfer_leadership(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let able = self
            .peers
            .iter()
            .filter(|(node, peer)| self.voters().contains(**node) && !peer.disk_lost);
        let best = able.max_by_key(|(_, peer)| (peer.match_index, peer.acked_sent_at));
        let Some((&node, _)) = best else {
            return;
        };
        self.send(node, Body::TimeoutNow);
        self.become_follower(None, self.latest_time);
    }
}

/// How long a node that has begun waits before it asks for the first time, for
/// its connections to come about.
const INITIAL_ELECTION_DELAY: Span = Span::from_millis(40);
