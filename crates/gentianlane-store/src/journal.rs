//! The journal: the write-ahead log of one node, in segments.

use gentianlane::consensus::{Ballot, DurableState, Index, Snapshot};
use std::path::Path;

use crate::frame::{self, Kind, Salt};
use crate::recovery;
use crate::replay::Terms;
use crate::segment::{self, Header};
use crate::{Disk, Fault, Folder, Identity, Owner, Record, snapshot};

/// The length in bytes from which on the next write begins another segment.
pub(crate) const DEFAULT_SEGMENT_LIMIT: u64 = 8 << 20;

/// A segment that recovery needs: none of the entries after the snapshot is in
/// an earlier one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LiveSegment {
    pub(crate) number: u64,
    /// The highest index of an entry in it, or zero if it holds none.
    pub(crate) max_index: Index,
}

/// An open journal; it is the only writer of its folder.
#[derive(Debug)]
pub struct Journal {
    pub(crate) folder: Box<dyn Folder>,
    pub(crate) identity: Identity,
    pub(crate) is_new: bool,
    /// The live segments in order; records are appended to the last one.
    pub(crate) segments: Vec<LiveSegment>,
    /// The length of the last segment's file header in bytes.
    pub(crate) header_length: u64,
    /// The length of the last segment in bytes, without its sync mark.
    pub(crate) end: u64,
    pub(crate) ballot: Ballot,
    pub(crate) terms: Terms,
    pub(crate) segment_limit: u64,
    pub(crate) poisoned: bool,
}

impl Journal {
    /// Opens the journal in a data folder, which is created if it is missing,
    /// and returns it with the state that it holds.
    ///
    /// # Errors
    ///
    /// [`Fault::Damaged`] or [`Fault::Missing`] if acknowledged records may be
    /// lost; [`Fault::WrongOwner`] if the folder belongs to another node;
    /// [`Fault::Locked`] if another process uses it.
    ///
    /// ```no_run
    /// use gentianlane::id;
    /// use gentianlane_store::{Journal, Owner};
    /// let owner = Owner { cell: id::Cell::from("norrvik"), node: id::Node(1) };
    /// let (journal, state) = Journal::open("data/node-1", &owner)?;
    /// println!("{} entries in {}", state.entries.len(), journal.identity());
    /// # Ok::<(), gentianlane_store::Fault>(())
    /// ```
    pub fn open(
        folder: impl AsRef<Path>,
        owner: &Owner,
    ) -> Result<(Self, DurableState), Fault> {
        Self::open_in(Disk::open(folder)?, owner, rand::random())
    }

    /// Opens the journal in any folder; a new folder gets the id `folder_id`.
    ///
    /// # Errors
    ///
    /// As for [`Journal::open`].
    pub fn open_in(
        folder: impl Folder + 'static,
        owner: &Owner,
        folder_id: u128,
    ) -> Result<(Self, DurableState), Fault> {
        recovery::open(Box::new(folder), owner, folder_id)
    }

    /// Reads the owner of a folder without locking it; `None` if the folder is
    /// missing or has no identity.
    ///
    /// # Errors
    ///
    /// [`Fault`] if the folder can't be read or its identity is damaged.
    pub fn owner_of(folder: impl AsRef<Path>) -> Result<Option<Owner>, Fault> {
        let path = folder.as_ref();
        if !path.exists() {
            return Ok(None);
        }
        let identity = recovery::identity(&Disk::read_only(path))?;
        Ok(identity.map(|identity| identity.owner))
    }

    /// The owner and id of the folder.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether this call of [`Journal::open`] created the folder. The node may
    /// then have lost an earlier ballot, and must not vote as if it had kept it.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Sets the length in bytes from which on the next append begins another
    /// segment.
    #[must_use]
    pub fn with_segment_limit(mut self, bytes: u64) -> Self {
        self.segment_limit = bytes;
        self
    }

    /// Appends records and syncs them together.
    ///
    /// # Errors
    ///
    /// [`Fault::DiskFull`] or [`Fault::TooManyFiles`] if there is no space or no
    /// descriptor left: none of the records is kept, and the journal can still be
    /// used. After a fault for which
    /// [`Fault::leaves_usable`] is false the process has to exit.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Fault> {
        self.poison_on_fault(|journal| journal.append_records(records))
    }

    /// Stores a snapshot, which replaces the log up to its last entry.
    ///
    /// Later entries are kept if the log contains the snapshot's last entry;
    /// otherwise the whole log is discarded. A snapshot older than the stored
    /// one changes nothing.
    ///
    /// # Errors
    ///
    /// As for [`Journal::append`].
    pub fn snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Fault> {
        if snapshot.last.index < self.terms.base().index {
            return Ok(());
        }
        self.poison_on_fault(|journal| journal.write_snapshot(snapshot))
    }

    /// Runs a write, and refuses all later ones if it fails with a fault that
    /// leaves the content on disk unknown.
    fn poison_on_fault(
        &mut self,
        action: impl FnOnce(&mut Self) -> Result<(), Fault>,
    ) -> Result<(), Fault> {
        if self.poisoned {
            return Err(Fault::Poisoned);
        }
        let result = action(self);
        self.poisoned = result.as_ref().is_err_and(|fault| !fault.leaves_usable());
        result
    }

    fn append_records(&mut self, records: &[Record]) -> Result<(), Fault> {
        let mut terms = self.terms.clone();
        let mut ballot = self.ballot;
        let mut max_index = Index(0);
        for record in records {
            match record {
                Record::Ballot(new) => ballot = *new,
                Record::Entry(entry) if terms.accepts(entry) => {
                    terms.insert(entry);
                    max_index = max_index.max(entry.index);
                }
                Record::Entry(entry) => {
                    let index = entry.index.0;
                    return Err(Fault::Gap { index });
                }
            }
        }
        let bodies = Record::encode(records)?;
        if bodies.is_empty() {
            return Ok(());
        }
        if self.end >= self.segment_limit {
            self.rotate()?;
        }
        self.append_bodies(&bodies)?;
        self.terms = terms;
        self.ballot = ballot;
        if let Some(segment) = self.segments.last_mut() {
            segment.max_index = segment.max_index.max(max_index);
        }
        Ok(())
    }

    fn append_bodies(&mut self, bodies: &[Vec<u8>]) -> Result<(), Fault> {
        let start = self.end;
        for body in bodies {
            if let Err(fault) = self.write_frame(Kind::Records, body) {
                if fault.leaves_usable() {
                    self.roll_back(start)?;
                }
                return Err(fault);
            }
        }
        Ok(())
    }

    /// Appends one frame, syncs it and writes a sync mark after it.
    fn write_frame(&mut self, kind: Kind, body: &[u8]) -> Result<(), Fault> {
        let name = segment::name(self.current_segment());
        let salt = Salt::new(self.identity.folder_id, &name);
        let bytes = frame::encode(kind, body, salt, self.end).ok_or(Fault::Encode)?;
        self.folder
            .write(&name, self.end, &bytes)
            .map_err(|source| Fault::from_io(&name, source))?;
        self.folder
            .sync(&name)
            .map_err(|source| Fault::sync(&name, source))?;
        self.end += bytes.len() as u64;
        self.write_sync_mark()
    }

    /// Marks all frames so far as synced, so that later damage to the last one
    /// isn't taken for a torn write. The mark itself needs no sync.
    pub(crate) fn write_sync_mark(&mut self) -> Result<(), Fault> {
        let name = segment::name(self.current_segment());
        let salt = Salt::new(self.identity.folder_id, &name);
        let mark =
            frame::encode(Kind::SyncMark, &[], salt, self.end).ok_or(Fault::Encode)?;
        match self.folder.write(&name, self.end, &mark) {
            Ok(()) => Ok(()),
            // Synced frames are durable without the mark.
            Err(source) => match Fault::from_io(&name, source) {
                fault if fault.is_exhaustion() => Ok(()),
                fault => Err(fault),
            },
        }
    }

    /// Removes all that was written to the last segment from an offset on.
    fn roll_back(&mut self, end: u64) -> Result<(), Fault> {
        self.truncate(self.current_segment(), end)?;
        self.end = end;
        self.write_sync_mark()
    }

    /// Truncates a segment to a length in bytes and syncs it.
    pub(crate) fn truncate(&mut self, number: u64, end: u64) -> Result<(), Fault> {
        let name = segment::name(number);
        let truncated = self.folder.truncate(&name, end);
        truncated.map_err(|source| Fault::sync(&name, source))?;
        self.sync_segment(number)
    }

    pub(crate) fn sync_segment(&mut self, number: u64) -> Result<(), Fault> {
        let name = segment::name(number);
        let synced = self.folder.sync(&name);
        synced.map_err(|source| Fault::sync(&name, source))
    }

    pub(crate) fn current_segment(&self) -> u64 {
        self.segments.last().map_or(0, |segment| segment.number)
    }

    /// Creates the next segment, then seals the current one.
    fn rotate(&mut self) -> Result<(), Fault> {
        let number = self.current_segment() + 1;
        let header = Header {
            ballot: self.ballot,
        };
        let folder_id = self.identity.folder_id;
        let length = segment::create(&mut *self.folder, folder_id, number, header)?;
        if let Err(fault) = self.seal(self.current_segment(), self.end) {
            if fault.leaves_usable() {
                self.undo_rotation(number)?;
            }
            return Err(fault);
        }
        self.segments.push(LiveSegment {
            number,
            max_index: Index(0),
        });
        self.header_length = length;
        self.end = length;
        self.write_sync_mark()
    }

    /// Writes a seal at the end of a segment, which gets no more frames.
    pub(crate) fn seal(&mut self, number: u64, end: u64) -> Result<(), Fault> {
        let name = segment::name(number);
        let salt = Salt::new(self.identity.folder_id, &name);
        let seal = frame::encode(Kind::Seal, &[], salt, end).ok_or(Fault::Encode)?;
        self.folder
            .write(&name, end, &seal)
            .map_err(|source| Fault::from_io(&name, source))?;
        self.sync_segment(number)
    }

    /// Removes a new segment whose predecessor couldn't be sealed.
    fn undo_rotation(&mut self, number: u64) -> Result<(), Fault> {
        self.roll_back(self.end)?;
        self.remove(&segment::name(number))?;
        self.sync_folder()
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Fault> {
        if self.end > self.header_length {
            self.rotate()?;
        }
        let mut terms = self.terms.clone();
        let first_segment = match terms.rebase(snapshot.last) {
            true => self.first_segment_after(snapshot.last.index),
            false => self.current_segment(),
        };
        let number = self.current_segment();
        let folder_id = self.identity.folder_id;
        snapshot::write(
            &mut *self.folder,
            folder_id,
            number,
            first_segment,
            snapshot,
        )?;
        self.terms = terms;
        self.segments
            .retain(|segment| segment.number >= first_segment);
        self.write_snapshot_pointer(number)?;
        self.remove_obsolete(number, first_segment)
    }

    /// The number of the first segment with an entry after `index`, or of the
    /// last segment if there is none.
    fn first_segment_after(&self, index: Index) -> u64 {
        let kept = self
            .segments
            .iter()
            .find(|segment| segment.max_index > index);
        kept.map_or(self.current_segment(), |segment| segment.number)
    }

    /// Records in the segment that a snapshot exists, so that its loss is
    /// detected on opening.
    fn write_snapshot_pointer(&mut self, number: u64) -> Result<(), Fault> {
        let start = self.end;
        let body = postcard::to_allocvec(&number).map_err(|_| Fault::Encode)?;
        match self.write_frame(Kind::SnapshotPointer, &body) {
            // The snapshot is valid without its pointer, and removing obsolete
            // files frees space.
            Err(fault) if fault.is_exhaustion() => self.roll_back(start),
            result => result,
        }
    }

    /// Removes the segments before `first_segment` and the snapshots before
    /// `number`.
    pub(crate) fn remove_obsolete(
        &mut self,
        number: u64,
        first_segment: u64,
    ) -> Result<(), Fault> {
        let names = match recovery::file_names(&*self.folder) {
            // The next snapshot removes them.
            Err(Fault::TooManyFiles { .. }) => return Ok(()),
            names => names?,
        };
        let old = segment::numbers(&names)
            .into_iter()
            .filter(|&it| it < first_segment);
        let old = old.map(segment::name);
        let stale = snapshot::numbers(&names)
            .into_iter()
            .filter(|&it| it < number);
        let old: Vec<String> = old.chain(stale.map(snapshot::name)).collect();
        if old.is_empty() {
            return Ok(());
        }
        for name in old {
            self.remove(&name)?;
        }
        self.sync_folder()
    }

    fn remove(&mut self, name: &str) -> Result<(), Fault> {
        let removed = self.folder.remove(name);
        removed.map_err(|source| Fault::sync(name, source))
    }

    fn sync_folder(&mut self) -> Result<(), Fault> {
        let synced = self.folder.sync_folder();
        synced.map_err(|source| Fault::sync("folder", source))
    }
}
