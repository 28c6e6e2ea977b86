//! The messages between a fleet's processes.
//!
//! A process is either a core, which holds the log and may lead, or an entry,
//! which passes its callers' requests on to the leader.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

use crate::fleet::call::{Call, Reply};
use crate::fleet::order::{AdviceRequest, AdviceResponse};
use crate::wire::Frame;

/// The version of the protocol between the processes.
pub const VERSION: u16 = 1;

/// The largest encoded packet that a process accepts, in bytes.
pub const PACKET_LIMIT: usize = 8 << 20;

/// A message between two processes of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// The first message on a connection.
    Hello {
        /// The protocol version that the sender speaks.
        version: u16,
        /// Whether the sender relays advice requests for the leader.
        relays_advice: bool,
    },
    /// Asks for a [`Packet::Pong`], to detect a dead connection.
    Ping,
    /// The answer to a [`Packet::Ping`].
    Pong,
    /// A message of the consensus protocol.
    Peer(Box<Frame>),
    /// How to reach the leader, as far as the sender knows.
    LeaderHint(LeaderHint),
    /// A call that an entry forwards, with a number that its reply will have.
    Call(u64, Box<Call>),
    /// The reply to the forwarded call with this number.
    Reply(u64, Reply),
    /// A request that the receiver sends to the adviser for the leader.
    AdviceRequest(AdviceRequest),
    /// The adviser's response to such a request.
    AdviceResponse(AdviceResponse),
}

/// How to reach the leader.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// Whether the sender leads, or is an entry that is connected to the leader
    /// and forwards calls to it.
    pub reaches_leader: bool,
    /// The VM of the leader, if it is known.
    pub leader: Option<Ipv4Addr>,
    /// The VMs of the voting nodes, which are the cores.
    pub voters: Vec<Ipv4Addr>,
    /// The VMs of the entries that are connected to the leader.
    pub entries: Vec<Ipv4Addr>,
}
