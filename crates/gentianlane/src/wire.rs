//! Frames: the envelopes of the messages between nodes, and their encoding.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::consensus::Message;
use crate::id;

/// The version of the protocol between nodes, the first field of each frame.
pub const VERSION: u16 = 1;

/// The longest frame that a node accepts, in bytes.
pub const FRAME_LIMIT: usize = 8 << 20;

/// One message to another node, with what the receiver needs to check that the
/// message is meant for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender's protocol version, [`VERSION`].
    pub version: u16,
    /// The sender's cell.
    pub cell: id::Cell,
    /// The sender.
    pub from: id::Node,
    /// The incarnation of the sender's process.
    pub incarnation: id::Incarnation,
    /// The receiver.
    pub to: id::Node,
    /// The message that the frame carries.
    pub message: Message,
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// [`Fault::Encode`] if the message can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Fault> {
        postcard::to_allocvec(self).map_err(|_| Fault::Encode)
    }

    /// Decodes a frame for `node` of `cell`.
    ///
    /// The version is read by itself first, as the rest of the frame may have
    /// another format in another version.
    ///
    /// # Errors
    ///
    /// A [`Fault`] if the bytes aren't a frame or the frame has another version,
    /// cell or receiver.
    pub fn decode(bytes: &[u8], cell: &id::Cell, node: id::Node) -> Result<Self, Fault> {
        let (version, _) =
            postcard::take_from_bytes::<u16>(bytes).map_err(|_| Fault::Decode)?;
        if version != VERSION {
            return Err(Fault::Version(version));
        }
        let frame: Self = postcard::from_bytes(bytes).map_err(|_| Fault::Decode)?;
        if frame.cell != *cell {
            return Err(Fault::Cell(frame.cell));
        }
        if frame.to != node {
            return Err(Fault::Node(frame.to));
        }
        Ok(frame)
    }
}

/// Why a frame can't be sent or accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The frame can't be encoded.
    #[display("the frame can't be encoded")]
    Encode,
    /// The bytes can't be decoded as a frame.
    #[display("the bytes can't be decoded as a frame")]
    Decode,
    /// The sender uses this other version of the protocol.
    #[display("the sender uses protocol version {_0}, which isn't supported")]
    Version(#[error(not(source))] u16),
    /// The sender belongs to this other cell.
    #[display("the frame is from another cell, {_0}")]
    Cell(#[error(not(source))] id::Cell),
    /// The frame is meant for this other node.
    #[display("the frame is meant for another node, {_0}")]
    Node(#[error(not(source))] id::Node),
}
