//! The workers as the planner sees them, indexed by what is open on them.
//!
//! *Open* is what is free and not claimed for a job that waits for it. Every
//! change to a worker goes through [`Fleet::refresh`], which keeps the indexes
//! in step with the ledger.

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::place::room::{Room, Rooms, Seat, rest};
use crate::place::{Ledger, Worker};
use crate::unit::{Size, Time};

/// What one task holds on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hold {
    /// What it holds.
    pub(crate) size: Size,
    /// When it began.
    pub(crate) begun: Time,
    /// When it is expected to end; `None` for a service.
    pub(crate) end: Option<Time>,
    /// Whether urgent work may take its place.
    pub(crate) yields: bool,
    /// How many tasks its job has, which all stop with it.
    pub(crate) tasks: u32,
}

/// One worker.
#[derive(Debug, Clone)]
pub(crate) struct Post {
    pub(crate) name: id::Worker,
    pub(crate) size: Size,
    pub(crate) domain: usize,
    pub(crate) rack: usize,
    pub(crate) holds: IndexMap<id::Task, Hold>,
    /// What is claimed on it for jobs that wait for it.
    pub(crate) claimed: Size,
    /// Whether it is in quarantine.
    barred: bool,
    gone: bool,
    /// What the indexes say that is open on it; `None` if it isn't in them.
    open: Option<Size>,
    /// What of that work without accelerators may have.
    spare: Option<Size>,
    /// What the index says that urgent work could have.
    reach: Option<Size>,
}

/// The workers of one rack.
#[derive(Debug, Default, Clone)]
pub(crate) struct Rack {
    pub(crate) seats: IndexSet<Seat>,
    open: Size,
}

/// All workers.
#[derive(Debug, Default, Clone)]
pub(crate) struct Fleet {
    ledger: Ledger,
    posts: Vec<Post>,
    vacant: Vec<Seat>,
    seats: IndexMap<id::Worker, Seat>,
    pub(crate) all: Rooms,
    pub(crate) domains: IndexMap<id::Domain, Rooms>,
    pub(crate) racks: IndexMap<(id::Domain, id::Rack), Rack>,
    /// Racks by the accelerators and processors that are open in them.
    pub(crate) by_open: BTreeSet<(u32, u64, usize)>,
    /// Workers by what is free or could be freed for urgent work.
    pub(crate) reach: [Room; 2],
    /// What is kept free for each free accelerator.
    beside: Size,
    /// Workers on which more has come open.
    grown: IndexSet<Seat>,
    /// Workers that have become smaller than what is reserved on them.
    pub(crate) shrunk: IndexSet<Seat>,
    total: Size,
}

impl Fleet {
    pub(crate) fn post(&self, seat: Seat) -> &Post {
        &self.posts[seat]
    }

    pub(crate) fn seat(&self, name: &id::Worker) -> Option<Seat> {
        self.seats.get(name).copied()
    }

    /// How many workers are known.
    pub(crate) fn len(&self) -> usize {
        self.seats.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Seat, &Post)> {
        self.seats.values().map(|&seat| (seat, &self.posts[seat]))
    }

    /// What all workers in use have together.
    pub(crate) fn total(&self) -> Size {
        self.total
    }

    pub(crate) fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// What is free on a worker, claimed or not; `None` if it isn't in use.
    pub(crate) fn free(&self, seat: Seat) -> Option<Size> {
        let post = &self.posts[seat];
        let worker = self.ledger.get(&post.name)?;
        let used = !worker.draining && !post.gone && !post.barred;
        used.then(|| worker.free())
    }

    /// What is open on a worker; `None` if it isn't in use.
    pub(crate) fn open(&self, seat: Seat) -> Option<Size> {
        self.posts[seat].open
    }

    /// What of it work without accelerators may have.
    pub(crate) fn spare(&self, seat: Seat) -> Option<Size> {
        self.posts[seat].spare
    }

    /// What is kept free for each free accelerator.
    pub(crate) fn beside(&self) -> Size {
        self.beside
    }

    /// Keeps so much free for each free accelerator from now on, and no more
    /// than the accelerator's part of its worker.
    pub(crate) fn keep(&mut self, beside: Size) {
        if self.beside == beside {
            return;
        }
        self.beside = beside;
        let with = self.seats.values().copied();
        let with = with.filter(|&seat| self.posts[seat].size.accelerators.0 > 0);
        for seat in with.collect::<Vec<_>>() {
            self.refresh(seat);
        }
    }

    /// What is kept on a worker of this size for its free accelerators.
    fn kept(&self, size: &Size, free: u32) -> Size {
        let devices = u64::from(size.accelerators.0.max(1));
        let kept = |all: u64, asked: u64| (all / devices).min(asked) * u64::from(free);
        let cpu = kept(size.cpu.0, self.beside.cpu.0);
        Size::new(cpu, kept(size.memory.0, self.beside.memory.0), 0)
    }

    /// Takes in a worker, or what has changed of it. Nothing that `worker`
    /// says of reservations counts: tasks come by [`Fleet::resume`].
    pub(crate) fn put(&mut self, name: &id::Worker, worker: &Worker) {
        let was = self.ledger.get(name).cloned();
        self.ledger.put(name, worker.clone());
        let (domain, rack) = self.settle(worker);
        if let Some(seat) = self.seat(name) {
            self.hide(seat);
            let post = &mut self.posts[seat];
            if !post.gone {
                let had = was.map(|was| was.size).unwrap_or_default();
                self.total = rest(&self.total, &had);
            }
            let old = post.rack;
            post.size = worker.size;
            post.gone = false;
            (post.domain, post.rack) = (domain, rack);
            self.racks[old].seats.swap_remove(&seat);
            self.seated(seat, rack, worker.size);
            return;
        }
        let post = Post {
            name: name.clone(),
            size: worker.size,
            domain,
            rack,
            holds: IndexMap::new(),
            claimed: Size::default(),
            barred: false,
            gone: false,
            open: None,
            spare: None,
            reach: None,
        };
        let seat = match self.vacant.pop() {
            Some(seat) => {
                self.posts[seat] = post;
                seat
            }
            None => {
                self.posts.push(post);
                self.posts.len() - 1
            }
        };
        self.seats.insert(name.clone(), seat);
        self.seated(seat, rack, worker.size);
    }

    fn seated(&mut self, seat: Seat, rack: usize, size: Size) {
        self.racks[rack].seats.insert(seat);
        self.total = self.total.plus(&size).unwrap_or(self.total);
        self.refresh(seat);
    }

    fn settle(&mut self, worker: &Worker) -> (usize, usize) {
        let domain = self.domains.entry(worker.domain.clone());
        let at = domain.index();
        domain.or_default();
        let rack = self
            .racks
            .entry((worker.domain.clone(), worker.rack.clone()));
        let rack_at = rack.index();
        rack.or_default();
        (at, rack_at)
    }

    /// Takes a worker out of use; what it holds is released one by one.
    pub(crate) fn remove(&mut self, name: &id::Worker) {
        let Some(seat) = self.seat(name) else {
            return;
        };
        if !self.posts[seat].gone {
            self.total = rest(&self.total, &self.posts[seat].size);
        }
        self.posts[seat].gone = true;
        self.ledger.drain(name, true);
        self.refresh(seat);
        self.forget(seat);
    }

    fn forget(&mut self, seat: Seat) {
        let post = &self.posts[seat];
        if !post.gone || !post.holds.is_empty() || post.claimed != Size::default() {
            return;
        }
        if self.ledger.forget(&post.name) {
            self.racks[post.rack].seats.swap_remove(&seat);
            self.seats.swap_remove(&post.name);
            self.shrunk.swap_remove(&seat);
            self.grown.swap_remove(&seat);
            self.vacant.push(seat);
        }
    }

    /// Puts a worker into quarantine, or takes it out.
    pub(crate) fn bar(&mut self, seat: Seat, on: bool) {
        self.posts[seat].barred = on;
        self.refresh(seat);
    }

    /// Reserves room for all tasks of a job, or for none.
    pub(crate) fn reserve(&mut self, job: id::Job, seats: &[Seat], hold: Hold) -> bool {
        let names: Vec<id::Worker> = seats
            .iter()
            .map(|&seat| self.posts[seat].name.clone())
            .collect();
        if self.ledger.reserve(&names, &hold.size).is_err() {
            return false;
        }
        for (rank, &seat) in seats.iter().enumerate() {
            self.hold(job, rank, seat, hold);
        }
        true
    }

    /// Takes in a task that is known to run already.
    pub(crate) fn resume(&mut self, job: id::Job, rank: usize, seat: Seat, hold: Hold) {
        self.ledger.assume(&self.posts[seat].name, &hold.size);
        self.hold(job, rank, seat, hold);
    }

    fn hold(&mut self, job: id::Job, rank: usize, seat: Seat, hold: Hold) {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let task = id::Task { job, rank };
        self.posts[seat].holds.insert(task, hold);
        self.refresh(seat);
    }

    /// Gives back what a task held.
    pub(crate) fn release(&mut self, task: id::Task, seat: Seat) -> Option<Hold> {
        let post = &mut self.posts[seat];
        let hold = post.holds.swap_remove(&task)?;
        self.ledger.release(&post.name, &hold.size);
        self.refresh(seat);
        self.forget(seat);
        Some(hold)
    }

    /// Says from when a job's tasks run and until when they are expected to.
    pub(crate) fn time(&mut self, task: id::Task, seat: Seat, begun: Time) {
        if let Some(hold) = self.posts[seat].holds.get_mut(&task) {
            let span = hold.end.map(|end| end.since(hold.begun));
            hold.begun = begun;
            hold.end = span.map(|span| begun.after(span));
        }
    }

    /// Sets room aside on a worker.
    pub(crate) fn claim(&mut self, seat: Seat, size: &Size) {
        let post = &mut self.posts[seat];
        post.claimed = post.claimed.plus(size).unwrap_or(post.claimed);
        self.refresh(seat);
    }

    /// Gives back what was set aside.
    pub(crate) fn unclaim(&mut self, seat: Seat, size: &Size) {
        let post = &mut self.posts[seat];
        post.claimed = rest(&post.claimed, size);
        self.refresh(seat);
        self.forget(seat);
    }

    /// The workers on which more has come open since the last call.
    pub(crate) fn take_grown(&mut self) -> IndexSet<Seat> {
        std::mem::take(&mut self.grown)
    }

    /// Brings the indexes in step with what the ledger says of a worker.
    fn refresh(&mut self, seat: Seat) {
        let had = (self.posts[seat].open, self.posts[seat].spare);
        self.hide(seat);
        let post = &self.posts[seat];
        if let Some(worker) = self.ledger.get(&post.name)
            && !worker.reserved().fits(&worker.size)
        {
            self.shrunk.insert(seat);
        }
        let Some(free) = self.free(seat) else {
            return;
        };
        let open = rest(&free, &post.claimed);
        let yields = post.holds.values().filter(|hold| hold.yields);
        let yields: Size = yields.map(|hold| hold.size).sum();
        let reach = rest(&free.plus(&yields).unwrap_or(free), &post.claimed);
        let spare = rest(&open, &self.kept(&post.size, open.accelerators.0));
        self.show(seat, open, spare, reach);
        let grown = |now: Size, had: Option<Size>| had.is_none_or(|had| !now.fits(&had));
        if grown(open, had.0) || grown(spare, had.1) {
            self.grown.insert(seat);
        }
    }

    fn show(&mut self, seat: Seat, open: Size, spare: Size, reach: Size) {
        let post = &mut self.posts[seat];
        let side = usize::from(post.size.accelerators.0 > 0);
        post.open = Some(open);
        post.spare = Some(spare);
        post.reach = Some(reach);
        let domain = &mut self.domains[post.domain];
        self.all[side].insert(seat, &open);
        domain[side].insert(seat, &open);
        if side == 1 {
            self.all[2].insert(seat, &spare);
            domain[2].insert(seat, &spare);
        }
        self.reach[side].insert(seat, &reach);
        let (at, rack) = (post.rack, &mut self.racks[post.rack]);
        self.by_open.remove(&key(&rack.open, at));
        rack.open = rack.open.plus(&open).unwrap_or(rack.open);
        self.by_open.insert(key(&rack.open, at));
    }

    fn hide(&mut self, seat: Seat) {
        let post = &mut self.posts[seat];
        let side = usize::from(post.size.accelerators.0 > 0);
        if let Some(reach) = post.reach.take() {
            self.reach[side].remove(seat, &reach);
        }
        let Some(open) = post.open.take() else {
            return;
        };
        let domain = &mut self.domains[post.domain];
        self.all[side].remove(seat, &open);
        domain[side].remove(seat, &open);
        if let Some(spare) = post.spare.take()
            && side == 1
        {
            self.all[2].remove(seat, &spare);
            domain[2].remove(seat, &spare);
        }
        let (at, rack) = (post.rack, &mut self.racks[post.rack]);
        self.by_open.remove(&key(&rack.open, at));
        rack.open = rest(&rack.open, &open);
        self.by_open.insert(key(&rack.open, at));
    }
}

fn key(open: &Size, rack: usize) -> (u32, u64, usize) {
    (open.accelerators.0, open.cpu.0, rack)
}
