//! What callers, workers and operators send, and what they are answered.
//!
//! The same types travel as JSON over HTTP towards the outside and over
//! JSON-RPC from an entry VM to the leader.

use serde::{Deserialize, Serialize};

use crate::consensus::{Index, Term};
use crate::digest::Digest;
use crate::id;
use crate::lease::Fingerprint;
use crate::note;
use crate::place::Kind;
use crate::unit::{Size, Span};
use crate::verdict::{Outcome, Reason, Verdict};

/// The longest payload that the cell carries, and the longest outputs of one
/// answer taken together, in bytes.
pub const TEXT_LIMIT: usize = 64 << 10;

/// The longest `traceparent`, in bytes.
pub const TRACE_LIMIT: usize = 64;

/// The most tasks that one request may ask for.
pub const TASK_LIMIT: u32 = 1_024;

/// One request to the cell, from outside or passed on by another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "call", content = "with", rename_all = "snake_case")]
pub enum Call {
    /// A caller asks for work.
    Submit(Submit),
    /// A caller asks for the answer to an earlier request.
    Wait(Wait),
    /// A caller withdraws a request.
    Cancel(Cancel),
    /// A worker says that it is there.
    Announce(Announce),
    /// A worker renews its lease and asks for orders.
    Renew(Renew),
    /// A worker says how a task ended.
    Finish(Finish),
    /// A worker goes away in an orderly manner.
    Leave(Leave),
    /// An operator hands in a release note.
    Note(NoteText),
    /// An operator asks what is in force, and where.
    NoteStatus,
    /// An operator asks for the workers.
    Workers,
    /// An operator asks for the jobs.
    Jobs,
    /// An operator asks why a job waits or where it went.
    Explain(id::Job),
    /// An operator empties a worker, or puts it back into use.
    Drain(Drain),
    /// An operator asks for the nodes of the cell.
    Members,
}

/// What the cell says to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", content = "with", rename_all = "snake_case")]
pub enum Reply {
    /// The answer to a request for work.
    Answer(Answer),
    /// A worker's lease and its orders.
    Lease(Lease),
    /// What the call asked for is durable.
    Done,
    /// What became of a release note.
    Note(NoteReply),
    /// What is in force, and where.
    NoteStatus(NoteStatus),
    /// The workers.
    Workers(Vec<WorkerView>),
    /// The jobs.
    Jobs(Vec<JobView>),
    /// Why a job waits or where it went.
    Explain(Explanation),
    /// The nodes of the cell.
    Members(Vec<MemberView>),
    /// The call wasn't carried out.
    Refused(Refusal),
}

/// A request for work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// What the caller calls the request; resent unchanged.
    pub key: id::Key,
    /// The team that pays for the work.
    pub team: id::Team,
    /// The workload, as a release note named it.
    pub workload: id::Workload,
    /// What the task gets as its input.
    #[serde(default)]
    pub payload: String,
    /// How many tasks at once, in place of the workload's own count.
    #[serde(default)]
    pub count: Option<u32>,
    /// How long the caller will still wait for a start, in milliseconds.
    #[serde(default)]
    pub deadline: Option<Span>,
    /// The span that the start orders belong to, as a W3C `traceparent`; an
    /// entry that traces fills it in.
    #[serde(default)]
    pub trace: Option<String>,
    /// How long to hold this call for the answer, in milliseconds.
    #[serde(default)]
    pub hold: Span,
}

impl Submit {
    /// The digest of all that makes two requests the same.
    ///
    /// The time that remains and the time to hold the call change from one
    /// resend to the next and don't count.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut text = Vec::new();
        for part in [self.team.as_str(), self.workload.as_str(), &self.payload] {
            text.extend_from_slice(&(part.len() as u64).to_be_bytes());
            text.extend_from_slice(part.as_bytes());
        }
        text.extend_from_slice(&self.count.unwrap_or(0).to_be_bytes());
        Digest::of(&text)
    }
}

/// A question for the answer to an earlier request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wait {
    /// The request's key.
    pub key: id::Key,
    /// How long to hold this call for the answer, in milliseconds.
    #[serde(default)]
    pub hold: Span,
}

/// The withdrawal of a request, which may overtake the request itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// The request's key.
    pub key: id::Key,
    /// How long to hold this call for the answer, in milliseconds.
    #[serde(default)]
    pub hold: Span,
}

/// The whole answer to one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The request that this answers.
    pub key: id::Key,
    /// The job that the request became, if it became one.
    #[serde(default)]
    pub job: Option<id::Job>,
    /// Whether the work may have run, and why.
    pub outcome: Outcome,
    /// What the tasks wrote, in order of rank.
    #[serde(default)]
    pub outputs: Vec<Output>,
}

/// What one task wrote, with what a reader needs to see that it is whole.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Output {
    /// The text.
    pub text: String,
    /// The text's length in bytes.
    pub length: u64,
    /// The text's digest.
    pub digest: Digest,
}

impl Output {
    /// A text with its length and digest.
    #[must_use]
    pub fn new(text: String) -> Self {
        let length = text.len() as u64;
        let digest = Digest::of(text.as_bytes());
        Self {
            text,
            length,
            digest,
        }
    }

    /// The same output if its text has at most `limit` bytes; else the length
    /// and digest alone, so that a reader sees that the text isn't whole.
    #[must_use]
    pub fn capped(mut self, limit: usize) -> Self {
        if self.text.len() > limit {
            self.text = String::new();
        }
        self
    }

    /// Whether the text is what its length and digest say.
    ///
    /// ```
    /// use gentianlane::api::Output;
    /// let mut output = Output::new("route 7".to_owned());
    /// assert!(output.is_whole());
    /// output.text.pop();
    /// assert!(!output.is_whole());
    /// ```
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.text.len() as u64 == self.length
            && Digest::of(self.text.as_bytes()) == self.digest
    }
}

/// A call that wasn't carried out.
///
/// The outcome speaks of all that was ever sent under the request's key. With
/// a time to come back, it says what holds up to now; without one, it holds for
/// good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the work may have run, why, and when to come back.
    pub outcome: Outcome,
    /// What a person should know besides.
    #[serde(default)]
    pub detail: String,
}

impl Refusal {
    /// A refusal whose work has not run.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::not_run(reason),
            detail: detail.into(),
        }
    }

    /// A refusal whose key is too old to know whether its work has run.
    #[must_use]
    pub fn key_expired() -> Self {
        Self {
            outcome: Outcome::may_have_run(Reason::KeyExpired),
            detail: "records of keys that old are no longer kept".to_owned(),
        }
    }

    /// The same refusal, with a time to come back after.
    #[must_use]
    pub fn retry_after(mut self, span: Span) -> Self {
        self.outcome = self.outcome.retry_after(span);
        self
    }
}

/// A worker's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// The worker's name.
    pub worker: id::Worker,
    /// The life of the worker's process; all tasks of earlier lives are gone.
    pub incarnation: id::Incarnation,
    /// What the worker has.
    pub size: Size,
    /// The region it is in.
    #[serde(default)]
    pub region: id::Region,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// The rack it is in.
    pub rack: id::Rack,
    /// Where its service instances take connections, as `ip:port`.
    #[serde(default)]
    pub address: String,
}

/// A worker's renewal of its lease.
///
/// The worker counts its lease from the moment it sends this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renew {
    /// The worker's name.
    pub worker: id::Worker,
    /// The life of the worker's process.
    pub incarnation: id::Incarnation,
    /// The tokens that the worker has accepted and not finished, sorted; none
    /// if [`Renew::unchanged`] is given.
    #[serde(default)]
    pub running: Vec<id::Token>,
    /// The mark of the tokens, if a lease has answered a renewal that listed
    /// just these.
    #[serde(default)]
    pub unchanged: Option<Fingerprint>,
    /// What the running tasks use together.
    #[serde(default)]
    pub used: Size,
    /// How long to hold this call for orders, in milliseconds.
    #[serde(default)]
    pub hold: Span,
}

/// A lease with the orders that come with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// How long the lease lasts from when the renewal was *sent*.
    pub span: Span,
    /// What to do now; an order seen before is done once.
    pub orders: Vec<Order>,
    /// Whether the next renewal has to list its tokens, as the cell doesn't
    /// know the mark; there are no orders then.
    #[serde(default)]
    pub resend: bool,
}

/// What a worker is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Start a task, once for this token.
    Start {
        /// The fencing token.
        token: id::Token,
        /// What to run.
        workload: id::Workload,
        /// The task's input.
        payload: String,
        /// What the task may use.
        size: Size,
        /// How many tasks its job has.
        count: u32,
        /// The span that the order belongs to, as a W3C `traceparent`.
        #[serde(default)]
        trace: Option<String>,
    },
    /// Stop a task; if it hasn't begun, never begin it.
    Stop {
        /// The fencing token.
        token: id::Token,
    },
    /// Write a checkpoint, then stop.
    Checkpoint {
        /// The fencing token.
        token: id::Token,
    },
    /// Hold a task to a share of the processors.
    Throttle {
        /// The fencing token.
        token: id::Token,
        /// The processors it may use.
        cpu: crate::unit::Millicores,
    },
}

/// How a task ended at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// By itself, with success.
    Done,
    /// By itself, with a failure.
    Failed,
    /// Stopped by an order or by the end of the lease, after it had begun.
    Stopped,
    /// Stopped by an order after writing a checkpoint.
    Checkpointed,
    /// It never began and, under this token, never will.
    NeverBegan,
}

/// A worker's report of a task's end, resent until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Finish {
    /// The worker's name.
    pub worker: id::Worker,
    /// The life of the worker's process.
    pub incarnation: id::Incarnation,
    /// The fencing token.
    pub token: id::Token,
    /// How it ended.
    pub ending: Ending,
    /// What it wrote.
    pub output: Output,
}

/// A worker's orderly leave; its tasks are gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// The worker's name.
    pub worker: id::Worker,
    /// The life of the worker's process.
    pub incarnation: id::Incarnation,
}

/// A release note as its operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoteText {
    /// JSON with comments.
    pub text: String,
}

/// What became of a release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteReply {
    /// The note's own digest.
    pub digest: Digest,
    /// Whether it was accepted, and why not.
    pub ruling: note::Ruling,
}

/// What is in force, and which nodes say so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteStatus {
    /// The revision in force at the leader.
    pub revision: note::Revision,
    /// What each node says that it applies.
    pub nodes: Vec<NodeRevision>,
}

/// The revision that one node applies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRevision {
    /// The node.
    pub node: id::Node,
    /// The newest log index that the node is known to have applied.
    pub applied: Index,
    /// Whether that covers the revision in force.
    pub in_force: bool,
}

/// One worker, for an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker's name.
    pub worker: id::Worker,
    /// The life of its process.
    pub incarnation: id::Incarnation,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// The rack it is in.
    pub rack: id::Rack,
    /// What it has.
    pub size: Size,
    /// What is reserved on it.
    pub reserved: Size,
    /// Whether it is being emptied.
    pub draining: bool,
    /// How many tasks it holds.
    pub tasks: u32,
}

/// One job, for an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub job: id::Job,
    /// The request that it came from, unless it is a service's replica.
    pub key: Option<id::Key>,
    /// The team that pays.
    pub team: id::Team,
    /// The workload.
    pub workload: id::Workload,
    /// Service, batch or gang.
    pub kind: Kind,
    /// The newest attempt.
    pub attempt: id::Attempt,
    /// Where its tasks are; empty while it waits.
    pub workers: Vec<id::Worker>,
}

/// Why a job waits or where it went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub job: id::Job,
    /// One sentence.
    pub summary: String,
    /// Where its tasks are; empty while it waits.
    pub workers: Vec<id::Worker>,
}

/// An operator's wish to empty a worker, or to put it back into use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The worker's name.
    pub worker: id::Worker,
    /// Whether to empty it.
    pub on: bool,
}

/// One node, for an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The node.
    pub node: id::Node,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// The term it is in, as far as known here.
    pub term: Term,
    /// The newest log index known to be stored there.
    pub stored: Index,
}

impl Reply {
    /// The verdict that this reply carries, if it is about work.
    #[must_use]
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Answer(answer) => Some(answer.outcome.verdict),
            Self::Refused(refusal) => Some(refusal.outcome.verdict),
            _ => None,
        }
    }
}
