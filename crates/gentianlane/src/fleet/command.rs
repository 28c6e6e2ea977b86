//! The commands in the replicated log, which change the state.

use serde::{Deserialize, Serialize};

use crate::fleet::crash;
use crate::fleet::job::{Id, Spec, Task};
use crate::fleet::plan::Plan;
use crate::fleet::team::Access;
use crate::fleet::worker::{Incarnation, Profile};
use crate::id;
use crate::unit::Wall;
use std::net::SocketAddr;

/// A change to the replicated state.
///
/// Whether it takes effect is decided when it is applied, against the state
/// that all earlier commands have built.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replace the plan if this one has a higher version.
    Plan(Box<Plan>),
    /// Add a job, unless its id is taken or was cancelled.
    Submit {
        /// When the leader accepted the job, by its wall clock.
        at: Wall,
        /// The id that the caller chose.
        job: Id,
        /// The name of the queue that the job belongs to.
        queue: String,
        /// The job's steps and schedule.
        spec: Box<Spec>,
    },
    /// Cancel a job if it is still open.
    Cancel {
        /// When the leader received the cancellation, by its wall clock.
        at: Wall,
        /// The id of the job to cancel.
        job: Id,
    },
    /// Record that a task's run completed or failed by itself.
    End {
        /// When the leader learnt of it, by its wall clock.
        at: Wall,
        /// The task; for a gang, any member stands for all.
        task: Task,
        /// The number of the run.
        run: u64,
        /// True if the run succeeded, false if it failed.
        done: bool,
    },
    /// Register a worker, or replace its profile or an earlier incarnation.
    Join {
        /// The worker with the start of its process.
        incarnation: Incarnation,
        /// The worker's address, pool, capacity and labels.
        profile: Profile,
    },
    /// Mark a worker as draining.
    Drain {
        /// The incarnation that reported that it drains.
        incarnation: Incarnation,
    },
    /// Remove a worker whose incarnation has ended.
    Leave {
        /// The incarnation that has ended; a later one stays registered.
        incarnation: Incarnation,
    },
    /// Remove old finished jobs, ids that were cancelled before they were submitted,
    /// and dropped queues without open jobs.
    Expire {
        /// Jobs that finished and ids that were cancelled before this time are removed.
        before: Wall,
    },
    /// Record that a start got no answer, so that a later incarnation of its worker
    /// may carry it out while another leader leads.
    Unconfirmed {
        /// When the leader gave up waiting for the answer, by its wall clock.
        at: Wall,
        /// The worker that the start was sent to.
        worker: id::Worker,
        /// The task to start.
        task: Task,
        /// The number of the run.
        run: u64,
    },
    /// Record runs on a worker that has fallen silent, or that may crash under them.
    Expose {
        /// When the leader proposed it, by its wall clock.
        at: Wall,
        /// The incarnation that has the runs.
        incarnation: Incarnation,
        /// Its address.
        address: SocketAddr,
        /// The runs that it has, or may have started.
        runs: Vec<crash::Run>,
    },
    /// Drop that record, as the worker has answered.
    Clear {
        /// The incarnation that has answered.
        incarnation: Incarnation,
    },
    /// Remove a worker whose incarnation ended without having announced it, and charge
    /// the tasks that may have caused that.
    Crash {
        /// When the leader learnt of it, by its wall clock.
        at: Wall,
        /// The incarnation that has ended; a later one stays registered.
        incarnation: Incarnation,
        /// Whether many workers fell silent at the same time, so that the cause may lie
        /// elsewhere.
        widespread: bool,
    },
    /// Replace the profile of a registered incarnation, unless a later report has done
    /// so already.
    Update {
        /// The incarnation that reported the profile.
        incarnation: Incarnation,
        /// The worker's address, pool, capacity and labels.
        profile: Profile,
        /// The sequence number of the report.
        sequence: u64,
    },
    /// Replace the plan, if this one has a higher version, by one that has teams.
    PlanWithAccess(Box<Plan>, Box<Access>),
    /// Add a job of a team, unless its id is taken or was cancelled.
    SubmitFor {
        /// The team whose caller submitted it.
        team: id::Team,
        /// Whether the team submitted it beyond its share.
        beyond_share: bool,
        /// When the leader accepted the job, by its wall clock.
        at: Wall,
        /// The id that the caller chose.
        job: Id,
        /// The name of the queue that the job belongs to.
        queue: String,
        /// The job's steps and schedule.
        spec: Box<Spec>,
    },
    /// Register an incarnation in place of one with a later start time, as the process
    /// at its address has answered as this one.
    Reinstate {
        /// The worker with the start of its process.
        incarnation: Incarnation,
        /// The worker's address, pool, capacity and labels.
        profile: Profile,
    },
    /// Cancel a job that wasn't known when this was proposed; if it still isn't, record
    /// its id, so that a submission that arrives later is rejected.
    Withdraw {
        /// When the leader received the cancellation, by its wall clock.
        at: Wall,
        /// The id of the job to cancel.
        job: Id,
        /// The name of the queue that the caller addressed.
        queue: String,
        /// The caller's team, if its call had a key.
        team: Option<id::Team>,
    },
    /// Record that an incarnation holds no lease from an order to an earlier one under
    /// its name, and takes none any more.
    Settle {
        /// The incarnation, which has answered and outlasted any such lease.
        incarnation: Incarnation,
    },
}

/// A command that can't be encoded, or bytes that aren't a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the command can't be encoded or decoded")]
pub struct CodecError;

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the serializer fails.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        postcard::to_allocvec(self).map_err(|_| CodecError)
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the bytes aren't a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        postcard::from_bytes(bytes).map_err(|_| CodecError)
    }
}
