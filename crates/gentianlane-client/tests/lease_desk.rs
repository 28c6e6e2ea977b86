//! The worker's rules: tokens, leases and results.

use gentianlane::api::{Ending, Lease, Order};
use gentianlane::id::{Attempt, Incarnation, Job, Task, Token, Worker};
use gentianlane::unit::{Size, Span, Time};
use gentianlane_client::simulated::State;

const SPAN: Span = Span::from_millis(1_000);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn token(attempt: u64) -> Token {
    let task = Task {
        job: Job(7),
        rank: 0,
    };
    let attempt = Attempt(attempt);
    Token { task, attempt }
}

fn start(attempt: u64) -> Lease {
    lease(vec![Order::Start {
        token: token(attempt),
        workload: "w".into(),
        payload: "sleep=100 out".to_owned(),
        size: Size::default(),
        count: 1,
        trace: None,
    }])
}

fn stop(attempt: u64) -> Lease {
    lease(vec![Order::Stop {
        token: token(attempt),
    }])
}

fn lease(orders: Vec<Order>) -> Lease {
    Lease {
        span: SPAN,
        orders,
        resend: false,
    }
}

fn state() -> State {
    State::new(Worker::from("w"), Incarnation(1))
}

fn endings(state: &State) -> Vec<Ending> {
    state.results().iter().map(|finish| finish.ending).collect()
}

#[test]
fn a_lower_token_is_refused() {
    let mut state = state();
    assert_eq!(state.handle_lease(start(2), at(0), at(10)).len(), 1);
    state.tick(at(200));
    assert!(state.handle_lease(start(1), at(200), at(210)).is_empty());
    assert_eq!(state.runs().count(), 0);
}

#[test]
fn a_token_starts_once_also_after_its_result_is_durable() {
    let mut state = state();
    assert_eq!(state.handle_lease(start(1), at(0), at(10)).len(), 1);
    assert!(state.handle_lease(start(1), at(20), at(30)).is_empty());
    state.tick(at(200));
    state.acknowledge(&token(1), at(210));
    state.tick(at(900));
    assert!(state.handle_lease(start(1), at(205), at(910)).is_empty());
}

#[test]
fn a_task_that_was_stopped_before_it_came_never_begins() {
    let mut state = state();
    state.handle_lease(stop(1), at(0), at(10));
    assert_eq!(endings(&state), [Ending::NeverBegan]);
    assert!(state.handle_lease(start(1), at(20), at(30)).is_empty());
}

#[test]
fn an_order_whose_lease_has_ended_is_ignored_under_a_newer_lease() {
    let mut state = state();
    state.handle_lease(lease(Vec::new()), at(900), at(910));
    assert!(state.handle_lease(start(1), at(0), at(1_000)).is_empty());
    assert_eq!(state.handle_lease(start(1), at(1), at(1_000)).len(), 1);
}

#[test]
fn the_lease_counts_from_when_the_renewal_was_sent() {
    let mut state = state();
    state.handle_lease(start(1), at(0), at(950));
    assert!(state.has_lease(at(999)));
    assert!(!state.has_lease(at(1_000)));
    state.tick(at(1_000));
    assert_eq!(endings(&state), [Ending::Stopped]);
}

#[test]
fn a_run_that_outlived_its_lease_ends_before_a_new_lease_counts() {
    let mut state = state();
    state.handle_lease(start(1), at(0), at(10));
    state.handle_lease(lease(Vec::new()), at(5_000), at(5_010));
    assert_eq!(state.runs().count(), 0);
    assert_eq!(endings(&state), [Ending::Stopped]);
}

#[test]
fn an_answer_to_an_older_renewal_does_not_shorten_the_lease() {
    let mut state = state();
    state.handle_lease(lease(Vec::new()), at(800), at(810));
    state.handle_lease(lease(Vec::new()), at(10), at(820));
    assert!(state.has_lease(at(1_799)));
}

#[test]
fn results_are_kept_until_acknowledged_and_tokens_until_no_order_counts() {
    let mut state = state();
    state.handle_lease(start(1), at(0), at(10));
    state.tick(at(150));
    assert_eq!(state.tokens(), [token(1)]);
    assert_eq!(endings(&state), [Ending::Done]);
    state.acknowledge(&token(1), at(160));
    assert!(state.results().is_empty());
    state.tick(at(1_160));
    assert_eq!(state.remembered_tasks(), 1);
    state.tick(at(1_161));
    assert_eq!(state.remembered_tasks(), 0);
}
