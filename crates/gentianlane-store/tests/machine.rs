//! Random changes, crashes and full disks against a model.

#![allow(clippy::unwrap_used, clippy::panic, reason = "only tests call this")]

mod support;

use gentianlane::consensus::{Index, Position, Term};
use gentianlane_store::Fault;
use quickcheck::{Arbitrary, Gen};
use support::{Change, Fake, KEEPS, Model, Plan, ballot, entry, open, snapshot};

const SEED: u64 = 0x5eed_0007;
const RUNS: u64 = 400;
const STEPS: usize = 60;

fn number(random: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(random) % limit
}

/// A change that an agreement could ask for.
fn change(random: &mut Gen, model: &Model) -> Change {
    let base = model.base();
    let term = model.ballot.term.0.max(1);
    match number(random, 6) {
        0 => Change::Append(vec![ballot(term + number(random, 2))]),
        1 if !model.entries.is_empty() => {
            let at = number(random, model.entries.len() as u64) as usize;
            let entry = &model.entries[at];
            Change::Snapshot(snapshot(entry.index.0, entry.term.0, at * 31))
        }
        2 if number(random, 3) == 0 => {
            let ahead = model.last().0 + number(random, 4);
            Change::Snapshot(snapshot(ahead.max(1), term, 100))
        }
        3 if !model.entries.is_empty() => {
            let at = number(random, model.entries.len() as u64);
            let first = base.index.0 + 1 + at;
            Change::Append(vec![ballot(term + 1), entry(first, term + 1)])
        }
        _ => {
            let next = model.last().0 + 1;
            let count = 1 + number(random, 9);
            let entries = (next..next + count).map(|index| entry(index, term));
            Change::Append(entries.collect())
        }
    }
}

fn plan(random: &mut Gen) -> Plan {
    let at = number(random, 9) as usize;
    let bytes = number(random, 60) as usize;
    match number(random, 8) {
        0 => Plan::Crash(at, bytes),
        1 => Plan::Full(at, bytes),
        2 => Plan::Sync(at),
        _ => Plan::Work,
    }
}

fn run(seed: u64) {
    let mut random = Gen::from_size_and_seed(100, seed);
    let mut folder = Fake::default();
    let (mut journal, mut model) = open(&folder).unwrap();
    for step in 0..STEPS {
        let case = format!("seed {seed}, step {step}");
        let change = change(&mut random, &model);
        let after = model.after(&change);
        folder.plan(plan(&mut random));
        match change.apply(&mut journal) {
            Ok(()) => model = after,
            Err(Fault::DiskFull { .. }) => {}
            Err(Fault::Sync { .. } | Fault::Io { .. } | Fault::Poisoned) => {
                let keep = KEEPS[number(&mut random, KEEPS.len() as u64) as usize];
                folder = folder.crash(keep);
                drop(journal);
                let opened = open(&folder);
                let (opened, found) =
                    opened.unwrap_or_else(|fault| panic!("{case}, {keep:?}: {fault}"));
                let fits = found == model || found == after;
                assert!(fits, "{case}, {keep:?}: {found:?}, not {model:?}");
                (journal, model) = (opened, found);
            }
            Err(fault) => panic!("{case}: {fault}"),
        }
        if number(&mut random, 10) == 0 {
            let left = folder.crash(KEEPS[number(&mut random, 2) as usize]);
            let found = open(&left).map(|(_, found)| found);
            assert_eq!(found.ok(), Some(model.clone()), "{case}: crash between");
        }
    }
}

#[test]
fn a_journal_keeps_what_it_acknowledged_whatever_happens() {
    for seed in SEED..SEED + RUNS {
        run(seed);
    }
}

#[test]
fn the_model_drops_a_log_that_a_snapshot_contradicts() {
    let model = Model::default().after(&Change::Append(vec![entry(1, 1), entry(2, 1)]));
    let kept = model.after(&Change::Snapshot(snapshot(1, 1, 0)));
    assert_eq!(kept.entries.len(), 1);
    let dropped = model.after(&Change::Snapshot(snapshot(1, 2, 0)));
    assert_eq!(dropped.entries.len(), 0);
    let last = Position {
        index: Index(1),
        term: Term(2),
    };
    assert_eq!(dropped.base(), last);
}
