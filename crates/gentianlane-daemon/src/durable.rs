//! Writes a node's durable outputs to its journal.

use gentianlane::consensus::{Ballot, Entry, Snapshot};
use gentianlane_store::{Fault, Journal, Record};

/// An output that has to be durable before any later output takes effect.
pub(crate) enum Write<'a> {
    Ballot(&'a Ballot),
    Entries(&'a [Entry]),
    Snapshot(&'a Snapshot),
}

/// Writes the durable ones among some outputs, in order, with one sync for all
/// records up to a snapshot.
///
/// `durable` says what has to be written of an output. `written` is the number
/// of outputs, from the front, that are on the disk already or don't have to be:
/// a repetition after a full disk starts there, and a snapshot advances it.
///
/// # Errors
///
/// The journal's fault.
pub(crate) fn write<O>(
    journal: &mut Journal,
    outputs: &[O],
    durable: impl Fn(&O) -> Option<Write<'_>>,
    written: &mut usize,
) -> Result<(), Fault> {
    let mut records = Vec::new();
    for (at, output) in outputs.iter().enumerate().skip(*written) {
        match durable(output) {
            Some(Write::Ballot(ballot)) => records.push(Record::Ballot(*ballot)),
            Some(Write::Entries(entries)) => {
                records.extend(entries.iter().cloned().map(Record::Entry));
            }
            Some(Write::Snapshot(snapshot)) => {
                append(journal, &records)?;
                records.clear();
                *written = at;
                journal.snapshot(snapshot)?;
                *written = at + 1;
            }
            None => {}
        }
    }
    append(journal, &records)
}

fn append(journal: &mut Journal, records: &[Record]) -> Result<(), Fault> {
    match records.is_empty() {
        true => Ok(()),
        false => journal.append(records),
    }
}
