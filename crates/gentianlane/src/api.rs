//! The calls of callers, workers and operators, and their replies.
//!
//! Clients send these types as JSON over HTTP, and an entry VM passes the same
//! types on to the leader over JSON-RPC.

use serde::{Deserialize, Serialize};

use crate::consensus::{Index, Term};
use crate::digest::Digest;
use crate::id;
use crate::lease::Fingerprint;
use crate::note;
use crate::place::Kind;
use crate::unit::{Size, Span};
use crate::verdict::{Outcome, Reason, Verdict};

/// The longest payload of a request, and the longest total of the outputs in
/// one answer, in bytes.
pub const TEXT_LIMIT: usize = 64 << 10;

/// The longest `traceparent`, in bytes.
pub const TRACE_LIMIT: usize = 64;

/// The most tasks that one request may ask for.
pub const TASK_LIMIT: u32 = 1_024;

/// One call to the cell, from a client or forwarded by another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "call", content = "with", rename_all = "snake_case")]
pub enum Call {
    /// A caller requests work.
    Submit(Submit),
    /// A caller waits for the answer to an earlier request.
    Wait(Wait),
    /// A caller cancels a request.
    Cancel(Cancel),
    /// A worker registers itself.
    Announce(Announce),
    /// A worker renews its lease and fetches its orders.
    Renew(Renew),
    /// A worker reports that a task ended.
    Finish(Finish),
    /// A worker deregisters itself.
    Leave(Leave),
    /// An operator submits a release note.
    Note(NoteText),
    /// An operator asks for the revision in force and the nodes that apply it.
    NoteStatus,
    /// An operator lists the workers.
    Workers,
    /// An operator lists the jobs.
    Jobs,
    /// An operator asks why a job waits or where it was placed.
    Explain(id::Job),
    /// An operator starts or ends the draining of a worker.
    Drain(Drain),
    /// An operator lists the nodes of the cell.
    Members,
}

/// The cell's reply to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", content = "with", rename_all = "snake_case")]
pub enum Reply {
    /// The answer to a submitted, awaited or cancelled request.
    Answer(Answer),
    /// A worker's renewed lease and its orders.
    Lease(Lease),
    /// The effect of the call is durable.
    Done,
    /// Whether a release note was accepted.
    Note(NoteReply),
    /// The revision in force and the nodes that apply it.
    NoteStatus(NoteStatus),
    /// All registered workers.
    Workers(Vec<WorkerView>),
    /// All open jobs.
    Jobs(Vec<JobView>),
    /// Why a job waits or where it was placed.
    Explain(Explanation),
    /// All nodes of the cell.
    Members(Vec<MemberView>),
    /// The call wasn't carried out.
    Refused(Refusal),
}

/// A request for work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// The idempotency key, the same for each resend of the request.
    pub key: id::Key,
    /// The team whose quota the work counts towards.
    pub team: id::Team,
    /// The workload, by its name in a release note.
    pub workload: id::Workload,
    /// The input of each task, at most [`TEXT_LIMIT`] bytes.
    #[serde(default)]
    pub payload: String,
    /// The number of tasks, at most [`TASK_LIMIT`]; the workload's own count if
    /// absent.
    #[serde(default)]
    pub count: Option<u32>,
    /// How long the work may still wait for its start, in milliseconds.
    #[serde(default)]
    pub deadline: Option<Span>,
    /// The trace span that the start orders belong to, as a W3C `traceparent`
    /// of at most [`TRACE_LIMIT`] bytes; set by an entry VM that traces calls.
    #[serde(default)]
    pub trace: Option<String>,
    /// How long this call may be held open for the answer, in milliseconds.
    #[serde(default)]
    pub hold: Span,
}

impl Submit {
    /// The digest of the request's content, to tell a resend from another
    /// request with the same key.
    ///
    /// Deadline, trace and hold are left out, as they change from one resend to
    /// the next.
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

/// A wait for the answer to an earlier request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wait {
    /// The request's key.
    pub key: id::Key,
    /// How long to hold this call for the answer, in milliseconds.
    #[serde(default)]
    pub hold: Span,
}

/// The cancellation of a request, which may arrive before the request itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// The request's key.
    pub key: id::Key,
    /// How long to hold this call for the answer, in milliseconds.
    #[serde(default)]
    pub hold: Span,
}

/// The final answer to one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The key of the request.
    pub key: id::Key,
    /// The request's job, if it was accepted as one.
    #[serde(default)]
    pub job: Option<id::Job>,
    /// Whether the work ran, and why or why not.
    pub outcome: Outcome,
    /// The outputs of the tasks, in order of rank.
    #[serde(default)]
    pub outputs: Vec<Output>,
}

/// The output of one task, with a length and a digest by which a reader can
/// tell whether the text is complete.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Output {
    /// The output, or empty if it is too long to be carried.
    pub text: String,
    /// The length of the whole output in bytes.
    pub length: u64,
    /// The digest of the whole output.
    pub digest: Digest,
}

impl Output {
    /// The output with this text, its length and its digest.
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

    /// Drops the text if it is longer than `limit` bytes; length and digest
    /// stay, so that a reader sees that the text is missing.
    #[must_use]
    pub fn capped(mut self, limit: usize) -> Self {
        if self.text.len() > limit {
            self.text = String::new();
        }
        self
    }

    /// Whether the text matches its length and digest.
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
/// The outcome covers all that was ever sent under the request's key. If it has
/// a retry delay, it is what is known up to now; otherwise it is final.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the work may have run, why, and when to retry.
    pub outcome: Outcome,
    /// An explanation for people; not meant to be parsed.
    #[serde(default)]
    pub detail: String,
}

impl Refusal {
    /// A refusal of work that has not run.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::not_run(reason),
            detail: detail.into(),
        }
    }

    /// The refusal of a key that is so old that its record may have been
    /// dropped, so that it isn't known whether its work has run.
    #[must_use]
    pub fn key_expired() -> Self {
        Self {
            outcome: Outcome::may_have_run(Reason::KeyExpired),
            detail: "the key is older than the records that are kept".to_owned(),
        }
    }

    /// Adds how long to wait before a retry.
    #[must_use]
    pub fn retry_after(mut self, span: Span) -> Self {
        self.outcome = self.outcome.retry_after(span);
        self
    }
}

/// A worker's registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// The worker's name.
    pub worker: id::Worker,
    /// The incarnation of the worker's process; all tasks of earlier ones have
    /// ended.
    pub incarnation: id::Incarnation,
    /// The resources that the worker offers.
    pub size: Size,
    /// The worker's region; empty if none is given.
    #[serde(default)]
    pub region: id::Region,
    /// The worker's failure domain.
    pub domain: id::Domain,
    /// The worker's rack.
    pub rack: id::Rack,
    /// Where its service instances accept connections, as `ip:port`; empty if
    /// none is given.
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
    /// The incarnation of the worker's process.
    pub incarnation: id::Incarnation,
    /// The tokens that the worker has accepted and not finished, sorted; empty
    /// if [`Renew::unchanged`] is set.
    #[serde(default)]
    pub running: Vec<id::Token>,
    /// The fingerprint of the tokens, sent in place of the list if a renewal
    /// with the same list has already been answered.
    #[serde(default)]
    pub unchanged: Option<Fingerprint>,
    /// The resources that all running tasks use together.
    #[serde(default)]
    pub used: Size,
    /// How long this call may be held open for orders, in milliseconds.
    #[serde(default)]
    pub hold: Span,
}

/// A lease with the orders that come with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// How long the lease lasts from when the renewal was *sent*, in
    /// milliseconds.
    pub span: Span,
    /// The orders to carry out; one that is repeated has no further effect.
    pub orders: Vec<Order>,
    /// Whether the next renewal has to list its tokens, as the cell doesn't
    /// know the fingerprint; there are no orders then.
    #[serde(default)]
    pub resend: bool,
}

/// An order to a worker about one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Start a task, at most once for this token.
    Start {
        /// The fencing token.
        token: id::Token,
        /// The workload to run.
        workload: id::Workload,
        /// The task's input.
        payload: String,
        /// The resources that the task may use.
        size: Size,
        /// The number of tasks of its job.
        count: u32,
        /// The trace span that the order belongs to, as a W3C `traceparent`.
        #[serde(default)]
        trace: Option<String>,
    },
    /// Stop a task, or never start it if it hasn't started.
    Stop {
        /// The fencing token.
        token: id::Token,
    },
    /// Write a checkpoint, then stop.
    Checkpoint {
        /// The fencing token.
        token: id::Token,
    },
    /// Limit a task's processor time.
    Throttle {
        /// The fencing token.
        token: id::Token,
        /// The limit, in thousandths of a core.
        cpu: crate::unit::Millicores,
    },
}

/// How a task ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It exited with success.
    Done,
    /// It exited with a failure.
    Failed,
    /// It was stopped by an order or at the end of the lease, after it had
    /// started.
    Stopped,
    /// It was stopped by an order, after it had written a checkpoint.
    Checkpointed,
    /// It never started and never will under this token.
    NeverBegan,
}

/// A worker's report that a task ended, resent until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Finish {
    /// The worker's name.
    pub worker: id::Worker,
    /// The incarnation of the worker's process.
    pub incarnation: id::Incarnation,
    /// The fencing token that the task was started under.
    pub token: id::Token,
    /// How the task ended.
    pub ending: Ending,
    /// The output of the task.
    pub output: Output,
}

/// A worker's deregistration; all its tasks have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// The worker's name.
    pub worker: id::Worker,
    /// The incarnation of the worker's process.
    pub incarnation: id::Incarnation,
}

/// The text of a release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoteText {
    /// JSON with comments, as its operator wrote it.
    pub text: String,
}

/// The ruling on a release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteReply {
    /// The digest of the note that was submitted.
    pub digest: Digest,
    /// Whether the note was accepted, and if not, why.
    pub ruling: note::Ruling,
}

/// The revision in force, and the nodes that apply it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteStatus {
    /// The revision in force at the leader.
    pub revision: note::Revision,
    /// How far each node has applied the log.
    pub nodes: Vec<NodeRevision>,
}

/// How far one node has applied the log, and so the notes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRevision {
    /// The node's number.
    pub node: id::Node,
    /// The newest log index that the node is known to have applied.
    pub applied: Index,
    /// Whether that includes the revision in force.
    pub in_force: bool,
}

/// One worker, as listed to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker's name.
    pub worker: id::Worker,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its rack.
    pub rack: id::Rack,
    /// The resources that it offers.
    pub size: Size,
    /// The resources that are reserved for tasks.
    pub reserved: Size,
    /// Whether it is being drained and gets no new tasks.
    pub draining: bool,
    /// The number of tasks that hold a reservation on it.
    pub tasks: u32,
}

/// One job, as listed to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's number.
    pub job: id::Job,
    /// The key of its request; `None` for a replica of a service.
    pub key: Option<id::Key>,
    /// The team whose quota it counts towards.
    pub team: id::Team,
    /// The workload that it runs.
    pub workload: id::Workload,
    /// Whether it is a service's replica, a batch or a gang.
    pub kind: Kind,
    /// The newest attempt to run it.
    pub attempt: id::Attempt,
    /// The workers of its tasks; empty while it waits.
    pub workers: Vec<id::Worker>,
}

/// Why a job waits or where it was placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job's number.
    pub job: id::Job,
    /// The explanation, in one sentence.
    pub summary: String,
    /// The workers of its tasks; empty while it waits.
    pub workers: Vec<id::Worker>,
}

/// A change of whether a worker is drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The worker's name.
    pub worker: id::Worker,
    /// Whether to drain the worker (true) or to put it back into use (false).
    pub on: bool,
}

/// One node, as listed to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The node's number.
    pub node: id::Node,
    /// Whether it is a voter.
    pub voter: bool,
    /// Whether it is the leader.
    pub leader: bool,
    /// The current term at the leader that answers.
    pub term: Term,
    /// The newest log index that it is known to have stored.
    pub stored: Index,
}

impl Reply {
    /// The verdict on a request's work, if the reply has one.
    #[must_use]
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Answer(answer) => Some(answer.outcome.verdict),
            Self::Refused(refusal) => Some(refusal.outcome.verdict),
            _ => None,
        }
    }
}
