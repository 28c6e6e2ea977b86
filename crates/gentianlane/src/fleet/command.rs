//! What the log's entries say to the state.

use serde::{Deserialize, Serialize};

use crate::fleet::job::{Id, Spec, Task};
use crate::fleet::plan::Plan;
use crate::fleet::worker::{Incarnation, Profile};
use crate::unit::Wall;

/// One change to the state; whether it takes effect is decided on applying.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put a plan into force, unless one as new is.
    Plan(Box<Plan>),
    /// Take in a job.
    Submit {
        /// The leader's civil time.
        at: Wall,
        /// The job.
        job: Id,
        /// The queue that takes it.
        queue: String,
        /// What it asks for.
        spec: Box<Spec>,
    },
    /// Withdraw a job.
    Cancel {
        /// The leader's civil time.
        at: Wall,
        /// The job.
        job: Id,
    },
    /// Take note that a task's run has ended by itself.
    End {
        /// The leader's civil time.
        at: Wall,
        /// The task; any member stands for its gang.
        task: Task,
        /// The run.
        run: u64,
        /// Whether it ended well.
        done: bool,
    },
    /// Take in a life of a worker.
    Join {
        /// The life.
        incarnation: Incarnation,
        /// Where it is and what it has.
        profile: Profile,
    },
    /// Take note that a worker is being emptied.
    Drain {
        /// The life.
        incarnation: Incarnation,
    },
    /// Forget a life that has ended.
    Leave {
        /// The life.
        incarnation: Incarnation,
    },
    /// Forget jobs that were over before this time.
    Expire {
        /// The time.
        before: Wall,
    },
}

/// A command that the codec can't write or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
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
