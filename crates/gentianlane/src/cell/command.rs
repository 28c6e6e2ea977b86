//! What the log's entries say to the state.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::api::{Announce, Finish, Leave, Submit};
use crate::id;
use crate::note::Note;
use crate::unit::Wall;
use crate::verdict::Reason;

/// One change to the state; whether it takes effect is decided on applying.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Rule on a release note.
    Note(Box<Note>),
    /// Take in a worker or a new life of one.
    Announce(Announce),
    /// Take out a worker that says that its tasks are gone.
    Leave(Leave),
    /// Take out a worker whose lease has ended.
    RemoveWorker {
        /// The worker.
        worker: id::Worker,
        /// The life of its process.
        incarnation: id::Incarnation,
        /// The tokens on it that never left the leader.
        unsent: Vec<id::Token>,
    },
    /// Empty a worker, or put it back into use.
    Drain {
        /// The worker.
        worker: id::Worker,
        /// Whether to empty it.
        on: bool,
    },
    /// Take in a request for work.
    Submit {
        /// The leader's civil time.
        at: Wall,
        /// The request.
        submit: Submit,
    },
    /// Withdraw a request, also one that hasn't come yet.
    Cancel {
        /// The leader's civil time.
        at: Wall,
        /// The request's key.
        key: id::Key,
    },
    /// Hand a waiting job to workers.
    Start {
        /// The job.
        job: id::Job,
        /// The attempt that this starts; one more than the job's newest.
        attempt: id::Attempt,
        /// A worker and its life for each task.
        workers: Vec<(id::Worker, id::Incarnation)>,
    },
    /// Note how a task ended.
    Finish(Finish),
    /// Stop a running job and let it wait again.
    Preempt {
        /// The job.
        job: id::Job,
    },
    /// Give up a job that waits.
    Close {
        /// The job.
        job: id::Job,
        /// Why.
        reason: Reason,
    },
    /// Forget the records of keys issued before this time.
    Expire {
        /// The time; the horizon never moves back.
        before: Wall,
    },
}

/// A command that the codec can't write or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the command can't be encoded or decoded")]
pub struct CodecError;

impl Command {
    /// The command as bytes for the log.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the codec refuses.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        postcard::to_allocvec(self).map_err(|_| CodecError)
    }

    /// The command that some bytes from the log say.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if they aren't a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        postcard::from_bytes(bytes).map_err(|_| CodecError)
    }
}
