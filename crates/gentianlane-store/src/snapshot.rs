//! Snapshot files, which replace the beginning of the log.

use gentianlane::consensus::{Position, Snapshot, Voters};
use serde::{Deserialize, Serialize};
use std::io;

use crate::frame::{self, Kind, Salt};
use crate::reader::{End, Item, Reader};
use crate::{Fault, Folder, segment};

/// The prefix of a snapshot's file name; its number in hexadecimal follows.
const PREFIX: &str = "snapshot-";

/// The name of a snapshot's file until it is complete.
pub(crate) const TEMPORARY_NAME: &str = "snapshot.new";

/// The number of bytes of a snapshot's data in one frame.
const CHUNK_LENGTH: usize = 1 << 20;

/// The file header of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// The last entry that the snapshot covers.
    pub(crate) last: Position,
    /// The voters as of that entry.
    pub(crate) voters: Voters,
    /// The length of the snapshot's data in bytes.
    pub(crate) length: u64,
    /// The number of the first live segment.
    pub(crate) first_segment: u64,
}

/// The file name of the snapshot with this number.
pub(crate) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// The numbers of all snapshots among file names, in ascending order.
pub(crate) fn numbers(names: &[String]) -> Vec<u64> {
    segment::numbers_with_prefix(PREFIX, names)
}

/// Writes a snapshot durably.
pub(crate) fn write(
    folder: &mut dyn Folder,
    folder_id: u128,
    number: u64,
    first_segment: u64,
    snapshot: &Snapshot,
) -> Result<(), Fault> {
    let header = Header {
        last: snapshot.last,
        voters: snapshot.voters.clone(),
        length: snapshot.data.len() as u64,
        first_segment,
    };
    let header = postcard::to_allocvec(&header).map_err(|_| Fault::Encode)?;
    let name = name(number);
    let salt = Salt::new(folder_id, &name);
    segment::write_atomically(folder, TEMPORARY_NAME, &name, |folder| {
        let mut at = 0;
        let mut write_frame = |kind, body: &[u8]| {
            let bytes = frame::encode(kind, body, salt, at).ok_or_else(too_long)?;
            folder.write(TEMPORARY_NAME, at, &bytes)?;
            at += bytes.len() as u64;
            io::Result::Ok(())
        };
        write_frame(Kind::FileHeader, &header)?;
        for chunk in snapshot.data.chunks(CHUNK_LENGTH) {
            write_frame(Kind::SnapshotChunk, chunk)?;
        }
        write_frame(Kind::Seal, &[])
    })
}

fn too_long() -> io::Error {
    io::Error::from(io::ErrorKind::InvalidInput)
}

/// Reads a whole snapshot, and the number of the first live segment after it.
pub(crate) fn read(
    folder: &dyn Folder,
    folder_id: u128,
    number: u64,
) -> Result<(Snapshot, u64), Fault> {
    let mut data = Vec::new();
    let header = scan(folder, folder_id, number, |chunk| data.extend(chunk))?;
    let snapshot = Snapshot {
        last: header.last,
        voters: header.voters,
        data,
    };
    Ok((snapshot, header.first_segment))
}

/// Reads a snapshot chunk by chunk and returns its file header.
pub(crate) fn scan(
    folder: &dyn Folder,
    folder_id: u128,
    number: u64,
    mut visit: impl FnMut(Vec<u8>),
) -> Result<Header, Fault> {
    let name = name(number);
    let mut reader = Reader::open(folder, &name, folder_id)?;
    let Item::Frame(Kind::FileHeader, body) = reader.next_item()? else {
        return Err(reader.damaged(0));
    };
    let header: Header = postcard::from_bytes(&body).map_err(|_| reader.damaged(0))?;
    let mut length = 0;
    loop {
        let at = reader.offset();
        match reader.next_item()? {
            Item::Frame(Kind::SnapshotChunk, chunk) => {
                length += chunk.len() as u64;
                visit(chunk);
            }
            Item::End(End::Sealed) if length == header.length => return Ok(header),
            Item::Frame(..) | Item::End(_) => return Err(reader.damaged(at)),
        }
    }
}
