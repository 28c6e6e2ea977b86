//! The budget of the process's file descriptors.

use gentianlane::fleet::delivery::connection::Limits;
use nix::sys::resource::{Resource, getrlimit};
use serde::Deserialize;

/// The limit that is assumed if the system doesn't tell the process's own; POSIX
/// guarantees far less, but every Linux has at least this.
const ASSUMED_LIMIT: usize = 1_024;

/// The most connections to one worker: one for a renewal, whose answer may be
/// delayed, and two for orders that are answered at once.
const WORKER_CONNECTIONS: usize = 3;

/// The most orders that wait for a connection; further ones are made again later.
const WAITING_LIMIT: usize = 1_024;

/// The budgets as the settings give them, in descriptors; those left out are
/// shares of what the process may open.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Descriptors {
    /// For connections to workers and to the adviser.
    #[serde(default)]
    pub(crate) workers: Option<usize>,
    /// For connections from callers, workers, operators and health checks.
    #[serde(default)]
    pub(crate) callers: Option<usize>,
    /// For connections from other processes of the fleet.
    #[serde(default)]
    pub(crate) links: Option<usize>,
    /// For the journal, the listeners, connections to other processes of the
    /// fleet, and for connections that are being closed.
    #[serde(default)]
    pub(crate) reserve: Option<usize>,
}

/// How many descriptors each use may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(
    "workers {workers}, callers {callers}, links {links}, reserve {reserve} of {limit}"
)]
pub(crate) struct Budget {
    pub(crate) workers: usize,
    pub(crate) callers: usize,
    pub(crate) links: usize,
    pub(crate) reserve: usize,
    /// What the process may open.
    pub(crate) limit: usize,
}

impl Budget {
    /// The budget of this process.
    pub(crate) fn of_process(settings: Descriptors) -> Self {
        let limit = getrlimit(Resource::RLIMIT_NOFILE).ok();
        let limit = limit.and_then(|(soft, _)| usize::try_from(soft).ok());
        Self::new(settings, limit.unwrap_or(ASSUMED_LIMIT))
    }

    /// The budget of a process that may open `limit` descriptors.
    pub(crate) fn new(settings: Descriptors, limit: usize) -> Self {
        let share = |thirty_seconds: usize| limit / 32 * thirty_seconds;
        Self {
            workers: settings.workers.unwrap_or(share(19)),
            callers: settings.callers.unwrap_or(share(10)),
            links: settings.links.unwrap_or(share(2)),
            reserve: settings.reserve.unwrap_or(share(1)),
            limit,
        }
    }

    /// The sum of all uses.
    pub(crate) fn sum(&self) -> usize {
        let uses = [self.workers, self.callers, self.links, self.reserve];
        uses.into_iter().fold(0, usize::saturating_add)
    }

    /// The limits on connections to workers.
    pub(crate) fn worker_limits(&self) -> Limits {
        Limits {
            total: self.workers.max(1),
            per_peer: WORKER_CONNECTIONS,
            delayed: (self.workers / 2).max(1),
            waiting: WAITING_LIMIT,
        }
    }
}
