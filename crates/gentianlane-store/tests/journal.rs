//! Journals on a real disk.

mod support;

use std::path::Path;

use gentianlane::consensus::DurableState;
use gentianlane::id;
use gentianlane_store::{Fault, Journal, Owner};
use support::{Model, ballot, entry, owner, script, snapshot};

fn open(folder: &Path) -> Result<(Journal, DurableState), Fault> {
    Journal::open(folder, &owner())
}

#[test]
fn what_was_appended_is_there_on_opening() {
    let folder = tempfile::tempdir().unwrap();
    let (journal, _) = open(folder.path()).unwrap();
    let mut journal = journal.with_segment_limit(150);
    let mut model = Model::default();
    for change in script() {
        change.apply(&mut journal).unwrap();
        model = model.after(&change);
    }
    drop(journal);
    let (_, saved) = open(folder.path()).unwrap();
    assert_eq!(Model::from(saved), model);
}

#[test]
fn a_record_that_was_cut_short_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("segment-0000000000000001");
    let (mut journal, _) = open(folder.path()).unwrap();
    journal.append(&[entry(1, 1)]).unwrap();
    let first = std::fs::read(&path).unwrap().len();
    journal.append(&[entry(2, 1)]).unwrap();
    drop(journal);
    let whole = std::fs::read(&path).unwrap();
    const MARK: usize = 16;
    for length in first - MARK..whole.len() - MARK {
        std::fs::write(&path, &whole[..length]).unwrap();
        let (_, saved) = open(folder.path()).unwrap();
        assert_eq!(saved.entries.len(), 1, "cut to {length}");
    }
}

#[test]
fn damage_before_the_last_record_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path()).unwrap();
    journal.append(&[entry(1, 1)]).unwrap();
    journal.append(&[entry(2, 1)]).unwrap();
    drop(journal);
    let path = folder.path().join("segment-0000000000000001");
    let whole = std::fs::read(&path).unwrap();
    let text = b"entry 1";
    let at = whole.windows(text.len()).position(|it| it == text).unwrap();
    let mut bytes = whole.clone();
    bytes[at] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    let opened = open(folder.path());
    assert!(matches!(opened, Err(Fault::Damaged { .. })), "{opened:?}");
    assert_eq!(
        std::fs::read(&path).unwrap(),
        bytes,
        "a damaged file was changed"
    );
}

#[test]
fn two_users_of_one_folder_are_kept_apart() {
    let folder = tempfile::tempdir().unwrap();
    let (journal, _) = open(folder.path()).unwrap();
    assert!(matches!(open(folder.path()), Err(Fault::Locked)));
    drop(journal);
    assert!(open(folder.path()).is_ok());
}

#[test]
fn a_folder_of_another_node_or_cell_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    drop(open(folder.path()).unwrap());
    let node = Owner {
        node: id::Node(2),
        ..owner()
    };
    let cell = Owner {
        cell: id::Cell::from("other"),
        ..owner()
    };
    for other in [node, cell] {
        let opened = Journal::open(folder.path(), &other);
        assert!(
            matches!(opened, Err(Fault::WrongOwner { .. })),
            "{opened:?}"
        );
    }
}

#[test]
fn a_wiped_folder_is_recognisable() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    let (first, _) = open(&path).unwrap();
    assert!(first.is_new());
    let identity = first.identity().clone();
    drop(first);
    let (second, _) = open(&path).unwrap();
    assert!(!second.is_new());
    assert_eq!(second.identity(), &identity);
    drop(second);
    std::fs::remove_dir_all(&path).unwrap();
    let (third, _) = open(&path).unwrap();
    assert!(third.is_new());
    assert_ne!(third.identity(), &identity);
}

#[test]
fn an_entry_that_leaves_a_gap_is_refused_and_the_journal_goes_on() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = open(folder.path()).unwrap();
    let refused = journal.append(&[ballot(9), entry(2, 1)]);
    assert!(matches!(refused, Err(Fault::Gap { index: 2 })));
    journal.append(&[entry(1, 1)]).unwrap();
    journal.snapshot(&snapshot(1, 1, 5)).unwrap();
    let refused = journal.append(&[entry(1, 1)]);
    assert!(matches!(refused, Err(Fault::Gap { index: 1 })));
    drop(journal);
    let (_, saved) = open(folder.path()).unwrap();
    assert_eq!(saved.ballot.term.0, 0);
    assert_eq!(saved.entries, []);
}
