//! The room of each instance, parted among the entries by the leader.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::Timing;
use crate::unit::Time;

/// One life of a service's replica.
pub type Instance = id::Token;

/// How many tasks and connections.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Tasks at a time.
    pub tasks: u32,
    /// Connections at a time.
    pub connections: u32,
}

impl Room {
    /// The sum, side by side.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.saturating_add(other.tasks),
            connections: self.connections.saturating_add(other.connections),
        }
    }

    /// What is left after taking `other` away; zero where that is more.
    #[must_use]
    pub fn less(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.saturating_sub(other.tasks),
            connections: self.connections.saturating_sub(other.connections),
        }
    }

    /// The lesser, side by side.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.min(other.tasks),
            connections: self.connections.min(other.connections),
        }
    }
}

/// What an entry goes on using of an instance, and what it would use besides.
///
/// The entry holds itself to `keep` from when it sends this.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keep {
    /// What it keeps of what it was granted.
    pub keep: Room,
    /// What it would take besides.
    pub more: Room,
}

/// What an entry may use of an instance, until its lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The instance.
    pub instance: Instance,
    /// Where it takes tasks and connections, as `ip:port`.
    pub address: String,
    /// The entry's share of its room.
    pub share: Room,
    /// What all entries together hold of it.
    pub held: Room,
}

/// What one entry holds.
#[derive(Debug, Clone)]
struct Holding {
    /// The number of the newest renewal; a lower one came late.
    number: u64,
    until: Time,
    shares: IndexMap<Instance, Room>,
}

/// The shares that one leader has granted.
#[derive(Debug, Clone)]
pub struct Shares {
    term: Timing,
    limit: Room,
    /// Until when an earlier leader's grants may be in force.
    settled: Time,
    instances: IndexMap<Instance, String>,
    entries: IndexMap<id::Node, Holding>,
}

impl Shares {
    /// Nothing granted yet by this leader; what an earlier one granted may be
    /// in force for the length of a lease.
    #[must_use]
    pub fn new(limit: Room, term: Timing, now: Time) -> Self {
        Self {
            term,
            limit,
            settled: now.after(term.duration + term.clock_drift_margin),
            instances: IndexMap::new(),
            entries: IndexMap::new(),
        }
    }

    /// An instance takes work at this address.
    pub fn put(&mut self, instance: Instance, address: &str) {
        self.instances.insert(instance, address.to_owned());
    }

    /// An instance leaves: no entry gets a share of it from now on.
    pub fn leave(&mut self, instance: &Instance) {
        self.instances.shift_remove(instance);
    }

    /// How much of an instance's room may be in use at `now`.
    #[must_use]
    pub fn held(&self, instance: &Instance, now: Time) -> Room {
        let holdings = self.entries.values().filter(|entry| now < entry.until);
        let shares = holdings.filter_map(|entry| entry.shares.get(instance));
        shares.fold(Room::default(), |sum, share| sum.plus(*share))
    }

    /// Renews an entry's shares; nothing if a newer renewal came before.
    pub fn renew(
        &mut self,
        entry: id::Node,
        number: u64,
        keeps: &IndexMap<Instance, Keep>,
        now: Time,
    ) -> Option<Vec<Grant>> {
        let old = self.entries.get(&entry);
        if old.is_some_and(|old| old.number >= number) {
            return None;
        }
        let until = now.after(self.term.duration + self.term.clock_drift_margin);
        let holding = Holding {
            number,
            until,
            shares: IndexMap::new(),
        };
        let old = self.entries.insert(entry, holding);
        let old = old.filter(|old| now < old.until);
        let mut shares = IndexMap::new();
        let mut grants = Vec::new();
        for (instance, address) in &self.instances {
            let Keep { keep, more } = keeps.get(instance).copied().unwrap_or_default();
            let known = old.as_ref().and_then(|old| old.shares.get(instance));
            let free = self.limit.less(self.held(instance, now));
            let share = if now < self.settled {
                keep.min(free)
            } else {
                let kept = keep.min(known.copied().unwrap_or_default());
                kept.plus(more).min(free)
            };
            shares.insert(*instance, share);
            grants.push(Grant {
                instance: *instance,
                address: address.clone(),
                share,
                held: self.limit.less(free).plus(share),
            });
        }
        if let Some(old) = &old {
            keep_leaving(&mut shares, &old.shares, keeps);
        }
        if let Some(holding) = self.entries.get_mut(&entry) {
            holding.shares = shares;
        }
        Some(grants)
    }

    /// Forgets entries whose leases ended.
    pub fn tick(&mut self, now: Time) {
        self.entries.retain(|_, entry| now < entry.until);
    }
}

/// Goes on counting what is in flight at instances that leave.
fn keep_leaving(
    shares: &mut IndexMap<Instance, Room>,
    old: &IndexMap<Instance, Room>,
    keeps: &IndexMap<Instance, Keep>,
) {
    for (instance, room) in old {
        if let (false, Some(keep)) = (shares.contains_key(instance), keeps.get(instance))
        {
            shares.insert(*instance, keep.keep.min(*room));
        }
    }
}
