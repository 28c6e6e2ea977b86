//! What can go wrong with a data folder.

use derive_more::{Display, Error};
use std::io;
use std::path::PathBuf;

/// Why the data folder can't be read or written.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The operating system refused; after a write the node has to end, as a
    /// second try may claim success for what was lost.
    #[display("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A record in the middle is damaged; acknowledged entries may be lost.
    #[display("{}: damaged at byte {offset}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damaged record begins.
        offset: u64,
    },
    /// A record is too large or can't be encoded.
    #[display("a record can't be encoded")]
    Encode,
}
