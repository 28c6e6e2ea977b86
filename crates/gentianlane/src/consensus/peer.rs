//! A leader's view of another node.

use std::collections::VecDeque;

use crate::consensus::{Attributes, Index};
use crate::unit::{Span, Time};

/// How many bytes of entries, approximately, may be unacknowledged at one peer.
const WINDOW_BYTES: usize = 1 << 20;

/// How many unacknowledged messages to one peer are tracked at most.
const MAX_IN_FLIGHT: usize = 64;

/// A message that hasn't been acknowledged.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    seq: u64,
    sent_at: Time,
    /// The index of the first entry that it carries.
    first: Index,
    /// The approximate size of its entries, in bytes.
    bytes: usize,
}

/// A snapshot that is being sent to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotTransfer {
    /// The index of the last entry that the snapshot covers.
    pub(crate) last: Index,
    /// How many bytes the peer has acknowledged.
    pub(crate) offset: u64,
    /// When the newest chunk was sent.
    pub(crate) sent_at: Time,
}

/// The replication state of a follower or learner.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The index of the next entry to send.
    pub(crate) next_index: Index,
    /// The highest index known to be stored there.
    pub(crate) match_index: Index,
    /// When the newest acknowledged message was sent.
    pub(crate) acked_sent_at: Option<Time>,
    /// The number of the newest acknowledged message.
    pub(crate) acked_seq: u64,
    /// When the peer last acknowledged a message or announced itself; at first,
    /// when this leader came to know it.
    pub(crate) heard_at: Time,
    /// When this leader came to know the peer.
    pub(crate) known_since: Time,
    /// When the last message that wants an acknowledgement was sent.
    pub(crate) sent_at: Time,
    /// The attributes that the peer announced to this leader, if any.
    pub(crate) attributes: Option<Attributes>,
    /// Whether its disk has lost acknowledged votes or entries.
    pub(crate) disk_lost: bool,
    /// The snapshot transfer in progress.
    pub(crate) transfer: Option<SnapshotTransfer>,
    /// The number of the newest message sent when `match_index` last rose. A
    /// reply to a later one comes from a node that stores as much, unless its
    /// disk was lost.
    match_seq: u64,
    /// The number of the newest message sent when `next_index` was last rewound.
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

    /// Whether the window allows more entries before some are acknowledged.
    pub(crate) fn has_window(&self) -> bool {
        let bytes: usize = self.in_flight.iter().map(|message| message.bytes).sum();
        bytes < WINDOW_BYTES && self.in_flight.len() < MAX_IN_FLIGHT
    }

    /// Tracks a message that is sent. If too many are in flight, the oldest is
    /// no longer tracked.
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

    /// Records the reply to a message: its sender has followed this leader at
    /// least since the message was sent.
    pub(crate) fn record_ack(&mut self, seq: u64, now: Time) {
        self.heard_at = now;
        let at = self.in_flight.iter().position(|message| message.seq == seq);
        self.acked_seq = self.acked_seq.max(seq);
        if let Some(message) = at.and_then(|at| self.in_flight.remove(at)) {
            self.acked_sent_at = self.acked_sent_at.max(Some(message.sent_at));
        }
    }

    /// Records that entries up to `stored` are stored at the peer; `seq` is the
    /// number of the newest message sent so far.
    pub(crate) fn record_match(&mut self, stored: Index, seq: u64) {
        if stored > self.match_index {
            self.match_index = stored;
            self.match_seq = seq;
        }
        self.next_index = self.next_index.max(self.match_index.next());
    }

    /// Whether a rejection of message `seq` that asks for entries known to be
    /// stored proves their loss. A reply to an older message may just be late.
    pub(crate) fn proves_loss(&self, seq: u64) -> bool {
        seq > self.match_seq
    }

    /// Resumes sending at `next`; false if the rejected message `seq` was sent
    /// before the last rewind. `newest` is the number of the newest message sent
    /// so far.
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

    /// Drops messages that were sent at least `limit` ago, and sends their
    /// entries again.
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

    /// Whether the peer has a disk that hasn't lost acknowledged state.
    pub(crate) fn can_vote(&self) -> bool {
        !self.disk_lost
            && self
                .attributes
                .as_ref()
                .is_some_and(|attributes| attributes.disk)
    }
}
