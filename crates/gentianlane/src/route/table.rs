//! An entry's view of a service's instances, and the choice among them.

use derive_more::Display;
use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::route::{Grant, Instance, Keep, Room};
use crate::unit::{Span, Time};

/// How many failures in a row set an instance aside.
const FAILURES: u32 = 5;

/// For how long an instance is set aside first; doubles up to the longest.
const ASIDE_MIN: Span = Span::from_secs(2);

/// For how long an instance is set aside at most.
const ASIDE_MAX: Span = Span::from_secs(60);

/// The part of all instances that may be set aside at a time, as a divisor.
const ASIDE_DIVISOR: usize = 3;

/// The part of all instances of which an idle entry keeps a spare, as a divisor.
const IDLE_DIVISOR: usize = 8;

/// How long a view counts, and how much an entry asks for ahead of need.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The age from which on a view isn't used: the leader's lease on shares.
    pub stale: Span,
    /// What is asked for of each instance beyond what is in use.
    pub spare: Room,
}

/// Why no instance was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Closed {
    /// The view is older than may be used.
    #[display("the routing view is too old")]
    Stale,
    /// The entry's share of every instance is in use.
    #[display("all instances are full")]
    Full,
}

/// The instance that was picked; its room is taken until [`Table::done`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// The instance.
    pub instance: Instance,
    /// Where it takes the task or connection.
    pub address: String,
    /// What was taken of its room.
    pub room: Room,
}

#[derive(Debug, Clone)]
struct Seat {
    address: String,
    share: Room,
    used: Room,
    /// What other entries hold of it.
    others: Room,
    failures: u32,
    asides: u32,
    aside_until: Time,
}

/// The instances of one service as one entry sees them.
#[derive(Debug, Clone)]
pub struct Table {
    bounds: Bounds,
    /// When the renewal was sent that gave this view.
    confirmed: Option<Time>,
    /// The number of the newest renewal.
    number: u64,
    sent: Time,
    seats: IndexMap<Instance, Seat>,
    /// Whether anything was asked for since the last renewal.
    active: bool,
    offset: usize,
}

impl Table {
    /// A table without a view; entries with unlike offsets keep unlike spares
    /// while they idle.
    #[must_use]
    pub fn new(bounds: Bounds, offset: usize) -> Self {
        Self {
            active: false,
            offset,
            bounds,
            confirmed: None,
            number: 0,
            sent: Time::from_millis(0),
            seats: IndexMap::new(),
        }
    }

    /// The renewal to send now, with its number; the entry holds itself to
    /// what it says that it keeps.
    pub fn renewal(&mut self, now: Time) -> (u64, IndexMap<Instance, Keep>) {
        let fresh = self.is_fresh(now);
        self.number += 1;
        self.sent = now;
        let active = std::mem::take(&mut self.active);
        let seats = self.seats.iter_mut().enumerate();
        let keeps = seats.map(|(at, (instance, seat))| {
            let spare = match active || (at + self.offset).is_multiple_of(IDLE_DIVISOR) {
                true => self.bounds.spare,
                false => Room::default(),
            };
            let held = match fresh {
                true => seat.share,
                false => Room::default(),
            };
            let keep = seat.used.plus(spare).min(held);
            seat.share = keep;
            let more = seat.used.plus(spare).less(keep);
            (*instance, Keep { keep, more })
        });
        (self.number, keeps.collect())
    }

    /// Takes in the answer to a renewal; one that isn't the newest is late.
    pub fn granted(&mut self, number: u64, grants: &[Grant]) {
        if number != self.number {
            return;
        }
        self.confirmed = Some(self.sent);
        for seat in self.seats.values_mut() {
            seat.share = Room::default();
        }
        for grant in grants {
            let seat = self.seats.entry(grant.instance).or_insert_with(|| Seat {
                address: String::new(),
                share: Room::default(),
                used: Room::default(),
                others: Room::default(),
                failures: 0,
                asides: 0,
                aside_until: Time::from_millis(0),
            });
            seat.address.clone_from(&grant.address);
            seat.share = grant.share;
            seat.others = grant.held.less(grant.share);
        }
        self.seats.retain(|instance, seat| {
            let listed = grants.iter().any(|grant| grant.instance == *instance);
            listed || seat.used != Room::default()
        });
    }

    /// Whether the view may be used.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        let fresh = |sent: Time| now.since(sent) < self.bounds.stale;
        self.confirmed.is_some_and(fresh)
    }

    /// Picks an instance with `room` left and takes it: the less loaded of two
    /// that are drawn at random.
    ///
    /// # Errors
    ///
    /// [`Closed`] if the view is too old or no instance has room.
    pub fn pick(
        &mut self,
        room: Room,
        now: Time,
        random: &mut impl Rng,
    ) -> Result<Pick, Closed> {
        self.active = true;
        if !self.is_fresh(now) {
            return Err(Closed::Stale);
        }
        let open = |seat: &Seat| seat.used.plus(room).min(seat.share);
        let has_room = |seat: &Seat| open(seat) == seat.used.plus(room);
        let seats = self.seats.values().enumerate();
        let open: Vec<usize> = seats
            .filter(|(_, seat)| has_room(seat) && now >= seat.aside_until)
            .map(|(at, _)| at)
            .collect();
        let Some(last) = open.len().checked_sub(1) else {
            return Err(Closed::Full);
        };
        let first = random.random_range(0..=last);
        let second = (first + random.random_range(0..=last)) % open.len();
        let at = match self.load(open[second]) < self.load(open[first]) {
            true => open[second],
            false => open[first],
        };
        let Some((instance, seat)) = self.seats.get_index_mut(at) else {
            return Err(Closed::Full);
        };
        seat.used = seat.used.plus(room);
        Ok(Pick {
            instance: *instance,
            address: seat.address.clone(),
            room,
        })
    }

    /// What is in use here and held elsewhere; tasks weigh as 8 connections.
    fn load(&self, at: usize) -> u32 {
        let Some((_, seat)) = self.seats.get_index(at) else {
            return u32::MAX;
        };
        let all = seat.used.plus(seat.others);
        all.tasks * 8 + all.connections
    }

    /// Gives back the room of a pick; failures in a row set its instance aside,
    /// unless too many are aside already or the entry has no other.
    pub fn done(&mut self, pick: &Pick, succeeded: bool, now: Time) {
        let aside = self.seats.values().filter(|seat| now < seat.aside_until);
        let few = aside.count() < self.seats.len() / ASIDE_DIVISOR;
        let may_set_aside = few && self.has_other(&pick.instance, now);
        let Some(seat) = self.seats.get_mut(&pick.instance) else {
            return;
        };
        seat.used = seat.used.less(pick.room);
        if succeeded {
            (seat.failures, seat.asides) = (0, 0);
            return;
        }
        seat.failures += 1;
        if seat.failures >= FAILURES && may_set_aside {
            let span = ASIDE_MIN
                .saturating_mul(1 << seat.asides.min(5))
                .min(ASIDE_MAX);
            seat.aside_until = now.after(span);
            seat.asides += 1;
            seat.failures = FAILURES - 1;
        }
    }

    /// Whether the entry holds a share of another instance that isn't aside.
    fn has_other(&self, instance: &Instance, now: Time) -> bool {
        let mut others = self.seats.iter().filter(|(other, _)| *other != instance);
        others.any(|(_, seat)| seat.share.tasks > 0 && now >= seat.aside_until)
    }

    /// What is in use of an instance through this entry.
    #[must_use]
    pub fn used(&self, instance: &Instance) -> Room {
        let seat = self.seats.get(instance);
        seat.map_or(Room::default(), |seat| seat.used)
    }
}
