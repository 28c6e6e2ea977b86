//! Journals that were cut short or damaged.

use gentianlane::agree::{Ballot, Entry, Index, Payload, Term};
use gentianlane::id;
use gentianlane_store::{Fault, Journal, Record};

fn entry(index: u64, term: u64, text: &str) -> Entry {
    let payload = Payload::Command(text.as_bytes().to_vec());
    Entry {
        index: Index(index),
        term: Term(term),
        payload,
    }
}

#[test]
fn what_was_appended_is_there_on_opening() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    let ballot = Ballot {
        term: Term(3),
        vote: Some(id::Node(2)),
    };
    let first = [entry(1, 1, "a"), entry(2, 1, "b")].map(Record::Entry);
    journal.append(&first).unwrap();
    let second = [Record::Ballot(ballot), Record::Entry(entry(2, 3, "c"))];
    journal.append(&second).unwrap();
    drop(journal);
    let (_, saved) = Journal::open(folder.path()).unwrap();
    assert_eq!(saved.ballot, ballot);
    assert_eq!(saved.entries, [entry(1, 1, "a"), entry(2, 3, "c")]);
}

#[test]
fn a_record_that_was_cut_short_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal
        .append(&[entry(1, 1, "a"), entry(2, 1, "b")].map(Record::Entry))
        .unwrap();
    drop(journal);
    let path = folder.path().join("journal");
    let whole = std::fs::read(&path).unwrap();
    for length in (whole.len() / 2)..whole.len() {
        std::fs::write(&path, &whole[..length]).unwrap();
        let (_, saved) = Journal::open(folder.path()).unwrap();
        assert_eq!(saved.entries.first(), Some(&entry(1, 1, "a")));
        assert_eq!(saved.entries.len(), 1);
    }
}

#[test]
fn damage_before_the_last_record_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal
        .append(&[entry(1, 1, "a"), entry(2, 1, "b")].map(Record::Entry))
        .unwrap();
    drop(journal);
    let path = folder.path().join("journal");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[9] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    let opened = Journal::open(folder.path());
    assert!(matches!(opened, Err(Fault::Damaged { offset: 0, .. })));
}
