//! Durable storage for a node's consensus state, in one data folder.
//!
//! A [`Journal`] is a write-ahead log of checksummed segments, whose beginning
//! is replaced by a snapshot from time to time. Records are synced to disk
//! before [`Journal::append`] returns. When a folder is opened, a torn write at
//! the end of the journal is discarded; damage anywhere else is an error, since
//! acknowledged records may be lost.

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
