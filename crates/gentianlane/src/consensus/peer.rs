//! What a leader knows of another node.

use std::collections::VecDeque;

use crate::consensus::{Attributes, Index};
use crate::unit::{Span, Time};

/// About how many bytes of entries may be unanswered at one peer.
const WINDOW_BYTES: usize = 1 << 20;

/// How many messages to one peer are remembered until they are answered.
const MAX_IN_FLIGHT: usize = 64;

/// A message that hasn't been answered.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    seq: u64,
    sent_at: Time,
    /// The first entry that it carries.
    first: Index,
    /// About how many bytes of entries it carries.
    bytes: usize,
}

/// A snapshot on its way to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotTransfer {
    /// The last entry that the snapshot covers.
    pub(crate) last: Index,
    /// How many bytes have arrived.
    pub(crate) offset: u64,
    /// When the newest part was sent.
    pub(crate) sent_at: Time,
}

/// A follower or learner, as its leader sees it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The next index to send.
    pub(crate) next_index: Index,
    /// The newest index known to be stored there.
    pub(crate) match_index: Index,
    /// When the newest message was sent that the peer has confirmed.
    pub(crate) acked_sent_at: Option<Time>,
    /// The newest message that the peer has confirmed.
    pub(crate) acked_seq: u64,
    /// When the peer was last heard.
    pub(crate) heard_at: Time,
    /// Since when the peer is known.
    pub(crate) known_since: Time,
    /// When anything was last sent to it.
    pub(crate) sent_at: Time,
    /// Where it stands, once it has said so.
    pub(crate) attributes: Option<Attributes>,
    /// Whether its disk has lost what it had promised.
    pub(crate) disk_lost: bool,
    /// A snapshot on its way.
    pub(crate) transfer: Option<SnapshotTransfer>,
    /// The newest message when `stored` was learnt: later ones are answered
    /// by a node that holds as much, unless its disk was lost.
    match_seq: u64,
    /// The newest message when sending was last taken back.
    rewind_seq: u64,
    in_flight: VecDeque<InFlight>,
}

impl Peer {
    pub(crate) fn new(next_index: Index, now: Time) -> Self {
        Self {
            next_index,
            match_index: Index(0),
            acked_sent_at: None,
            acked_seq: 0,
            heard_at: now,
            known_since: now,
            sent_at: now,
            attributes: None,
            disk_lost: false,
            transfer: None,
            match_seq: 0,
            rewind_seq: 0,
            in_flight: VecDeque::new(),
        }
    }

    /// Whether more entries may be sent before some are answered.
    pub(crate) fn has_window(&self) -> bool {
        let bytes: usize = self.in_flight.iter().map(|message| message.bytes).sum();
        bytes < WINDOW_BYTES && self.in_flight.len() < MAX_IN_FLIGHT
    }

    /// Remembers a message that leaves.
    pub(crate) fn record_sent(
        &mut self,
        seq: u64,
        first: Index,
        bytes: usize,
        now: Time,
    ) {
        while self.in_flight.len() >= MAX_IN_FLIGHT {
            self.in_flight.pop_front();
        }
        self.sent_at = now;
        self.in_flight.push_back(InFlight {
            seq,
            sent_at: now,
            first,
            bytes,
        });
    }

    /// Takes the answer to a message: whoever gave it follows since then.
    pub(crate) fn record_ack(&mut self, seq: u64, now: Time) {
        self.heard_at = now;
        let at = self.in_flight.iter().position(|message| message.seq == seq);
        self.acked_seq = self.acked_seq.max(seq);
        if let Some(message) = at.and_then(|at| self.in_flight.remove(at)) {
            self.acked_sent_at = self.acked_sent_at.max(Some(message.sent_at));
        }
    }

    /// Notes what is stored; `seq` is the newest message sent so far.
    pub(crate) fn record_match(&mut self, stored: Index, seq: u64) {
        if stored > self.match_index {
            self.match_index = stored;
            self.match_seq = seq;
        }
        self.next_index = self.next_index.max(self.match_index.next());
    }

    /// Whether an answer to `seq` that lacks entries known to be stored shows
    /// that they were lost, and not just that it came late.
    pub(crate) fn proves_loss(&self, seq: u64) -> bool {
        seq > self.match_seq
    }

    /// Goes back to `next`, unless this answers a message from before the
    /// last time; `newest` is the newest message sent so far.
    pub(crate) fn rewind(&mut self, next: Index, seq: u64, newest: u64) -> bool {
        if seq <= self.rewind_seq {
            return false;
        }
        self.rewind_seq = newest;
        self.next_index = next;
        for message in &mut self.in_flight {
            message.bytes = 0;
        }
        true
    }

    /// Gives up on messages that were sent more than `limit` ago.
    pub(crate) fn expire_in_flight(&mut self, now: Time, limit: Span) {
        while let Some(message) = self.in_flight.front() {
            if now.since(message.sent_at) < limit {
                return;
            }
            if message.bytes > 0 {
                self.next_index = self
                    .next_index
                    .min(message.first)
                    .max(self.match_index.next());
            }
            self.in_flight.pop_front();
        }
    }

    /// Whether the peer has a disk that can be trusted.
    pub(crate) fn can_vote(&self) -> bool {
        !self.disk_lost
            && self
                .attributes
                .as_ref()
                .is_some_and(|attributes| attributes.disk)
    }
}
