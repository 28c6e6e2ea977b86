//! The ledger of workers and of what is reserved on them.

use derive_more::{Display, Error};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::unit::Size;

/// A worker's location, capacity and reservations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The incarnation of the worker's process.
    pub incarnation: id::Incarnation,
    /// The region it is in.
    pub region: id::Region,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// The rack it is in.
    pub rack: id::Rack,
    /// Its whole capacity, reserved or not.
    pub size: Size,
    /// The sum of all reservations on it. Exceeds `size` only if the worker has
    /// shrunk or reservations were forced.
    reserved: Size,
    /// Whether it is draining: its tasks run on, but it gets no new ones.
    pub draining: bool,
}

impl Worker {
    /// Creates a worker that isn't draining and has nothing reserved.
    #[must_use]
    pub fn new(
        incarnation: id::Incarnation,
        place: (id::Region, id::Domain, id::Rack),
        size: Size,
    ) -> Self {
        let (region, domain, rack) = place;
        let reserved = Size::default();
        Self {
            incarnation,
            region,
            domain,
            rack,
            size,
            reserved,
            draining: false,
        }
    }

    /// The sum of all reservations on it.
    #[must_use]
    pub fn reserved(&self) -> Size {
        self.reserved
    }

    /// What isn't reserved on it; nothing at all if more is reserved in any
    /// dimension than it has.
    #[must_use]
    pub fn free(&self) -> Size {
        self.size.checked_sub(&self.reserved).unwrap_or_default()
    }
}

/// Why a reservation was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReserveError {
    /// The ledger doesn't know the worker.
    #[display("worker {_0} isn't known")]
    Unknown(#[error(not(source))] id::Worker),
    /// The worker is draining.
    #[display("worker {_0} is draining")]
    Draining(#[error(not(source))] id::Worker),
    /// The worker has too little free.
    #[display("worker {_0} has too little free")]
    Full(#[error(not(source))] id::Worker),
}

/// All workers and what is reserved on them.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    workers: IndexMap<id::Worker, Worker>,
}

impl Ledger {
    /// The worker of this name.
    #[must_use]
    pub fn get(&self, worker: &id::Worker) -> Option<&Worker> {
        self.workers.get(worker)
    }

    /// All workers, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Worker, &Worker)> {
        self.workers.iter()
    }

    /// Adds or updates a worker.
    ///
    /// The reservations in this ledger stay. Those in `worker`, which may come
    /// from another ledger, are ignored.
    pub fn put(&mut self, name: &id::Worker, worker: Worker) {
        match self.workers.get_mut(name) {
            Some(old) => {
                let reserved = old.reserved;
                *old = Worker { reserved, ..worker };
            }
            None => {
                let reserved = Size::default();
                self.workers
                    .insert(name.clone(), Worker { reserved, ..worker });
            }
        }
    }

    /// Sets whether a worker is draining; false if it isn't known.
    pub fn set_draining(&mut self, name: &id::Worker, on: bool) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        worker.draining = on;
        true
    }

    /// Removes a worker on which nothing is reserved. False if something is;
    /// true if the worker is gone, also if it wasn't known.
    pub fn remove_unused(&mut self, name: &id::Worker) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return true;
        };
        if worker.reserved != Size::default() {
            return false;
        }
        self.workers.shift_remove(name);
        true
    }

    /// Reserves `size` on each of `names`, or on none of them. A worker that is
    /// named twice has to hold twice the size.
    ///
    /// # Errors
    ///
    /// [`ReserveError`] for the first worker that is unknown, draining or too
    /// full; nothing is reserved then.
    ///
    /// ```
    /// use gentianlane::{id, place::{Ledger, Worker}, unit::Size};
    /// let mut ledger = Ledger::default();
    /// let place = ("r".into(), "d".into(), "k".into());
    /// let name = id::Worker::from("w");
    /// ledger.put(&name, Worker::new(id::Incarnation(1), place, Size::new(2_000, 8, 0)));
    /// let size = Size::new(1_500, 1, 0);
    /// assert!(ledger.reserve(&[name.clone()], &size).is_ok());
    /// assert!(ledger.reserve(&[name], &size).is_err());
    /// ```
    pub fn reserve(
        &mut self,
        names: &[id::Worker],
        size: &Size,
    ) -> Result<(), ReserveError> {
        for (at, name) in names.iter().enumerate() {
            if let Err(error) = self.reserve_one(name, size) {
                for done in &names[..at] {
                    self.release(done, size);
                }
                return Err(error);
            }
        }
        Ok(())
    }

    /// Reserves `size` on one worker.
    fn reserve_one(
        &mut self,
        name: &id::Worker,
        size: &Size,
    ) -> Result<(), ReserveError> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Err(ReserveError::Unknown(name.clone()));
        };
        if worker.draining {
            return Err(ReserveError::Draining(name.clone()));
        }
        let sum = worker.reserved.checked_add(size);
        match sum.filter(|sum| sum.fits(&worker.size)) {
            Some(sum) => worker.reserved = sum,
            None => return Err(ReserveError::Full(name.clone())),
        }
        Ok(())
    }

    /// Releases a reservation of this size.
    ///
    /// False if the worker isn't known or has less than that reserved. Nothing
    /// is released then, so that what was never reserved can't become free.
    pub fn release(&mut self, name: &id::Worker, size: &Size) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let Some(left) = worker.reserved.checked_sub(size) else {
            return false;
        };
        worker.reserved = left;
        true
    }

    /// Reserves `size` for a task that runs already, even if the worker has too
    /// little free. Does nothing if the worker isn't known.
    pub fn force_reserve(&mut self, name: &id::Worker, size: &Size) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.reserved =
                worker.reserved.checked_add(size).unwrap_or(worker.reserved);
        }
    }
}
