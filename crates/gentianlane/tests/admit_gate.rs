//! What the gate takes in, refuses and says of the time to return.

use gentianlane::admit::{Bounds, Gate, Party};
use gentianlane::unit::{Span, Time};
use gentianlane::verdict::Reason;
use indexmap::IndexMap;

const SEED: u64 = 11;

const BOUNDS: Bounds = Bounds {
    waiting: 200,
    age: Span::from_millis(1_000),
    come_back: Span::from_millis(500),
};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A gate that has seen one turn every 10 ms, with `party`'s work waiting.
fn paced(party: Party, waiting: usize) -> (Gate<u64>, Time) {
    let mut gate = Gate::new(BOUNDS, SEED);
    let mut now = at(0);
    for step in 0..400 {
        now = at(10 * step);
        while gate.waiting() <= waiting {
            gate.offer(party, step, None, now).unwrap_or_default();
        }
        gate.take(now);
    }
    (gate, now)
}

#[test]
fn what_cannot_start_before_its_deadline_is_refused_at_once() {
    let (mut gate, now) = paced(Party(1), 50);
    let turned = gate.offer(Party(1), 0, Some(now.after(Span::from_millis(300))), now);
    assert_eq!(
        turned.map_err(|turned| turned.reason),
        Err(Reason::Deadline)
    );
    let taken = gate.offer(Party(1), 0, Some(now.after(Span::from_millis(700))), now);
    assert_eq!(taken, Ok(()));
}

#[test]
fn the_queue_is_bounded_by_the_time_it_takes_and_by_length() {
    let (mut gate, now) = paced(Party(1), 50);
    let taken = (0..1_000).filter(|_| gate.offer(Party(1), 0, None, now).is_ok());
    let taken = taken.count();
    assert!((35..=60).contains(&taken), "{taken}");
    let mut idle = Gate::new(BOUNDS, SEED);
    let taken = (0..1_000).filter(|_| idle.offer(Party(1), 0, None, now).is_ok());
    assert_eq!(taken.count(), BOUNDS.waiting * 4 / 5);
}

#[test]
fn a_greedy_caller_does_not_keep_others_out_or_waiting() {
    let mut gate = Gate::new(BOUNDS, SEED);
    let mut served = IndexMap::<Party, u32>::new();
    let mut refused = 0;
    for step in 0..2_000 {
        let now = at(10 * step);
        while gate.offer(Party(0), step, None, now).is_ok() {}
        if step % 10 == 0 {
            for party in 1..=4 {
                refused += u32::from(gate.offer(Party(party), step, None, now).is_err());
            }
        }
        if let Some(taken) = gate.take(now) {
            *served.entry(taken.party).or_default() += 1;
            let waited = step - taken.work;
            assert!(taken.party == Party(0) || waited <= 10, "{waited}");
        }
    }
    assert_eq!(refused, 0);
    for party in 1..=4 {
        assert!(served[&Party(party)] >= 199, "{served:?}");
    }
}

#[test]
fn what_waited_past_its_deadline_is_given_out_as_late() {
    let mut gate = Gate::new(BOUNDS, SEED);
    gate.offer(Party(1), 0, Some(at(10)), at(0)).unwrap();
    gate.offer(Party(1), 1, Some(at(30)), at(0)).unwrap();
    let late: Vec<bool> = std::iter::from_fn(|| gate.take(at(20)))
        .map(|taken| taken.late)
        .collect();
    assert_eq!(late, [true, false]);
}

#[test]
fn refused_callers_are_told_times_that_spread_them() {
    let (mut gate, now) = paced(Party(1), 50);
    while gate.offer(Party(1), 0, None, now).is_ok() {}
    let times: Vec<u64> = (0..400)
        .filter_map(|_| gate.offer(Party(1), 0, None, now).err())
        .map(|turned| turned.retry_after.as_millis())
        .collect();
    let (least, most) = (times.iter().min(), times.iter().max());
    assert!(least >= Some(&500), "{least:?}");
    assert!(
        most >= least.map(|least| least * 3 / 2).as_ref(),
        "{most:?}"
    );
    let distinct: std::collections::BTreeSet<_> = times.iter().collect();
    assert!(distinct.len() > 200, "{}", distinct.len());
}
