//! The journal of one node.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use gentianlane::agree::{Entry, Saved};

use crate::{Fault, Record};

/// The journal's file in the data folder.
const FILE: &str = "journal";

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    file: File,
    path: PathBuf,
}

impl Journal {
    /// Opens the journal in a data folder, or begins one, and gives what it
    /// holds.
    ///
    /// # Errors
    ///
    /// [`Fault::Damaged`] if a record before the last is damaged; [`Fault::Io`]
    /// if the system refuses.
    ///
    /// ```no_run
    /// use gentianlane_store::Journal;
    /// let (journal, saved) = Journal::open("data/node-1")?;
    /// println!("{} entries", saved.entries.len());
    /// # drop(journal);
    /// # Ok::<(), gentianlane_store::Fault>(())
    /// ```
    pub fn open(folder: impl AsRef<Path>) -> Result<(Self, Saved), Fault> {
        let folder = folder.as_ref();
        let path = folder.join(FILE);
        let fail = |source| Fault::Io {
            path: path.clone(),
            source,
        };
        std::fs::create_dir_all(folder).map_err(fail)?;
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(fail)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(fail)?;
        let (saved, whole) = replay(&bytes, &path)?;
        file.set_len(whole).map_err(fail)?;
        file.seek(SeekFrom::Start(whole)).map_err(fail)?;
        file.sync_all().map_err(fail)?;
        File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(fail)?;
        Ok((Self { file, path }, saved))
    }

    /// Writes records and syncs them, once for all.
    ///
    /// # Errors
    ///
    /// After [`Fault::Io`] the journal must not be used any more.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Fault> {
        let mut bytes = Vec::new();
        for record in records {
            record.write(&mut bytes)?;
        }
        let fail = |source| Fault::Io {
            path: self.path.clone(),
            source,
        };
        self.file.write_all(&bytes).map_err(fail)?;
        self.file.sync_data().map_err(fail)
    }
}

/// What some bytes hold, and how many of them are whole records.
fn replay(bytes: &[u8], path: &Path) -> Result<(Saved, u64), Fault> {
    let mut saved = Saved::default();
    let mut at = 0;
    while at < bytes.len() {
        let Some((record, length)) = Record::read(&bytes[at..]) else {
            if is_torn(&bytes[at..]) {
                break;
            }
            return Err(Fault::Damaged {
                path: path.to_owned(),
                offset: at as u64,
            });
        };
        match record {
            Record::Ballot(ballot) => saved.ballot = ballot,
            Record::Entry(entry) => put(&mut saved.entries, entry),
        }
        at += length;
    }
    Ok((saved, at as u64))
}

fn put(entries: &mut Vec<Entry>, entry: Entry) {
    while entries.last().is_some_and(|last| last.index >= entry.index) {
        entries.pop();
    }
    entries.push(entry);
}

/// Whether no whole record follows, so that a crash cut this one short.
fn is_torn(bytes: &[u8]) -> bool {
    (1..bytes.len()).all(|at| Record::read(&bytes[at..]).is_none())
}
