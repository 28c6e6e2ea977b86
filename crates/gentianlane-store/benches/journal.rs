//! Measures the journal on the disk that holds the build: entries per second,
//! syncs and bytes per entry, the time and peak memory of opening a folder, and
//! the time to store a snapshot.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use gentianlane::consensus::{Entry, Index, Payload, Position, Snapshot, Term};
use gentianlane::id;
use gentianlane_store::{Disk, Folder, Journal, Owner, Record};

/// The length of each entry's command in bytes.
const COMMAND: usize = 200;

/// The number of batches that are appended for each batch size.
const BATCHES: u64 = 400;

/// Totals over all operations on a folder.
#[derive(Debug, Default)]
struct Counts {
    syncs: AtomicU64,
    bytes: AtomicU64,
}

/// A folder that counts its syncs and the bytes written.
#[derive(Debug)]
struct Counted(Disk, Arc<Counts>);

impl Folder for Counted {
    fn file_names(&self) -> io::Result<Vec<String>> {
        self.0.file_names()
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        self.0.length(name)
    }

    fn read(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.0.read(name, offset, buffer)
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.1
            .bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.0.write(name, offset, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.0.truncate(name, length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.1.syncs.fetch_add(1, Ordering::Relaxed);
        self.0.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.1.syncs.fetch_add(1, Ordering::Relaxed);
        self.0.sync_folder()
    }
}

type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

fn owner() -> Owner {
    Owner {
        cell: id::Cell::from("bench"),
        node: id::Node(1),
    }
}

fn scratch() -> Outcome<tempfile::TempDir> {
    Ok(tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR"))?)
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        index: Index(index),
        term: Term(1),
        payload: Payload::Command(vec![index as u8; COMMAND]),
    })
}

fn append(size: u64) -> Outcome<()> {
    let folder = scratch()?;
    let counts = Arc::new(Counts::default());
    let counted = Counted(Disk::open(folder.path())?, Arc::clone(&counts));
    let (mut journal, _) = Journal::open_in(counted, &owner(), 1)?;
    counts.syncs.store(0, Ordering::Relaxed);
    counts.bytes.store(0, Ordering::Relaxed);
    let began = Instant::now();
    for batch in 0..BATCHES {
        let first = batch * size + 1;
        let records: Vec<Record> = (first..first + size).map(entry).collect();
        journal.append(&records)?;
    }
    let seconds = began.elapsed().as_secs_f64();
    let entries = (BATCHES * size) as f64;
    println!(
        "append batch={size} entries_per_s={:.0} syncs_per_entry={:.4} bytes_per_entry={:.1}",
        entries / seconds,
        counts.syncs.load(Ordering::Relaxed) as f64 / entries,
        counts.bytes.load(Ordering::Relaxed) as f64 / entries,
    );
    Ok(())
}

/// The peak resident memory of the process since its last reset, in KiB.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let digits = line.and_then(|line| line.split_whitespace().next());
    digits.and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn open(folder: &Path, entries: u64) -> Outcome<()> {
    std::fs::write("/proc/self/clear_refs", "5")?;
    let before = peak();
    let began = Instant::now();
    let (journal, saved) = Journal::open(folder, &owner())?;
    println!(
        "open entries={entries} held={} ms={:.1} peak_growth_kib={}",
        saved.entries.len(),
        began.elapsed().as_secs_f64() * 1_000.0,
        peak().saturating_sub(before),
    );
    drop(journal);
    Ok(())
}

fn opening(entries: u64) -> Outcome<()> {
    const BATCH: u64 = 512;
    let folder = scratch()?;
    let (mut journal, _) = Journal::open(folder.path(), &owner())?;
    for first in (1..=entries).step_by(BATCH as usize) {
        let last = (first + BATCH - 1).min(entries);
        let records: Vec<Record> = (first..=last).map(entry).collect();
        journal.append(&records)?;
    }
    drop(journal);
    open(folder.path(), entries)
}

fn snapshot(bytes: usize) -> Outcome<()> {
    let folder = scratch()?;
    let (mut journal, _) = Journal::open(folder.path(), &owner())?;
    journal.append(&[entry(1), entry(2)])?;
    let snapshot = Snapshot {
        last: Position {
            index: Index(1),
            term: Term(1),
        },
        voters: [id::Node(1)].into_iter().collect(),
        data: vec![7; bytes],
    };
    let began = Instant::now();
    journal.snapshot(&snapshot)?;
    let millis = began.elapsed().as_secs_f64() * 1_000.0;
    println!("snapshot bytes={bytes} ms={millis:.1}");
    Ok(())
}

fn main() -> Outcome<()> {
    for size in [1, 8, 64, 512] {
        append(size)?;
    }
    for entries in [1_000, 10_000, 100_000] {
        opening(entries)?;
    }
    for mebibytes in [1, 4, 16] {
        snapshot(mebibytes << 20)?;
    }
    Ok(())
}
