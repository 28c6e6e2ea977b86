//! Refusals of calls while the disk is full.
//!
//! The node is then blocked: its last outputs are retried, none that depends on
//! an unwritten one is sent, and calls are refused here without reaching it.

use gentianlane::api::{Call, Refusal, Submit};
use gentianlane::cell::{Command, Node, Output};
use gentianlane::consensus::{Entry, Index, Payload};
use gentianlane::unit::{Span, Time};
use gentianlane::verdict::{Outcome, Reason};

/// The delay after which callers should retry.
const RETRY_AFTER: Span = Span::from_secs(2);

/// The refusal of a call that doesn't reach the node.
///
/// A request gets the verdict `not run` only if no log entry can hold it: the
/// node holds the leader lease, has applied every entry before the unwritten
/// ones, and its key is neither in the state nor in an unwritten entry. Every
/// other call may have run.
pub(crate) fn refusal(
    node: &Node,
    outputs: &[Output],
    call: &Call,
    now: Time,
) -> Refusal {
    let reason = Reason::DiskFull;
    let outcome = match call {
        Call::Submit(submit) if is_certainly_new(node, outputs, submit, now) => {
            Outcome::not_run(reason)
        }
        _ => Outcome::may_have_run(reason),
    };
    Refusal {
        outcome: outcome.retry_after(RETRY_AFTER),
        detail: "the disk for the cell's state is full".to_owned(),
    }
}

fn is_certainly_new(node: &Node, outputs: &[Output], submit: &Submit, now: Time) -> bool {
    let entries = || outputs.iter().flat_map(stored_entries);
    let consensus = node.consensus();
    let first = entries().next().map(|entry| entry.index);
    let last_stored = first.map_or(consensus.last_index(), Index::prev);
    consensus.holds_lease(now)
        && consensus.applied_index() >= last_stored
        && node.state().record(&submit.key).is_none()
        && !entries().any(|entry| may_submit_same_key(entry, submit))
}

fn stored_entries(output: &Output) -> &[Entry] {
    match output {
        Output::Store(entries) => entries,
        _ => &[],
    }
}

/// Whether an entry submits a request with the same key; an entry that can't be
/// decoded may.
fn may_submit_same_key(entry: &Entry, submit: &Submit) -> bool {
    let Payload::Command(bytes) = &entry.payload else {
        return false;
    };
    match Command::decode(bytes) {
        Ok(Command::Submit { submit: other, .. }) => other.key == submit.key,
        Ok(_) => false,
        Err(_) => true,
    }
}
