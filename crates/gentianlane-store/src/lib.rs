//! The cell's state on a disk, under one data folder.
//!
//! All that a node has to remember goes to one journal of checksummed records.
//! What [`Journal::append`] returned from is on disk, synced. A record that a
//! crash cut short at the end is dropped on opening; damage anywhere else is
//! an error.

mod fault;
mod journal;
mod record;

pub use fault::Fault;
pub use journal::Journal;
pub use record::Record;
