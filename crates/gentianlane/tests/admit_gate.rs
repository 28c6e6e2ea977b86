//! What the admission queue accepts and rejects, and its retry delays.

use gentianlane::admit::{Bounds, Queue, Requester};
use gentianlane::unit::{Span, Time};
use gentianlane::verdict::Reason;
use indexmap::IndexMap;

const SEED: u64 = 11;

const BOUNDS: Bounds = Bounds {
    max_waiting: 200,
    max_wait: Span::from_millis(1_000),
    min_retry_after: Span::from_millis(500),
};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A queue that has started one item every 10 ms, with `requester`'s items
/// waiting.
fn paced(requester: Requester, waiting: usize) -> (Queue<u64>, Time) {
    let mut queue = Queue::new(BOUNDS, SEED);
    let mut now = at(0);
    for step in 0..400 {
        now = at(10 * step);
        while queue.waiting() <= waiting {
            queue
                .enqueue(requester, step, None, now)
                .unwrap_or_default();
        }
        queue.dequeue(now);
    }
    (queue, now)
}

#[test]
fn what_cannot_start_before_its_deadline_is_refused_at_once() {
    let (mut queue, now) = paced(Requester(1), 50);
    let rejection = queue.enqueue(
        Requester(1),
        0,
        Some(now.after(Span::from_millis(300))),
        now,
    );
    assert_eq!(
        rejection.map_err(|rejection| rejection.reason),
        Err(Reason::Deadline)
    );
    let accepted = queue.enqueue(
        Requester(1),
        0,
        Some(now.after(Span::from_millis(700))),
        now,
    );
    assert_eq!(accepted, Ok(()));
}

#[test]
fn the_queue_is_bounded_by_the_time_it_takes_and_by_length() {
    let (mut queue, now) = paced(Requester(1), 50);
    let accepted =
        (0..1_000).filter(|_| queue.enqueue(Requester(1), 0, None, now).is_ok());
    let accepted = accepted.count();
    assert!((35..=60).contains(&accepted), "{accepted}");
    let mut idle = Queue::new(BOUNDS, SEED);
    let accepted =
        (0..1_000).filter(|_| idle.enqueue(Requester(1), 0, None, now).is_ok());
    assert_eq!(accepted.count(), BOUNDS.max_waiting * 4 / 5);
}

#[test]
fn a_greedy_caller_does_not_keep_others_out_or_waiting() {
    let mut queue = Queue::new(BOUNDS, SEED);
    let mut served = IndexMap::<Requester, u32>::new();
    let mut refused = 0;
    for step in 0..2_000 {
        let now = at(10 * step);
        while queue.enqueue(Requester(0), step, None, now).is_ok() {}
        if step % 10 == 0 {
            for requester in 1..=4 {
                refused += u32::from(
                    queue
                        .enqueue(Requester(requester), step, None, now)
                        .is_err(),
                );
            }
        }
        if let Some(item) = queue.dequeue(now) {
            *served.entry(item.requester).or_default() += 1;
            let waited = step - item.work;
            assert!(item.requester == Requester(0) || waited <= 10, "{waited}");
        }
    }
    assert_eq!(refused, 0);
    for requester in 1..=4 {
        assert!(served[&Requester(requester)] >= 199, "{served:?}");
    }
}

#[test]
fn what_waited_past_its_deadline_is_given_out_as_late() {
    let mut queue = Queue::new(BOUNDS, SEED);
    queue.enqueue(Requester(1), 0, Some(at(10)), at(0)).unwrap();
    queue.enqueue(Requester(1), 1, Some(at(30)), at(0)).unwrap();
    let late: Vec<bool> = std::iter::from_fn(|| queue.dequeue(at(20)))
        .map(|item| item.expired)
        .collect();
    assert_eq!(late, [true, false]);
}

#[test]
fn refused_callers_are_told_times_that_spread_them() {
    let (mut queue, now) = paced(Requester(1), 50);
    while queue.enqueue(Requester(1), 0, None, now).is_ok() {}
    let times: Vec<u64> = (0..400)
        .filter_map(|_| queue.enqueue(Requester(1), 0, None, now).err())
        .map(|rejection| rejection.retry_after.as_millis())
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
