//! Folders that were damaged, cut, rolled back or robbed of a file.

#![allow(clippy::unwrap_used, reason = "only tests call this")]

mod support;

use gentianlane::consensus::{Ballot, Term};
use gentianlane::id;
use gentianlane_store::{Fault, Folder, Journal, Record};
use support::{Change, Fake, Keep, Model, Plan, ballot, entry, open, script, snapshot};

/// A folder after the script and some more, and what it holds.
fn folder() -> (Fake, Model) {
    let folder = Fake::default();
    let mut model = Model::default();
    if let Ok((mut journal, _)) = open(&folder) {
        let more = (24..40).map(|index| Change::Append(vec![entry(index, 6)]));
        for change in script().into_iter().chain(more) {
            let applied = change.apply(&mut journal);
            assert!(applied.is_ok(), "{applied:?}");
            model = model.after(&change);
        }
    }
    (folder, model)
}

fn names(folder: &Fake) -> Vec<String> {
    let mut names = folder.file_names().unwrap_or_default();
    names.sort();
    names
}

fn segments(folder: &Fake) -> Vec<String> {
    let mut names = names(folder);
    names.retain(|name| name.starts_with("segment-"));
    names
}

#[test]
fn damage_at_any_byte_is_an_error_or_costs_nothing() {
    let (folder, model) = folder();
    let mut harmless = 0;
    for name in names(&folder) {
        let whole = folder.get(&name);
        for at in 0..whole.len() {
            for damage in [1, 0x80, whole[at], 0xff] {
                let mut bytes = whole.clone();
                bytes[at] ^= damage;
                if bytes == whole {
                    continue;
                }
                let left = folder.crash(Keep::Everything);
                left.put(&name, bytes);
                let opened = open(&left).map(|(_, found)| found);
                match opened {
                    Err(Fault::Damaged { .. } | Fault::Version { .. }) => {}
                    Err(fault) => panic!("{name} at {at}: {fault}"),
                    Ok(found) => {
                        harmless += 1;
                        assert_eq!(found, model, "{name} at {at} ^ {damage}");
                    }
                }
            }
        }
    }
    const MARK: usize = 16;
    assert!(harmless <= 4 * MARK, "{harmless} damages went unnoticed");
}

#[test]
fn a_file_that_lost_its_end_is_an_error_unless_it_is_the_last() {
    let (folder, _) = folder();
    let last = segments(&folder).pop();
    for name in names(&folder) {
        let whole = folder.get(&name);
        for length in 0..whole.len() {
            let left = folder.crash(Keep::Everything);
            left.put(&name, whole[..length].to_vec());
            let opened = open(&left).map(|(_, found)| found);
            if last.as_ref() != Some(&name) {
                assert!(opened.is_err(), "{name} cut to {length}");
            }
        }
    }
}

#[test]
fn a_write_cut_short_at_any_byte_leaves_all_before_it() {
    let (folder, model) = folder();
    let (mut journal, _) = open(&folder).unwrap();
    let name = segments(&folder).pop().unwrap();
    let before = folder.get(&name).len();
    journal.append(&[ballot(7), entry(40, 7)]).unwrap();
    let whole = folder.get(&name);
    const MARK: usize = 16;
    for length in before - MARK..whole.len() - MARK {
        let left = folder.crash(Keep::Everything);
        left.put(&name, whole[..length].to_vec());
        assert_eq!(open(&left).unwrap().1, model, "cut to {length}");
        let mut zeros = whole[..length].to_vec();
        zeros.resize(whole.len() - MARK, 0);
        if zeros != whole[..whole.len() - MARK] {
            left.put(&name, zeros);
            assert_eq!(open(&left).unwrap().1, model, "zeros after {length}");
        }
    }
}

#[test]
fn a_missing_file_is_an_error() {
    let (folder, _) = folder();
    assert!(segments(&folder).len() > 3);
    for name in names(&folder) {
        let left = folder.crash(Keep::Everything);
        left.take_away(&name);
        let opened = open(&left).map(|(_, found)| found);
        let is_missing = matches!(opened, Err(Fault::Missing { .. }));
        assert!(is_missing, "without {name}: {opened:?}");
    }
}

#[test]
fn segments_in_another_order_are_an_error() {
    let (folder, _) = folder();
    let names = segments(&folder);
    for (at, one) in names.iter().enumerate() {
        for other in &names[at + 1..] {
            let left = folder.crash(Keep::Everything);
            left.put(one, folder.get(other));
            left.put(other, folder.get(one));
            let opened = open(&left).map(|(_, found)| found);
            let is_damaged = matches!(opened, Err(Fault::Damaged { .. }));
            assert!(is_damaged, "{one} and {other}: {opened:?}");
        }
    }
}

#[test]
fn a_segment_of_another_folder_or_time_is_an_error() {
    let (folder, model) = folder();
    let (mut journal, _) = open(&folder).unwrap();
    let name = segments(&folder).pop().unwrap();
    let earlier = folder.get(&name);
    for index in 40..50 {
        journal.append(&[entry(index, 7)]).unwrap();
    }
    let left = folder.crash(Keep::Everything);
    left.put(&name, earlier);
    let opened = open(&left).map(|(_, found)| found);
    assert!(matches!(opened, Err(Fault::Damaged { .. })), "{opened:?}");
    let other = Fake::default();
    let opened = Journal::open_in(other.clone(), &support::owner(), 7);
    drop(opened.unwrap());
    let strange = other.get("segment-0000000000000001");
    left.put(&name, strange);
    let opened = open(&left).map(|(_, found)| found);
    assert!(matches!(opened, Err(Fault::Damaged { .. })), "{opened:?}");
    assert!(model.entries.len() < 20);
}

#[test]
fn a_damaged_snapshot_is_not_replaced_by_an_older_one() {
    let folder = Fake::default();
    let (mut journal, _) = open(&folder).unwrap();
    for index in 1..=9 {
        journal.append(&[entry(index, 1)]).unwrap();
    }
    journal.snapshot(&snapshot(4, 1, 50)).unwrap();
    let old = names(&folder);
    let copies: Vec<_> = old.iter().map(|name| folder.get(name)).collect();
    journal.snapshot(&snapshot(8, 1, 50)).unwrap();
    let new = names(&folder).pop().unwrap();
    let mut bytes = folder.get(&new);
    bytes[40] ^= 1;
    folder.put(&new, bytes);
    for (name, copy) in old.iter().zip(copies) {
        if !names(&folder).contains(name) {
            folder.put(name, copy);
        }
    }
    let opened = open(&folder).map(|(_, found)| found);
    assert!(matches!(opened, Err(Fault::Damaged { .. })), "{opened:?}");
}

#[test]
fn a_later_format_is_refused() {
    let folder = Fake::default();
    drop(open(&folder).unwrap());
    let mut bytes = folder.get("identity");
    let body = 16;
    assert_eq!(bytes[body], 1, "the format is the first thing in the title");
    bytes[body] = 2;
    let length = u32::from_le_bytes(bytes[4..8].try_into().unwrap()) as usize;
    let sum = crc32fast::hash(&bytes[body..body + length]);
    bytes[8..12].copy_from_slice(&sum.to_le_bytes());
    let mut salt = crc32fast::Hasher::new();
    salt.update(&0u128.to_le_bytes());
    salt.update(b"identity");
    let mut head = crc32fast::Hasher::new_with_initial(salt.finalize());
    head.update(&0u64.to_le_bytes());
    head.update(&bytes[..12]);
    bytes[12..16].copy_from_slice(&head.finalize().to_le_bytes());
    folder.put("identity", bytes);
    let opened = open(&folder).map(|(_, found)| found);
    let is_later = matches!(opened, Err(Fault::Version { version: 2 }));
    assert!(is_later, "{opened:?}");
}

#[test]
fn opening_a_damaged_folder_changes_nothing() {
    let (folder, _) = folder();
    let name = segments(&folder).remove(0);
    let mut bytes = folder.get(&name);
    bytes[30] ^= 1;
    folder.put(&name, bytes);
    folder.plan(Plan::Work);
    assert!(open(&folder).is_err());
    assert_eq!(folder.count(), 0);
}

/// A folder whose segments hold promises alone, one term each.
fn promises(number: u128, vote: u64) -> Fake {
    let folder = Fake::default();
    let opened = Journal::open_in(folder.clone(), &support::owner(), number);
    let (journal, _) = opened.unwrap();
    let mut journal = journal.with_segment_limit(1);
    for term in 1..=4 {
        let ballot = Ballot {
            term: Term(term),
            vote: Some(id::Node(vote)),
        };
        journal.append(&[Record::Ballot(ballot)]).unwrap();
    }
    folder
}

#[test]
fn promises_in_another_order_are_an_error() {
    let folder = promises(1, 1);
    let names = segments(&folder);
    let (one, other) = (&names[1], &names[2]);
    let left = folder.crash(Keep::Everything);
    left.put(one, folder.get(other));
    left.put(other, folder.get(one));
    let opened = open(&left).map(|(_, found)| found);
    assert!(matches!(opened, Err(Fault::Damaged { .. })), "{opened:?}");
}

#[test]
fn promises_of_another_folder_are_an_error() {
    let (mine, other) = (promises(1, 1), promises(2, 2));
    let name = segments(&mine).pop().unwrap();
    let left = mine.crash(Keep::Everything);
    left.put(&name, other.get(&name));
    let opened = open(&left).map(|(_, found)| found);
    assert!(matches!(opened, Err(Fault::Damaged { .. })), "{opened:?}");
}

#[test]
fn a_snapshot_that_went_missing_is_an_error_also_while_its_log_is_there() {
    let folder = Fake::default();
    let (mut journal, _) = open(&folder).unwrap();
    journal.append(&[entry(1, 1), entry(2, 1)]).unwrap();
    journal.snapshot(&snapshot(1, 1, 50)).unwrap();
    assert_eq!(segments(&folder).len(), 2, "the first segment still counts");
    let name = names(&folder).pop().unwrap();
    assert!(name.starts_with("snapshot-"));
    folder.take_away(&name);
    let opened = open(&folder).map(|(_, found)| found);
    assert!(matches!(opened, Err(Fault::Missing { .. })), "{opened:?}");
}
