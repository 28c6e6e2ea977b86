//! Writing what has to be durable before anything that follows it.

use gentianlane::consensus::{Ballot, Entry, Snapshot};
use gentianlane_store::{Fault, Journal, Record};

/// An output of a node that has to be durable.
pub(crate) enum Write<'a> {
    Ballot(&'a Ballot),
    Entries(&'a [Entry]),
    Snapshot(&'a Snapshot),
}

/// Writes what some outputs have to be durable, in order, with one sync for all
/// records up to a snapshot; what is done isn't written again after a full disk.
pub(crate) fn write<O>(
    journal: &mut Journal,
    outputs: &[O],
    durable: impl Fn(&O) -> Option<Write<'_>>,
    completed: &mut usize,
) -> Result<(), Fault> {
    let mut records = Vec::new();
    for (at, output) in outputs.iter().enumerate().skip(*completed) {
        match durable(output) {
            Some(Write::Ballot(ballot)) => records.push(Record::Ballot(*ballot)),
            Some(Write::Entries(entries)) => {
                records.extend(entries.iter().cloned().map(Record::Entry));
            }
            Some(Write::Snapshot(snapshot)) => {
                append(journal, &records)?;
                records.clear();
                *completed = at;
                journal.snapshot(snapshot)?;
                *completed = at + 1;
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
