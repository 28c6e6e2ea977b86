//! What is told of a folder without opening it.

#![allow(clippy::unwrap_used, reason = "only tests call this")]

mod support;

use gentianlane::consensus::{Index, Position, Term};
use gentianlane_store::{Fault, Folder, Journal, Report, Tail};
use support::{Fake, Keep, Model, Plan, open, owner, script};

fn folder() -> (Fake, Model) {
    let folder = Fake::default();
    let (mut journal, mut model) = open(&folder).unwrap();
    for change in script() {
        change.apply(&mut journal).unwrap();
        model = model.after(&change);
    }
    (folder, model)
}

#[test]
fn a_report_says_what_opening_would_find() {
    let (folder, model) = folder();
    folder.plan(Plan::Work);
    let report = Report::read_in(&folder);
    assert_eq!(folder.count(), 0, "the folder was changed");
    assert!(report.fault.is_none(), "{report:?}");
    assert_eq!(report.identity.unwrap().owner, owner());
    assert_eq!(report.ballot, model.ballot);
    assert_eq!(report.entries, model.entries.len() as u64);
    let last = Position {
        index: Index(23),
        term: Term(5),
    };
    assert_eq!(report.last, last);
    let snapshot = report.snapshot.unwrap();
    assert_eq!(snapshot.last, model.base());
    assert_eq!(snapshot.bytes, 10);
    assert_eq!(report.segments.last().unwrap().tail, Tail::Open);
}

#[test]
fn a_report_tells_the_first_damage_and_what_was_read_before_it() {
    let (folder, _) = folder();
    let names = folder.file_names().unwrap();
    let (mut told, mut bytes_of_all) = (0, 0);
    for name in &names {
        let whole = folder.get(name);
        bytes_of_all += whole.len();
        for at in 0..whole.len() {
            let left = folder.crash(Keep::Everything);
            let mut bytes = whole.clone();
            bytes[at] ^= 0x10;
            left.put(name, bytes);
            let report = Report::read_in(&left);
            let opened = open(&left).err().map(|fault| fault.to_string());
            let fault = report.fault.map(|fault| fault.to_string());
            assert_eq!(fault, opened, "{name} at {at}");
            told += usize::from(fault.is_some());
        }
    }
    const MARK: usize = 16;
    assert_eq!(told, bytes_of_all - MARK, "all but the mark at the end");
}

#[test]
fn a_torn_tail_is_told_and_left_alone() {
    let folder = Fake::default();
    let (mut journal, _) = open(&folder).unwrap();
    folder.plan(Plan::Crash(0, 30));
    assert!(journal.append(&[support::entry(1, 1)]).is_err());
    let left = folder.crash(Keep::Everything);
    let report = Report::read_in(&left);
    assert_eq!(report.segments[0].tail, Tail::Torn);
    assert!(report.fault.is_none());
    assert_eq!(left.count(), 0);
}

#[test]
fn a_folder_that_is_in_use_or_none_can_be_looked_at() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path(), &owner()).unwrap();
    journal.append(&[support::entry(1, 1)]).unwrap();
    assert_eq!(Report::read(folder.path()).entries, 1);
    drop(journal);
    let none = folder.path().join("none");
    let report = Report::read(&none);
    assert!(matches!(report.fault, Some(Fault::Io { .. })));
    assert!(!none.exists());
}

#[test]
fn a_report_tells_the_same_missing_file_as_opening() {
    let folder = Fake::default();
    let (mut journal, _) = open(&folder).unwrap();
    for index in 1..30 {
        journal.append(&[support::entry(index, 1)]).unwrap();
    }
    for name in folder.file_names().unwrap() {
        let left = folder.crash(Keep::Everything);
        left.take_away(&name);
        let report = Report::read_in(&left);
        let opened = open(&left).err().map(|fault| fault.to_string());
        assert!(opened.is_some(), "without {name}");
        let fault = report.fault.map(|fault| fault.to_string());
        assert_eq!(fault, opened, "without {name}");
    }
}
