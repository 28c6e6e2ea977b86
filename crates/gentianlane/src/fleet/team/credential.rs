//! The secret by which a caller proves its team.

use std::fmt;

use derive_more::From;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// A caller's key. It is a secret, so its debug output doesn't show it.
///
/// ```
/// use gentianlane::fleet::team::Credential;
/// let credential = Credential::from("secret");
/// assert_eq!(format!("{credential:?}"), "Credential(..)");
/// ```
#[derive(Clone, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Credential(String);

impl Credential {
    /// The digest by which keys are compared. How long that takes says nothing
    /// about other keys.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }

    /// Whether it has no characters, and so is no secret.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for Credential {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}
