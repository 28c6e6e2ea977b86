//! A journal in a process that has no file descriptor left. The limit counts for
//! the whole process, so this file holds one test only.

mod support;

use std::fs::File;

use gentianlane::consensus::{DurableState, Index};
use gentianlane_store::{Fault, Journal};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use support::{Model, entry, owner, snapshot};

/// The limit on the process's descriptors.
const LIMIT: u64 = 64;

/// Opens files until the process has no descriptor left.
fn exhaust() -> Vec<File> {
    let mut taken = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        taken.push(file);
    }
    taken
}

#[test]
fn a_journal_goes_on_when_descriptors_are_used_up_and_when_they_are_free_again() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, LIMIT, hard).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (journal, _) = Journal::open(folder.path(), &owner()).unwrap();
    let mut journal = journal.with_segment_limit(4_000);
    journal.append(&[entry(1, 1)]).unwrap();

    let taken = exhaust();
    let mut index = 1;
    let fault = loop {
        match journal.append(&[entry(index + 1, 1)]) {
            Ok(()) => index += 1,
            Err(fault) => break fault,
        }
    };
    assert!(index > 10, "the open segment takes no records: {fault}");
    assert!(matches!(fault, Fault::TooManyFiles { .. }), "{fault}");
    assert!(fault.leaves_usable() && fault.is_exhaustion());
    let fault = journal.snapshot(&snapshot(index, 1, 100)).unwrap_err();
    assert!(matches!(fault, Fault::TooManyFiles { .. }), "{fault}");

    drop(taken);
    journal.append(&[entry(index + 1, 1)]).unwrap();
    // The one descriptor that a new segment needs is all there is.
    let mut taken = exhaust();
    for _ in 0..200 {
        taken.pop();
        index += 1;
        journal.append(&[entry(index + 1, 1)]).unwrap();
        taken.extend(exhaust());
    }
    taken.truncate(taken.len() - 4);
    journal.snapshot(&snapshot(index, 1, 100)).unwrap();
    drop(taken);
    drop(journal);

    let (_, saved): (Journal, DurableState) =
        Journal::open(folder.path(), &owner()).unwrap();
    let saved = Model::from(saved);
    assert_eq!(saved.last(), Index(index + 1));
}
