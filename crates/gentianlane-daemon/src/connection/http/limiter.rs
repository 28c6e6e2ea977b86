//! How many connections and requests are open, and which may still come in.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::process::settings::Limits;

/// The counts that all connections share.
pub(super) struct Limiter {
    limits: Limits,
    closing: AtomicBool,
    counts: Mutex<Counts>,
    changed: Condvar,
}

#[derive(Default)]
struct Counts {
    connections: usize,
    addresses: HashMap<IpAddr, usize>,
    requests: usize,
}

impl Limiter {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            closing: AtomicBool::new(false),
            counts: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    pub(super) fn limits(&self) -> &Limits {
        &self.limits
    }

    /// No connection stays open beyond its present request.
    pub(super) fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// A place for one connection, unless all or its address's are taken.
    pub(super) fn acquire(
        limiter: &Arc<Self>,
        address: IpAddr,
    ) -> Option<ConnectionPermit> {
        let mut counts = limiter.counts();
        let own = counts.addresses.get(&address).copied().unwrap_or_default();
        let full = counts.connections >= limiter.limits.connections;
        if full || own >= limiter.limits.connections_per_address {
            return None;
        }
        counts.connections += 1;
        counts.addresses.insert(address, own + 1);
        drop(counts);
        Some(ConnectionPermit {
            limiter: Arc::clone(limiter),
            address,
        })
    }

    /// Waits until no connection is open; gives how many still are at the end.
    pub(super) fn wait_until_idle(&self, deadline: Instant) -> usize {
        let counts = self.counts();
        let left = deadline.saturating_duration_since(Instant::now());
        let (counts, _) = self
            .changed
            .wait_timeout_while(counts, left, |counts| counts.connections > 0)
            .unwrap_or_else(PoisonError::into_inner);
        counts.connections
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One connection's place; given back when dropped.
pub(super) struct ConnectionPermit {
    limiter: Arc<Limiter>,
    address: IpAddr,
}

impl ConnectionPermit {
    pub(super) fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// A place for one request, unless all are taken.
    pub(super) fn acquire_request(&self) -> Option<RequestPermit<'_>> {
        let mut counts = self.limiter.counts();
        if counts.requests >= self.limiter.limits.open_requests {
            return None;
        }
        counts.requests += 1;
        Some(RequestPermit(&self.limiter))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut counts = self.limiter.counts();
        counts.connections -= 1;
        if let Some(own) = counts.addresses.get_mut(&self.address) {
            *own -= 1;
            if *own == 0 {
                counts.addresses.remove(&self.address);
            }
        }
        self.limiter.changed.notify_all();
    }
}

/// One request's place; given back when dropped.
pub(super) struct RequestPermit<'a>(&'a Limiter);

impl Drop for RequestPermit<'_> {
    fn drop(&mut self) {
        self.0.counts().requests -= 1;
    }
}
