//! Errors of the journal and its data folder.

use derive_more::{Display, Error};
use std::io;

use crate::{Identity, Owner};

/// Why a data folder can't be opened, read or written.
///
/// After a write that failed with [`Fault::DiskFull`], [`Fault::TooManyFiles`],
/// [`Fault::Encode`] or [`Fault::Gap`], the journal is as it was before and can
/// still be used. Any other fault of a write ends its use.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// An operation on a file failed.
    #[display("{file}: {source}")]
    Io {
        /// The name of the file, `folder` for the folder itself, or the folder's
        /// path if it couldn't be opened.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk, the quota or the largest file size is exhausted; nothing of
    /// the write is kept.
    #[display("{file}: the disk is full")]
    DiskFull {
        /// The name of the file that was written.
        file: String,
    },
    /// The process has no file descriptor left to open a file with; nothing of the
    /// write is kept.
    #[display("{file}: {source}")]
    TooManyFiles {
        /// The name of the file, or `folder` for the folder itself.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A sync failed, or a change whose outcome has to be known: written data
    /// may be lost, and a second sync may still report success, so the process
    /// has to exit.
    #[display("{file}: sync failed: {source}")]
    Sync {
        /// The name of the file, or `folder` for the folder itself.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The journal was used after a fault that left it unusable.
    #[display("the journal can't be used after an earlier fault")]
    Poisoned,
    /// A file is damaged in a way that no crash explains, so acknowledged
    /// entries may be lost.
    #[display("{file}: damaged at byte {offset}")]
    Damaged {
        /// The name of the damaged file.
        file: String,
        /// The offset of the first damaged frame, in bytes.
        offset: u64,
    },
    /// A file that the folder needs is missing.
    #[display("{file}: missing")]
    Missing {
        /// The name of the missing file.
        file: String,
    },
    /// The folder was written in a format that this version can't read.
    #[display("the folder has format {version}, which isn't supported")]
    Version {
        /// The folder's format version.
        version: u32,
    },
    /// The folder belongs to another node.
    #[display("the folder belongs to {found}, not to {expected}")]
    WrongOwner {
        /// The identity that is stored in the folder.
        found: Identity,
        /// The owner for which the folder was opened.
        expected: Owner,
    },
    /// Another process holds the folder's lock.
    #[display("another process uses the folder")]
    Locked,
    /// A record is too large or can't be encoded.
    #[display("a record is too large or can't be encoded")]
    Encode,
    /// An entry neither follows the stored log nor replaces its end.
    #[display("entry {index} doesn't follow the stored log")]
    Gap {
        /// The index of the rejected entry.
        index: u64,
    },
}

impl Fault {
    /// A failed read or write; [`Fault::DiskFull`] if space ran out, and
    /// [`Fault::TooManyFiles`] if descriptors did.
    pub(crate) fn from_io(file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        if matches!(source.raw_os_error(), Some(EMFILE | ENFILE)) {
            return Self::TooManyFiles { file, source };
        }
        match source.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => Self::DiskFull { file },
            _ => Self::Io { file, source },
        }
    }

    /// A failure that leaves the content on disk unknown, whatever its kind.
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

    /// Whether the journal can be used after a write that failed so; it is then
    /// as it was before that write.
    #[must_use]
    pub fn leaves_usable(&self) -> bool {
        matches!(
            self,
            Self::DiskFull { .. }
                | Self::TooManyFiles { .. }
                | Self::Encode
                | Self::Gap { .. }
        )
    }

    /// Whether space or descriptors ran out, so that the same write can succeed
    /// once there is room again.
    #[must_use]
    pub fn is_exhaustion(&self) -> bool {
        matches!(self, Self::DiskFull { .. } | Self::TooManyFiles { .. })
    }
}

/// The error numbers of a process and of a system without a free descriptor;
/// [`io::ErrorKind`] has no kind for them.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
