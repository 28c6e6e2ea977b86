//! Records as they stand in the journal.

use gentianlane::agree::{Ballot, Entry};
use serde::{Deserialize, Serialize};

use crate::Fault;

/// The longest record, in bytes.
const RECORD_LIMIT: usize = 16 << 20;

/// Bytes before a record's body: its length and its checksum.
pub(crate) const HEAD: usize = 8;

/// One thing to remember.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The newest promise.
    Ballot(Ballot),
    /// An entry; it takes the place of those from its index on.
    Entry(Entry),
}

impl Record {
    /// Adds the record to some bytes: length, checksum and body.
    pub(crate) fn write(&self, bytes: &mut Vec<u8>) -> Result<(), Fault> {
        let body = postcard::to_allocvec(self).map_err(|_| Fault::Encode)?;
        if body.len() > RECORD_LIMIT {
            return Err(Fault::Encode);
        }
        let length = u32::try_from(body.len()).map_err(|_| Fault::Encode)?;
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        Ok(())
    }

    /// Reads the record at the start of some bytes, and how long it is.
    ///
    /// `None` if the bytes end within it or don't agree with its checksum.
    pub(crate) fn read(bytes: &[u8]) -> Option<(Self, usize)> {
        let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        let checksum = u32::from_le_bytes(bytes.get(4..HEAD)?.try_into().ok()?);
        if length > RECORD_LIMIT {
            return None;
        }
        let body = bytes.get(HEAD..HEAD + length)?;
        if crc32fast::hash(body) != checksum {
            return None;
        }
        let record = postcard::from_bytes(body).ok()?;
        Some((record, HEAD + length))
    }
}
