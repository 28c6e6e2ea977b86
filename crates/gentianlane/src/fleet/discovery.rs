//! Leader discovery: which core leads, as far as an entry knows, and which
//! process to try next.

use std::net::Ipv4Addr;

use indexmap::{IndexMap, IndexSet};

use crate::fleet::link::LeaderHint;
use crate::unit::{Span, Time};

/// The longest time that a change of leader takes, if two leaders are lost in a
/// row. A call waits this long for a leader.
const LEADER_CHANGE_LIMIT: Span = Span::from_millis(2_000);

/// The shortest retry delay while no leader is known: about as long as a change
/// of leader takes.
const MIN_RETRY: Span = Span::from_millis(1_000);

/// The longest retry delay, so that callers are back soon after a long outage.
const MAX_RETRY: Span = Span::from_millis(4_000);

/// How long a call may wait for a leader, and the retry delay for its caller if
/// there is none by then. `missing` is the time since the leader was lost.
///
/// An outage that lasts longer than a change of leader fails calls at once,
/// with a retry delay of about the length of the outage so far.
///
/// ```
/// use gentianlane::fleet::discovery::leader_wait;
/// use gentianlane::unit::Span;
/// let (wait, retry) = leader_wait(Span::ZERO);
/// assert_eq!(wait, Span::from_millis(2_000));
/// assert_eq!(retry, Span::from_millis(2_000));
/// let (wait, retry) = leader_wait(Span::from_millis(3_000));
/// assert_eq!(wait, Span::ZERO);
/// assert_eq!(retry, Span::from_millis(3_000));
/// ```
#[must_use]
pub fn leader_wait(missing: Span) -> (Span, Span) {
    let wait = LEADER_CHANGE_LIMIT.saturating_sub(missing);
    let outage = missing + wait;
    (wait, outage.max(MIN_RETRY).min(MAX_RETRY))
}

/// The known cores and entries, and the core that leads.
#[derive(Debug, Default, Clone)]
pub struct Directory {
    /// The core that leads, as it or another process has said.
    leader: Option<Ipv4Addr>,
    cores: IndexSet<Ipv4Addr>,
    /// The entries that are connected to the leader.
    entries: IndexSet<Ipv4Addr>,
    /// The processes that couldn't be reached or knew no leader, and when.
    failed: IndexMap<Ipv4Addr, Time>,
}

/// The most cores, and the most entries, that are kept.
const PROCESS_LIMIT: usize = 64;

/// How long a process that failed isn't tried again while there are others.
const FAILURE_COOLDOWN: Span = Span::from_millis(900);

impl Directory {
    /// Adds cores, such as the seeds from the settings.
    pub fn add_cores(&mut self, seeds: impl IntoIterator<Item = Ipv4Addr>) {
        for seed in seeds {
            if self.cores.len() < PROCESS_LIMIT {
                self.cores.insert(seed);
            }
        }
    }

    /// Updates the directory from what a core or an entry has said.
    pub fn update(&mut self, from: Ipv4Addr, hint: &LeaderHint) {
        if hint.reaches_leader && self.cores.contains(&from) {
            self.leader = Some(from);
        } else if let Some(leader) = hint.leader.filter(|&leader| leader != from) {
            self.leader = Some(leader);
        }
        self.add_cores(hint.voters.iter().copied());
        if !hint.entries.is_empty() {
            self.entries = hint.entries.iter().copied().take(PROCESS_LIMIT).collect();
        }
    }

    /// The hint to give to an entry that is connected to this one.
    #[must_use]
    pub fn hint(&self, reaches_leader: bool) -> LeaderHint {
        LeaderHint {
            reaches_leader,
            leader: self.leader,
            voters: self.cores.iter().copied().collect(),
            entries: Vec::new(),
        }
    }

    /// The VM of the core that leads, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<Ipv4Addr> {
        self.leader
    }

    /// Whether the VM is that of a known core.
    #[must_use]
    pub fn is_core(&self, vm: Ipv4Addr) -> bool {
        self.cores.contains(&vm)
    }

    /// Whether a process has failed within the cooldown.
    #[must_use]
    pub fn failed_recently(&self, vm: Ipv4Addr, now: Time) -> bool {
        let failed = self.failed.get(&vm);
        failed.is_some_and(|at| now.since(*at) < FAILURE_COOLDOWN)
    }

    /// Records that a process couldn't be reached or knew no leader.
    pub fn mark_failed(&mut self, vm: Ipv4Addr, now: Time) {
        self.failed.insert(vm, now);
        if self.failed.len() > 2 * PROCESS_LIMIT {
            self.failed.shift_remove_index(0);
        }
    }

    /// The process to try next, or `None` if no other process is known.
    ///
    /// ```
    /// use gentianlane::fleet::discovery::Directory;
    /// use gentianlane::unit::Time;
    /// let (own, first, second) = ([10, 0, 0, 9], [10, 0, 0, 1], [10, 0, 0, 2]);
    /// let mut directory = Directory::default();
    /// directory.add_cores([first.into(), second.into()]);
    /// let now = Time::default();
    /// assert_eq!(directory.next_candidate(own.into(), now), Some(first.into()));
    /// directory.mark_failed(first.into(), now);
    /// assert_eq!(directory.next_candidate(own.into(), now), Some(second.into()));
    /// ```
    ///
    /// The leader goes first, then the cores, then the entries connected to the
    /// leader. If all have failed recently, it is the one whose failure is the
    /// longest ago.
    pub fn next_candidate(&mut self, own: Ipv4Addr, now: Time) -> Option<Ipv4Addr> {
        self.failed
            .retain(|_, at| now.since(*at) < FAILURE_COOLDOWN);
        let leader = self.leader.into_iter();
        let candidates = leader
            .chain(self.cores.iter().copied())
            .chain(self.entries.iter().copied())
            .filter(|&vm| vm != own);
        let fresh = candidates.clone().find(|vm| !self.failed.contains_key(vm));
        fresh.or_else(|| candidates.min_by_key(|vm| self.failed.get(vm).copied()))
    }
}
