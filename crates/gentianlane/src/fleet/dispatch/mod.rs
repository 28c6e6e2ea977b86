//! Task dispatch on the leader: which task starts on which worker and when,
//! without I/O.
//!
//! [`Dispatcher`] takes state changes, workers' answers and the current time,
//! and produces [`Effects`]: orders to workers, advice requests, commands for
//! the replicated log, and the decisions behind them. A new leader learns the
//! registered workers from the replicated state and asks each one for its
//! active runs before it places steps that an earlier leader may have started.

mod admit;
mod advice;
mod answer;
mod ask;
mod avoidance;
mod backlog;
mod better_place;
mod candidate;
mod claim;
mod crash;
mod dispatcher;
mod effort;
mod estimate;
mod event;
mod footprint;
mod gone;
mod grant;
mod lease;
mod open;
mod place;
mod preempt;
mod probation;
mod progress;
mod rack_demand;
mod rank;
mod reconcile;
mod recurrence;
mod report;
mod reserve;
mod schedule;
mod session;
mod setup;
mod speed;
mod stage;
mod straggler;
mod survey;
mod team;
mod throttle;
mod trial;
mod unconfirmed;
mod view;
pub mod wait;

pub use advice::Relay;
pub use avoidance::Avoidance;
pub use claim::{Reception, Verdict};
pub use dispatcher::{Dispatcher, Effects};
pub use setup::Setup;
pub use view::{AvoidedWorker, Blocker, Overview, Queue, Step, Worker};
