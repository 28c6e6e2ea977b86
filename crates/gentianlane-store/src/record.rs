//! The records of the journal and their encoding.

use gentianlane::consensus::{Ballot, Entry};
use serde::{Deserialize, Serialize};

use crate::Fault;
use crate::frame::MAX_BODY_LENGTH;

/// The length in bytes from which on a frame's body gets no further record, so
/// that a large append is synced in several frames.
const TARGET_BODY_LENGTH: usize = 4 << 20;

/// One change of a node's durable state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The node's term and vote; it replaces the earlier ballot.
    Ballot(Ballot),
    /// An entry of the log; it replaces all entries from its index on.
    Entry(Entry),
}

impl Record {
    /// Encodes records as the bodies of one or more frames.
    pub(crate) fn encode(records: &[Self]) -> Result<Vec<Vec<u8>>, Fault> {
        let mut bodies = Vec::new();
        let mut body = Vec::new();
        for record in records {
            let start = body.len();
            body = postcard::to_extend(record, body).map_err(|_| Fault::Encode)?;
            if body.len() - start > MAX_BODY_LENGTH - TARGET_BODY_LENGTH {
                return Err(Fault::Encode);
            }
            if body.len() >= TARGET_BODY_LENGTH {
                bodies.push(std::mem::take(&mut body));
            }
        }
        if !body.is_empty() {
            bodies.push(body);
        }
        Ok(bodies)
    }

    /// Decodes the records of a frame's body; `None` if they are malformed.
    pub(crate) fn decode(mut body: &[u8]) -> Option<Vec<Self>> {
        let mut records = Vec::new();
        while !body.is_empty() {
            let (record, rest) = postcard::take_from_bytes(body).ok()?;
            records.push(record);
            body = rest;
        }
        Some(records)
    }
}
