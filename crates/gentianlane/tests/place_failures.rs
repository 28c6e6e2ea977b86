//! Placement when things go wrong: one test for each failure.

mod place_fake;

use gentianlane::id;
use gentianlane::note::Quota;
use gentianlane::place::{Decision, Enforcement, Exit, Job};
use gentianlane::unit::{Size, Span};
use place_fake::{Cell, GIB, batch, gang, name, service, settings, urgent};

const CORE: Size = Size::new(1_000, GIB, 0);
const PLAIN: Size = Size::new(16_000, 32 * GIB, 0);
const IMAGING: Size = Size::new(32_000, 128 * GIB, 8);

/// How long a planner that has begun refuses nothing.
const SETTLING: Span = Span::from_secs(10);

fn settled(count: usize, size: Size) -> Cell {
    let mut cell = Cell::of(count, size);
    cell.step(1);
    cell.pass(SETTLING);
    cell.step(1);
    cell
}

fn fill(cell: &mut Cell, count: usize, job: &Job) -> Vec<id::Job> {
    let jobs = (0..count).filter_map(|_| cell.admit(job.clone()));
    jobs.collect()
}

fn weigh(cell: &mut Cell, packing: u8, teams: &[(&str, Quota)]) {
    let teams: Vec<(id::Team, &Quota)> = teams
        .iter()
        .map(|(team, quota)| ((*team).into(), quota))
        .collect();
    let settings = settings(packing);
    let teams = teams.iter().map(|(team, quota)| (team, *quota));
    cell.planner.configure(&settings, teams);
}

/// Ends the jobs that have run for `span`, when jobs begin in the order of
/// `running`.
fn end_oldest(cell: &mut Cell, running: &mut Vec<id::Job>, count: usize) {
    let count = count.min(running.len());
    for id in running.drain(..count) {
        cell.finish(id, Exit::Done(Span::from_secs(10)), false);
    }
}

#[test]
fn what_never_fits_is_refused_with_the_nearest_worker() {
    let mut cell = settled(3, PLAIN);
    cell.worker(3, IMAGING);
    let size = Size::new(1_000, GIB, 9);
    let misfit = cell.planner.admit(batch("a", "huge", size)).unwrap_err();
    assert_eq!(misfit.nearest, name(3));
    assert_eq!(misfit.shortfall, "which lacks 1 accelerators");
    let misfit = cell.planner.admit(gang("wide", IMAGING, 2)).unwrap_err();
    assert_eq!(misfit.shortfall, "and all together hold 1 of 2 tasks");
}

#[test]
fn what_fitted_a_lost_worker_waits() {
    let mut cell = settled(3, PLAIN);
    cell.worker(3, IMAGING);
    cell.lose(3);
    let id = cell.admit(batch("a", "photos", Size::new(1_000, GIB, 1)));
    let id = id.expect("it may come back");
    assert!(cell.step(10).is_empty());
    let why = cell.planner.explain(id, cell.now).expect("it waits");
    assert!(why.contains("lost, draining"), "{why}");
    cell.worker(3, IMAGING);
    cell.step(10);
    assert!(cell.runs(id));
}

#[test]
fn a_planner_that_has_just_begun_refuses_later() {
    let mut cell = Cell::new();
    let id = cell
        .admit(batch("a", "photos", IMAGING))
        .expect("nothing is known");
    cell.step(10);
    cell.worker(0, PLAIN);
    cell.step(10);
    assert!(cell.refused.is_empty());
    cell.pass(SETTLING);
    cell.step(10);
    assert_eq!(cell.refused, [id]);
}

#[test]
fn a_gang_is_not_starved_by_small_work() {
    for packing in [0, 100] {
        let mut cell = Cell::of(4, PLAIN);
        weigh(&mut cell, packing, &[]);
        let mut running = fill(&mut cell, 64, &batch("a", "small", CORE));
        cell.step(100);
        let wide = cell.admit(gang("wide", PLAIN, 4)).expect("it fits");
        let mut seconds = 0;
        while !cell.runs(wide) {
            running.extend(fill(&mut cell, 8, &batch("a", "small", CORE)));
            cell.pass(Span::from_secs(1));
            running.retain(|id| cell.jobs.contains_key(id));
            let started: Vec<id::Job> = running
                .iter()
                .copied()
                .filter(|id| cell.runs(*id))
                .collect();
            let mut oldest = started;
            end_oldest(&mut cell, &mut oldest, 6);
            cell.step(100);
            seconds += 1;
            assert!(seconds < 200, "packing {packing}: the gang starves");
        }
    }
}

#[test]
fn two_gangs_that_need_the_same_workers_both_run() {
    let mut cell = Cell::of(4, PLAIN);
    let mut running = fill(&mut cell, 64, &batch("a", "small", CORE));
    cell.step(100);
    let gangs = [
        cell.admit(gang("one", PLAIN, 3)).expect("it fits"),
        cell.admit(gang("two", PLAIN, 3)).expect("it fits"),
    ];
    let mut ran = 0;
    for _ in 0..200 {
        cell.pass(Span::from_secs(1));
        end_oldest(&mut cell, &mut running, 1);
        cell.step(100);
        for id in gangs
            .into_iter()
            .filter(|id| cell.runs(*id))
            .collect::<Vec<_>>()
        {
            cell.finish(id, Exit::Done(Span::from_secs(1)), false);
            ran += 1;
        }
    }
    assert_eq!(ran, 2);
}

#[test]
fn a_gang_goes_into_one_rack_or_one_domain() {
    let mut cell = Cell::of(24, PLAIN);
    fill(&mut cell, 30, &batch("a", "small", CORE));
    cell.step(100);
    let near = cell.admit(gang("near", PLAIN, 4)).expect("it fits");
    let wide = cell.admit(gang("wide", PLAIN, 6)).expect("it fits");
    cell.step(10);
    let mut racks: Vec<_> = cell
        .places(near)
        .iter()
        .map(|it| cell.workers[it].rack.clone())
        .collect();
    racks.dedup();
    assert_eq!(racks.len(), 1);
    let mut domains: Vec<_> = cell
        .places(wide)
        .iter()
        .map(|it| cell.workers[it].domain.clone())
        .collect();
    domains.dedup();
    assert_eq!(domains.len(), 1);
}

#[test]
fn urgent_work_takes_the_place_of_idempotent_work_only() {
    let mut cell = Cell::of(2, PLAIN);
    let once = Job {
        idempotent: false,
        ..batch("a", "notice", PLAIN)
    };
    let once = cell.admit(once).expect("it fits");
    cell.step(10);
    let again = cell.admit(batch("a", "route", PLAIN)).expect("it fits");
    cell.step(10);
    let alarm = cell.admit(urgent(PLAIN)).expect("it fits");
    let late = cell.admit(urgent(PLAIN)).expect("it fits");
    assert_eq!(cell.step(10), [Decision::Preempt { job: again }]);
    cell.pass(Span::from_millis(500));
    cell.step(10);
    assert!(cell.runs(alarm) && cell.runs(once));
    assert!(!cell.runs(late) && !cell.runs(again));
}

#[test]
fn a_worker_that_fails_everything_is_quarantined_and_probed() {
    let mut cell = settled(20, CORE);
    for round in 0..6 {
        fill(&mut cell, 20, &batch("a", &format!("l{}", round % 3), CORE));
        cell.step(100);
        let running = cell.jobs.keys().filter(|id| cell.runs(**id));
        for id in running.copied().collect::<Vec<_>>() {
            let ended = match cell.places(id) == [name(7)] {
                true => Exit::Failed(Span::from_millis(10)),
                false => Exit::Done(Span::from_secs(1)),
            };
            cell.finish(id, ended, false);
        }
    }
    for id in cell.jobs.keys().copied().collect::<Vec<_>>() {
        cell.cancel(id);
    }
    let barred: Vec<&id::Worker> = cell.planner.quarantined().collect();
    assert_eq!(barred, [&name(7)]);
    let jobs = fill(&mut cell, 20, &batch("a", "l0", CORE));
    cell.step(100);
    assert_eq!(jobs.iter().filter(|id| cell.runs(**id)).count(), 19);
    cell.pass(Span::from_secs(61));
    cell.step(100);
    let probe = *jobs.last().expect("a job");
    assert_eq!(cell.places(probe), [name(7)]);
    cell.finish(probe, Exit::Done(Span::from_secs(1)), false);
    assert_eq!(cell.planner.quarantined().count(), 0);
}

/// Runs `rounds` of ten workloads in turn, which all end in the same way.
fn run(cell: &mut Cell, rounds: usize, ended: Exit) {
    for round in 0..rounds {
        let jobs = fill(cell, 7, &batch("a", &format!("l{}", round % 10), PLAIN));
        cell.step(100);
        for id in jobs {
            cell.finish(id, ended, false);
        }
        cell.pass(Span::from_millis(100));
    }
}

#[test]
fn tasks_that_fail_everywhere_bar_one_worker_at_most() {
    let mut cell = settled(20, PLAIN);
    for round in 0..50 {
        let size = Size::new(8_000, GIB, 0);
        let bad = fill(
            &mut cell,
            40,
            &batch("a", &format!("bad{}", round % 4), size),
        );
        cell.step(100);
        for id in bad {
            cell.finish(id, Exit::Failed(Span::from_millis(10)), false);
        }
    }
    let barred = cell.planner.quarantined().count();
    assert!(barred <= 1, "{barred} workers are barred");
}

#[test]
fn a_bad_release_leaves_most_of_the_cell_in_use() {
    let mut cell = settled(40, PLAIN);
    run(&mut cell, 200, Exit::Done(Span::from_secs(1)));
    run(&mut cell, 400, Exit::Failed(Span::from_millis(10)));
    let barred = cell.planner.quarantined().count();
    assert!(barred <= 4, "{barred} workers are barred");
}

#[test]
fn a_worker_that_shrinks_stops_what_is_too_much() {
    let mut cell = settled(1, PLAIN);
    let once = Job {
        idempotent: false,
        ..batch("a", "notice", CORE)
    };
    let once = fill(&mut cell, 4, &once);
    let again = fill(&mut cell, 12, &batch("a", "route", CORE));
    cell.step(100);
    cell.worker(0, Size::new(6_000, 32 * GIB, 0));
    let decisions = cell.step(100);
    assert_eq!(decisions.len(), 10);
    for decision in decisions {
        let Decision::Evict { job } = decision else {
            panic!("{decision:?}");
        };
        assert!(again.contains(&job));
    }
    assert!(once.iter().all(|id| cell.runs(*id)));
    cell.worker(0, Size::new(3_000, 32 * GIB, 0));
    cell.step(100);
    assert_eq!(once.iter().filter(|id| cell.runs(**id)).count(), 3);
}

#[test]
fn a_wave_of_cancellations_leaves_the_rest_in_order() {
    let mut cell = settled(1, CORE);
    let jobs = fill(&mut cell, 5_000, &batch("a", "route", CORE));
    let kept = cell.admit(batch("b", "price", CORE)).expect("it fits");
    for id in jobs {
        cell.cancel(id);
    }
    cell.check();
    cell.step(10);
    assert!(cell.runs(kept));
}

#[test]
fn replicas_stand_apart_and_are_placed_again_at_a_bounded_rate() {
    let mut cell = settled(36, Size::new(16_000, 32 * GIB, 0));
    let replicas = fill(&mut cell, 9, &service("inbox", CORE));
    cell.step(100);
    let mut racks: Vec<_> = replicas
        .iter()
        .map(|id| cell.workers[&cell.places(*id)[0]].rack.clone())
        .collect();
    racks.sort_unstable();
    racks.dedup();
    assert_eq!(racks.len(), 9, "one replica to each of nine racks");
    fill(&mut cell, 400, &service("listings", CORE));
    for _ in 0..10 {
        cell.pass(Span::from_secs(1));
        cell.step(1_000);
    }
    for at in (0..36).filter(|at| (at / 4) % 3 == 0) {
        cell.lose(at);
    }
    let started = cell.step(1_000).len();
    assert!((1..=100).contains(&started), "{started} at once");
    cell.pass(Span::from_secs(1));
    let started = cell.step(1_000).len();
    assert!((1..=50).contains(&started), "{started} in a second");
}

#[test]
fn work_without_accelerators_leaves_room_for_work_with_them() {
    for packing in [0, 100] {
        let mut cell = settled(0, CORE);
        cell.worker(0, IMAGING);
        cell.worker(4, PLAIN);
        weigh(&mut cell, packing, &[]);
        let images = batch("a", "photos", Size::new(1_500, 4 * GIB, 1));
        let first = cell.admit(images.clone()).expect("it fits");
        cell.step(100);
        cell.finish(first, Exit::Done(Span::from_secs(1)), false);
        fill(&mut cell, 64, &batch("a", "route", CORE));
        cell.step(100);
        let images = fill(&mut cell, 8, &images);
        cell.step(100);
        assert!(images.iter().all(|id| cell.runs(*id)), "packing {packing}");
    }
}

#[test]
fn a_lender_gets_its_quota_back_before_a_borrower_gets_more() {
    let mut cell = settled(1, PLAIN);
    let quota = |cores: u64| Quota {
        size: Size::new(cores * 1_000, 32 * GIB, 0),
        weight: 1,
    };
    weigh(
        &mut cell,
        50,
        &[("lender", quota(12)), ("borrower", quota(4))],
    );
    let mut running = fill(&mut cell, 32, &batch("borrower", "route", CORE));
    cell.step(100);
    let lent = fill(&mut cell, 12, &batch("lender", "price", CORE));
    end_oldest(&mut cell, &mut running, 12);
    cell.step(100);
    assert!(lent.iter().all(|id| cell.runs(*id)));
}

/// A long job is only overtaken by jobs that come within the bound after it.
#[test]
fn a_long_job_starts_under_a_stream_of_short_ones() {
    const BOUND: Span = Span::from_secs(600 + 600 + 300 + 300);
    let mut cell = settled(1, PLAIN);
    weigh(&mut cell, 0, &[]);
    let mut running = fill(&mut cell, 16, &batch("b", "short", CORE));
    cell.step(100);
    let long = Job {
        expected: Some(Span::from_secs(86_400)),
        ..batch("a", "long", CORE)
    };
    let long = cell.admit(long).expect("it fits");
    let begun = cell.now;
    while !cell.runs(long) {
        cell.pass(Span::from_secs(10));
        running.extend(fill(&mut cell, 4, &batch("b", "short", CORE)));
        for _ in 0..2 {
            let at = running.iter().position(|id| cell.runs(*id)).expect("one");
            cell.finish(running.remove(at), Exit::Done(Span::from_secs(10)), false);
        }
        cell.step(10);
        assert!(cell.now.since(begun) <= BOUND, "the long job starves");
    }
}

#[test]
fn run_times_that_are_far_off_are_learned() {
    let mut cell = settled(1, CORE);
    weigh(&mut cell, 0, &[]);
    let declared = |workload: &str, secs: u64| Job {
        expected: Some(Span::from_secs(secs)),
        ..batch("a", workload, CORE)
    };
    for (workload, ran) in [("liar", 100), ("honest", 5)] {
        for _ in 0..4 {
            let id = cell.admit(declared(workload, 1)).expect("it fits");
            cell.step(10);
            cell.finish(id, Exit::Done(Span::from_secs(ran)), false);
        }
    }
    let liar = cell.admit(declared("liar", 1)).expect("it fits");
    let honest = cell.admit(declared("honest", 50)).expect("it fits");
    cell.step(10);
    assert!(cell.runs(honest) && !cell.runs(liar));
}

#[test]
fn a_preempted_job_keeps_its_place_in_the_order() {
    let mut cell = settled(1, CORE);
    let first = cell.admit(batch("a", "route", CORE)).expect("it fits");
    cell.step(10);
    cell.pass(Span::from_secs(5));
    let second = cell.admit(batch("a", "route", CORE)).expect("it fits");
    cell.pass(Span::from_secs(5));
    let alarm = cell.admit(urgent(CORE)).expect("it fits");
    cell.step(10);
    cell.step(10);
    assert!(cell.runs(alarm));
    cell.finish(alarm, Exit::Done(Span::from_secs(1)), false);
    cell.step(10);
    assert!(cell.runs(first) && !cell.runs(second));
}

#[test]
fn urgent_work_stops_what_loses_the_least() {
    let mut cell = settled(3, PLAIN);
    let wide = cell.admit(gang("wide", PLAIN, 2)).expect("it fits");
    let old = cell.admit(batch("a", "route", Size::new(8_000, GIB, 0)));
    cell.step(10);
    cell.pass(Span::from_secs(9));
    let young = cell.admit(batch("a", "route", Size::new(8_000, GIB, 0)));
    cell.step(10);
    assert!(cell.runs(wide) && old.is_some_and(|id| cell.runs(id)));
    cell.admit(urgent(CORE));
    let job = young.expect("it fits");
    assert_eq!(cell.step(10), [Decision::Preempt { job }]);
}

#[test]
fn urgent_work_goes_first_only_up_to_its_teams_quota() {
    let mut cell = settled(1, PLAIN);
    let size = Size::new(2_000, 32 * GIB, 0);
    weigh(&mut cell, 50, &[("alarms", Quota { size, weight: 1 })]);
    fill(&mut cell, 16, &batch("a", "route", CORE));
    cell.step(100);
    fill(&mut cell, 5, &urgent(CORE));
    let preempts = |decision: &&Decision| matches!(decision, Decision::Preempt { .. });
    let mut preempted = 0;
    for _ in 0..5 {
        preempted += cell.step(100).iter().filter(preempts).count();
        cell.pass(Span::from_secs(1));
    }
    assert_eq!(preempted, 2);
}

#[test]
fn over_use_is_throttled_and_then_stopped_once_it_lasts() {
    let mut cell = settled(1, PLAIN);
    let once = Job {
        idempotent: false,
        ..batch("a", "notice", CORE)
    };
    cell.admit(once).expect("it fits");
    let liar = cell.admit(batch("a", "liar", CORE)).expect("it fits");
    cell.admit(batch("a", "route", CORE)).expect("it fits");
    cell.step(10);
    for _ in 0..4 {
        cell.planner
            .record_usage(&"liar".into(), &Size::new(1_000, 9 * GIB, 0));
    }
    let used = Size::new(9_000, 9 * GIB, 0);
    assert!(
        cell.planner
            .enforce_usage(&name(0), &used, cell.now)
            .is_empty()
    );
    cell.pass(Span::from_secs(9));
    assert!(
        cell.planner
            .enforce_usage(&name(0), &used, cell.now)
            .is_empty()
    );
    cell.pass(Span::from_secs(1));
    let orders = cell.planner.enforce_usage(&name(0), &used, cell.now);
    assert_eq!(orders.len(), 4);
    assert_eq!(orders[3], Enforcement::Stop { job: liar });
    let kept = Size::new(3_000, 3 * GIB, 0);
    assert!(
        cell.planner
            .enforce_usage(&name(0), &kept, cell.now)
            .is_empty()
    );
    cell.pass(Span::from_secs(10));
    assert!(
        cell.planner
            .enforce_usage(&name(0), &used, cell.now)
            .is_empty()
    );
}

/// However many workers keep their rest for accelerators, work without finds
/// the room that others have.
#[test]
fn work_without_accelerators_passes_all_workers_that_keep_their_rest() {
    let mut cell = settled(0, CORE);
    for at in 0..30 {
        cell.worker(at, Size::new(8_000, 32 * GIB, 8));
    }
    let images = batch("a", "photos", Size::new(7_000, 7 * GIB, 7));
    fill(&mut cell, 30, &images);
    cell.step(1_000);
    for at in 30..40 {
        cell.worker(at, Size::new(16_000, 32 * GIB, 8));
    }
    let routes = fill(&mut cell, 80, &batch("a", "route", CORE));
    cell.step(1_000);
    assert!(routes.iter().all(|id| cell.runs(*id)));
}
