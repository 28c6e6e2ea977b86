//! Recovery of the journal when its folder is opened: reads the state, checks
//! that no file is missing and completes operations that a crash interrupted.

use gentianlane::consensus::DurableState;

use crate::identity::{self, Identity, Owner};
use crate::journal::{DEFAULT_SEGMENT_LIMIT, Journal, LiveSegment};
use crate::reader::End;
use crate::replay::Replay;
use crate::segment::{self, Header, Scan};
use crate::{Fault, Folder, snapshot};

/// The content of a folder, as read before any repair.
#[derive(Debug)]
struct Contents {
    /// The number of the newest snapshot, or zero if there is none.
    snapshot: u64,
    replay: Replay,
    segments: Vec<LiveSegment>,
    /// The scan of the last segment.
    last: Scan,
    /// The segment before the last one, if a crash came before its seal.
    unsealed: Option<(u64, Scan)>,
}

/// Reads the identity of a folder; `None` if it was never initialized.
pub(crate) fn identity(folder: &dyn Folder) -> Result<Option<Identity>, Fault> {
    let names = file_names(folder)?;
    Identity::read(folder, &names)
}

/// Opens a folder for writing: initializes it if it is empty, otherwise reads
/// and repairs it.
pub(crate) fn open(
    mut folder: Box<dyn Folder>,
    owner: &Owner,
    folder_id: u128,
) -> Result<(Journal, DurableState), Fault> {
    let names = file_names(&*folder)?;
    let found = Identity::read(&*folder, &names)?;
    let is_new = found.is_none();
    let identity = match found {
        Some(identity) if identity.owner == *owner => identity,
        Some(found) => {
            let expected = owner.clone();
            return Err(Fault::WrongOwner { found, expected });
        }
        None => initialize(&mut *folder, &names, owner, folder_id)?,
    };
    let contents = read(&*folder, identity.folder_id)?;
    let mut journal = Journal {
        folder,
        identity,
        is_new,
        segments: contents.segments,
        header_length: contents.last.header_length,
        end: contents.last.end,
        ballot: contents.replay.state.ballot,
        terms: contents.replay.terms,
        segment_limit: DEFAULT_SEGMENT_LIMIT,
        poisoned: false,
    };
    repair(&mut journal, &contents.last, contents.unsealed)?;
    let first_segment = journal.segments.first().map_or(0, |segment| segment.number);
    journal.remove_obsolete(contents.snapshot, first_segment)?;
    Ok((journal, contents.replay.state))
}

/// The names of all files in a folder.
pub(crate) fn file_names(folder: &dyn Folder) -> Result<Vec<String>, Fault> {
    folder
        .file_names()
        .map_err(|source| Fault::from_io("folder", source))
}

/// Initializes an empty folder; renaming the identity file comes last, so that
/// an interrupted initialization starts over.
fn initialize(
    folder: &mut dyn Folder,
    names: &[String],
    owner: &Owner,
    folder_id: u128,
) -> Result<Identity, Fault> {
    let is_unfinished = names.iter().any(|name| name == identity::TEMPORARY_NAME);
    let segments = segment::numbers(names);
    let is_empty = segments.is_empty() || (is_unfinished && segments == [1]);
    if !is_empty || !snapshot::numbers(names).is_empty() {
        return Err(Fault::missing(identity::FILE_NAME));
    }
    // The segment is removed before the temporary identity: alone it would look
    // like a folder whose identity was lost.
    for name in [
        segment::TEMPORARY_NAME,
        &segment::name(1),
        identity::TEMPORARY_NAME,
    ] {
        remove_if_present(folder, names, name)?;
    }
    let identity = Identity {
        owner: owner.clone(),
        folder_id,
    };
    identity.write_temporary(folder)?;
    segment::create(folder, folder_id, 1, Header::default())?;
    Identity::commit(folder)?;
    Ok(identity)
}

/// Removes a file durably if it is among the names.
fn remove_if_present(
    folder: &mut dyn Folder,
    names: &[String],
    name: &str,
) -> Result<(), Fault> {
    if !names.iter().any(|known| known == name) {
        return Ok(());
    }
    folder
        .remove(name)
        .and_then(|()| folder.sync_folder())
        .map_err(|source| Fault::sync(name, source))
}

/// Reads the newest snapshot and the live segments.
fn read(folder: &dyn Folder, folder_id: u128) -> Result<Contents, Fault> {
    let names = file_names(folder)?;
    let number = snapshot::numbers(&names).last().copied().unwrap_or(0);
    let mut replay = Replay::default();
    let mut first_segment = 1;
    if number > 0 {
        let (snapshot, first) = snapshot::read(folder, folder_id, number)?;
        replay = Replay::from_snapshot(number, snapshot);
        first_segment = first;
    }
    let numbers = required_segments(&names, first_segment, number)?;
    let mut segments = Vec::new();
    let mut scans = Vec::new();
    for &number in &numbers {
        let scan = segment::scan(folder, folder_id, number, &mut replay)?;
        scans.push((number, scan));
        segments.push(LiveSegment {
            number,
            max_index: scan.max_index,
        });
    }
    let (last, unsealed) = check_seals(&scans)?;
    Ok(Contents {
        snapshot: number,
        replay,
        segments,
        last,
        unsealed,
    })
}

/// The numbers of the segments from `first_segment` on; fails with
/// [`Fault::Missing`] if one is missing. The segment with the number of the
/// newest snapshot has to exist.
pub(crate) fn required_segments(
    names: &[String],
    first_segment: u64,
    snapshot: u64,
) -> Result<Vec<u64>, Fault> {
    let mut numbers = segment::numbers(names);
    numbers.retain(|&number| number >= first_segment);
    let last = numbers.last().copied().unwrap_or(0);
    let last = last.max(snapshot).max(first_segment);
    for (expected, at) in (first_segment..=last).zip(0..) {
        if numbers.get(at) != Some(&expected) {
            return Err(Fault::missing(segment::name(expected)));
        }
    }
    Ok(numbers)
}

/// Checks that each sealed segment has a successor, and that at most the last
/// segment but one lacks its seal, with an empty successor. Returns the scan of
/// the last segment, and the unsealed segment if there is one.
pub(crate) fn check_seals(
    scans: &[(u64, Scan)],
) -> Result<(Scan, Option<(u64, Scan)>), Fault> {
    let Some(((number, last), before)) = scans.split_last() else {
        return Err(Fault::missing(segment::name(1)));
    };
    if last.tail == End::Sealed {
        return Err(Fault::missing(segment::name(number + 1)));
    }
    let mut open = before.iter().filter(|(_, scan)| scan.tail != End::Sealed);
    let Some(&(unsealed, scan)) = open.next() else {
        return Ok((*last, None));
    };
    let is_newest = unsealed + 1 == *number;
    if !is_newest || last.end > last.header_length {
        return Err(Fault::damaged(&segment::name(unsealed), scan.end));
    }
    Ok((*last, Some((unsealed, scan))))
}

/// Completes what a crash interrupted: removes temporary files, seals the last
/// segment but one and truncates a torn write.
fn repair(
    journal: &mut Journal,
    last: &Scan,
    unsealed: Option<(u64, Scan)>,
) -> Result<(), Fault> {
    let names = file_names(&*journal.folder)?;
    for temporary in [segment::TEMPORARY_NAME, snapshot::TEMPORARY_NAME] {
        remove_if_present(&mut *journal.folder, &names, temporary)?;
    }
    if let Some((number, scan)) = unsealed {
        journal.truncate(number, scan.end)?;
        journal.seal(number, scan.end)?;
    }
    let number = journal.current_segment();
    match last.tail {
        End::Torn => journal.truncate(number, last.end)?,
        End::Clean | End::Sealed => journal.sync_segment(number)?,
    }
    journal.write_sync_mark()
}
