//! Limits on open connections, in all and per address, and on open requests.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::process::settings::Limits;

/// Counts open connections and requests and grants permits within the limits.
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

    /// Tells the connections to close after their current request.
    pub(super) fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// A permit for one connection, unless the limit for all connections or for
    /// those of its address is reached.
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

    /// Waits until no connection is open or the deadline has passed; returns how
    /// many are still open.
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

/// The permit of one open connection, released when dropped.
pub(super) struct ConnectionPermit {
    limiter: Arc<Limiter>,
    address: IpAddr,
}

impl ConnectionPermit {
    pub(super) fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// A permit for one request, unless the limit for open requests is reached.
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

/// The permit of one open request, released when dropped.
pub(super) struct RequestPermit<'a>(&'a Limiter);

impl Drop for RequestPermit<'_> {
    fn drop(&mut self) {
        self.0.counts().requests -= 1;
    }
}
