//! Snapshots, which stand in place of the log's beginning.

use gentianlane::consensus::{Position, Snapshot, Voters};
use serde::{Deserialize, Serialize};
use std::io;

use crate::frame::{self, Kind, Salt};
use crate::reader::{End, Reader, Step};
use crate::{Fault, Folder, segment};

/// The beginning of a snapshot's name.
const PREFIX: &str = "snapshot-";

/// A snapshot's name while it is written.
pub(crate) const DRAFT: &str = "snapshot.new";

/// How many bytes of the state one frame holds.
const PART: usize = 1 << 20;

/// The first frame of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Title {
    /// The last entry that the state covers.
    pub(crate) last: Position,
    /// The voters at that entry.
    pub(crate) voters: Voters,
    /// Bytes of the state.
    pub(crate) length: u64,
    /// The first segment that still counts.
    pub(crate) from: u64,
}

/// The name of the snapshot of this number.
pub(crate) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// The numbers of all snapshots among some names, in order.
pub(crate) fn numbers(names: &[String]) -> Vec<u64> {
    segment::numbers_after(PREFIX, names)
}

/// Writes a snapshot so that it lasts.
pub(crate) fn write(
    folder: &mut dyn Folder,
    identity: u128,
    number: u64,
    from: u64,
    snapshot: &Snapshot,
) -> Result<(), Fault> {
    let title = Title {
        last: snapshot.last,
        voters: snapshot.voters.clone(),
        length: snapshot.data.len() as u64,
        from,
    };
    let title = postcard::to_allocvec(&title).map_err(|_| Fault::Encode)?;
    let name = name(number);
    let salt = Salt::new(identity, &name);
    segment::publish(folder, DRAFT, &name, |folder| {
        let mut at = 0;
        let mut put = |kind, body: &[u8]| {
            let bytes = frame::write(kind, body, salt, at).ok_or_else(too_long)?;
            folder.write(DRAFT, at, &bytes)?;
            at += bytes.len() as u64;
            io::Result::Ok(())
        };
        put(Kind::Title, &title)?;
        for part in snapshot.data.chunks(PART) {
            put(Kind::Part, part)?;
        }
        put(Kind::Seal, &[])
    })
}

fn too_long() -> io::Error {
    io::Error::from(io::ErrorKind::InvalidInput)
}

/// Reads the snapshot of this number, and which segment counts first.
pub(crate) fn read(
    folder: &dyn Folder,
    identity: u128,
    number: u64,
) -> Result<(Snapshot, u64), Fault> {
    let mut data = Vec::new();
    let title = scan(folder, identity, number, |part| data.extend(part))?;
    let snapshot = Snapshot {
        last: title.last,
        voters: title.voters,
        data,
    };
    Ok((snapshot, title.from))
}

/// Reads a snapshot part by part.
pub(crate) fn scan(
    folder: &dyn Folder,
    identity: u128,
    number: u64,
    mut visit: impl FnMut(Vec<u8>),
) -> Result<Title, Fault> {
    let name = name(number);
    let mut reader = Reader::open(folder, &name, identity)?;
    let Step::Frame(Kind::Title, body) = reader.step()? else {
        return Err(reader.damaged(0));
    };
    let title: Title = postcard::from_bytes(&body).map_err(|_| reader.damaged(0))?;
    let mut length = 0;
    loop {
        let at = reader.at();
        match reader.step()? {
            Step::Frame(Kind::Part, part) => {
                length += part.len() as u64;
                visit(part);
            }
            Step::End(End::Sealed) if length == title.length => return Ok(title),
            Step::Frame(..) | Step::End(_) => return Err(reader.damaged(at)),
        }
    }
}
