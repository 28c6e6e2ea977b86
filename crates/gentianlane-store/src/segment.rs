//! Segments: the files that hold the journal's records.

use gentianlane::consensus::{Ballot, Index};
use serde::{Deserialize, Serialize};
use std::io;

use crate::frame::{self, Kind, Salt};
use crate::reader::{End, Item, Reader};
use crate::replay::Replay;
use crate::{Fault, Folder, Record, snapshot};

/// The prefix of a segment's file name; its number in hexadecimal follows.
const PREFIX: &str = "segment-";

/// The name of a segment's file until its file header is complete.
pub(crate) const TEMPORARY_NAME: &str = "segment.new";

/// The file header of a segment.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// The ballot when the segment was created, so that earlier segments can be
    /// removed.
    pub(crate) ballot: Ballot,
}

/// The file name of the segment with this number.
pub(crate) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// The numbers of all segments among file names, in ascending order.
pub(crate) fn numbers(names: &[String]) -> Vec<u64> {
    numbers_with_prefix(PREFIX, names)
}

/// The numbers of all files with this prefix, in ascending order.
pub(crate) fn numbers_with_prefix(prefix: &str, names: &[String]) -> Vec<u64> {
    let number = |name: &String| {
        let digits = name.strip_prefix(prefix)?;
        u64::from_str_radix(digits, 16).ok()
    };
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}

/// Creates a segment durably and returns its length in bytes.
pub(crate) fn create(
    folder: &mut dyn Folder,
    folder_id: u128,
    number: u64,
    header: Header,
) -> Result<u64, Fault> {
    let name = name(number);
    let body = postcard::to_allocvec(&header).map_err(|_| Fault::Encode)?;
    let salt = Salt::new(folder_id, &name);
    let bytes = frame::encode(Kind::FileHeader, &body, salt, 0).ok_or(Fault::Encode)?;
    write_atomically(folder, TEMPORARY_NAME, &name, |folder| {
        folder.write(TEMPORARY_NAME, 0, &bytes)
    })?;
    Ok(bytes.len() as u64)
}

/// Writes a temporary file, syncs it and renames it, so that a file called
/// `name` is always complete.
pub(crate) fn write_atomically(
    folder: &mut dyn Folder,
    temporary: &str,
    name: &str,
    write: impl FnOnce(&mut dyn Folder) -> io::Result<()>,
) -> Result<(), Fault> {
    if let Err(source) = write(folder) {
        return Err(remove_temporary(folder, temporary, source));
    }
    folder
        .sync(temporary)
        .map_err(|source| Fault::sync(temporary, source))?;
    if let Err(source) = folder.rename(temporary, name) {
        return Err(remove_temporary(folder, temporary, source));
    }
    folder
        .sync_folder()
        .map_err(|source| Fault::sync(name, source))
}

/// Removes a temporary file that couldn't be completed, and returns the fault;
/// [`Fault::Poisoned`] if it can't be removed after a fault that otherwise
/// leaves the journal usable.
fn remove_temporary(
    folder: &mut dyn Folder,
    temporary: &str,
    source: io::Error,
) -> Fault {
    let fault = Fault::from_io(temporary, source);
    let exists = folder.length(temporary).is_ok();
    match fault.leaves_usable() && exists && folder.remove(temporary).is_err() {
        true => Fault::Poisoned,
        false => fault,
    }
}

/// A summary of a whole segment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scan {
    /// The length of the file header in bytes.
    pub(crate) header_length: u64,
    /// The offset after the last whole frame.
    pub(crate) end: u64,
    /// How the file ends after that frame.
    pub(crate) tail: End,
    /// The highest index of an entry, or zero if there is none.
    pub(crate) max_index: Index,
    /// The number of entries.
    pub(crate) entries: u64,
    /// The number of frames, without the file header.
    pub(crate) frames: u64,
}

/// Reads a whole segment and applies its records to `replay`.
pub(crate) fn scan(
    folder: &dyn Folder,
    folder_id: u128,
    number: u64,
    replay: &mut Replay,
) -> Result<Scan, Fault> {
    let name = name(number);
    let mut reader = Reader::open(folder, &name, folder_id)?;
    let Item::Frame(Kind::FileHeader, body) = reader.next_item()? else {
        return Err(reader.damaged(0));
    };
    let header: Header = postcard::from_bytes(&body).map_err(|_| reader.damaged(0))?;
    replay.state.ballot = header.ballot;
    let mut scan = Scan {
        header_length: reader.offset(),
        end: reader.offset(),
        tail: End::Clean,
        max_index: Index(0),
        entries: 0,
        frames: 0,
    };
    loop {
        let at = reader.offset();
        match reader.next_item()? {
            Item::Frame(Kind::Records, body) => {
                let records = Record::decode(&body).ok_or_else(|| reader.damaged(at))?;
                for record in records {
                    if let Record::Entry(entry) = &record {
                        scan.max_index = scan.max_index.max(entry.index);
                        scan.entries += 1;
                    }
                    replay.apply(record).ok_or_else(|| reader.damaged(at))?;
                }
            }
            Item::Frame(Kind::SnapshotPointer, body) => {
                let number = postcard::from_bytes(&body);
                let number: u64 = number.map_err(|_| reader.damaged(at))?;
                if number > replay.snapshot_number {
                    return Err(Fault::missing(snapshot::name(number)));
                }
            }
            Item::Frame(..) => return Err(reader.damaged(at)),
            Item::End(tail) => {
                scan.tail = tail;
                return Ok(scan);
            }
        }
        scan.end = reader.offset();
        scan.frames += 1;
    }
}
