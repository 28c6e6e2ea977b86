//! Which workers a job goes to, by its kind.

use std::ops::ControlFlow;

use indexmap::IndexMap;

use crate::place::fleet::Fleet;
use crate::place::room::{Order, Rooms, Seat, sides, times};
use crate::place::{Job, Kind};

/// How many workers are looked at for one where the fewest replicas stand.
const LOOKS: usize = 24;

/// How many racks are tried for a gang.
const RACKS: usize = 12;

/// From which weight of packing on services go where the least is free.
const PACKS: u8 = 50;

/// How many of a workload's tasks stand on each worker.
pub(crate) type Peers = IndexMap<Seat, u32>;

/// A search for workers.
pub(crate) struct Search<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) job: &'a Job,
    /// From 0, wait least, to 100, pack most.
    pub(crate) packing: u8,
}

impl Search<'_> {
    /// A worker for each task of the job, if there is room for all of them.
    pub(crate) fn find(&self, peers: Option<&Peers>) -> Option<Vec<Seat>> {
        match self.job.kind {
            Kind::Service => self.spread(peers),
            Kind::Batch => self.gather(&self.fleet.all, Order::Tight),
            Kind::Gang => self.near(),
        }
    }

    /// How many tasks of the job a worker should take. Work that needs no
    /// accelerator leaves processors and memory for those that are free.
    fn room(&self, seat: Seat) -> u32 {
        let room = match self.job.size.accelerators.0 {
            0 => self.fleet.spare(seat),
            _ => self.fleet.open(seat),
        };
        room.map_or(0, |room| times(&self.job.size, &room))
    }

    /// Workers for all tasks out of some rooms, whichever come first.
    fn gather(&self, rooms: &Rooms, order: Order) -> Option<Vec<Seat>> {
        let count = self.job.count as usize;
        let mut seats = Vec::with_capacity(count.min(1_024));
        for &side in sides(&self.job.size) {
            rooms[side].visit(&self.job.size, order, |seat| {
                let left = count - seats.len();
                let room = (self.room(seat) as usize).min(left);
                seats.extend(std::iter::repeat_n(seat, room));
                match seats.len() == count {
                    true => ControlFlow::Break(()),
                    false => ControlFlow::Continue(()),
                }
            });
            if seats.len() == count {
                return Some(seats);
            }
        }
        None
    }

    /// Workers for a gang: in one rack, or in one domain, or anywhere.
    fn near(&self) -> Option<Vec<Seat>> {
        if let Some(seats) = self.in_rack() {
            return Some(seats);
        }
        let domains = self.fleet.domains.values();
        let mut found = domains.map(|rooms| self.gather(rooms, Order::Loose));
        if let Some(seats) = found.find_map(|seats| seats) {
            return Some(seats);
        }
        self.gather(&self.fleet.all, Order::Loose)
    }

    fn in_rack(&self) -> Option<Vec<Seat>> {
        let count = self.job.count;
        let need = self.job.size.times(count)?;
        let from = (need.accelerators.0, need.cpu.0, 0);
        let racks = self.fleet.by_open.range(from..).take(RACKS);
        for &(.., rack) in racks {
            let mut left = count;
            let mut seats = Vec::with_capacity(count as usize);
            for &seat in &self.fleet.racks[rack].seats {
                let room = self.room(seat).min(left);
                seats.extend(std::iter::repeat_n(seat, room as usize));
                left -= room;
            }
            if left == 0 {
                return Some(seats);
            }
        }
        None
    }

    /// Workers for a service: in the domains with the fewest replicas, and
    /// there in racks and on workers with the fewest.
    fn spread(&self, peers: Option<&Peers>) -> Option<Vec<Seat>> {
        let mut peers = peers.cloned().unwrap_or_default();
        let mut seats = Vec::new();
        for _ in 0..self.job.count {
            let seat = self.apart(&peers, &seats)?;
            *peers.entry(seat).or_default() += 1;
            seats.push(seat);
        }
        Some(seats)
    }

    fn apart(&self, peers: &Peers, taken: &[Seat]) -> Option<Seat> {
        let mut domains = vec![0; self.fleet.domains.len()];
        let mut racks: IndexMap<usize, u32> = IndexMap::new();
        for (&seat, count) in peers {
            let post = self.fleet.post(seat);
            domains[post.domain] += count;
            *racks.entry(post.rack).or_default() += count;
        }
        let mut order: Vec<usize> = (0..domains.len()).collect();
        order.sort_by_key(|&domain| domains[domain]);
        for &side in sides(&self.job.size) {
            for &domain in &order {
                let room = &self.fleet.domains[domain][side];
                let mut best = None;
                let mut looks = 0;
                let direction = match self.packing >= PACKS {
                    true => Order::Tight,
                    false => Order::Loose,
                };
                room.visit(&self.job.size, direction, |seat| {
                    looks += 1;
                    let rack = self.fleet.post(seat).rack;
                    let here = peers.get(&seat).copied().unwrap_or_default();
                    let near = racks.get(&rack).copied().unwrap_or_default();
                    let mark = (here, near);
                    let fits = self.room(seat) > 0 && !taken.contains(&seat);
                    if fits && best.is_none_or(|(least, _)| mark < least) {
                        best = Some((mark, seat));
                    }
                    match mark == (0, 0) && fits || looks >= LOOKS {
                        true => ControlFlow::Break(()),
                        false => ControlFlow::Continue(()),
                    }
                });
                if let Some((_, seat)) = best {
                    return Some(seat);
                }
            }
        }
        None
    }
}
