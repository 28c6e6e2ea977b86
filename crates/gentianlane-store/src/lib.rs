//! The cell's state on a disk, under one data folder.
//!
//! All that a node has to remember goes to a [`Journal`] of checksummed
//! segments, with a snapshot in place of the log's beginning. What
//! [`Journal::append`] returned from is on disk, synced. A write that a crash
//! cut short at the end is dropped on opening; damage anywhere else is an
//! error.

mod disk;
mod fault;
mod folder;
mod frame;
mod identity;
mod journal;
mod reader;
mod record;
mod recovery;
mod replay;
mod report;
mod segment;
mod snapshot;

pub use disk::Disk;
pub use fault::Fault;
pub use folder::Folder;
pub use identity::{Identity, Owner};
pub use journal::Journal;
pub use record::Record;
pub use report::{Report, Segment, Snapshot, Tail};
