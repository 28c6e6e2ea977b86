//! The journal of one node.

use gentianlane::consensus::{Ballot, DurableState, Index, Snapshot};
use std::path::Path;

use crate::frame::{self, Kind, Salt};
use crate::opening;
use crate::replay::Terms;
use crate::segment::{self, Title};
use crate::{Disk, Fault, Folder, Identity, Owner, Record, snapshot};

/// From this many bytes on, a segment is followed by another.
pub(crate) const SEGMENT: u64 = 8 << 20;

/// One segment that counts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Part {
    pub(crate) number: u64,
    /// The newest index of an entry in it.
    pub(crate) newest: Index,
}

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    pub(crate) folder: Box<dyn Folder>,
    pub(crate) identity: Identity,
    pub(crate) fresh: bool,
    /// The segments that count; the last one is written to.
    pub(crate) parts: Vec<Part>,
    /// Bytes of the last segment's title.
    pub(crate) begin: u64,
    /// Bytes of the last segment.
    pub(crate) end: u64,
    pub(crate) ballot: Ballot,
    pub(crate) terms: Terms,
    pub(crate) limit: u64,
    pub(crate) broken: bool,
}

impl Journal {
    /// Opens the journal in a data folder, or begins one, and gives what it
    /// holds.
    ///
    /// # Errors
    ///
    /// [`Fault::Damaged`] or [`Fault::Missing`] if something that was
    /// acknowledged may be lost; [`Fault::Foreign`] if the folder belongs to
    /// another node; [`Fault::Locked`] if another process uses it.
    ///
    /// ```no_run
    /// use gentianlane::id;
    /// use gentianlane_store::{Journal, Owner};
    /// let owner = Owner { cell: id::Cell::from("norrvik"), node: id::Node(1) };
    /// let (journal, saved) = Journal::open("data/node-1", &owner)?;
    /// println!("{} entries in {}", saved.entries.len(), journal.identity());
    /// # Ok::<(), gentianlane_store::Fault>(())
    /// ```
    pub fn open(
        folder: impl AsRef<Path>,
        owner: &Owner,
    ) -> Result<(Self, DurableState), Fault> {
        Self::open_in(Disk::open(folder)?, owner, rand::random())
    }

    /// Opens the journal in any folder; `fresh` is the number that a folder
    /// without an identity gets.
    ///
    /// # Errors
    ///
    /// As for [`Journal::open`].
    pub fn open_in(
        folder: impl Folder + 'static,
        owner: &Owner,
        fresh: u128,
    ) -> Result<(Self, DurableState), Fault> {
        opening::open(Box::new(folder), owner, fresh)
    }

    /// Whose a folder is, without opening it; `None` if it was never begun.
    ///
    /// # Errors
    ///
    /// [`Fault`] if the folder can't be read or its identity is damaged.
    pub fn owner_of(folder: impl AsRef<Path>) -> Result<Option<Owner>, Fault> {
        let path = folder.as_ref();
        if !path.exists() {
            return Ok(None);
        }
        let identity = opening::identity(&Disk::read_only(path))?;
        Ok(identity.map(|identity| identity.owner))
    }

    /// Whose the folder is.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether the folder was begun by this opening, so that the node
    /// remembers nothing: it must not vote as one that did.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// The same journal with another length, in bytes, from which on a segment
    /// is followed by another.
    #[must_use]
    pub fn with_segment_limit(mut self, bytes: u64) -> Self {
        self.limit = bytes;
        self
    }

    /// Writes records and syncs them, once for all.
    ///
    /// # Errors
    ///
    /// [`Fault::Full`] if the disk takes no more: none of the records is kept,
    /// and the journal can be used as before. After any fault for which
    /// [`Fault::leaves_usable`] is false the process has to end.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Fault> {
        self.guard(|journal| journal.append_all(records))
    }

    /// Puts a snapshot in place of the log up to its last entry.
    ///
    /// The entries after it stay if the log holds the snapshot's last entry;
    /// otherwise the whole log is dropped. A snapshot older than the one that
    /// is stored changes nothing.
    ///
    /// # Errors
    ///
    /// As for [`Journal::append`].
    pub fn snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Fault> {
        if snapshot.last.index < self.terms.base().index {
            return Ok(());
        }
        self.guard(|journal| journal.put_snapshot(snapshot))
    }

    /// Does something after which only some faults leave the journal usable.
    fn guard(
        &mut self,
        action: impl FnOnce(&mut Self) -> Result<(), Fault>,
    ) -> Result<(), Fault> {
        if self.broken {
            return Err(Fault::Broken);
        }
        let result = action(self);
        self.broken = result.as_ref().is_err_and(|fault| !fault.leaves_usable());
        result
    }

    fn append_all(&mut self, records: &[Record]) -> Result<(), Fault> {
        let mut terms = self.terms.clone();
        let mut ballot = self.ballot;
        let mut newest = Index(0);
        for record in records {
            match record {
                Record::Ballot(new) => ballot = *new,
                Record::Entry(entry) if terms.accepts(entry) => {
                    terms.put(entry);
                    newest = newest.max(entry.index);
                }
                Record::Entry(entry) => {
                    let index = entry.index.0;
                    return Err(Fault::Gap { index });
                }
            }
        }
        let bodies = Record::write(records)?;
        if bodies.is_empty() {
            return Ok(());
        }
        if self.end >= self.limit {
            self.rotate()?;
        }
        self.put(&bodies)?;
        self.terms = terms;
        self.ballot = ballot;
        if let Some(part) = self.parts.last_mut() {
            part.newest = part.newest.max(newest);
        }
        Ok(())
    }

    fn put(&mut self, bodies: &[Vec<u8>]) -> Result<(), Fault> {
        let start = self.end;
        for body in bodies {
            if let Err(fault) = self.write(Kind::Records, body) {
                if fault.leaves_usable() {
                    self.restore(start)?;
                }
                return Err(fault);
            }
        }
        Ok(())
    }

    /// Writes one frame, syncs it and marks it as synced.
    fn write(&mut self, kind: Kind, body: &[u8]) -> Result<(), Fault> {
        let name = segment::name(self.number());
        let salt = Salt::new(self.identity.folder, &name);
        let bytes = frame::write(kind, body, salt, self.end).ok_or(Fault::Encode)?;
        self.folder
            .write(&name, self.end, &bytes)
            .map_err(|source| Fault::of(&name, source))?;
        self.folder
            .sync(&name)
            .map_err(|source| Fault::sync(&name, source))?;
        self.end += bytes.len() as u64;
        self.mark()
    }

    /// Says, without a sync, that all so far was synced, so that damage to the
    /// last frame isn't taken for a write that a crash cut short.
    pub(crate) fn mark(&mut self) -> Result<(), Fault> {
        let name = segment::name(self.number());
        let salt = Salt::new(self.identity.folder, &name);
        let mark = frame::write(Kind::Mark, &[], salt, self.end).ok_or(Fault::Encode)?;
        match self.folder.write(&name, self.end, &mark) {
            Ok(()) => Ok(()),
            // What was synced lasts without its mark.
            Err(source) => match Fault::of(&name, source) {
                Fault::Full { .. } => Ok(()),
                fault => Err(fault),
            },
        }
    }

    /// Takes back what was written from an offset on.
    fn restore(&mut self, end: u64) -> Result<(), Fault> {
        self.cut(self.number(), end)?;
        self.end = end;
        self.mark()
    }

    /// Cuts a segment to a length.
    pub(crate) fn cut(&mut self, number: u64, end: u64) -> Result<(), Fault> {
        let name = segment::name(number);
        let cut = self.folder.cut(&name, end);
        cut.map_err(|source| Fault::sync(&name, source))?;
        self.sync(number)
    }

    pub(crate) fn sync(&mut self, number: u64) -> Result<(), Fault> {
        let name = segment::name(number);
        let synced = self.folder.sync(&name);
        synced.map_err(|source| Fault::sync(&name, source))
    }

    pub(crate) fn number(&self) -> u64 {
        self.parts.last().map_or(0, |part| part.number)
    }

    /// Begins the next segment, and then seals the one before.
    fn rotate(&mut self) -> Result<(), Fault> {
        let number = self.number() + 1;
        let title = Title {
            ballot: self.ballot,
        };
        let identity = self.identity.folder;
        let length = segment::create(&mut *self.folder, identity, number, title)?;
        if let Err(fault) = self.seal(self.number(), self.end) {
            if fault.leaves_usable() {
                self.withdraw(number)?;
            }
            return Err(fault);
        }
        self.parts.push(Part {
            number,
            newest: Index(0),
        });
        self.begin = length;
        self.end = length;
        self.mark()
    }

    /// Ends a segment for good.
    pub(crate) fn seal(&mut self, number: u64, end: u64) -> Result<(), Fault> {
        let name = segment::name(number);
        let salt = Salt::new(self.identity.folder, &name);
        let seal = frame::write(Kind::Seal, &[], salt, end).ok_or(Fault::Encode)?;
        self.folder
            .write(&name, end, &seal)
            .map_err(|source| Fault::of(&name, source))?;
        self.sync(number)
    }

    /// Takes back a segment that was begun before its predecessor was sealed.
    fn withdraw(&mut self, number: u64) -> Result<(), Fault> {
        self.restore(self.end)?;
        self.remove(&segment::name(number))?;
        self.sync_names()
    }

    fn put_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Fault> {
        if self.end > self.begin {
            self.rotate()?;
        }
        let mut terms = self.terms.clone();
        let from = match terms.rebase(snapshot.last) {
            true => self.first_kept(snapshot.last.index),
            false => self.number(),
        };
        let number = self.number();
        let identity = self.identity.folder;
        snapshot::write(&mut *self.folder, identity, number, from, snapshot)?;
        self.terms = terms;
        self.parts.retain(|part| part.number >= from);
        self.point(number)?;
        self.clean(number, from)
    }

    /// The first segment with an entry after `index`, or the last segment.
    fn first_kept(&self, index: Index) -> u64 {
        let kept = self.parts.iter().find(|part| part.newest > index);
        kept.map_or(self.number(), |part| part.number)
    }

    /// Says in the segment that a snapshot exists, so that it can't go missing
    /// unnoticed.
    fn point(&mut self, number: u64) -> Result<(), Fault> {
        let start = self.end;
        let body = postcard::to_allocvec(&number).map_err(|_| Fault::Encode)?;
        match self.write(Kind::Pointer, &body) {
            // The snapshot lasts without it, and cleaning up makes room.
            Err(Fault::Full { .. }) => self.restore(start),
            result => result,
        }
    }

    /// Removes the files that a snapshot has made superfluous.
    pub(crate) fn clean(&mut self, number: u64, from: u64) -> Result<(), Fault> {
        let names = opening::names(&*self.folder)?;
        let old = segment::numbers(&names).into_iter().filter(|&it| it < from);
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
        self.sync_names()
    }

    fn remove(&mut self, name: &str) -> Result<(), Fault> {
        let removed = self.folder.remove(name);
        removed.map_err(|source| Fault::sync(name, source))
    }

    fn sync_names(&mut self) -> Result<(), Fault> {
        let synced = self.folder.sync_names();
        synced.map_err(|source| Fault::sync("folder", source))
    }
}
