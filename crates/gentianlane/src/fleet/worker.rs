//! What a worker says of itself.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::fleet::job::Resources;
use crate::id;
use crate::unit::Wall;

/// One life of a worker's process.
///
/// The same worker may come back under its name; then it has been born later
/// and remembers nothing.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{worker}/{started_at}")]
pub struct Incarnation {
    /// The worker's name.
    pub worker: id::Worker,
    /// When the process began, by its own civil clock.
    pub started_at: Wall,
}

/// A worker as it announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The pool that it serves.
    pub pool: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// All that it has.
    pub capacity: Resources,
    /// Its labels, its rack among them.
    pub labels: Vec<String>,
}

/// One report of a worker about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Who reports.
    pub incarnation: Incarnation,
    /// Where it is and what it has.
    pub profile: Profile,
    /// Counts the life's reports, so that a late one is recognised.
    pub sequence: u64,
    /// Whether the worker is being emptied.
    pub draining: bool,
}
