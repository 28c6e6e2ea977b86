//! A folder in memory that loses what wasn't synced, and a model of the
//! journal to compare with.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "only tests call this")]

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use gentianlane::consensus::{
    Ballot, DurableState, Entry, Index, Payload, Position, Snapshot, Term, Voters,
};
use gentianlane::id;
use gentianlane_store::{Fault, Folder, Journal, Owner, Record};

/// What a folder's operation of a certain count does instead of its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Plan {
    Work,
    /// This and all later operations fail; a write leaves this many bytes.
    Crash(usize, usize),
    /// The disk is full; a write leaves this many bytes.
    Full(usize, usize),
    /// A sync fails, other operations work.
    Sync(usize),
}

/// What of the unsynced a crash leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Keep {
    Nothing,
    Everything,
    /// All names, and the synced content.
    Names,
    /// The synced names, and all content.
    Content,
    /// All names, and this share of each file's bytes, in 256ths.
    Torn(usize),
    /// All names and lengths, but zeros after this share of the bytes.
    Zeros(usize),
}

pub(crate) const KEEPS: [Keep; 10] = [
    Keep::Nothing,
    Keep::Everything,
    Keep::Names,
    Keep::Content,
    Keep::Torn(64),
    Keep::Torn(128),
    Keep::Torn(250),
    Keep::Zeros(1),
    Keep::Zeros(128),
    Keep::Zeros(250),
];

#[derive(Debug, Clone, Default)]
struct Inode {
    now: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct Inner {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    count: usize,
    plan: Option<Plan>,
    down: bool,
}

/// The folder; clones share its content.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fake(Arc<Mutex<Inner>>);

fn failed() -> io::Error {
    io::Error::other("injected")
}

impl Inner {
    fn inode(&mut self, name: &str) -> io::Result<&mut Inode> {
        let at = self.names.get(name).copied();
        let at = at.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(&mut self.inodes[at])
    }

    /// How much of a write of this length is done, and what it returns.
    fn step(&mut self, length: usize, sync: bool) -> (usize, io::Result<()>) {
        if self.down {
            return (0, Err(failed()));
        }
        let count = self.count;
        self.count += 1;
        match self.plan.unwrap_or(Plan::Work) {
            Plan::Crash(at, bytes) if at == count => {
                self.down = true;
                (bytes.min(length), Err(failed()))
            }
            Plan::Full(at, bytes) if at == count && !sync => {
                let full = io::Error::from(io::ErrorKind::StorageFull);
                (bytes.min(length), Err(full))
            }
            Plan::Sync(at) if at == count && sync => (0, Err(failed())),
            _ => (length, Ok(())),
        }
    }
}

impl Fake {
    pub(crate) fn plan(&self, plan: Plan) {
        let mut inner = self.0.lock().unwrap();
        inner.plan = Some(plan);
        inner.count = 0;
    }

    /// How many changing operations there were since the plan was set.
    pub(crate) fn count(&self) -> usize {
        self.0.lock().unwrap().count
    }

    /// The folder after a crash.
    pub(crate) fn crash(&self, keep: Keep) -> Self {
        let inner = self.0.lock().unwrap();
        let names = match keep {
            Keep::Nothing | Keep::Content => &inner.synced,
            _ => &inner.names,
        };
        let content = |inode: &Inode| match keep {
            Keep::Nothing | Keep::Names => inode.synced.clone(),
            Keep::Everything | Keep::Content => inode.now.clone(),
            Keep::Torn(share) => torn(inode, share, false),
            Keep::Zeros(share) => torn(inode, share, true),
        };
        let left = Self::default();
        for (name, &at) in names {
            left.put(name, content(&inner.inodes[at]));
        }
        left
    }

    /// A file's content as it is now.
    pub(crate) fn get(&self, name: &str) -> Vec<u8> {
        self.0.lock().unwrap().inode(name).unwrap().now.clone()
    }

    /// Puts a file there, synced.
    pub(crate) fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut inner = self.0.lock().unwrap();
        let at = inner.inodes.len();
        inner.inodes.push(Inode {
            now: bytes.clone(),
            synced: bytes,
        });
        inner.names.insert(name.to_owned(), at);
        inner.synced.insert(name.to_owned(), at);
    }

    pub(crate) fn take_away(&self, name: &str) {
        let mut inner = self.0.lock().unwrap();
        inner.names.remove(name);
        inner.synced.remove(name);
    }
}

/// The first bytes as written, the rest as synced, or zeros where the file
/// had grown.
fn torn(inode: &Inode, share: usize, zeros: bool) -> Vec<u8> {
    let common = inode
        .now
        .iter()
        .zip(&inode.synced)
        .take_while(|(a, b)| a == b)
        .count();
    let fresh = inode.now.len() - common;
    let cut = common + fresh * share / 256;
    let mut bytes = inode.now[..cut].to_vec();
    bytes.extend(inode.synced.iter().skip(cut));
    if zeros && bytes.len() < inode.now.len() {
        bytes.resize(inode.now.len(), 0);
    }
    bytes
}

impl Folder for Fake {
    fn file_names(&self) -> io::Result<Vec<String>> {
        Ok(self.0.lock().unwrap().names.keys().cloned().collect())
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().inode(name)?.now.len() as u64)
    }

    fn read(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        let start = offset as usize;
        let bytes = inner.inode(name)?.now.get(start..start + buffer.len());
        let bytes = bytes.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        buffer.copy_from_slice(bytes);
        Ok(())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        let (length, result) = inner.step(bytes.len(), false);
        if !inner.names.contains_key(name) && (length > 0 || result.is_ok()) {
            let at = inner.inodes.len();
            inner.inodes.push(Inode::default());
            inner.names.insert(name.to_owned(), at);
        }
        if length > 0 {
            let now = &mut inner.inode(name)?.now;
            let start = offset as usize;
            now.resize(now.len().max(start + length), 0);
            now[start..start + length].copy_from_slice(&bytes[..length]);
        }
        result
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        inner.step(0, true).1?;
        inner.inode(name)?.now.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        inner.step(0, true).1?;
        let inode = inner.inode(name)?;
        inode.synced = inode.now.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        inner.step(0, false).1?;
        let at = inner.names.remove(from).ok_or_else(failed)?;
        inner.names.insert(to.to_owned(), at);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        inner.step(0, true).1?;
        inner.names.remove(name).ok_or_else(failed)?;
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        inner.step(0, true).1?;
        inner.synced = inner.names.clone();
        Ok(())
    }
}

/// One change to a journal.
#[derive(Debug, Clone)]
pub(crate) enum Change {
    Append(Vec<Record>),
    Snapshot(Snapshot),
}

impl Change {
    pub(crate) fn apply(&self, journal: &mut Journal) -> Result<(), Fault> {
        match self {
            Self::Append(records) => journal.append(records),
            Self::Snapshot(snapshot) => journal.snapshot(snapshot),
        }
    }
}

/// What a journal has to give back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Model {
    pub(crate) ballot: Ballot,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
}

impl From<DurableState> for Model {
    fn from(saved: DurableState) -> Self {
        Self {
            ballot: saved.ballot,
            snapshot: saved.snapshot,
            entries: saved.entries,
        }
    }
}

impl Model {
    pub(crate) fn base(&self) -> Position {
        self.snapshot.as_ref().map(|it| it.last).unwrap_or_default()
    }

    pub(crate) fn last(&self) -> Index {
        let base = self.base().index;
        self.entries.last().map_or(base, |entry| entry.index)
    }

    pub(crate) fn after(&self, change: &Change) -> Self {
        let mut model = self.clone();
        match change {
            Change::Append(records) => {
                for record in records {
                    match record {
                        Record::Ballot(ballot) => model.ballot = *ballot,
                        Record::Entry(entry) => {
                            model.entries.retain(|old| old.index < entry.index);
                            model.entries.push(entry.clone());
                        }
                    }
                }
            }
            Change::Snapshot(snapshot) if snapshot.last.index >= self.base().index => {
                let last = snapshot.last;
                let holds = self.base() == last
                    || self
                        .entries
                        .iter()
                        .any(|it| it.index == last.index && it.term == last.term);
                model.entries.retain(|it| holds && it.index > last.index);
                model.snapshot = Some(snapshot.clone());
            }
            Change::Snapshot(_) => {}
        }
        model
    }
}

pub(crate) fn owner() -> Owner {
    Owner {
        cell: id::Cell::from("test"),
        node: id::Node(1),
    }
}

/// Opens with segments so short that there are many.
pub(crate) fn open(folder: &Fake) -> Result<(Journal, Model), Fault> {
    const LIMIT: u64 = 150;
    const NUMBER: u128 = 0x00c0_ffee;
    let (journal, saved) = Journal::open_in(folder.clone(), &owner(), NUMBER)?;
    Ok((journal.with_segment_limit(LIMIT), saved.into()))
}

pub(crate) fn ballot(term: u64) -> Record {
    Record::Ballot(Ballot {
        term: Term(term),
        vote: Some(id::Node(term % 3)),
    })
}

pub(crate) fn entry(index: u64, term: u64) -> Record {
    let text = format!("entry {index} of term {term}");
    Record::Entry(Entry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(text.into_bytes()),
    })
}

pub(crate) fn snapshot(index: u64, term: u64, length: usize) -> Snapshot {
    let voters: Voters = [1, 2, 3].map(id::Node).into_iter().collect();
    Snapshot {
        last: Position {
            index: Index(index),
            term: Term(term),
        },
        voters,
        data: vec![index as u8; length],
    }
}

/// Changes that meet every path: many segments, overwritten ends, snapshots of
/// the own log and of a leader's.
pub(crate) fn script() -> Vec<Change> {
    let entries = |from, to, term| (from..=to).map(|index| entry(index, term)).collect();
    vec![
        Change::Append(vec![ballot(1)]),
        Change::Append(entries(1, 3, 1)),
        Change::Append(entries(4, 9, 1)),
        Change::Append(vec![ballot(2), entry(8, 2), entry(9, 2), entry(10, 2)]),
        Change::Snapshot(snapshot(5, 1, 300)),
        Change::Append(entries(11, 13, 2)),
        Change::Append(vec![ballot(3)]),
        Change::Append(entries(12, 14, 3)),
        Change::Snapshot(snapshot(14, 3, 40)),
        Change::Append(vec![entry(15, 3), ballot(4)]),
        Change::Snapshot(snapshot(20, 4, 90)),
        Change::Append(entries(21, 24, 4)),
        Change::Snapshot(snapshot(22, 5, 10)),
        Change::Append(entries(23, 23, 5)),
    ]
}
