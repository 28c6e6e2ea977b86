//! Frames, of which every file is made.
//!
//! A frame is a head of 16 bytes and a body. The head's checksum also covers
//! the file's name, the folder's identity and the frame's offset, so that a
//! frame counts only where it was written.

use crc32fast::Hasher;

/// Bytes of a frame's head.
pub(crate) const HEADER_LENGTH: usize = 16;

/// The longest body, in bytes.
pub(crate) const MAX_BODY_LENGTH: usize = 16 << 20;

/// The bytes after the kind with which every head begins.
const MAGIC: [u8; 3] = *b"gtl";

/// What a frame holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// What a file is, as its first frame.
    FileHeader,
    /// Records that were written together.
    Records,
    /// Nothing: all before it was synced. The next frame takes its place.
    SyncMark,
    /// Nothing: the file ends here for good.
    Seal,
    /// The number of a snapshot that exists from here on.
    SnapshotPointer,
    /// A part of a snapshot's state.
    SnapshotChunk,
}

impl Kind {
    const ALL: [Self; 6] = [
        Self::FileHeader,
        Self::Records,
        Self::SyncMark,
        Self::Seal,
        Self::SnapshotPointer,
        Self::SnapshotChunk,
    ];

    const fn code(self) -> u8 {
        match self {
            Self::FileHeader => 1,
            Self::Records => 2,
            Self::SyncMark => 3,
            Self::Seal => 4,
            Self::SnapshotPointer => 5,
            Self::SnapshotChunk => 6,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.code() == code)
    }
}

/// What the heads' checksums of one file begin with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Salt(u32);

impl Salt {
    pub(crate) fn new(folder: u128, name: &str) -> Self {
        let mut hasher = Hasher::new();
        hasher.update(&folder.to_le_bytes());
        hasher.update(name.as_bytes());
        Self(hasher.finalize())
    }

    fn checksum(self, offset: u64, bytes: &[u8]) -> u32 {
        let mut hasher = Hasher::new_with_initial(self.0);
        hasher.update(&offset.to_le_bytes());
        hasher.update(bytes);
        hasher.finalize()
    }
}

/// A frame's head.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Header {
    pub(crate) kind: Kind,
    /// Bytes of the body.
    pub(crate) length: usize,
    checksum: u32,
}

impl Header {
    /// The head at the start of some bytes from this offset, if it is whole.
    pub(crate) fn decode(bytes: &[u8], salt: Salt, offset: u64) -> Option<Self> {
        let header = bytes.get(..HEADER_LENGTH)?;
        if header[1..4] != MAGIC {
            return None;
        }
        let number = |at: usize| {
            let bytes: [u8; 4] = header.get(at..at + 4)?.try_into().ok()?;
            Some(u32::from_le_bytes(bytes))
        };
        if salt.checksum(offset, &header[..12]) != number(12)? {
            return None;
        }
        let length = number(4)? as usize;
        if length > MAX_BODY_LENGTH {
            return None;
        }
        Some(Self {
            kind: Kind::from_code(header[0])?,
            length,
            checksum: number(8)?,
        })
    }

    /// Whether a body is the one that was written after this head.
    pub(crate) fn matches_body(&self, body: &[u8]) -> bool {
        body.len() == self.length && crc32fast::hash(body) == self.checksum
    }
}

/// A whole frame as bytes; `None` if its body is too long.
pub(crate) fn encode(
    kind: Kind,
    body: &[u8],
    salt: Salt,
    offset: u64,
) -> Option<Vec<u8>> {
    if body.len() > MAX_BODY_LENGTH {
        return None;
    }
    let length = u32::try_from(body.len()).ok()?;
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + body.len());
    bytes.push(kind.code());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    let checksum = salt.checksum(offset, &bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(body);
    Some(bytes)
}
