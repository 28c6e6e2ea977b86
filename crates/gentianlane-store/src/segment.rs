//! Segments, in which the journal lies.

use gentianlane::consensus::{Ballot, Index};
use serde::{Deserialize, Serialize};
use std::io;

use crate::frame::{self, Kind, Salt};
use crate::reader::{End, Reader, Step};
use crate::replay::Replay;
use crate::{Fault, Folder, Record, snapshot};

/// The beginning of a segment's name.
const PREFIX: &str = "segment-";

/// A segment's name while its first frame is written.
pub(crate) const DRAFT: &str = "segment.new";

/// The first frame of a segment.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Title {
    /// The newest promise when the segment was begun.
    pub(crate) ballot: Ballot,
}

/// The name of the segment of this number.
pub(crate) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// The numbers of all segments among some names, in order.
pub(crate) fn numbers(names: &[String]) -> Vec<u64> {
    numbers_after(PREFIX, names)
}

/// The numbers of all files whose name has this prefix, in order.
pub(crate) fn numbers_after(prefix: &str, names: &[String]) -> Vec<u64> {
    let number = |name: &String| {
        let digits = name.strip_prefix(prefix)?;
        u64::from_str_radix(digits, 16).ok()
    };
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}

/// Begins a segment; gives how many bytes it has.
pub(crate) fn create(
    folder: &mut dyn Folder,
    identity: u128,
    number: u64,
    title: Title,
) -> Result<u64, Fault> {
    let name = name(number);
    let body = postcard::to_allocvec(&title).map_err(|_| Fault::Encode)?;
    let salt = Salt::new(identity, &name);
    let bytes = frame::write(Kind::Title, &body, salt, 0).ok_or(Fault::Encode)?;
    publish(folder, DRAFT, &name, |folder| {
        folder.write(DRAFT, 0, &bytes)
    })?;
    Ok(bytes.len() as u64)
}

/// Writes a draft, syncs it and gives it its name, so that a file of that name
/// is always whole.
pub(crate) fn publish(
    folder: &mut dyn Folder,
    draft: &str,
    name: &str,
    write: impl FnOnce(&mut dyn Folder) -> io::Result<()>,
) -> Result<(), Fault> {
    if let Err(source) = write(folder) {
        return Err(abandon(folder, draft, source));
    }
    folder
        .sync(draft)
        .map_err(|source| Fault::sync(draft, source))?;
    if let Err(source) = folder.rename(draft, name) {
        return Err(abandon(folder, draft, source));
    }
    folder
        .sync_names()
        .map_err(|source| Fault::sync(name, source))
}

/// Removes a draft that couldn't be finished.
fn abandon(folder: &mut dyn Folder, draft: &str, source: io::Error) -> Fault {
    let fault = Fault::of(draft, source);
    let exists = folder.length(draft).is_ok();
    match fault.leaves_usable() && exists && folder.remove(draft).is_err() {
        true => Fault::Broken,
        false => fault,
    }
}

/// What reading a segment through has shown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scan {
    /// Bytes of the title.
    pub(crate) begin: u64,
    /// Where the last whole frame ends.
    pub(crate) end: u64,
    /// What stands there.
    pub(crate) tail: End,
    /// The newest index of an entry.
    pub(crate) newest: Index,
    /// How many entries it holds.
    pub(crate) entries: u64,
    /// How many frames it holds besides its title.
    pub(crate) frames: u64,
}

/// Reads a segment through.
pub(crate) fn scan(
    folder: &dyn Folder,
    identity: u128,
    number: u64,
    replay: &mut Replay,
) -> Result<Scan, Fault> {
    let name = name(number);
    let mut reader = Reader::open(folder, &name, identity)?;
    let Step::Frame(Kind::Title, body) = reader.step()? else {
        return Err(reader.damaged(0));
    };
    let title: Title = postcard::from_bytes(&body).map_err(|_| reader.damaged(0))?;
    replay.saved.ballot = title.ballot;
    let mut scan = Scan {
        begin: reader.at(),
        end: reader.at(),
        tail: End::Clean,
        newest: Index(0),
        entries: 0,
        frames: 0,
    };
    loop {
        let at = reader.at();
        match reader.step()? {
            Step::Frame(Kind::Records, body) => {
                let records = Record::read(&body).ok_or_else(|| reader.damaged(at))?;
                for record in records {
                    if let Record::Entry(entry) = &record {
                        scan.newest = scan.newest.max(entry.index);
                        scan.entries += 1;
                    }
                    replay.put(record).ok_or_else(|| reader.damaged(at))?;
                }
            }
            Step::Frame(Kind::Pointer, body) => {
                let number = postcard::from_bytes(&body);
                let number: u64 = number.map_err(|_| reader.damaged(at))?;
                if number > replay.snapshot {
                    return Err(Fault::missing(snapshot::name(number)));
                }
            }
            Step::Frame(..) => return Err(reader.damaged(at)),
            Step::End(tail) => {
                scan.tail = tail;
                return Ok(scan);
            }
        }
        scan.end = reader.at();
        scan.frames += 1;
    }
}
