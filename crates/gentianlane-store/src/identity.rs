//! The identity of a data folder and its owner.

use derive_more::Display;
use gentianlane::id;
use serde::{Deserialize, Serialize};

use crate::frame::{self, Kind, Salt};
use crate::reader::{End, Item, Reader};
use crate::{Fault, Folder};

/// The file that holds the folder's identity.
pub(crate) const FILE_NAME: &str = "identity";

/// The name of the identity file until it is complete.
pub(crate) const TEMPORARY_NAME: &str = "identity.new";

/// The version of the folder's format.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// The node that owns a data folder.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{node} of cell {cell}")]
pub struct Owner {
    /// The cell that the node is a member of.
    pub cell: id::Cell,
    /// The node's id in the cell.
    pub node: id::Node,
}

/// The owner of a data folder and the folder's own id.
///
/// A folder that was wiped and created again has another id, which tells it
/// apart from the folder whose content is lost.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{owner}, folder {folder_id:032x}")]
pub struct Identity {
    /// The node that owns the folder.
    pub owner: Owner,
    /// A random number, drawn when the folder was created.
    pub folder_id: u128,
}

impl Identity {
    /// Reads the folder's identity; `None` if the identity file is not among
    /// `names`.
    pub(crate) fn read(
        folder: &dyn Folder,
        names: &[String],
    ) -> Result<Option<Self>, Fault> {
        if !names.iter().any(|name| name == FILE_NAME) {
            return Ok(None);
        }
        let mut reader = Reader::open(folder, FILE_NAME, 0)?;
        let Ok(Item::Frame(Kind::FileHeader, body)) = reader.next_item() else {
            return Err(reader.damaged(0));
        };
        let Ok((version, rest)) = postcard::take_from_bytes::<u32>(&body) else {
            return Err(reader.damaged(0));
        };
        if version != FORMAT_VERSION {
            return Err(Fault::Version { version });
        }
        let identity = postcard::from_bytes(rest).map_err(|_| reader.damaged(0))?;
        match reader.next_item() {
            Ok(Item::End(End::Sealed)) => Ok(Some(identity)),
            _ => Err(reader.damaged(reader.offset())),
        }
    }

    /// Writes the identity to the temporary file and makes it durable.
    ///
    /// The folder counts as created only once [`Identity::commit`] has renamed
    /// that file.
    pub(crate) fn write_temporary(&self, folder: &mut dyn Folder) -> Result<(), Fault> {
        let mut body =
            postcard::to_allocvec(&FORMAT_VERSION).map_err(|_| Fault::Encode)?;
        body = postcard::to_extend(self, body).map_err(|_| Fault::Encode)?;
        let salt = Salt::new(0, FILE_NAME);
        let header = frame::encode(Kind::FileHeader, &body, salt, 0);
        let mut bytes = header.ok_or(Fault::Encode)?;
        let seal = frame::encode(Kind::Seal, &[], salt, bytes.len() as u64);
        bytes.extend(seal.ok_or(Fault::Encode)?);
        folder
            .write(TEMPORARY_NAME, 0, &bytes)
            .map_err(|source| Fault::from_io(TEMPORARY_NAME, source))?;
        folder
            .sync(TEMPORARY_NAME)
            .and_then(|()| folder.sync_folder())
            .map_err(|source| Fault::sync(TEMPORARY_NAME, source))
    }

    /// Renames the temporary file to the identity file.
    pub(crate) fn commit(folder: &mut dyn Folder) -> Result<(), Fault> {
        folder
            .rename(TEMPORARY_NAME, FILE_NAME)
            .map_err(|source| Fault::from_io(FILE_NAME, source))?;
        folder
            .sync_folder()
            .map_err(|source| Fault::sync(FILE_NAME, source))
    }
}
