//! Crashes, full disks and failed syncs at every operation of a journal.

mod support;

use gentianlane_store::Fault;
use support::{Change, Fake, KEEPS, Keep, Model, Plan, open, script};

/// Runs the script until something fails; gives what was acknowledged and what
/// was being done.
fn run(folder: &Fake, changes: &[Change]) -> (Model, Model) {
    let mut model = Model::default();
    let Ok((mut journal, _)) = open(folder) else {
        return (model.clone(), model);
    };
    for change in changes {
        let after = model.after(change);
        if change.apply(&mut journal).is_err() {
            return (model, after);
        }
        model = after;
    }
    (model.clone(), model)
}

/// How many operations the whole script takes.
fn operations() -> usize {
    let folder = Fake::default();
    folder.plan(Plan::Work);
    let (acknowledged, _) = run(&folder, &script());
    let wanted = script()
        .iter()
        .fold(Model::default(), |model, it| model.after(it));
    assert_eq!(acknowledged, wanted);
    let count = folder.count();
    let found = open(&folder).ok().map(|(_, found)| found);
    assert_eq!(found, Some(wanted));
    count
}

#[test]
fn what_was_acknowledged_is_there_after_a_crash_at_any_operation() {
    for at in 0..operations() {
        for bytes in [0, 1, 17, 40, usize::MAX] {
            let folder = Fake::default();
            folder.plan(Plan::Crash(at, bytes));
            let (acknowledged, attempted) = run(&folder, &script());
            for keep in KEEPS {
                let left = folder.crash(keep);
                let case = format!("crash at {at} after {bytes} bytes, {keep:?}");
                let opened = open(&left);
                let (_, found) = opened.unwrap_or_else(|fault| panic!("{case}: {fault}"));
                let fits = found == acknowledged || found == attempted;
                assert!(fits, "{case}: {found:?}, not {acknowledged:?}");
            }
        }
    }
}

#[test]
fn a_crash_while_opening_after_a_crash_loses_nothing() {
    for at in 0..operations() {
        let folder = Fake::default();
        folder.plan(Plan::Crash(at, 20));
        let (acknowledged, attempted) = run(&folder, &script());
        for keep in [Keep::Nothing, Keep::Everything, Keep::Torn(128)] {
            for again in 0.. {
                let left = folder.crash(keep);
                left.plan(Plan::Crash(again, 9));
                let done = open(&left).is_ok();
                let left = left.crash(keep);
                let case = format!("crash at {at}, then at {again}, {keep:?}");
                let opened = open(&left);
                let (_, found) = opened.unwrap_or_else(|fault| panic!("{case}: {fault}"));
                let fits = found == acknowledged || found == attempted;
                assert!(fits, "{case}: {found:?}, not {acknowledged:?}");
                if done {
                    break;
                }
            }
        }
    }
}

#[test]
fn a_full_disk_refuses_the_whole_change_and_the_next_try_holds() {
    let mut refused = 0;
    for at in 0..operations() {
        for bytes in [0, 1, 16, 45] {
            let folder = Fake::default();
            let (mut journal, mut model) = open(&folder).unwrap();
            folder.plan(Plan::Full(at, bytes));
            for change in script() {
                let after = model.after(&change);
                if let Err(fault) = change.apply(&mut journal) {
                    assert!(matches!(fault, Fault::DiskFull { .. }), "at {at}: {fault}");
                    refused += 1;
                    let left = folder.crash(Keep::Everything);
                    assert_eq!(open(&left).unwrap().1, model, "at {at}");
                    change.apply(&mut journal).unwrap();
                }
                model = after;
            }
            for keep in [Keep::Nothing, Keep::Everything] {
                let found = open(&folder.crash(keep)).unwrap().1;
                assert_eq!(found, model, "full at {at} after {bytes} bytes, {keep:?}");
            }
        }
    }
    assert!(refused > 20, "{refused} writes were refused");
}

#[test]
fn a_folder_that_can_not_be_begun_on_a_full_disk_can_be_begun_later() {
    for at in 0..20 {
        let folder = Fake::default();
        folder.plan(Plan::Full(at, 7));
        if let Err(fault) = open(&folder) {
            assert!(matches!(fault, Fault::DiskFull { .. }), "at {at}: {fault}");
        }
        folder.plan(Plan::Work);
        assert_eq!(open(&folder).unwrap().1, Model::default(), "at {at}");
    }
}

#[test]
fn a_failed_sync_ends_the_journal_and_loses_nothing_acknowledged() {
    let mut failed = 0;
    for at in 0..operations() {
        let folder = Fake::default();
        let (mut journal, mut model) = open(&folder).unwrap();
        folder.plan(Plan::Sync(at));
        for change in script() {
            let after = model.after(&change);
            let Err(fault) = change.apply(&mut journal) else {
                model = after;
                continue;
            };
            failed += 1;
            assert!(matches!(fault, Fault::Sync { .. }), "at {at}: {fault}");
            let next = change.apply(&mut journal);
            assert!(matches!(next, Err(Fault::Poisoned)), "at {at}: {next:?}");
            for keep in KEEPS {
                let found = open(&folder.crash(keep)).unwrap().1;
                let fits = found == model || found == after;
                assert!(fits, "failed at {at}, {keep:?}: {found:?}, not {model:?}");
            }
            break;
        }
    }
    assert!(failed > 20, "{failed} syncs failed");
}
