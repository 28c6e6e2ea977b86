//! Frames between nodes.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::consensus::Message;
use crate::id;

/// The version of the protocol between nodes.
pub const VERSION: u16 = 1;

/// The longest frame that a node accepts, in bytes.
pub const FRAME_LIMIT: usize = 8 << 20;

/// One message to another node, with what makes it acceptable there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The protocol's version.
    pub version: u16,
    /// The sender's cell.
    pub cell: id::Cell,
    /// The node that sends.
    pub from: id::Node,
    /// The life of the sending process.
    pub incarnation: id::Incarnation,
    /// The node that is meant.
    pub to: id::Node,
    /// What is said.
    pub message: Message,
}

impl Frame {
    /// The frame as bytes.
    ///
    /// # Errors
    ///
    /// [`Fault::Encode`] if the codec refuses.
    pub fn encode(&self) -> Result<Vec<u8>, Fault> {
        postcard::to_allocvec(self).map_err(|_| Fault::Encode)
    }

    /// The frame that some bytes say, if it is meant for this node.
    ///
    /// # Errors
    ///
    /// A [`Fault`] that says why the frame is refused.
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

/// Why a frame was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The codec refused to write.
    #[display("the frame can't be encoded")]
    Encode,
    /// The bytes aren't a frame.
    #[display("the bytes aren't a frame")]
    Decode,
    /// The sender speaks another version.
    #[display("protocol version {_0} isn't spoken here")]
    Version(#[error(not(source))] u16),
    /// The sender belongs to another cell.
    #[display("the frame is from cell {_0}")]
    Cell(#[error(not(source))] id::Cell),
    /// The frame is meant for another node.
    #[display("the frame is meant for node {_0}")]
    Node(#[error(not(source))] id::Node),
}
