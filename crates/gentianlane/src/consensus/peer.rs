//! What a leader knows of another node.

use std::collections::VecDeque;

use crate::consensus::{Attributes, Index};
use crate::unit::{Span, Time};

/// About how many bytes of entries may be unanswered at one peer.
const WINDOW: usize = 1 << 20;

/// How many messages to one peer are remembered until they are answered.
const FLIGHTS: usize = 64;

/// A message that hasn't been answered.
#[derive(Debug, Clone, Copy)]
struct Flight {
    seq: u64,
    sent: Time,
    /// The first entry that it carries.
    first: Index,
    /// About how many bytes of entries it carries.
    bytes: usize,
}

/// A snapshot on its way to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Transfer {
    /// The last entry that the snapshot covers.
    pub(crate) last: Index,
    /// How many bytes have arrived.
    pub(crate) offset: u64,
    /// When the newest part was sent.
    pub(crate) sent: Time,
}

/// A follower or learner, as its leader sees it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The next index to send.
    pub(crate) next: Index,
    /// The newest index known to be stored there.
    pub(crate) stored: Index,
    /// When the newest message was sent that the peer has confirmed.
    pub(crate) confirmed: Option<Time>,
    /// The newest message that the peer has confirmed.
    pub(crate) answered: u64,
    /// When the peer was last heard.
    pub(crate) heard: Time,
    /// Since when the peer is known.
    pub(crate) since: Time,
    /// When anything was last sent to it.
    pub(crate) sent: Time,
    /// Where it stands, once it has said so.
    pub(crate) attributes: Option<Attributes>,
    /// Whether its disk has lost what it had promised.
    pub(crate) lost: bool,
    /// A snapshot on its way.
    pub(crate) transfer: Option<Transfer>,
    /// The newest message when `stored` was learnt: later ones are answered
    /// by a node that holds as much, unless its disk was lost.
    assured: u64,
    /// The newest message when sending was last taken back.
    rewound: u64,
    flights: VecDeque<Flight>,
}

impl Peer {
    pub(crate) fn new(next: Index, now: Time) -> Self {
        Self {
            next,
            stored: Index(0),
            confirmed: None,
            answered: 0,
            heard: now,
            since: now,
            sent: now,
            attributes: None,
            lost: false,
            transfer: None,
            assured: 0,
            rewound: 0,
            flights: VecDeque::new(),
        }
    }

    /// Whether more entries may be sent before some are answered.
    pub(crate) fn has_room(&self) -> bool {
        let bytes: usize = self.flights.iter().map(|flight| flight.bytes).sum();
        bytes < WINDOW && self.flights.len() < FLIGHTS
    }

    /// Remembers a message that leaves.
    pub(crate) fn depart(&mut self, seq: u64, first: Index, bytes: usize, now: Time) {
        while self.flights.len() >= FLIGHTS {
            self.flights.pop_front();
        }
        self.sent = now;
        self.flights.push_back(Flight {
            seq,
            sent: now,
            first,
            bytes,
        });
    }

    /// Takes the answer to a message: whoever gave it follows since then.
    pub(crate) fn answer(&mut self, seq: u64, now: Time) {
        self.heard = now;
        let at = self.flights.iter().position(|flight| flight.seq == seq);
        self.answered = self.answered.max(seq);
        if let Some(flight) = at.and_then(|at| self.flights.remove(at)) {
            self.confirmed = self.confirmed.max(Some(flight.sent));
        }
    }

    /// Notes what is stored; `seq` is the newest message sent so far.
    pub(crate) fn hold(&mut self, stored: Index, seq: u64) {
        if stored > self.stored {
            self.stored = stored;
            self.assured = seq;
        }
        self.next = self.next.max(self.stored.next());
    }

    /// Whether an answer to `seq` that lacks entries known to be stored shows
    /// that they were lost, and not just that it came late.
    pub(crate) fn contradicts(&self, seq: u64) -> bool {
        seq > self.assured
    }

    /// Goes back to `next`, unless this answers a message from before the
    /// last time; `newest` is the newest message sent so far.
    pub(crate) fn rewind(&mut self, next: Index, seq: u64, newest: u64) -> bool {
        if seq <= self.rewound {
            return false;
        }
        self.rewound = newest;
        self.next = next;
        for flight in &mut self.flights {
            flight.bytes = 0;
        }
        true
    }

    /// Gives up on messages that were sent more than `limit` ago.
    pub(crate) fn expire(&mut self, now: Time, limit: Span) {
        while let Some(flight) = self.flights.front() {
            if now.since(flight.sent) < limit {
                return;
            }
            if flight.bytes > 0 {
                self.next = self.next.min(flight.first).max(self.stored.next());
            }
            self.flights.pop_front();
        }
    }

    /// Whether the peer has a disk that can be trusted.
    pub(crate) fn can_vote(&self) -> bool {
        !self.lost
            && self
                .attributes
                .as_ref()
                .is_some_and(|attributes| attributes.disk)
    }
}
