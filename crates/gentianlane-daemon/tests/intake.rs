//! The account of what connections hold: who gets memory, who waits and who has to end.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]

#[path = "../src/fleet"]
mod fleet {
    #[allow(
        dead_code,
        reason = "the tests count no events but those of the account"
    )]
    pub(crate) mod intake;
}

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::thread;
use std::time::Duration;

use fleet::intake::{
    CONNECTION_SIZE, Connection, Event, Evicted, Eviction, Group, Intake,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

const CALLERS: Group = Group(0);
const OTHERS: Group = Group(1);

/// More than the time after which a request counts as stalled.
const STALLED: Duration = Duration::from_millis(1_100);

/// Counts how often a task is woken.
#[derive(Default)]
struct Task(AtomicU32);

impl Wake for Task {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

fn take(connection: &Connection, bytes: usize) -> Poll<Result<(), Evicted>> {
    connection.poll_take(&mut Context::from_waker(Waker::noop()), bytes)
}

fn evicted(connection: &Connection) -> Poll<Eviction> {
    connection.poll_evicted(&mut Context::from_waker(Waker::noop()))
}

/// A connection with a body in arrival.
fn arriving(intake: &Intake) -> Connection {
    let connection = intake.open(CALLERS);
    connection.receive();
    connection.receive_head();
    connection
}

/// An account with room for so many connections and as many bytes.
fn account(connections: usize, bytes: usize) -> Intake {
    Intake::new(connections * CONNECTION_SIZE + bytes)
}

#[test]
fn the_bound_is_an_eighth_of_the_memory_and_never_too_little_for_one_request() {
    assert_eq!(Intake::of_memory(256 << 20).limit(), 32 << 20);
    assert_eq!(Intake::of_memory(1 << 20).limit(), 5 << 20);
}

#[test]
fn the_request_longest_in_arrival_is_refused_first() {
    let intake = account(3, 100);
    let first = arriving(&intake);
    let second = arriving(&intake);
    assert_eq!(take(&second, 60), Poll::Ready(Ok(())));
    assert_eq!(take(&first, 40), Poll::Ready(Ok(())));
    let newcomer = arriving(&intake);
    assert_eq!(take(&newcomer, 10), Poll::Pending);
    assert_eq!(evicted(&first), Poll::Ready(Eviction::Refuse));
    assert!(evicted(&second).is_pending());
    assert!(evicted(&newcomer).is_pending());
    assert_eq!(intake.take_tally(Event::Refused), 1);
    first.give(40);
    assert_eq!(take(&newcomer, 10), Poll::Ready(Ok(())));
}

#[test]
fn a_refused_request_isnt_handled_and_a_handled_one_isnt_refused() {
    let intake = account(2, 10);
    let refused = arriving(&intake);
    let handled = arriving(&intake);
    assert_eq!(handled.begin(), Ok(()));
    assert_eq!(take(&handled, 11), Poll::Pending);
    assert_eq!(evicted(&refused), Poll::Ready(Eviction::Refuse));
    assert_eq!(refused.begin(), Err(Evicted));
    drop(refused);
    assert_eq!(take(&handled, 11), Poll::Ready(Ok(())));
    let newcomer = intake.open(CALLERS);
    assert!(evicted(&handled).is_pending());
    drop(newcomer);
}

#[test]
fn stalled_connections_end_before_idle_ones_and_these_before_fresh_ones() {
    let intake = account(3, 0);
    let idle = intake.open(CALLERS);
    idle.receive();
    idle.receive_head();
    idle.begin().unwrap();
    idle.answer(0);
    idle.depart(0);
    let stalled = intake.open(CALLERS);
    thread::sleep(STALLED);
    let fresh = arriving(&intake);
    let _newcomer = intake.open(CALLERS);
    assert_eq!(evicted(&stalled), Poll::Ready(Eviction::Close));
    assert!(evicted(&idle).is_pending());
    drop(stalled);
    let _another = intake.open(CALLERS);
    assert_eq!(evicted(&idle), Poll::Ready(Eviction::Close));
    assert!(evicted(&fresh).is_pending());
}

#[test]
fn an_answer_counts_until_it_is_written_and_its_connection_ends_with_it() {
    let intake = account(2, 50);
    let reader = arriving(&intake);
    reader.begin().unwrap();
    reader.answer(50);
    assert_eq!(intake.held(), 2 * CONNECTION_SIZE + 50 - CONNECTION_SIZE);
    let other = arriving(&intake);
    assert_eq!(take(&other, 10), Poll::Pending);
    assert_eq!(evicted(&reader), Poll::Ready(Eviction::Close));
    assert_eq!(intake.take_tally(Event::ClosedForMemory), 1);
    reader.depart(50);
    drop(reader);
    assert_eq!(take(&other, 10), Poll::Ready(Ok(())));
}

#[test]
fn a_connection_that_waits_is_woken_when_memory_is_given_back() {
    let intake = account(2, 10);
    let handled = arriving(&intake);
    handled.begin().unwrap();
    let waiting = arriving(&intake);
    waiting.begin().unwrap();
    let task = Arc::new(Task::default());
    let waker = Waker::from(Arc::clone(&task));
    let taken = waiting.poll_take(&mut Context::from_waker(&waker), 20);
    assert!(taken.is_pending());
    assert_eq!(task.0.load(Ordering::Relaxed), 0);
    drop(handled);
    assert_eq!(task.0.load(Ordering::Relaxed), 1);
    assert_eq!(take(&waiting, 20), Poll::Ready(Ok(())));
}

#[test]
fn a_group_at_its_limit_ends_one_of_its_own_and_none_that_is_handled() {
    let intake = account(8, 0);
    let other = intake.open(OTHERS);
    let handled = arriving(&intake);
    handled.begin().unwrap();
    assert!(!intake.evict_from(CALLERS));
    let silent = intake.open(CALLERS);
    assert!(intake.evict_from(CALLERS));
    assert_eq!(evicted(&silent), Poll::Ready(Eviction::Close));
    // It is about to end, so that no other one has to.
    let next = intake.open(CALLERS);
    assert!(intake.evict_from(CALLERS));
    assert!(evicted(&next).is_pending());
    assert!(evicted(&other).is_pending());
    assert_eq!(intake.take_tally(Event::ClosedForNumber), 1);
}

/// One step of some connection.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Arrive(usize),
    Take(usize, usize),
    Begin(usize),
    Answer(usize, usize),
    Close(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (at, bytes) = (usize::arbitrary(g), usize::arbitrary(g) % 5_000);
        match u8::arbitrary(g) % 6 {
            0 => Self::Open,
            1 => Self::Arrive(at),
            2 => Self::Take(at, bytes),
            3 => Self::Begin(at),
            4 => Self::Answer(at, bytes),
            _ => Self::Close(at),
        }
    }
}

quickcheck! {
    /// Whatever connections do, taking keeps within the bound, and all is given back.
    fn what_is_taken_keeps_within_the_bound_and_is_given_back(steps: Vec<Step>) -> bool {
        let intake = account(4, 10_000);
        let mut open: Vec<Connection> = Vec::new();
        for step in steps {
            let count = open.len().max(1);
            match step {
                Step::Open => open.push(intake.open(CALLERS)),
                Step::Arrive(at) => {
                    if let Some(connection) = open.get(at % count) {
                        connection.receive();
                        connection.receive_head();
                    }
                }
                Step::Take(at, bytes) => {
                    if let Some(connection) = open.get(at % count)
                        && take(connection, bytes) == Poll::Ready(Ok(()))
                        && intake.held() > intake.limit()
                    {
                        return false;
                    }
                }
                Step::Begin(at) => {
                    if let Some(connection) = open.get(at % count) {
                        let leaves = evicted(connection).is_ready();
                        if connection.begin().is_ok() == leaves {
                            return false;
                        }
                    }
                }
                Step::Answer(at, bytes) => {
                    if let Some(connection) = open.get(at % count) {
                        connection.answer(bytes);
                        connection.depart(bytes);
                    }
                }
                Step::Close(at) => {
                    if at % count < open.len() {
                        open.swap_remove(at % count);
                    }
                }
            }
        }
        drop(open);
        intake.held() == 0
    }
}
