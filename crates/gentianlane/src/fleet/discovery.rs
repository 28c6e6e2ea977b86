//! Which core leads, as an entry knows it, and whom to try next.

use std::net::Ipv4Addr;

use indexmap::{IndexMap, IndexSet};

use crate::fleet::link::LeaderHint;
use crate::unit::{Span, Time};

/// How long the change of a leader takes at the most, by the bench's runs with
/// two leaders lost in a row; a call waits for that.
const CHANGE: Span = Span::from_millis(2_000);

/// When to come back while no leader is known, at the least: about as long as
/// the change of a leader takes.
const RETRY: Span = Span::from_millis(1_000);

/// When to come back at the latest, so that callers are back soon after a long
/// outage.
const LATEST_RETRY: Span = Span::from_millis(4_000);

/// How long a call may wait for a leader that has been missing for a time, and
/// when its caller is to come back if there is none by then.
///
/// Answers an outage that outlasts the change of a leader: whoever calls then
/// is told at once, and to come back after about as long as the outage has
/// lasted.
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
    let wait = CHANGE.less(missing);
    let lasted = missing + wait;
    (wait, lasted.max(RETRY).min(LATEST_RETRY))
}

/// The cores and entries that are known, and the core that leads.
#[derive(Debug, Default, Clone)]
pub struct Directory {
    /// The core that leads, by its own or another's word.
    leader: Option<Ipv4Addr>,
    cores: IndexSet<Ipv4Addr>,
    /// The entries that reach the leader.
    entries: IndexSet<Ipv4Addr>,
    /// The processes that couldn't help, and when that was.
    failed: IndexMap<Ipv4Addr, Time>,
}

/// The most processes of a kind that are kept in mind.
const LIMIT: usize = 64;

/// How long a process that couldn't help isn't tried again while there are
/// others.
const REST: Span = Span::from_millis(900);

impl Directory {
    /// Takes in what the settings say.
    pub fn add_cores(&mut self, seeds: impl IntoIterator<Item = Ipv4Addr>) {
        for seed in seeds {
            if self.cores.len() < LIMIT {
                self.cores.insert(seed);
            }
        }
    }

    /// Takes in what a core or an entry says.
    pub fn update(&mut self, from: Ipv4Addr, hint: &LeaderHint) {
        if hint.reaches_leader && self.cores.contains(&from) {
            self.leader = Some(from);
        } else if let Some(leader) = hint.leader.filter(|&leader| leader != from) {
            self.leader = Some(leader);
        }
        self.add_cores(hint.voters.iter().copied());
        if !hint.entries.is_empty() {
            self.entries = hint.entries.iter().copied().take(LIMIT).collect();
        }
    }

    /// What is known, for another entry.
    #[must_use]
    pub fn hint(&self, reaches_leader: bool) -> LeaderHint {
        LeaderHint {
            reaches_leader,
            leader: self.leader,
            voters: self.cores.iter().copied().collect(),
            entries: Vec::new(),
        }
    }

    /// The core that leads, if it is known.
    #[must_use]
    pub fn leader(&self) -> Option<Ipv4Addr> {
        self.leader
    }

    /// Whether this is a core.
    #[must_use]
    pub fn is_core(&self, vm: Ipv4Addr) -> bool {
        self.cores.contains(&vm)
    }

    /// Whether a process couldn't help lately.
    #[must_use]
    pub fn failed_recently(&self, vm: Ipv4Addr, now: Time) -> bool {
        let failed = self.failed.get(&vm);
        failed.is_some_and(|at| now.since(*at) < REST)
    }

    /// A process that was tried couldn't help.
    pub fn mark_failed(&mut self, vm: Ipv4Addr, now: Time) {
        self.failed.insert(vm, now);
        if self.failed.len() > 2 * LIMIT {
            self.failed.shift_remove_index(0);
        }
    }

    /// Whom to try next; nobody if nobody is known.
    ///
    /// ```
    /// use gentianlane::fleet::discovery::Directory;
    /// use gentianlane::unit::Time;
    /// let (own, first, second) = ([10, 0, 0, 9], [10, 0, 0, 1], [10, 0, 0, 2]);
    /// let mut directory = Directory::default();
    /// directory.add_cores([first.into(), second.into()]);
    /// assert_eq!(directory.next_candidate(own.into(), Time::default()), Some(first.into()));
    /// directory.mark_failed(first.into(), Time::default());
    /// assert_eq!(directory.next_candidate(own.into(), Time::default()), Some(second.into()));
    /// ```
    ///
    /// The order is: the leader, the cores, then the entries that may
    /// reach it; of those that couldn't help lately the one longest ago.
    pub fn next_candidate(&mut self, own: Ipv4Addr, now: Time) -> Option<Ipv4Addr> {
        self.failed.retain(|_, at| now.since(*at) < REST);
        let leader = self.leader.into_iter();
        let all = leader
            .chain(self.cores.iter().copied())
            .chain(self.entries.iter().copied())
            .filter(|&vm| vm != own);
        let fresh = all.clone().find(|vm| !self.failed.contains_key(vm));
        fresh.or_else(|| all.min_by_key(|vm| self.failed.get(vm).copied()))
    }
}
