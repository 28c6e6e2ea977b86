//! What each worker has, and what is reserved on it.

use derive_more::{Display, Error};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::unit::Size;

/// A worker with what it has and what is reserved on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The life of the worker's process.
    pub incarnation: id::Incarnation,
    /// The region it is in.
    pub region: id::Region,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// The rack it is in.
    pub rack: id::Rack,
    /// What it has.
    pub size: Size,
    /// What is reserved on it; never more than it had when it was reserved.
    reserved: Size,
    /// Whether it is being emptied.
    pub draining: bool,
}

impl Worker {
    /// A worker with nothing reserved.
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

    /// What is reserved on it.
    #[must_use]
    pub fn reserved(&self) -> Size {
        self.reserved
    }

    /// What is free on it; nothing while more is reserved than it has left.
    #[must_use]
    pub fn free(&self) -> Size {
        self.size.less(&self.reserved).unwrap_or_default()
    }
}

/// Why something can't be reserved.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Unfit {
    /// The ledger doesn't know the worker.
    #[display("worker {_0} isn't known")]
    Unknown(#[error(not(source))] id::Worker),
    /// The worker is being emptied.
    #[display("worker {_0} is draining")]
    Draining(#[error(not(source))] id::Worker),
    /// The worker has too little left.
    #[display("worker {_0} has too little left")]
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

    /// All workers in the order in which they came.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Worker, &Worker)> {
        self.workers.iter()
    }

    /// Takes in a worker, or what has changed of it.
    ///
    /// What this ledger has reserved on it stays; what another ledger has, if
    /// the worker comes from there, doesn't count here.
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

    /// Marks a worker as being emptied or in use; false if it isn't known.
    pub fn set_draining(&mut self, name: &id::Worker, on: bool) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        worker.draining = on;
        true
    }

    /// Forgets a worker on which nothing is reserved; false if something is.
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

    /// Reserves `size` once on each of `names`, on all or on none.
    ///
    /// A worker that is named twice has to hold twice the size.
    ///
    /// # Errors
    ///
    /// [`Unfit`] names the first worker that can't hold it; then nothing is
    /// reserved.
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
    pub fn reserve(&mut self, names: &[id::Worker], size: &Size) -> Result<(), Unfit> {
        for (at, name) in names.iter().enumerate() {
            if let Err(unfit) = self.reserve_one(name, size) {
                for done in &names[..at] {
                    self.release(done, size);
                }
                return Err(unfit);
            }
        }
        Ok(())
    }

    fn reserve_one(&mut self, name: &id::Worker, size: &Size) -> Result<(), Unfit> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Err(Unfit::Unknown(name.clone()));
        };
        if worker.draining {
            return Err(Unfit::Draining(name.clone()));
        }
        let sum = worker.reserved.plus(size);
        match sum.filter(|sum| sum.fits(&worker.size)) {
            Some(sum) => worker.reserved = sum,
            None => return Err(Unfit::Full(name.clone())),
        }
        Ok(())
    }

    /// Gives back what was reserved once.
    ///
    /// False, and nothing is given back, if the worker isn't known or has less
    /// than that reserved: what was never reserved can't become free.
    pub fn release(&mut self, name: &id::Worker, size: &Size) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let Some(left) = worker.reserved.less(size) else {
            return false;
        };
        worker.reserved = left;
        true
    }

    /// Reserves what is known to run already, whatever the worker has left.
    pub fn force_reserve(&mut self, name: &id::Worker, size: &Size) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.reserved = worker.reserved.plus(size).unwrap_or(worker.reserved);
        }
    }
}
