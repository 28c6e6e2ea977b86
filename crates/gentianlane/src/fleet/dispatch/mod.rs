//! The leader's work: which task starts where and when, without I/O.
//!
//! [`Dispatcher`] takes what the state tells, what workers answer and the time, and
//! gives [`Effects`]: orders to workers, questions for advice, commands for the
//! log and the decisions behind them. A new leader knows from the state which
//! lives of workers there are, and hears from each what runs there before it
//! starts anything that an earlier leader may have started.

mod admit;
mod advice;
mod answer;
mod backlog;
mod dispatcher;
mod estimate;
mod event;
mod lease;
mod pace;
mod place;
mod preempt;
mod progress;
mod rank;
mod reconcile;
mod rescue;
mod reserve;
mod session;
mod setup;
mod stage;
mod unconfirmed;
mod view;

pub use advice::Helper;
pub use dispatcher::{Dispatcher, Effects};
pub use setup::Setup;
pub use view::{Cause, Overview, Queue, Step, Worker};
