//! Whom an entry tries when it has lost the leader.

use std::net::Ipv4Addr;

use gentianlane::fleet::discovery::Directory;
use gentianlane::fleet::link::LeaderHint;
use gentianlane::unit::Time;

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);
const ENTRY: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 2);

fn core(at: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, at)
}

fn led_by(leader: Ipv4Addr) -> Directory {
    let mut known = Directory::default();
    known.add_cores([core(1), core(2), core(3)]);
    let guide = LeaderHint {
        reaches_leader: true,
        leader: Some(leader),
        voters: vec![core(1), core(2), core(3)],
        entries: vec![OWN, ENTRY],
    };
    known.update(leader, &guide);
    known
}

#[test]
fn the_leader_comes_first_then_the_cores_then_an_entry_that_reaches_it() {
    // Found at norrvik-panna, trouble-3: entries that were cut off from all
    // cores had nobody to turn to.
    let mut known = led_by(core(2));
    let mut tried = Vec::new();
    for at in 0..4 {
        let now = Time::from_millis(1_000 + at);
        let vm = known.next_candidate(OWN, now).unwrap();
        known.mark_failed(vm, now);
        tried.push(vm);
    }
    assert_eq!(tried, [core(2), core(1), core(3), ENTRY]);
    let later = Time::from_millis(1_010);
    assert_eq!(
        known.next_candidate(OWN, later),
        Some(core(2)),
        "the one tried first"
    );
}

#[test]
fn a_lost_leader_is_tried_again_after_a_rest() {
    let mut known = led_by(core(3));
    let lost = Time::from_millis(1_000);
    known.mark_failed(core(3), lost);
    assert!(known.failed_recently(core(3), Time::from_millis(1_500)));
    assert!(!known.failed_recently(core(3), Time::from_millis(2_500)));
    assert_eq!(
        known.next_candidate(OWN, Time::from_millis(2_500)),
        Some(core(3))
    );
}

#[test]
fn a_core_that_names_another_leader_is_believed() {
    let mut known = led_by(core(3));
    let guide = LeaderHint {
        reaches_leader: false,
        leader: Some(core(2)),
        ..LeaderHint::default()
    };
    known.update(core(1), &guide);
    assert_eq!(known.leader(), Some(core(2)));
}

#[test]
fn nobody_is_tried_while_nobody_is_known() {
    assert_eq!(
        Directory::default().next_candidate(OWN, Time::default()),
        None
    );
}
