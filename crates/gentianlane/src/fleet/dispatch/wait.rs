//! Decides how long a task waits for a better place than those that are free.
//!
//! A task runs faster near its data, with its whole gang on one rack, and on a fast
//! worker. The load that this answers is one in which such places are taken for moments:
//! many jobs that want the same rack, or bursts on a fleet with slow workers. Waiting
//! pays if the task ends sooner for it. As all that goes into that are estimates, a task
//! never waits for longer than the better place would save, so that a wrong guess costs
//! at most as much as it could have gained. Where more work comes for the better places
//! than they can do, waiting gains nothing in total, unless room is short elsewhere too.

use crate::unit::Span;

/// A wait that would end a task sooner by less than this isn't worth the risk. It is
/// about the time that orders and their answers take.
const MIN_GAIN: Span = Span::from_millis(100);

/// How much longer than estimated a better place may take to get free, in thousandths:
/// runs are placed there again, and what ends soonest by estimate often doesn't.
const PESSIMISM: u64 = 1_500;

/// The load, in thousandths, from which places are never idle.
pub(crate) const FULL_LOAD: u64 = 1_000;

/// What a task has to choose from.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long the task would run at the best place that is free.
    pub run_time_here: Span,
    /// How long it would run at a better place.
    pub run_time_there: Span,
    /// When one is likely to be free, behind those who wait for it already.
    pub free_in: Span,
    /// For how long the task has waited for a better place.
    pub waited: Span,
    /// How long the task can still take to end so that its job is on time; negative if
    /// it can't be.
    pub time_left: i64,
    /// Whether other work of the pool waits for room, which a longer run takes from it.
    pub others_wait: bool,
    /// The work that has lately come for the better places, in thousandths of what they
    /// can do. From 1,000 on they are never idle: whoever waits for one only takes it
    /// from the next who comes.
    pub load_there: u64,
}

/// What a task does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// It starts at the best place that is free.
    Start,
    /// It waits for a better place, for at most this time.
    Wait(Span),
}

/// Chooses between the best place that is free and a better one.
///
/// ```
/// use gentianlane::fleet::dispatch::wait::{Choice, Options, choose};
/// use gentianlane::unit::Span;
/// let options = Options {
///     run_time_here: Span::from_millis(2_000),
///     run_time_there: Span::from_millis(1_000),
///     free_in: Span::from_millis(200),
///     waited: Span::ZERO,
///     time_left: 1_500,
///     others_wait: false,
///     load_there: 500,
/// };
/// assert_eq!(choose(&options), Choice::Wait(Span::from_millis(1_000)));
/// let options = Options { free_in: Span::from_millis(900), ..options };
/// assert_eq!(choose(&options), Choice::Start);
/// ```
#[must_use]
pub fn choose(options: &Options) -> Choice {
    let here = options.run_time_here;
    let saving = here.saturating_sub(options.run_time_there);
    let limit = saving.saturating_sub(options.waited);
    let free_in =
        Span::from_millis(options.free_in.as_millis().saturating_mul(PESSIMISM) / 1_000);
    let there = free_in + options.run_time_there;
    let is_on_time = |end: Span| {
        i64::try_from(end.as_millis()).is_ok_and(|end| end <= options.time_left)
    };
    let ends_sooner = there + MIN_GAIN < here;
    let pays = match (is_on_time(here), is_on_time(there)) {
        // The caller has nothing of an earlier end; others have of a shorter run.
        (true, true) => options.others_wait && ends_sooner,
        (true, false) => false,
        (false, _) => ends_sooner,
    };
    let displaces_others = options.load_there >= FULL_LOAD && !options.others_wait;
    match pays && free_in <= limit && !displaces_others {
        true => Choice::Wait(limit),
        false => Choice::Start,
    }
}
