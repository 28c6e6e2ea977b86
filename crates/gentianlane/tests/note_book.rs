//! Rulings on release notes: races, resends, and what never reverts.

#![allow(clippy::unwrap_used, clippy::panic, reason = "only tests call this")]

use gentianlane::cell::{Command, State};
use gentianlane::digest::Digest;
use gentianlane::id;
use gentianlane::note::{Catalog, Note, Quota, Revision, Ruling, Section, Withdrawal};
use gentianlane::unit::Size;
use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 0x0007_0002;
const RUNS: u64 = 500;
const STEPS: usize = 60;

/// A note that sets one team's quota.
fn note(number: u64, base: u64, cpu: u64, add: bool) -> Note {
    let quota = Quota {
        size: Size::new(cpu, 1, 0),
        weight: 1,
    };
    let section = Section {
        teams: [(id::Team::from("reminders"), quota)].into_iter().collect(),
        ..Section::default()
    };
    let (add, change) = match add {
        true => (section, Section::default()),
        false => (Section::default(), section),
    };
    Note {
        number,
        base: Revision(base),
        add,
        change,
        withdraw: Withdrawal::default(),
    }
}

/// The quota in force.
fn quota(catalog: &Catalog) -> u64 {
    catalog
        .teams()
        .next()
        .map_or(0, |(_, quota)| quota.size.cpu.0)
}

/// Every order in which two operators' sends can reach the log.
fn interleavings(sends: usize) -> impl Iterator<Item = Vec<bool>> {
    let all = 0..1u32 << (2 * sends);
    let order = move |bits: u32| (0..2 * sends).map(|at| bits >> at & 1 == 1).collect();
    let balanced =
        move |order: &Vec<bool>| order.iter().filter(|&&it| it).count() == sends;
    all.map(order).filter(balanced)
}

#[test]
fn of_two_notes_with_one_number_exactly_one_wins_in_every_interleaving() {
    const SENDS: usize = 4;
    for order in interleavings(SENDS) {
        let mut catalog = Catalog::default();
        let notes = [note(1, 0, 10, true), note(1, 0, 20, true)];
        let winner = usize::from(order[0]);
        for &sender in &order {
            let ruling = catalog.apply(&notes[usize::from(sender)]);
            let wanted = match usize::from(sender) == winner {
                true => Ruling::Accepted(Revision(1)),
                false => Ruling::Taken(notes[winner].digest(), Revision(1)),
            };
            assert_eq!(ruling, wanted, "{order:?}");
        }
        assert_eq!(quota(&catalog), [10, 20][winner], "{order:?}");
        assert_eq!(catalog.revision(), Revision(1));
    }
}

#[test]
fn a_resend_hears_the_first_verdict_after_hundreds_of_notes_and_reverts_nothing() {
    let mut catalog = Catalog::default();
    let first = note(1, 0, 10, true);
    assert_eq!(catalog.apply(&first), Ruling::Accepted(Revision(1)));
    for number in 2..=1_000 {
        let next = note(number, number - 1, number, false);
        assert_eq!(catalog.apply(&next), Ruling::Accepted(Revision(number)));
    }
    assert_eq!(catalog.apply(&first), Ruling::Accepted(Revision(1)));
    let other = note(1, 0, 11, true);
    assert_eq!(
        catalog.apply(&other),
        Ruling::Taken(first.digest(), Revision(1))
    );
    assert_eq!(quota(&catalog), 1_000);
    assert_eq!(catalog.revision(), Revision(1_000));
}

#[test]
fn a_number_too_old_to_be_known_is_told_so_and_memory_stays_bounded() {
    const REMEMBERED: u64 = 4_096;
    let mut catalog = Catalog::default();
    let first = note(1, 0, 10, true);
    catalog.apply(&first);
    for number in 2..=REMEMBERED + 1 {
        catalog.apply(&note(number, number - 1, number, false));
    }
    let length = postcard::to_allocvec(&catalog).unwrap().len();
    let revision = Revision(REMEMBERED + 1);
    assert_eq!(catalog.apply(&first), Ruling::Expired(revision));
    let fresh = note(1, revision.0, 10, false);
    assert_eq!(catalog.apply(&fresh), Ruling::Expired(revision));
    let second = note(2, 1, 2, false);
    assert_eq!(catalog.apply(&second), Ruling::Accepted(Revision(2)));
    for number in REMEMBERED + 2..2 * REMEMBERED {
        catalog.apply(&note(number, number - 1, number, false));
    }
    let later = postcard::to_allocvec(&catalog).unwrap().len();
    assert!(later < length + 8_192, "{length} bytes became {later}");
    assert_eq!(quota(&catalog), 2 * REMEMBERED - 1);
}

#[test]
fn a_team_with_a_standing_workload_can_not_be_withdrawn() {
    let text = r#"{ "number": 1, "base": 0, "add": {
      "teams": { "a": { "size": { "cpu": 1, "memory": 1 } } },
      "workloads": { "inbox": { "kind": "service", "idempotent": true, "team": "a",
                     "size": { "cpu": 1, "memory": 1 } } } } }"#;
    let mut catalog = Catalog::default();
    catalog.apply(&Note::read(text).unwrap());
    let alone = r#"{ "number": 2, "base": 1, "withdraw": { "teams": ["a"] } }"#;
    let ruling = catalog.apply(&Note::read(alone).unwrap());
    assert!(matches!(ruling, Ruling::Unsound(_)), "{ruling:?}");
    let both = r#"{ "number": 2, "base": 1,
      "withdraw": { "teams": ["a"], "workloads": ["inbox"] } }"#;
    let ruling = catalog.apply(&Note::read(both).unwrap());
    assert_eq!(ruling, Ruling::Accepted(Revision(2)));
    assert_eq!(
        (catalog.teams().count(), catalog.workloads().count()),
        (0, 0)
    );
}

/// Drives a state by random notes, some of them resent, and compares it with
/// what was accepted.
fn run(seed: u64) {
    let mut random = Gen::from_size_and_seed(50, seed);
    let mut state = State::default();
    let mut sent: Vec<Note> = Vec::new();
    let mut winners: IndexMap<u64, (Digest, u64)> = IndexMap::new();
    let mut in_force = 0;
    for step in 0..STEPS {
        let revision = state.catalog().revision().0;
        let next = match u8::arbitrary(&mut random) % 4 {
            0 if !sent.is_empty() => random.choose(&sent).unwrap().clone(),
            1 => {
                let number = u64::arbitrary(&mut random) % (revision + 2) + 1;
                let base = u64::arbitrary(&mut random) % (revision + 1);
                note(number, base, u64::arbitrary(&mut random) % 3, revision == 0)
            }
            _ => note(revision + 1, revision, step as u64, revision == 0),
        };
        sent.push(next.clone());
        let known = winners.get(&next.number).copied();
        let case = format!("seed {seed}, step {step}, {next:?}");
        state.apply(Command::Note(Box::new(next.clone())));
        let ruled = state.clone().apply(Command::Note(Box::new(next.clone())));
        let after = state.catalog().revision().0;
        match known {
            Some(_) => assert_eq!(after, revision, "{case}"),
            None if after > revision => {
                assert_eq!(after, revision + 1, "{case}");
                assert_eq!(next.base.0, revision, "{case}: written against another");
                winners.insert(next.number, (next.digest(), after));
                let section = [&next.add, &next.change];
                let teams = section.iter().flat_map(|it| it.teams.values());
                in_force = teams.last().map_or(in_force, |quota| quota.size.cpu.0);
            }
            None => assert_ne!(next.base.0, revision, "{case}: refused"),
        }
        if let Some(&(digest, won)) = winners.get(&next.number) {
            let wanted = match digest == next.digest() {
                true => Ruling::Accepted(Revision(won)),
                false => Ruling::Taken(digest, Revision(won)),
            };
            let gentianlane::api::Reply::Note(reply) = ruled.reply else {
                panic!("{case}: no ruling");
            };
            assert_eq!(reply.ruling, wanted, "{case}");
        }
        assert_eq!(quota(state.catalog()), in_force, "{case}");
        let bytes = postcard::to_allocvec(&state).unwrap();
        let copy: State = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(copy.catalog(), state.catalog(), "{case}: from a snapshot");
        state = copy;
    }
}

#[test]
fn revisions_only_grow_and_numbers_have_one_winner_whatever_is_sent() {
    for seed in SEED..SEED + RUNS {
        run(seed);
    }
}
