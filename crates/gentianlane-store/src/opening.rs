//! Opening a folder: what it holds, and what a crash left to finish.

use gentianlane::consensus::DurableState;

use crate::identity::{self, Identity, Owner};
use crate::journal::{Journal, Part, SEGMENT};
use crate::reader::End;
use crate::replay::Replay;
use crate::segment::{self, Scan, Title};
use crate::{Fault, Folder, snapshot};

/// What a folder holds.
#[derive(Debug)]
struct Contents {
    /// The newest snapshot's number.
    snapshot: u64,
    replay: Replay,
    parts: Vec<Part>,
    /// The last segment.
    last: Scan,
    /// A segment whose successor was begun before it was sealed.
    unsealed: Option<(u64, Scan)>,
}

/// Whose a folder is; `None` if it was never begun.
pub(crate) fn identity(folder: &dyn Folder) -> Result<Option<Identity>, Fault> {
    let names = names(folder)?;
    Identity::read(folder, &names)
}

/// Opens a folder for writing.
pub(crate) fn open(
    mut folder: Box<dyn Folder>,
    owner: &Owner,
    fresh: u128,
) -> Result<(Journal, DurableState), Fault> {
    let names = names(&*folder)?;
    let found = Identity::read(&*folder, &names)?;
    let is_fresh = found.is_none();
    let identity = match found {
        Some(identity) if identity.owner == *owner => identity,
        Some(found) => {
            let wanted = owner.clone();
            return Err(Fault::Foreign { found, wanted });
        }
        None => begin(&mut *folder, &names, owner, fresh)?,
    };
    let contents = read(&*folder, identity.folder)?;
    let mut journal = Journal {
        folder,
        identity,
        fresh: is_fresh,
        parts: contents.parts,
        begin: contents.last.begin,
        end: contents.last.end,
        ballot: contents.replay.saved.ballot,
        terms: contents.replay.terms,
        limit: SEGMENT,
        broken: false,
    };
    finish(&mut journal, &contents.last, contents.unsealed)?;
    let from = journal.parts.first().map_or(0, |part| part.number);
    journal.clean(contents.snapshot, from)?;
    Ok((journal, contents.replay.saved))
}

/// The names of a folder's files.
pub(crate) fn names(folder: &dyn Folder) -> Result<Vec<String>, Fault> {
    folder.names().map_err(|source| Fault::of("folder", source))
}

/// Begins a folder; it has begun once its identity has its name.
fn begin(
    folder: &mut dyn Folder,
    names: &[String],
    owner: &Owner,
    fresh: u128,
) -> Result<Identity, Fault> {
    let began = names.iter().any(|name| name == identity::DRAFT);
    let segments = segment::numbers(names);
    let is_empty = segments.is_empty() || (began && segments == [1]);
    if !is_empty || !snapshot::numbers(names).is_empty() {
        return Err(Fault::missing(identity::FILE));
    }
    // The segment goes first: without the draft it would look like a loss.
    for name in [segment::DRAFT, &segment::name(1), identity::DRAFT] {
        discard(folder, names, name)?;
    }
    let identity = Identity {
        owner: owner.clone(),
        folder: fresh,
    };
    identity.draft(folder)?;
    segment::create(folder, fresh, 1, Title::default())?;
    Identity::confirm(folder)?;
    Ok(identity)
}

/// Removes a file, if it is among the names.
fn discard(folder: &mut dyn Folder, names: &[String], name: &str) -> Result<(), Fault> {
    if !names.iter().any(|known| known == name) {
        return Ok(());
    }
    folder
        .remove(name)
        .and_then(|()| folder.sync_names())
        .map_err(|source| Fault::sync(name, source))
}

/// Reads the newest snapshot and the segments that count after it.
fn read(folder: &dyn Folder, identity: u128) -> Result<Contents, Fault> {
    let names = names(folder)?;
    let number = snapshot::numbers(&names).last().copied().unwrap_or(0);
    let mut replay = Replay::default();
    let mut from = 1;
    if number > 0 {
        let (snapshot, first) = snapshot::read(folder, identity, number)?;
        replay = Replay::after(number, snapshot);
        from = first;
    }
    let numbers = counting(&names, from, number)?;
    let mut parts = Vec::new();
    let mut scans = Vec::new();
    for &number in &numbers {
        let scan = segment::scan(folder, identity, number, &mut replay)?;
        scans.push((number, scan));
        parts.push(Part {
            number,
            newest: scan.newest,
        });
    }
    let (last, unsealed) = check_ends(&scans)?;
    Ok(Contents {
        snapshot: number,
        replay,
        parts,
        last,
        unsealed,
    })
}

/// The segments from `from` on, which have to be all there.
pub(crate) fn counting(
    names: &[String],
    from: u64,
    snapshot: u64,
) -> Result<Vec<u64>, Fault> {
    let mut numbers = segment::numbers(names);
    numbers.retain(|&number| number >= from);
    let last = numbers.last().copied().unwrap_or(0);
    let last = last.max(snapshot).max(from);
    for (wanted, at) in (from..=last).zip(0..) {
        if numbers.get(at) != Some(&wanted) {
            return Err(Fault::missing(segment::name(wanted)));
        }
    }
    Ok(numbers)
}

/// Checks that a sealed segment has a successor, and that one which isn't
/// sealed has none that was written to; gives the last segment and one before
/// it that is to be sealed.
pub(crate) fn check_ends(
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
    if !is_newest || last.end > last.begin {
        return Err(Fault::damaged(&segment::name(unsealed), scan.end));
    }
    Ok((*last, Some((unsealed, scan))))
}

/// Does what a crash kept from being done.
fn finish(
    journal: &mut Journal,
    last: &Scan,
    unsealed: Option<(u64, Scan)>,
) -> Result<(), Fault> {
    let names = names(&*journal.folder)?;
    for draft in [segment::DRAFT, snapshot::DRAFT] {
        discard(&mut *journal.folder, &names, draft)?;
    }
    if let Some((number, scan)) = unsealed {
        journal.cut(number, scan.end)?;
        journal.seal(number, scan.end)?;
    }
    let number = journal.number();
    match last.tail {
        End::Torn => journal.cut(number, last.end)?,
        End::Clean | End::Sealed => journal.sync(number)?,
    }
    journal.mark()
}
