//! Whose a data folder is.

use derive_more::Display;
use gentianlane::id;
use serde::{Deserialize, Serialize};

use crate::frame::{self, Kind, Salt};
use crate::reader::{End, Reader, Step};
use crate::{Fault, Folder};

/// The file that says whose the folder is.
pub(crate) const FILE: &str = "identity";

/// The file's name while it is written.
pub(crate) const DRAFT: &str = "identity.new";

/// The folder's format.
pub(crate) const VERSION: u32 = 1;

/// The node that a data folder is for.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{node} of cell {cell}")]
pub struct Owner {
    /// The cell.
    pub cell: id::Cell,
    /// The node.
    pub node: id::Node,
}

/// Whose a data folder is, and which folder it is.
///
/// A folder that was wiped and begun again has another number.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{owner}, folder {folder:032x}")]
pub struct Identity {
    /// The node that the folder is for.
    pub owner: Owner,
    /// A random number, drawn when the folder was begun.
    pub folder: u128,
}

impl Identity {
    /// Reads the folder's identity; `None` if it has none.
    pub(crate) fn read(
        folder: &dyn Folder,
        names: &[String],
    ) -> Result<Option<Self>, Fault> {
        if !names.iter().any(|name| name == FILE) {
            return Ok(None);
        }
        let mut reader = Reader::open(folder, FILE, 0)?;
        let Ok(Step::Frame(Kind::Title, body)) = reader.step() else {
            return Err(reader.damaged(0));
        };
        let Ok((version, rest)) = postcard::take_from_bytes::<u32>(&body) else {
            return Err(reader.damaged(0));
        };
        if version != VERSION {
            return Err(Fault::Version { version });
        }
        let identity = postcard::from_bytes(rest).map_err(|_| reader.damaged(0))?;
        match reader.step() {
            Ok(Step::End(End::Sealed)) => Ok(Some(identity)),
            _ => Err(reader.damaged(reader.at())),
        }
    }

    /// Writes the identity under the draft's name, so that it lasts.
    ///
    /// The folder has begun once [`Identity::confirm`] has given it its name.
    pub(crate) fn draft(&self, folder: &mut dyn Folder) -> Result<(), Fault> {
        let mut body = postcard::to_allocvec(&VERSION).map_err(|_| Fault::Encode)?;
        body = postcard::to_extend(self, body).map_err(|_| Fault::Encode)?;
        let salt = Salt::new(0, FILE);
        let title = frame::write(Kind::Title, &body, salt, 0);
        let mut bytes = title.ok_or(Fault::Encode)?;
        let seal = frame::write(Kind::Seal, &[], salt, bytes.len() as u64);
        bytes.extend(seal.ok_or(Fault::Encode)?);
        folder
            .write(DRAFT, 0, &bytes)
            .map_err(|source| Fault::of(DRAFT, source))?;
        folder
            .sync(DRAFT)
            .and_then(|()| folder.sync_names())
            .map_err(|source| Fault::sync(DRAFT, source))
    }

    /// Gives the draft its name.
    pub(crate) fn confirm(folder: &mut dyn Folder) -> Result<(), Fault> {
        folder
            .rename(DRAFT, FILE)
            .map_err(|source| Fault::of(FILE, source))?;
        folder
            .sync_names()
            .map_err(|source| Fault::sync(FILE, source))
    }
}
