//! Packets on their way, and what happens to them there.

use gentianlane::api::{Call, Reply};
use gentianlane::consensus::Message;
use gentianlane::unit::{Span, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Who made a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peer {
    Nobody,
    /// A caller, and the number of its call.
    Caller(usize, u64),
    /// A worker, the life of its process, when it sent the call and the number
    /// of its call.
    Worker(usize, u64, Time, u64),
}

#[derive(Debug, Clone)]
pub(crate) enum Packet {
    Message {
        from: usize,
        to: usize,
        message: Message,
    },
    Call {
        from: Peer,
        to: usize,
        call: Call,
    },
    Reply {
        to: Peer,
        reply: Reply,
    },
}

/// Where a packet is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hop {
    /// From a caller to a node.
    Ask,
    /// From a node to a caller, once it is an answer.
    Answer,
    /// From a worker to a node, with a lease to renew.
    Renew,
    /// From a node to a worker, with orders.
    Order,
    /// From a worker to a node, with a result.
    Result,
    /// From a node to a worker, as the result is durable.
    Acknowledge,
}

impl Packet {
    fn hop(&self) -> Option<Hop> {
        match self {
            Self::Message { .. } => None,
            Self::Call { call, .. } => match call {
                Call::Submit(_) => Some(Hop::Ask),
                Call::Renew(_) => Some(Hop::Renew),
                Call::Finish(_) => Some(Hop::Result),
                _ => None,
            },
            Self::Reply { to, reply } => match (to, reply) {
                (_, Reply::Answer(_)) => Some(Hop::Answer),
                (_, Reply::Lease(lease)) if !lease.orders.is_empty() => Some(Hop::Order),
                (Peer::Worker(_, _, _, 1..), Reply::Done) => Some(Hop::Acknowledge),
                _ => None,
            },
        }
    }
}

/// The packets on their way.
#[derive(Default)]
pub(crate) struct Net {
    packets: Vec<(Time, u64, Packet)>,
    count: u64,
    /// How many of a hundred packets are lost.
    pub(crate) loss: u32,
    /// How many of a hundred packets come twice.
    pub(crate) twice: u32,
    /// How many of a hundred packets come seconds late.
    pub(crate) late: u32,
    /// Hosts that can't reach other hosts.
    pub(crate) cut: Vec<usize>,
    /// Workers that can't reach the cell, nor be reached.
    pub(crate) mute: Vec<usize>,
    /// Where the next packets are cut, and how many.
    pub(crate) snip: Option<(Hop, u32)>,
}

impl Net {
    pub(crate) fn send(&mut self, packet: &Packet, now: Time, random: &mut ChaCha8Rng) {
        if let Some((hop, left @ 1..)) = self.snip
            && packet.hop() == Some(hop)
        {
            self.snip = Some((hop, left - 1));
            return;
        }
        let mut copies = 1;
        if random.random_range(0..100) < self.loss {
            copies -= 1;
        }
        if random.random_range(0..100) < self.twice {
            copies += 1;
        }
        for _ in 0..copies {
            let late = random.random_range(0..100) < self.late;
            let delay = match late {
                true => random.random_range(200..5_000),
                false => random.random_range(1..20),
            };
            self.count += 1;
            let due = now.after(Span::from_millis(delay));
            self.packets.push((due, self.count, packet.clone()));
        }
    }

    pub(crate) fn due(&mut self, now: Time) -> Vec<Packet> {
        let (mut due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.packets = rest;
        due.sort_by_key(|(at, count, _)| (*at, *count));
        let packets = due.into_iter().map(|(.., packet)| packet);
        packets.filter(|packet| !self.is_cut(packet)).collect()
    }

    fn is_cut(&self, packet: &Packet) -> bool {
        match packet {
            Packet::Message { from, to, .. } => {
                self.cut.contains(from) || self.cut.contains(to)
            }
            Packet::Call { from: peer, .. } | Packet::Reply { to: peer, .. } => {
                matches!(peer, Peer::Worker(at, ..) if self.mute.contains(at))
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        (self.loss, self.twice, self.late) = (0, 0, 0);
        self.cut.clear();
        self.mute.clear();
    }
}
