//! The file system as the journal sees it.

use std::fmt::Debug;
use std::io;

/// One folder of plain files, at the edge of the process.
///
/// What was written lasts only once [`Folder::sync`] returned for its file,
/// and a file's name only once [`Folder::sync_folder`] did.
pub trait Folder: Debug + Send {
    /// The names of all files.
    fn file_names(&self) -> io::Result<Vec<String>>;

    /// How many bytes a file has.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Reads bytes from an offset on until the buffer is full.
    fn read(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()>;

    /// Writes bytes at an offset, and creates the file if there is none.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes a file's content last.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of a file that has it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the files' names last.
    fn sync_folder(&mut self) -> io::Result<()>;
}
