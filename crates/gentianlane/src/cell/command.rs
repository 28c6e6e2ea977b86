//! The commands that log entries carry.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::api::{Announce, Finish, Leave, Submit};
use crate::id;
use crate::note::Note;
use crate::unit::Wall;
use crate::verdict::Reason;

/// One change to the state. Whether it takes effect is decided when it is
/// applied, as the state may have changed since it was proposed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Accept or refuse a release note.
    Note(Box<Note>),
    /// Register a worker or a new incarnation of one.
    Announce(Announce),
    /// Remove a worker that has reported that its tasks have ended.
    Leave(Leave),
    /// Remove a worker whose lease has expired.
    RemoveWorker {
        /// The worker.
        worker: id::Worker,
        /// The incarnation whose lease has expired.
        incarnation: id::Incarnation,
        /// The tokens on it whose start orders were never sent, so that their
        /// tasks can't have begun.
        unsent: Vec<id::Token>,
    },
    /// Drain a worker, or put it back into use.
    Drain {
        /// The worker.
        worker: id::Worker,
        /// Whether to drain it.
        on: bool,
    },
    /// Accept a request for work.
    Submit {
        /// The leader's wall clock when the call came.
        at: Wall,
        /// The request.
        submit: Submit,
    },
    /// Cancel a request. One that arrives after its cancellation isn't run.
    Cancel {
        /// The leader's wall clock when the call came.
        at: Wall,
        /// The request's key.
        key: id::Key,
    },
    /// Start a waiting job on workers.
    Start {
        /// The job.
        job: id::Job,
        /// The number of the attempt; one more than the job's last.
        attempt: id::Attempt,
        /// A worker and its incarnation for each task, by rank.
        workers: Vec<(id::Worker, id::Incarnation)>,
    },
    /// Record how a task ended.
    Finish(Finish),
    /// Stop a running job and queue it again, if it is idempotent.
    Preempt {
        /// The job.
        job: id::Job,
    },
    /// Close a waiting job instead of starting it.
    Close {
        /// The job.
        job: id::Job,
        /// The reason for its outcome.
        reason: Reason,
    },
    /// Remove the closed records of keys that were issued before a time.
    Expire {
        /// The new horizon; it never moves back.
        before: Wall,
    },
}

/// A command that can't be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the command can't be encoded or decoded")]
pub struct CodecError;

impl Command {
    /// Encodes the command for a log entry.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if postcard can't encode it.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        postcard::to_allocvec(self).map_err(|_| CodecError)
    }

    /// Decodes a command from a log entry.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the bytes aren't a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        postcard::from_bytes(bytes).map_err(|_| CodecError)
    }
}
