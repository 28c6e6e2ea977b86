//! What is answered while the disk takes no more.
//!
//! The core then stands still: what it wants stored is tried again, nothing
//! that depends on it leaves, and no call reaches it.

use gentianlane::api::{Call, Refusal, Submit};
use gentianlane::cell::{Command, Node, Output};
use gentianlane::consensus::{Entry, Index, Payload};
use gentianlane::unit::{Span, Time};
use gentianlane::verdict::{Outcome, Reason};

/// When to come back.
const RETRY_AFTER: Span = Span::from_secs(2);

/// Refuses a call that the core doesn't get to see.
///
/// Only a request that no entry can have taken up is called `not run`: the
/// node leads, has applied all that was stored before, and neither knows the
/// key nor holds it back among what waits for the disk.
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
        detail: "the disk for the cell's state takes no more".to_owned(),
    }
}

fn is_certainly_new(node: &Node, outputs: &[Output], submit: &Submit, now: Time) -> bool {
    let entries = || outputs.iter().flat_map(stored_entries);
    let consensus = node.consensus();
    let first = entries().next().map(|entry| entry.index);
    let known = first.map_or(consensus.last_index(), Index::prev);
    consensus.holds_lease(now)
        && consensus.applied_index() >= known
        && node.state().record(&submit.key).is_none()
        && !entries().any(|entry| may_submit_same_key(entry, submit))
}

fn stored_entries(output: &Output) -> &[Entry] {
    match output {
        Output::Store(entries) => entries,
        _ => &[],
    }
}

/// Whether an entry takes up a request of the same key.
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
