//! Records as they stand in the journal.

use gentianlane::consensus::{Ballot, Entry};
use serde::{Deserialize, Serialize};

use crate::Fault;
use crate::frame::MAX_BODY_LENGTH;

/// From this many bytes on, records that were written together are synced in
/// parts.
const TARGET_BODY_LENGTH: usize = 4 << 20;

/// One thing to remember.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The newest promise.
    Ballot(Ballot),
    /// An entry; it takes the place of those from its index on.
    Entry(Entry),
}

impl Record {
    /// Records as the bodies of frames, each small enough for one.
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

    /// The records in a frame's body; `None` if it isn't one.
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
