//! Workers' identities and the reports that they send to the leader.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::fleet::job::Resources;
use crate::id;
use crate::unit::Wall;

/// One incarnation of a worker: a single run of its process.
///
/// A worker that restarts keeps its name and has a later start time. It
/// remembers nothing of its earlier incarnations.
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
    /// When the process started, by the worker's own wall clock.
    pub started_at: Wall,
}

/// Where a worker can be reached and what it offers, as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The pool that the worker belongs to.
    pub pool: String,
    /// The address to which orders are sent.
    pub address: SocketAddr,
    /// The failure domain that the worker is in.
    pub domain: String,
    /// The worker's total resources, used or not.
    pub capacity: Resources,
    /// Labels that steps may require: the worker's kind first, its rack last.
    pub labels: Vec<String>,
}

/// A worker's periodic report about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation that sent the report.
    pub incarnation: Incarnation,
    /// The worker's profile at the time of the report.
    pub profile: Profile,
    /// Rises with each report of the incarnation, so that a report that arrives
    /// late is recognised and ignored.
    pub sequence: u64,
    /// Whether the worker is draining and gets no new tasks.
    pub draining: bool,
}
