//! Reports that aren't those of the worker that they name. They cost nothing but
//! themselves; the oracle fails on a second run beside the first.

use gentianlane::fleet::call::{Call, Refusal, Reply};
use gentianlane::fleet::decision::{Cause, Decision};
use gentianlane::fleet::dispatch::{Dispatcher, Reception, Setup, Verdict};
use gentianlane::fleet::job::{Phase, Resources};
use gentianlane::fleet::order::{Action, Answer, Order, Outcome};
use gentianlane::fleet::worker::{Profile, Report};
use gentianlane::fleet::{Command, State, Ticket};
use gentianlane::unit::{Span, Time, Wall};

use super::dispatch::{phase, task};
use super::simulated_worker::{Worker, job};
use super::world::{World, plan};

/// How long the task of [`world_at_work`] runs, in milliseconds.
const RUN_MS: u64 = 20_000;

/// A world in which `w0`, the only worker, runs the only task of job 7.
fn world_at_work(workers: u16) -> World {
    let mut world = World::new(workers, 1).with_plan(plan(1, false));
    world.run(500);
    let runs = vec![(RUN_MS, Outcome::Done); 4];
    world.scripted_runs.insert(task(7, 0), runs);
    world.submit(7, &job(1, 500));
    world.run(500);
    assert_eq!(world.starts(&task(7, 0)), 1);
    world
}

/// Where the first task of job 7 runs.
fn place(world: &World) -> usize {
    let name = &world.observed_runs[0].worker;
    let mut workers = world.workers.iter();
    let at = workers.position(|worker| worker.incarnation.worker == *name);
    at.unwrap_or(0)
}

/// A report like that of a worker, but for what `change` makes of it.
fn foreign(world: &World, at: usize, change: impl Fn(&mut Report)) -> Report {
    let mut report = world.workers[at].clone().report();
    report.sequence += 1_000;
    change(&mut report);
    report
}

/// Sends a report and returns its reply.
fn send(world: &mut World, report: Report) -> Option<Reply> {
    let ticket = world.call(Call::Report(report));
    world.run(1_000);
    world.replies.get(&ticket).cloned()
}

fn later(wall: Wall) -> Wall {
    wall.after(Span::from_millis(5_000))
}

/// Checks that job 7 completes with its first run, and that its worker is used again.
fn assert_unharmed(world: &mut World, what: &str) {
    world.run(RUN_MS);
    assert_eq!(phase(world, 7), Some(Phase::Completed), "{what}");
    assert_eq!(world.starts(&task(7, 0)), 1, "{what}");
    let at = place(world);
    let worker = world.workers[at].incarnation.worker.clone();
    let count = world.workers.len() as u32;
    world.submit(8, &job(count, 4_000));
    world.run(2_000);
    assert_eq!(phase(world, 8), Some(Phase::Completed), "{what}");
    let mut runs = world.observed_runs.iter().skip(1);
    assert!(runs.any(|run| run.worker == worker), "{what}");
}

/// A report at the address of a worker had that worker's tasks started elsewhere, as if
/// it had ended.
#[test]
fn a_report_of_another_name_at_a_workers_address_ends_nothing() {
    let pools = ["pool", "mailer"];
    for pool in pools {
        let mut world = world_at_work(2);
        let at = place(&world);
        let report = foreign(&world, at, |report| {
            report.incarnation.worker = "other".into();
            report.incarnation.started_at = later(report.incarnation.started_at);
            pool.clone_into(&mut report.profile.pool);
        });
        let reply = send(&mut world, report);
        assert!(
            matches!(
                reply,
                Some(Reply::Refused {
                    reason: Refusal::Unverified,
                    ..
                })
            ),
            "{reply:?}"
        );
        assert_unharmed(&mut world, pool);
    }
}

/// A report with the name of a worker and a later start time displaced it for good: its
/// runs lapsed, and its own reports were ignored as those of an earlier incarnation.
#[test]
fn a_report_with_a_workers_name_and_another_start_time_displaces_nothing() {
    type Change = fn(&mut Report);
    let changes: [(&str, Change); 5] = [
        ("later", |report| {
            report.incarnation.started_at = later(report.incarnation.started_at);
        }),
        ("latest", |report| {
            report.incarnation.started_at = Wall::from_millis(u64::MAX);
        }),
        ("none", |report| {
            report.incarnation.started_at = Wall::default();
        }),
        ("elsewhere", |report| {
            report.incarnation.started_at = later(report.incarnation.started_at);
            report.profile.address = ([127, 0, 0, 1], 9).into();
        }),
        ("draining", |report| {
            report.incarnation.started_at = later(report.incarnation.started_at);
            report.draining = true;
        }),
    ];
    for (what, change) in changes {
        let mut world = world_at_work(1);
        let report = foreign(&world, 0, change);
        send(&mut world, report);
        assert_unharmed(&mut world, what);
    }
}

/// A report of a registered incarnation with another address or an unknown pool changed
/// where its orders went, or for which queues it worked.
#[test]
fn a_report_with_another_address_or_an_unknown_pool_changes_no_profile() {
    type Change = fn(&mut Profile);
    let changes: [(&str, Change); 2] = [
        ("address", |profile| {
            profile.address = ([127, 0, 0, 1], 9).into();
        }),
        ("pool", |profile| {
            "mailer".clone_into(&mut profile.pool);
        }),
    ];
    for (what, change) in changes {
        let mut world = world_at_work(1);
        let report = foreign(&world, 0, |report| change(&mut report.profile));
        send(&mut world, report);
        assert_unharmed(&mut world, what);
    }
}

/// A report that was on its way when its sender's address went to another worker.
#[test]
fn a_late_report_of_an_earlier_worker_at_the_address_displaces_nothing() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.run(500);
    let late = foreign(&world, 0, |_| {});
    world.renames = true;
    world.crash_for(0, 20);
    world.run(10_000);
    let runs = vec![(3_000, Outcome::Done)];
    world.scripted_runs.insert(task(7, 0), runs);
    world.submit(7, &job(1, 500));
    world.run(500);
    send(&mut world, late);
    world.run(4_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
    assert_eq!(world.starts(&task(7, 0)), 1);
}

/// What a report claims got into the log, and the next leader waited for a worker that
/// doesn't exist.
#[test]
fn a_false_report_leaves_nothing_to_the_next_leader() {
    let mut world = world_at_work(2);
    for at in 0..50 {
        let report = foreign(&world, 0, |report| {
            report.incarnation.worker = format!("other-{at}").as_str().into();
            report.profile.address = ([127, 0, 0, 1], 20_000 + at).into();
        });
        world.call(Call::Report(report));
    }
    world.run(1_000);
    let leader = world.leader().unwrap_or(0);
    world.kill(leader);
    while world.leader().is_none() {
        world.run(1);
    }
    let elected = world.now;
    world.submit(8, &job(1, 500));
    world.run(1_000);
    assert_eq!(phase(&mut world, 8), Some(Phase::Completed));
    let mut runs = world.observed_runs.iter();
    let start = runs.find(|run| run.task == task(8, 0));
    let waited = start.map(|run| run.started_at - elected);
    // The latency target of the plan's queue.
    assert!(waited.is_some_and(|waited| waited <= 250), "{waited:?}");
    let next = world.leader().unwrap_or(0);
    let node = world.cores[next].node.as_ref();
    assert_eq!(node.map(|node| node.state().workers().count()), Some(2));
}

/// A worker whose clock had gone back while it was restarted was ignored.
#[test]
fn a_worker_that_restarts_with_an_earlier_start_time_is_registered() {
    let mut world = World::new(1, 1).with_plan(plan(1, false));
    world.run(3_000);
    world.crash("w0");
    world.restart_worker("w0");
    world.workers[0].incarnation.started_at = Wall::from_millis(1_000);
    world.run(8_000);
    world.submit(7, &job(1, 500));
    world.run(1_000);
    assert_eq!(phase(&mut world, 7), Some(Phase::Completed));
}

/// A leader whose log has a false registration of `w0`, as earlier versions accepted it.
struct Leader {
    state: State,
    dispatcher: Dispatcher,
    worker: Worker,
    now: Time,
}

fn wall() -> Wall {
    Wall::from_millis(1_000_000)
}

impl Leader {
    fn with_false_registration(change: impl Fn(&mut Command)) -> Self {
        let capacity = Resources {
            millicores: 4_000,
            memory_mib: 4_000,
            accelerators: 0,
        };
        let worker = Worker::new("w0", 1_000, capacity, 0);
        let mut state = State::default();
        state.apply(Command::Plan(Box::new(plan(1, false))));
        let mut join = Command::Join {
            incarnation: worker.incarnation.clone(),
            profile: worker.profile.clone(),
        };
        state.apply(join.clone());
        change(&mut join);
        state.apply(join);
        let now = Time::from_millis(10_000);
        let dispatcher = Dispatcher::new(&state, 3, Setup::default(), now, wall());
        Self {
            state,
            dispatcher,
            worker,
            now,
        }
    }

    /// Passes time, has the worker answer what is sent to it, and applies what is
    /// proposed.
    fn run(&mut self, millis: u64) -> Vec<Verdict> {
        self.now = self.now.after(Span::from_millis(millis));
        self.dispatcher.tick(&self.state, self.now, wall());
        let effects = self.dispatcher.take_effects();
        for order in effects.orders {
            let answer = self.answer(&order);
            let (state, now) = (&self.state, self.now);
            self.dispatcher
                .handle_answer(state, order.id, answer, now, wall());
        }
        for command in effects.commands {
            self.apply(command);
        }
        effects.verdicts
    }

    fn answer(&mut self, order: &Order) -> Answer {
        let unused = |_: &_| (Resources::default(), None, Outcome::Done);
        match order.address == self.worker.profile.address {
            true => {
                let now = self.now.as_millis();
                self.worker.handle(order, false, unused, now).0
            }
            false => Answer::ConnectionRefused,
        }
    }

    fn apply(&mut self, command: Command) {
        for event in self.state.apply(command) {
            let (state, now) = (&self.state, self.now);
            self.dispatcher.handle_event(state, &event, now, wall());
        }
    }

    /// Whether the worker's own report has it registered, and given a lease, as it is.
    fn is_corrected(&mut self) -> bool {
        let report = self.worker.report();
        let reception =
            self.dispatcher
                .handle_report(&self.state, &report, Ticket(1), self.now);
        let mut commands = match reception {
            Reception::Change(commands) => commands,
            Reception::Asked | Reception::Busy => Vec::new(),
        };
        for _ in 0..20 {
            let verdicts = self.run(50).into_iter();
            commands.extend(verdicts.filter_map(|it| it.outcome.ok()).flatten());
            for command in std::mem::take(&mut commands) {
                self.apply(command);
            }
        }
        let registered = self.state.worker(&self.worker.incarnation.worker);
        let is_own = registered.is_some_and(|registered| {
            registered.incarnation == self.worker.incarnation
                && registered.profile == self.worker.profile
        });
        let mut orders = Vec::new();
        for _ in 0..20 {
            self.now = self.now.after(Span::from_millis(50));
            self.dispatcher.tick(&self.state, self.now, wall());
            for order in self.dispatcher.take_effects().orders {
                let answer = self.answer(&order);
                let (state, now) = (&self.state, self.now);
                self.dispatcher
                    .handle_answer(state, order.id, answer, now, wall());
                orders.push(order);
            }
        }
        let grants = |order: &Order| matches!(order.action, Action::Renew { deadline, .. } if deadline.is_some());
        is_own && orders.iter().any(grants)
    }
}

/// A false registration from the log of an earlier version held for good.
#[test]
fn a_worker_takes_back_its_name_from_a_false_registration_in_the_log() {
    type Change = fn(&mut Command);
    let changes: [(&str, Change); 3] = [
        ("start time", |join| {
            if let Command::Join { incarnation, .. } = join {
                incarnation.started_at = later(incarnation.started_at);
            }
        }),
        ("address", |join| {
            if let Command::Join { profile, .. } = join {
                profile.address = ([127, 0, 0, 1], 9).into();
            }
        }),
        ("pool", |join| {
            if let Command::Join { profile, .. } = join {
                "mailer".clone_into(&mut profile.pool);
            }
        }),
    ];
    for (what, change) in changes {
        let mut leader = Leader::with_false_registration(change);
        assert!(leader.is_corrected(), "{what}");
    }
}

/// What was found instead of a worker couldn't be seen in the log.
#[test]
fn a_rejected_report_is_logged_with_its_cause() {
    let mut world = world_at_work(1);
    let elsewhere = ([127, 0, 0, 1], 9).into();
    for (address, cause) in [
        (world.workers[0].profile.address, Cause::OtherIncarnation),
        (elsewhere, Cause::Unreachable),
    ] {
        let report = foreign(&world, 0, |report| {
            report.incarnation.worker = "other".into();
            report.profile.address = address;
        });
        send(&mut world, report);
        let is_logged = |decision: &Decision| {
            matches!(decision, Decision::ReportRejected { cause: found, .. }
                if *found == cause)
        };
        assert!(world.decisions.iter().any(is_logged), "{cause}");
    }
}
