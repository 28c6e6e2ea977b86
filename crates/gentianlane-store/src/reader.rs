//! Reads the frames of a file in order, in bounded memory and linear time.

use crate::frame::{HEADER_LENGTH, Header, Kind, Salt};
use crate::{Fault, Folder};

/// The least number of bytes that are read from a file at once.
const MIN_READ_LENGTH: usize = 64 << 10;

/// How a file ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// After a whole frame or its sync mark.
    Clean,
    /// With a torn write: a frame of which a crash left only a part.
    Torn,
    /// With a seal.
    Sealed,
}

/// What the reader finds next in a file.
#[derive(Debug)]
pub(crate) enum Item {
    /// A whole frame with its body.
    Frame(Kind, Vec<u8>),
    /// The end of the file.
    End(End),
}

/// An open file and the position of the next frame.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    folder: &'a dyn Folder,
    name: &'a str,
    salt: Salt,
    /// The length of the file in bytes.
    length: u64,
    /// The offset of the next frame in the file.
    offset: u64,
    /// The part of the file that was read last.
    window: Vec<u8>,
    /// The offset of the window in the file.
    window_start: u64,
}

impl<'a> Reader<'a> {
    pub(crate) fn open(
        folder: &'a dyn Folder,
        name: &'a str,
        folder_id: u128,
    ) -> Result<Self, Fault> {
        let length = folder
            .length(name)
            .map_err(|source| Fault::from_io(name, source))?;
        Ok(Self {
            folder,
            name,
            salt: Salt::new(folder_id, name),
            length,
            offset: 0,
            window: Vec::new(),
            window_start: 0,
        })
    }

    /// The offset after the last frame that was read.
    pub(crate) fn offset(&self) -> u64 {
        self.offset
    }

    /// The fault for damage at an offset of this file.
    pub(crate) fn damaged(&self, offset: u64) -> Fault {
        Fault::damaged(self.name, offset)
    }

    /// Reads the next frame, or reports the end of the file.
    ///
    /// A partial frame can be a torn write only if no frame follows it, since a
    /// frame is written only after all earlier ones were synced.
    pub(crate) fn next_item(&mut self) -> Result<Item, Fault> {
        if self.offset == self.length {
            return Ok(Item::End(End::Clean));
        }
        let Some(header) = self.header_at(self.offset)? else {
            return self.end_at_partial_frame();
        };
        let after = self.offset + HEADER_LENGTH as u64;
        match header.kind {
            Kind::SyncMark if after == self.length => Ok(Item::End(End::Clean)),
            Kind::SyncMark => self.end_at_partial_frame(),
            Kind::Seal if after == self.length => Ok(Item::End(End::Sealed)),
            Kind::Seal => Err(self.damaged(self.offset)),
            Kind::FileHeader
            | Kind::Records
            | Kind::SnapshotPointer
            | Kind::SnapshotChunk => {
                if after + header.length as u64 > self.length {
                    return self.end_at_partial_frame();
                }
                let body = self.bytes_at(after, header.length)?.to_vec();
                if !header.matches_body(&body) {
                    return self.end_at_partial_frame();
                }
                self.offset = after + header.length as u64;
                Ok(Item::Frame(header.kind, body))
            }
        }
    }

    /// Ends the file at a partial frame; fails with [`Fault::Damaged`] if any
    /// valid header follows.
    fn end_at_partial_frame(&mut self) -> Result<Item, Fault> {
        let mut at = self.offset + 1;
        while at + HEADER_LENGTH as u64 <= self.length {
            if self.header_at(at)?.is_some() {
                return Err(self.damaged(self.offset));
            }
            at += 1;
        }
        Ok(Item::End(End::Torn))
    }

    fn header_at(&mut self, at: u64) -> Result<Option<Header>, Fault> {
        if at + HEADER_LENGTH as u64 > self.length {
            return Ok(None);
        }
        let salt = self.salt;
        Ok(Header::decode(self.bytes_at(at, HEADER_LENGTH)?, salt, at))
    }

    /// The bytes from `at` on, which have to lie within the file.
    fn bytes_at(&mut self, at: u64, length: usize) -> Result<&[u8], Fault> {
        let end = self.window_start + self.window.len() as u64;
        if at < self.window_start || at + length as u64 > end {
            let rest = usize::try_from(self.length - at).unwrap_or(usize::MAX);
            self.window.resize(length.max(MIN_READ_LENGTH).min(rest), 0);
            self.window_start = at;
            self.folder
                .read(self.name, at, &mut self.window)
                .map_err(|source| Fault::from_io(self.name, source))?;
        }
        let offset = usize::try_from(at - self.window_start).unwrap_or(usize::MAX);
        let bytes = self.window.get(offset..offset + length);
        bytes.ok_or_else(|| Fault::damaged(self.name, at))
    }
}
