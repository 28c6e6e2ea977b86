//! Loads of a large fleet: what a small one does a few at a time has to grow with the
//! number of workers.

use std::collections::{BTreeMap, BTreeSet};

use gentianlane::fleet::dispatch::{Dispatcher, Relay, Setup};
use gentianlane::fleet::job::{Id, Phase, Resources};
use gentianlane::fleet::order::{
    Action, AdviceRequest, AdviceResponse, Answer, CallId, Outcome, Status,
};
use gentianlane::fleet::plan::Plan;
use gentianlane::fleet::{Command, State};
use gentianlane::id;
use gentianlane::unit::{Span, Time, Wall};

use super::dispatch::{phase, slow_target, task, two_queues};
use super::simulated_worker::{Worker, job};
use super::world::{World, plan};

/// A burst of urgent jobs while tasks that save checkpoints hold all capacity.
#[test]
fn a_burst_of_urgent_work_stops_enough_work_at_once() {
    let mut world = World::new(160, 1).with_plan(two_queues(3));
    let mut held = job(2, 2_000);
    held.steps[0].checkpoints = true;
    held.steps[0].estimate = Span::from_secs(20);
    for id in 100..260 {
        for index in 0..2 {
            let runs = vec![(20_000, Outcome::Done); 3];
            world.scripted_runs.insert(task(id, index), runs);
        }
        world.submit_at(slow_target(id), id, &held);
    }
    world.run(3_000);
    world.submit(8, &job(40, 2_000));
    // A wait before preemption, a stop and the run take about 600 ms; in rounds of
    // twelve it would be four times the first two.
    world.run(800);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
    let stopped = world.observed_runs.iter().filter(|observed| {
        let ended = observed.ended;
        ended.is_some_and(|(_, outcome)| outcome == Outcome::Stopped)
    });
    assert_eq!(stopped.count(), 40, "as many as there are urgent tasks");
}

/// Many tasks that need a whole worker each, while small ones take every gap.
#[test]
fn many_large_tasks_get_workers_kept_for_them_at_once() {
    let mut world = World::new(60, 1).with_plan(two_queues(3));
    let mut small = job(90, 2_000);
    small.steps[0].estimate = Span::from_secs(3);
    for id in 100..116 {
        for index in 0..90 {
            let length = 1_500 + (u64::from(index) * 613 + id * 97) % 3_000;
            let runs = vec![(length, Outcome::Done)];
            world.scripted_runs.insert(task(id, index), runs);
        }
        world.submit_at(slow_target(id), id, &small);
    }
    world.run(2_500);
    for id in 0..30 {
        let mut large = job(1, 4_000);
        large.steps[0].gang = true;
        large.steps[0].estimate = Span::from_secs(4);
        world.submit(40 + id, &large);
    }
    world.run(4_000);
    let large = world
        .observed_runs
        .iter()
        .filter(|observed| (40..70).contains(&observed.task.stage.job.0));
    let starts: Vec<u64> = large.map(|observed| observed.started_at).collect();
    let first = starts.iter().min().copied().unwrap_or_default();
    // With four reservations at a time these go to the same few workers in turn.
    let soon = starts.iter().filter(|&&start| start <= first + 1_700);
    assert_eq!(soon.count(), 30, "{starts:?}");
}

/// A dispatcher's state with this many registered workers.
fn fleet(workers: u16, plan: Plan) -> State {
    let mut state = State::default();
    state.apply(Command::Plan(Box::new(plan)));
    let capacity = Resources {
        millicores: 4_000,
        memory_mib: 4_000,
        accelerators: 0,
    };
    for at in 0..workers {
        let worker = Worker::new(&format!("w{at}"), 1_000 + at, capacity, 0);
        state.apply(Command::Join {
            incarnation: worker.incarnation,
            profile: worker.profile,
        });
    }
    state
}

/// A worker's status without runs, by its clock.
fn idle(clock: u64) -> Answer {
    Answer::Status(Status {
        started_at: Some(Wall::from_millis(1_000_000)),
        clock,
        running: Vec::new(),
        ended: Vec::new(),
        ends_cut: false,
    })
}

/// More workers than connections for delayed answers: no more renewals are under way
/// than may be, and every lease is renewed long before it ends.
#[test]
fn workers_beyond_the_limit_on_renewals_take_turns_within_their_leases() {
    const LIMIT: usize = 50;
    let wall = Wall::from_millis(1_000_000);
    let state = fleet(330, plan(1, false));
    let setup = Setup {
        renewal_limit: LIMIT,
        ..Setup::default()
    };
    let start = Time::from_millis(10_000);
    let mut dispatcher = Dispatcher::new(&state, 1, setup, start, wall);
    let mut pending: Vec<(Time, CallId)> = Vec::new();
    let mut renewed: BTreeMap<id::Worker, Time> = BTreeMap::new();
    for millis in (0..20_000).step_by(5) {
        let now = start.after(Span::from_millis(millis));
        let (answered, open): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|(at, _)| *at <= now);
        pending = open;
        for (_, call) in answered {
            dispatcher.handle_answer(&state, call, idle(20_000 + millis), now, wall);
        }
        dispatcher.tick(&state, now, wall);
        for order in dispatcher.take_effects().orders {
            let Action::Renew { wait, .. } = order.action else {
                panic!("nothing to start or stop: {order:?}");
            };
            // Nothing ends, so each worker delays its answer for as long as it may.
            pending.push((now.after(wait).after(Span::from_millis(4)), order.id));
            if let Some(last) = renewed.insert(order.worker.clone(), now) {
                let gap = now.since(last);
                assert!(gap < setup.lease, "{}: {gap:?} between two", order.worker);
            }
        }
        assert!(pending.len() <= LIMIT, "{} at {now}", pending.len());
    }
    assert_eq!(renewed.len(), 330);
    let late = |at: &&Time| start.after(Span::from_secs(20)).since(**at) >= setup.lease;
    assert_eq!(renewed.values().filter(late).count(), 0);
}

/// The advice requests of a step in a fleet of 200 workers, with this many relays,
/// and the orders to start once the first is answered. The adviser takes as long as
/// that of a queue whose tasks take a whole worker: 0.56 s and 8 ms a worker.
fn advice_requests(relays: Relay) -> (Vec<(Relay, AdviceRequest)>, usize) {
    let (now, wall) = (Time::from_millis(10_000), Wall::from_millis(1_000_000));
    let mut plan = plan(1, true);
    for queue in plan.queues.values_mut() {
        if let Some(advice) = &mut queue.advice {
            advice.base = Span::from_millis(560);
            advice.per_worker_micros = 8_000;
        }
    }
    let mut state = fleet(200, plan);
    let mut dispatcher = Dispatcher::new(&state, 1, Setup::default(), now, wall);
    for relay in 0..relays {
        dispatcher.add_relay(relay);
    }
    dispatcher.tick(&state, now, wall);
    for order in dispatcher.take_effects().orders {
        dispatcher.handle_answer(&state, order.id, idle(20_000), now, wall);
    }
    for event in state.apply(Command::Submit {
        job: Id(7),
        queue: "queue".to_owned(),
        spec: Box::new(job(8, 4_000)),
        at: wall,
    }) {
        dispatcher.handle_event(&state, &event, now, wall);
    }
    dispatcher.tick(&state, now, wall);
    let requests = dispatcher.take_effects().advice_requests;
    let (relay, first) = requests[0].clone();
    let eligible = first.workers.iter().step_by(4);
    let response = AdviceResponse {
        id: first.id,
        eligible: Some(
            eligible
                .map(|it| (it.clone(), "ticket".to_owned()))
                .collect(),
        ),
    };
    let now = now.after(Span::from_millis(900));
    dispatcher.handle_advice(relay, response, now);
    dispatcher.tick(&state, now, wall);
    let orders = dispatcher.take_effects().orders;
    let starts = orders
        .iter()
        .filter(|order| matches!(order.action, Action::Start(_)));
    (requests, starts.count())
}

/// An adviser that takes 1.4 s for a hundred workers, of which a quarter is eligible.
#[test]
fn slow_advice_is_asked_for_in_parts_while_relays_are_idle() {
    let (requests, starts) = advice_requests(12);
    let relays: BTreeSet<Relay> = requests.iter().map(|(relay, _)| *relay).collect();
    assert_eq!((requests.len(), relays.len()), (3, 3));
    let workers = || requests.iter().flat_map(|(_, request)| &request.workers);
    let different: BTreeSet<&id::Worker> = workers().collect();
    assert_eq!((workers().count(), different.len()), (100, 100));
    assert!(
        requests
            .iter()
            .all(|(_, request)| request.workers.len() <= 34)
    );
    assert_eq!(starts, 8, "the first answer is enough to start all tasks");
    let (requests, _) = advice_requests(2);
    assert_eq!(requests.len(), 1, "half of the relays remain for others");
    assert_eq!(requests[0].1.workers.len(), 100);
}
