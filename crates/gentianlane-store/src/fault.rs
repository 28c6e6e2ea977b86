//! What can go wrong with a data folder.

use derive_more::{Display, Error};
use std::io;

use crate::{Identity, Owner};

/// Why the data folder can't be read or written.
///
/// After a write, only [`Fault::DiskFull`], [`Fault::Encode`] and [`Fault::Gap`]
/// leave the journal usable, as it was before the write.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The operating system refused.
    #[display("{file}: {source}")]
    Io {
        /// The file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// The disk takes no more; nothing of the write is kept.
    #[display("{file}: the disk is full")]
    DiskFull {
        /// The file.
        file: String,
    },
    /// A sync failed: what was written may be lost, and a second try may claim
    /// success for it, so the process has to end.
    #[display("{file}: sync failed: {source}")]
    Sync {
        /// The file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// The journal was used after a fault that ended it.
    #[display("the journal can't be used after an earlier fault")]
    Poisoned,
    /// A file is damaged where a crash can't have damaged it; acknowledged
    /// entries may be lost.
    #[display("{file}: damaged at byte {offset}")]
    Damaged {
        /// The file.
        file: String,
        /// Where the damaged part begins.
        offset: u64,
    },
    /// A file that has to be there isn't.
    #[display("{file}: missing")]
    Missing {
        /// The file.
        file: String,
    },
    /// The folder has a format that this version doesn't know.
    #[display("the folder has format {version}")]
    Version {
        /// The folder's format.
        version: u32,
    },
    /// The folder belongs to another node.
    #[display("the folder belongs to {found}, not to {expected}")]
    WrongOwner {
        /// Whose it is.
        found: Identity,
        /// Whose it should be.
        expected: Owner,
    },
    /// Another process uses the folder.
    #[display("another process uses the folder")]
    Locked,
    /// A record is too large or can't be encoded.
    #[display("a record can't be encoded")]
    Encode,
    /// An entry doesn't follow on those that are stored.
    #[display("entry {index} doesn't follow on the stored log")]
    Gap {
        /// The entry's index.
        index: u64,
    },
}

impl Fault {
    /// A refusal to read or write.
    pub(crate) fn from_io(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => Self::DiskFull { file },
            _ => Self::Io { file, source },
        }
    }

    /// A refusal to sync, for whatever reason.
    pub(crate) fn sync(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        Self::Sync { file, source }
    }

    pub(crate) fn damaged(file: &str, offset: u64) -> Self {
        let file = file.to_owned();
        Self::Damaged { file, offset }
    }

    pub(crate) fn missing(file: impl Into<String>) -> Self {
        let file = file.into();
        Self::Missing { file }
    }

    /// Whether the journal is as it was before the write that failed.
    #[must_use]
    pub fn leaves_usable(&self) -> bool {
        matches!(
            self,
            Self::DiskFull { .. } | Self::Encode | Self::Gap { .. }
        )
    }
}
