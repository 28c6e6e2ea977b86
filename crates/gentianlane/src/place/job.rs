//! A job as the planner sees it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::unit::{Size, Span, Time};

/// The kind of a job, which decides how its tasks are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Runs until it is withdrawn. Its replicas are spread over domains, racks
    /// and workers.
    #[display("service")]
    Service,
    /// Runs until it ends by itself. Packed by best fit.
    #[display("batch")]
    Batch,
    /// Runs until it ends by itself. Its tasks start at once or not at all,
    /// within one rack or one domain if possible.
    #[display("gang")]
    Gang,
}

/// A job that waits for workers or holds them. All its tasks start together or
/// none does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its number.
    pub id: id::Job,
    /// The team whose quota it counts towards.
    pub team: id::Team,
    /// The workload that it belongs to.
    pub workload: id::Workload,
    /// Whether it is a service, a batch job or a gang.
    pub kind: Kind,
    /// What each of its tasks needs.
    pub size: Size,
    /// The number of its tasks.
    pub count: u32,
    /// Whether it may preempt work that isn't urgent.
    pub urgent: bool,
    /// Whether it may be stopped and run again.
    pub idempotent: bool,
    /// When it was queued, on the clock of this planner's process.
    pub queued_at: Time,
    /// The latest useful start, if it has one.
    pub deadline: Option<Time>,
    /// The declared runtime of one task, if there is a declaration.
    pub expected: Option<Span>,
}
