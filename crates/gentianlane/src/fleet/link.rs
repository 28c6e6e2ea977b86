//! What a fleet's processes say to one another.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

use crate::fleet::call::{Call, Reply};
use crate::fleet::order::{AdviceRequest, AdviceResponse};
use crate::wire::Frame;

/// The version of the protocol between a fleet's processes.
pub const VERSION: u16 = 1;

/// The longest packet that a process accepts, in bytes.
pub const PACKET_LIMIT: usize = 8 << 20;

/// One message between two processes of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// The first message on a connection.
    Hello {
        /// Which version the sender speaks.
        version: u16,
        /// Whether the sender puts questions for the leader.
        relays_advice: bool,
    },
    /// Asks for a [`Packet::Pong`], so that a connection that went silent is
    /// found out.
    Ping,
    /// The answer to a ping.
    Pong,
    /// The agreement's message to another node.
    Peer(Box<Frame>),
    /// Who leads, and which VMs hold the log, as far as the sender knows.
    LeaderHint(LeaderHint),
    /// An entry passes a call on.
    Call(u64, Box<Call>),
    /// The answer to a call of this number.
    Reply(u64, Reply),
    /// The leader has an entry put a question.
    AdviceRequest(AdviceRequest),
    /// The answer to a question.
    AdviceResponse(AdviceResponse),
}

/// The way to the leader.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// Whether the sender leads, or is an entry that reaches the leader and
    /// passes calls on to it.
    pub reaches_leader: bool,
    /// The VM of the node that leads, if it is known.
    pub leader: Option<Ipv4Addr>,
    /// The VMs of the nodes that vote.
    pub voters: Vec<Ipv4Addr>,
    /// The VMs of the entries that reach the leader.
    pub entries: Vec<Ipv4Addr>,
}
