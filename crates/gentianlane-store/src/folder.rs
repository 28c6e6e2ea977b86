//! The file system operations that the journal needs.

use std::fmt::Debug;
use std::io;

/// One folder of plain files; a trait, so that tests can inject faults.
///
/// Content is durable only after [`Folder::sync`] has returned for its file;
/// creating, renaming and removing files is durable only after
/// [`Folder::sync_folder`] has returned.
pub trait Folder: Debug + Send {
    /// The names of all files, in any order.
    fn file_names(&self) -> io::Result<Vec<String>>;

    /// The length of a file in bytes.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Fills the buffer from an offset on; fails if the file ends earlier.
    fn read(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()>;

    /// Writes all bytes at an offset, and creates the file if it is missing.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes a file's content and length durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file; an existing file of the new name is replaced.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the folder's list of files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}
