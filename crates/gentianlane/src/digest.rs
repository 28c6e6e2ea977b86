//! SHA-256 digests, to compare contents and detect truncation.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// A SHA-256 digest.
///
/// In JSON and as text it is 64 hexadecimal digits; in binary formats it is the
/// 32 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    ///
    /// ```
    /// use gentianlane::digest::Digest;
    /// let digest = Digest::of(b"abc").to_string();
    /// assert!(digest.starts_with("ba7816bf"));
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// The digest's bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The error for text that isn't 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a digest has 64 hexadecimal digits")]
pub struct BadDigest;

impl TryFrom<String> for Digest {
    type Error = BadDigest;

    fn try_from(text: String) -> Result<Self, BadDigest> {
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.is_ascii() {
            return Err(BadDigest);
        }
        for (byte, at) in bytes.iter_mut().zip((0..).step_by(2)) {
            let pair = text.get(at..at + 2).ok_or(BadDigest)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| BadDigest)?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            Self::try_from(text).map_err(serde::de::Error::custom)
        } else {
            Ok(Self(<[u8; 32]>::deserialize(deserializer)?))
        }
    }
}
