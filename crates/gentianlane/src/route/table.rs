//! An entry's view of the instances of a service, and the choice among them.

use derive_more::Display;
use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::route::{Capacity, Grant, Instance, ShareRequest};
use crate::unit::{Span, Time};

/// How many consecutive failures eject an instance.
const EJECTION_FAILURES: u32 = 5;

/// How long the first ejection lasts; each further one takes twice as long.
const EJECTION_MIN: Span = Span::from_secs(2);

/// How long an ejection lasts at most.
const EJECTION_MAX: Span = Span::from_secs(60);

/// An instance is ejected only while fewer than one in this many are.
const EJECTION_DIVISOR: usize = 3;

/// An idle entry keeps spare capacity at one in this many instances.
const IDLE_DIVISOR: usize = 8;

/// How long a view may be used, and how much an entry asks for ahead of need.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// From what age on a view isn't used: the duration of the leader's leases
    /// on shares.
    pub max_age: Span,
    /// How much an entry asks for at each instance beyond what it uses.
    pub spare: Capacity,
}

/// Why no instance was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Unavailable {
    /// The view is older than [`Bounds::max_age`], or there was none yet.
    #[display("the routing view is too old")]
    Stale,
    /// No instance has enough of the entry's share unused, those that are
    /// ejected left out.
    #[display("all instances are full")]
    Full,
}

/// The instance that was picked; it holds capacity until [`Table::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// The instance to send the task or connection to.
    pub instance: Instance,
    /// Where the instance takes it, as `ip:port`.
    pub address: String,
    /// The capacity that the pick holds.
    pub capacity: Capacity,
}

/// What an entry knows of one instance.
#[derive(Debug, Clone)]
struct InstanceState {
    address: String,
    share: Capacity,
    used: Capacity,
    /// The sum of the other entries' shares.
    others: Capacity,
    /// Consecutive failures; after an ejection, one more ejects it again.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Time,
}

/// The instances of one service as one entry sees them.
#[derive(Debug, Clone)]
pub struct Table {
    bounds: Bounds,
    /// When the renewal that gave this view was sent.
    confirmed_at: Option<Time>,
    /// The number of the newest renewal.
    number: u64,
    /// When the newest renewal was sent.
    sent_at: Time,
    instances: IndexMap<Instance, InstanceState>,
    /// Whether a pick was tried since the last renewal.
    active: bool,
    /// Shifts the instances at which this entry keeps spare capacity while it
    /// is idle.
    offset: usize,
}

impl Table {
    /// A table without a view.
    ///
    /// Idle entries with different offsets keep spare capacity at different
    /// instances.
    #[must_use]
    pub fn new(bounds: Bounds, offset: usize) -> Self {
        Self {
            active: false,
            offset,
            bounds,
            confirmed_at: None,
            number: 0,
            sent_at: Time::from_millis(0),
            instances: IndexMap::new(),
        }
    }

    /// The number and the requests of the renewal to send now.
    ///
    /// From now until the answer, the entry uses no more than it says that it
    /// keeps.
    pub fn renewal(&mut self, now: Time) -> (u64, IndexMap<Instance, ShareRequest>) {
        let fresh = self.is_fresh(now);
        self.number += 1;
        self.sent_at = now;
        let active = std::mem::take(&mut self.active);
        let states = self.instances.iter_mut().enumerate();
        let requests = states.map(|(at, (instance, state))| {
            let spare = match active || (at + self.offset).is_multiple_of(IDLE_DIVISOR) {
                true => self.bounds.spare,
                false => Capacity::default(),
            };
            let held = match fresh {
                true => state.share,
                false => Capacity::default(),
            };
            let keep = state.used.saturating_add(spare).min(held);
            state.share = keep;
            let more = state.used.saturating_add(spare).saturating_sub(keep);
            (*instance, ShareRequest { keep, more })
        });
        (self.number, requests.collect())
    }

    /// Applies the answer to a renewal, unless a newer renewal has been sent.
    pub fn apply_grants(&mut self, number: u64, grants: &[Grant]) {
        if number != self.number {
            return;
        }
        self.confirmed_at = Some(self.sent_at);
        for state in self.instances.values_mut() {
            state.share = Capacity::default();
        }
        for grant in grants {
            let state =
                self.instances
                    .entry(grant.instance)
                    .or_insert_with(|| InstanceState {
                        address: String::new(),
                        share: Capacity::default(),
                        used: Capacity::default(),
                        others: Capacity::default(),
                        failures: 0,
                        ejections: 0,
                        ejected_until: Time::from_millis(0),
                    });
            state.address.clone_from(&grant.address);
            state.share = grant.share;
            state.others = grant.held.saturating_sub(grant.share);
        }
        self.instances.retain(|instance, state| {
            let listed = grants.iter().any(|grant| grant.instance == *instance);
            listed || state.used != Capacity::default()
        });
    }

    /// Whether the view is recent enough to be used.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        let fresh = |sent: Time| now.since(sent) < self.bounds.max_age;
        self.confirmed_at.is_some_and(fresh)
    }

    /// Takes `capacity` from an instance that has it unused: the less loaded of
    /// two that are drawn at random.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if the view is too old or no instance has the capacity.
    pub fn pick(
        &mut self,
        capacity: Capacity,
        now: Time,
        random: &mut impl Rng,
    ) -> Result<Pick, Unavailable> {
        self.active = true;
        if !self.is_fresh(now) {
            return Err(Unavailable::Stale);
        }
        let capped =
            |state: &InstanceState| state.used.saturating_add(capacity).min(state.share);
        let has_capacity =
            |state: &InstanceState| capped(state) == state.used.saturating_add(capacity);
        let states = self.instances.values().enumerate();
        let candidates: Vec<usize> = states
            .filter(|(_, state)| has_capacity(state) && now >= state.ejected_until)
            .map(|(at, _)| at)
            .collect();
        let Some(last) = candidates.len().checked_sub(1) else {
            return Err(Unavailable::Full);
        };
        let first = random.random_range(0..=last);
        let second = (first + random.random_range(0..=last)) % candidates.len();
        let at = match self.load(candidates[second]) < self.load(candidates[first]) {
            true => candidates[second],
            false => candidates[first],
        };
        let Some((instance, state)) = self.instances.get_index_mut(at) else {
            return Err(Unavailable::Full);
        };
        state.used = state.used.saturating_add(capacity);
        Ok(Pick {
            instance: *instance,
            address: state.address.clone(),
            capacity,
        })
    }

    /// The load of an instance: this entry's usage plus the others' shares,
    /// with a task weighted as 8 connections.
    fn load(&self, at: usize) -> u32 {
        let Some((_, state)) = self.instances.get_index(at) else {
            return u32::MAX;
        };
        let all = state.used.saturating_add(state.others);
        all.tasks * 8 + all.connections
    }

    /// Gives back the capacity of a pick and records how it went.
    ///
    /// Consecutive failures eject the instance, so that it isn't picked for a
    /// while, unless too many are ejected already or the entry has no other.
    pub fn release(&mut self, pick: &Pick, succeeded: bool, now: Time) {
        let ejected = self
            .instances
            .values()
            .filter(|state| now < state.ejected_until);
        let few = ejected.count() < self.instances.len() / EJECTION_DIVISOR;
        let may_eject = few && self.has_other(&pick.instance, now);
        let Some(state) = self.instances.get_mut(&pick.instance) else {
            return;
        };
        state.used = state.used.saturating_sub(pick.capacity);
        if succeeded {
            (state.failures, state.ejections) = (0, 0);
            return;
        }
        state.failures += 1;
        if state.failures >= EJECTION_FAILURES && may_eject {
            let span = EJECTION_MIN
                .saturating_mul(1 << state.ejections.min(5))
                .min(EJECTION_MAX);
            state.ejected_until = now.after(span);
            state.ejections += 1;
            state.failures = EJECTION_FAILURES - 1;
        }
    }

    /// Whether the entry holds a share of another instance that isn't ejected.
    fn has_other(&self, instance: &Instance, now: Time) -> bool {
        let mut others = self
            .instances
            .iter()
            .filter(|(other, _)| *other != instance);
        others.any(|(_, state)| state.share.tasks > 0 && now >= state.ejected_until)
    }

    /// How much of an instance this entry uses.
    #[must_use]
    pub fn used(&self, instance: &Instance) -> Capacity {
        let state = self.instances.get(instance);
        state.map_or(Capacity::default(), |state| state.used)
    }
}
