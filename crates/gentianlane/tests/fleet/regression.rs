//! Single failures that random histories found once, each set up without chance.

use gentianlane::fleet::dispatch::{Dispatcher, Setup};
use gentianlane::fleet::job::{Id, Resources};
use gentianlane::fleet::order::{Action, Answer, CallId, Order, Status};
use gentianlane::fleet::{Command, State};
use gentianlane::unit::{Span, Time, Wall};

use super::simulated_worker::{Worker, job};
use super::world::plan;

/// A leader's dispatcher with one worker, `w0`.
struct Leader {
    state: State,
    dispatcher: Dispatcher,
    now: Time,
    worker: Worker,
}

impl Leader {
    fn new(term: u64) -> Self {
        let now = Time::from_millis(10_000);
        let worker = new_worker();
        let mut state = State::default();
        state.apply(Command::Plan(Box::new(plan(1, false))));
        state.apply(Command::Join {
            incarnation: worker.incarnation.clone(),
            profile: worker.profile.clone(),
        });
        let dispatcher = Dispatcher::new(&state, term, Setup::default(), now, wall());
        Self {
            state,
            dispatcher,
            now,
            worker,
        }
    }

    /// The orders that the dispatcher makes after some milliseconds.
    fn orders(&mut self, after: u64) -> Vec<Order> {
        self.now = self.now.after(Span::from_millis(after));
        self.dispatcher.tick(&self.state, self.now, wall());
        self.dispatcher.take_effects().orders
    }

    fn answer(&mut self, id: CallId, answer: Answer) {
        let state = &self.state;
        self.dispatcher
            .handle_answer(state, id, answer, self.now, wall());
    }

    /// Answers a renewal with the worker's status.
    fn answer_status(&mut self, id: CallId) {
        let status = Status {
            started_at: Some(self.worker.incarnation.started_at),
            clock: self.now.as_millis(),
            running: Vec::new(),
            ended: Vec::new(),
        };
        self.answer(id, Answer::Status(status));
    }

    fn submit(&mut self, job_id: u64) {
        let events = self.state.apply(Command::Submit {
            at: wall(),
            job: Id(job_id),
            queue: "queue".to_owned(),
            spec: Box::new(job(1, 500)),
        });
        for event in events {
            let state = &self.state;
            self.dispatcher
                .handle_event(state, &event, self.now, wall());
        }
    }
}

fn wall() -> Wall {
    Wall::from_millis(1_000_000)
}

/// An incarnation of `w0` that has just started.
fn new_worker() -> Worker {
    let capacity = Resources {
        millicores: 4_000,
        memory_mib: 4_000,
        accelerators: 0,
    };
    Worker::new("w0", 1_000, capacity, 0)
}

fn is_start(order: &Order) -> bool {
    matches!(order.action, Action::Start(_))
}

/// A leader that has sent the start of a job, and all its orders.
fn leader_with_start(term: u64, job: u64) -> (Leader, Vec<Order>) {
    let mut leader = Leader::new(term);
    let mut orders = leader.orders(0);
    for renewal in &orders {
        leader.answer_status(renewal.id);
    }
    leader.submit(job);
    orders.extend(leader.orders(50));
    assert!(orders.iter().any(is_start), "{orders:?}");
    (leader, orders)
}

/// The answer to an order of an earlier term counted as that to a present start.
#[test]
fn an_answer_to_an_order_of_an_earlier_term_confirms_no_start() {
    let (_, earlier) = leader_with_start(1, 7);
    let (mut leader, orders) = leader_with_start(2, 8);
    let clock = leader.now.as_millis();
    for order in earlier {
        leader.answer(order.id, Answer::Done { clock });
    }
    assert!(!leader.dispatcher.has_started(&Id(8)), "an earlier answer");
    for order in orders {
        leader.answer(order.id, Answer::Done { clock });
    }
    assert!(leader.dispatcher.has_started(&Id(8)), "its own answer");
}
