//! Work that needs no accelerator in a cell whose workers all have some.

mod place_fake;

use gentianlane::unit::{Size, Span};
use place_fake::{Cell, GIB, batch};

/// How many workers; far more than a search looks at in a row.
const WORKERS: usize = 120;

/// How many tasks of one core; less than half of what the workers have.
const TASKS: usize = 3_000;

#[test]
fn plain_work_goes_past_many_workers_whose_rest_is_kept_for_accelerators() {
    let mut cell = Cell::of(WORKERS, Size::new(64_000, 128 * GIB, 2));
    cell.step(1);
    cell.pass(Span::from_secs(10));
    let job = batch("town", "route", Size::new(1_000, GIB / 4, 0));
    let jobs: Vec<_> = (0..TASKS).filter_map(|_| cell.admit(job.clone())).collect();
    for _ in 0..20 {
        cell.step(512);
        cell.pass(Span::from_secs(1));
    }
    let room = WORKERS * 16;
    let runs = jobs.iter().filter(|id| cell.runs(**id)).count();
    assert!(runs >= room.min(TASKS), "{runs} of {TASKS} run");
}
