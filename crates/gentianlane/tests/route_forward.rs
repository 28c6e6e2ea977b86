//! A call whose way to the leader breaks at every hop in turn.

use gentianlane::admit::Budget;
use gentianlane::api::{Call, Refusal, Reply, Submit, Wait};
use gentianlane::id;
use gentianlane::route::{Forward, LinkError, Next};
use gentianlane::unit::{Span, Time, Wall};
use gentianlane::verdict::{Reason, Verdict};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 5;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn key() -> id::Key {
    id::Key::new(Wall::from_millis(1_800_000_000_000), &[1; 10])
}

fn submit() -> Call {
    Call::Submit(Submit {
        key: key(),
        team: "town".into(),
        workload: "notice".into(),
        payload: String::new(),
        count: None,
        deadline: Some(Span::from_millis(1_000)),
        trace: None,
        hold: Span::from_millis(400),
    })
}

fn wait() -> Call {
    let hold = Span::ZERO;
    Call::Wait(Wait { key: key(), hold })
}

fn no_quorum() -> Reply {
    Reply::Refused(Refusal::not_run(Reason::NoQuorum, ""))
}

/// The outcome of a call that hears the same until it is given up.
fn given_up(call: Call, heard: &Result<Reply, LinkError>) -> Refusal {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut budget = Budget::new(1_000);
    let mut forward = Forward::new(call, at(0));
    let mut now = at(0);
    loop {
        match forward.handle_reply(heard.clone(), now, &mut budget, &mut random) {
            Next::Retry(pause) => now = now.after(pause),
            Next::Reply(Reply::Refused(refusal)) => return refusal,
            Next::Reply(other) => unreachable!("{other:?}"),
        }
    }
}

#[test]
fn a_request_is_never_called_not_run_because_its_way_broke() {
    for call in [submit(), wait()] {
        for heard in [
            Err(LinkError::Unreachable),
            Err(LinkError::ReplyLost),
            Ok(no_quorum()),
        ] {
            let refusal = given_up(call.clone(), &heard);
            assert_eq!(refusal.outcome.verdict, Verdict::MayHaveRun, "{heard:?}");
            assert!(refusal.outcome.retry_after.is_some());
        }
    }
}

#[test]
fn a_lost_reply_is_asked_for_again_under_the_same_key() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut budget = Budget::new(10);
    let mut forward = Forward::new(submit(), at(0));
    let next = forward.handle_reply(
        Err(LinkError::ReplyLost),
        at(100),
        &mut budget,
        &mut random,
    );
    assert!(matches!(next, Next::Retry(_)));
    let Call::Submit(again) = forward.current_call(at(150)) else {
        unreachable!();
    };
    assert_eq!(again.key, key());
    assert_eq!(again.deadline, Some(Span::from_millis(850)));
    assert_eq!(again.hold, Span::from_millis(250));
    let reply = Reply::Done;
    let next = forward.handle_reply(Ok(reply.clone()), at(200), &mut budget, &mut random);
    assert_eq!(next, Next::Reply(reply));
}

#[test]
fn the_time_left_never_grows_at_a_hop() {
    let forward = Forward::new(submit(), at(0));
    let Call::Submit(late) = forward.current_call(at(5_000)) else {
        unreachable!();
    };
    assert_eq!(late.deadline, Some(Span::ZERO));
    assert_eq!(late.hold, Span::ZERO);
}

#[test]
fn lost_replies_are_asked_for_only_within_the_budget() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut budget = Budget::new(7);
    let mut again = 0;
    for _ in 0..1_000 {
        let mut forward = Forward::new(submit(), at(0));
        let next = forward.handle_reply(
            Err(LinkError::ReplyLost),
            at(0),
            &mut budget,
            &mut random,
        );
        again += u32::from(matches!(next, Next::Retry(_)));
    }
    assert_eq!(again, 7);
}
