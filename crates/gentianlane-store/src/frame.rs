//! The format of frames, of which all files in the folder consist.
//!
//! A frame is a header of 16 bytes and a body. The header holds the kind (1
//! byte), the magic bytes (3), the length of the body (4), the checksum of the
//! body (4) and the checksum of the header (4), all little-endian. The header's
//! checksum also covers the folder's id, the file's name and the frame's
//! offset, so that a frame is valid only where it was written.

use crc32fast::Hasher;

/// The length of a frame's header in bytes.
pub(crate) const HEADER_LENGTH: usize = 16;

/// The longest body of a frame in bytes.
pub(crate) const MAX_BODY_LENGTH: usize = 16 << 20;

/// The bytes after the kind in every header.
const MAGIC: [u8; 3] = *b"gtl";

/// What a frame holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The first frame of a file, with the file's metadata.
    FileHeader,
    /// Records that were appended together.
    Records,
    /// An empty body: all frames before it were synced. The next frame
    /// overwrites it.
    SyncMark,
    /// An empty body: the file is complete.
    Seal,
    /// The number of a snapshot that was stored before this frame.
    SnapshotPointer,
    /// A part of a snapshot's data.
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

/// The initial value of the header checksums in one file.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Salt(u32);

impl Salt {
    /// The salt of the file `name`; the identity file, from which the folder's
    /// id is read, uses the id zero.
    pub(crate) fn new(folder_id: u128, name: &str) -> Self {
        let mut hasher = Hasher::new();
        hasher.update(&folder_id.to_le_bytes());
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

/// The decoded header of a frame.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Header {
    pub(crate) kind: Kind,
    /// The length of the body in bytes.
    pub(crate) length: usize,
    checksum: u32,
}

impl Header {
    /// Decodes the header at the start of `bytes`, which were read at `offset`;
    /// `None` if it isn't valid there.
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

    /// Whether length and checksum of a body match this header.
    pub(crate) fn matches_body(&self, body: &[u8]) -> bool {
        body.len() == self.length && crc32fast::hash(body) == self.checksum
    }
}

/// Encodes a frame for `offset` in a file; `None` if its body is longer than
/// [`MAX_BODY_LENGTH`].
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
