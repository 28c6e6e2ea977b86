//! The leader's division of each instance's capacity among the entries.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::Timing;
use crate::unit::Time;

/// One running replica of a service, by the fencing token that started it.
pub type Instance = id::Token;

/// Numbers of concurrent tasks and connections, as a limit or as a usage.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Concurrent tasks.
    pub tasks: u32,
    /// Concurrent connections.
    pub connections: u32,
}

impl Capacity {
    /// The sum of each number.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.saturating_add(other.tasks),
            connections: self.connections.saturating_add(other.connections),
        }
    }

    /// The difference of each number, or zero where `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.saturating_sub(other.tasks),
            connections: self.connections.saturating_sub(other.connections),
        }
    }

    /// The smaller of each number.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.min(other.tasks),
            connections: self.connections.min(other.connections),
        }
    }
}

/// An entry's request for a share of an instance.
///
/// The entry uses no more than `keep` from the moment it sends this until a
/// grant answers it, so that the leader may give the rest to others.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// How much of its present share the entry keeps.
    pub keep: Capacity,
    /// How much it asks for in addition.
    pub more: Capacity,
}

/// An entry's share of an instance, valid until the entry's lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The instance that the share is of.
    pub instance: Instance,
    /// Where the instance takes tasks and connections, as `ip:port`.
    pub address: String,
    /// The share of this entry.
    pub share: Capacity,
    /// The sum of all entries' shares, this one included.
    pub held: Capacity,
}

/// The shares that one entry VM holds.
#[derive(Debug, Clone)]
struct Holding {
    /// The number of the newest renewal; older ones that arrive are ignored.
    number: u64,
    /// When the entry VM's lease has ended for certain: its duration and the
    /// margin for clock drift after it was granted.
    lease_end: Time,
    shares: IndexMap<Instance, Capacity>,
}

/// The shares that one leader has granted.
#[derive(Debug, Clone)]
pub struct Shares {
    timing: Timing,
    /// The capacity of each instance.
    limit: Capacity,
    /// When all grants of earlier leaders have ended; no entry's share grows
    /// before.
    recovery_end: Time,
    /// The instances that take work, with their addresses.
    instances: IndexMap<Instance, String>,
    holdings: IndexMap<id::Node, Holding>,
}

impl Shares {
    /// The shares of a leader that starts to lead at `now`.
    ///
    /// Grants of an earlier leader may be in force for one more lease, so for
    /// that long entries only keep what they say that they have.
    #[must_use]
    pub fn new(limit: Capacity, timing: Timing, now: Time) -> Self {
        Self {
            timing,
            limit,
            recovery_end: now.after(timing.duration + timing.clock_drift_margin),
            instances: IndexMap::new(),
            holdings: IndexMap::new(),
        }
    }

    /// Adds an instance that takes work at `address`, as `ip:port`.
    pub fn add_instance(&mut self, instance: Instance, address: &str) {
        self.instances.insert(instance, address.to_owned());
    }

    /// Removes an instance: no renewal gets a share of it from now on.
    pub fn remove_instance(&mut self, instance: &Instance) {
        self.instances.shift_remove(instance);
    }

    /// How much of an instance's capacity entries may be using at `now`.
    #[must_use]
    pub fn held(&self, instance: &Instance, now: Time) -> Capacity {
        let holdings = self
            .holdings
            .values()
            .filter(|holding| now < holding.lease_end);
        let shares = holdings.filter_map(|holding| holding.shares.get(instance));
        shares.fold(Capacity::default(), |sum, share| sum.saturating_add(*share))
    }

    /// Renews an entry's lease and shares; `None` if the renewal isn't newer
    /// than the last one.
    pub fn renew(
        &mut self,
        entry: id::Node,
        number: u64,
        requests: &IndexMap<Instance, ShareRequest>,
        now: Time,
    ) -> Option<Vec<Grant>> {
        let old = self.holdings.get(&entry);
        if old.is_some_and(|old| old.number >= number) {
            return None;
        }
        let lease_end = now.after(self.timing.duration + self.timing.clock_drift_margin);
        let holding = Holding {
            number,
            lease_end,
            shares: IndexMap::new(),
        };
        let old = self.holdings.insert(entry, holding);
        let old = old.filter(|old| now < old.lease_end);
        let mut shares = IndexMap::new();
        let mut grants = Vec::new();
        for (instance, address) in &self.instances {
            let ShareRequest { keep, more } =
                requests.get(instance).copied().unwrap_or_default();
            let known = old.as_ref().and_then(|old| old.shares.get(instance));
            let free = self.limit.saturating_sub(self.held(instance, now));
            let share = if now < self.recovery_end {
                keep.min(free)
            } else {
                let kept = keep.min(known.copied().unwrap_or_default());
                kept.saturating_add(more).min(free)
            };
            shares.insert(*instance, share);
            grants.push(Grant {
                instance: *instance,
                address: address.clone(),
                share,
                held: self.limit.saturating_sub(free).saturating_add(share),
            });
        }
        if let Some(old) = &old {
            keep_removed(&mut shares, &old.shares, requests);
        }
        if let Some(holding) = self.holdings.get_mut(&entry) {
            holding.shares = shares;
        }
        Some(grants)
    }

    /// Drops the shares of entries whose leases have ended.
    pub fn tick(&mut self, now: Time) {
        self.holdings.retain(|_, holding| now < holding.lease_end);
    }
}

/// Keeps the shares that are still in use at instances that were removed.
fn keep_removed(
    shares: &mut IndexMap<Instance, Capacity>,
    old: &IndexMap<Instance, Capacity>,
    requests: &IndexMap<Instance, ShareRequest>,
) {
    for (instance, share) in old {
        if let (false, Some(request)) =
            (shares.contains_key(instance), requests.get(instance))
        {
            shares.insert(*instance, request.keep.min(*share));
        }
    }
}
