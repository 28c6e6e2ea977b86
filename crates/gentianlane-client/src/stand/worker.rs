//! The stand-in worker's threads.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use gentianlane::api::{Announce, Call, Lease, Leave, Reply};
use gentianlane::unit::{Span, Time};
use gentianlane::verdict::Reason;

use crate::Client;
use crate::stand::{Desk, Run};

/// How long a renewal is held for orders.
const HOLD: Span = Span::from_secs(2);

/// How often runs are looked at.
const STEP: Duration = Duration::from_millis(5);

/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(50);

/// How long a worker that leaves goes on reporting results.
const LEAVE_PATIENCE: Duration = Duration::from_secs(5);

/// What a stand-in worker is.
#[derive(Debug, Clone)]
pub struct Setup {
    /// How it announces itself.
    pub announce: Announce,
    /// The entry VMs that it knows.
    pub entries: Vec<SocketAddr>,
}

/// A stand-in worker that runs until it is stopped.
#[derive(Debug)]
pub struct Worker {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// What the worker's threads share.
struct Shared {
    setup: Setup,
    desk: Mutex<Desk>,
    /// The origin of the worker's clock.
    origin: Instant,
    stop: Arc<AtomicBool>,
    began: Box<dyn Fn(&Run) + Send + Sync>,
}

impl Worker {
    /// Starts the worker's threads; `began` hears of every run as it begins.
    pub fn start(setup: Setup, began: impl Fn(&Run) + Send + Sync + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let announce = &setup.announce;
        let desk = Desk::new(announce.worker.clone(), announce.incarnation);
        let shared = Arc::new(Shared {
            setup,
            desk: Mutex::new(desk),
            origin: Instant::now(),
            stop: Arc::clone(&stop),
            began: Box::new(began),
        });
        let parts: [fn(&Shared); 3] = [renew, run, report];
        let threads = parts
            .into_iter()
            .map(|part| {
                let shared = Arc::clone(&shared);
                thread::spawn(move || part(&shared))
            })
            .collect();
        Self { stop, threads }
    }

    /// Leaves the cell and waits for the threads.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn now(&self) -> Time {
        let millis = self.origin.elapsed().as_millis();
        Time::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    fn client(&self) -> Client {
        Client::new(self.setup.entries.iter().copied())
    }
}

/// Announces the worker and renews its lease for as long as it lives.
fn renew(shared: &Shared) {
    let mut client = shared.client();
    let mut known = false;
    while !shared.is_stopping() {
        if !known {
            let call = Call::Announce(shared.setup.announce.clone());
            known = matches!(client.call(&call), Ok(Reply::Done));
            if !known {
                thread::sleep(PAUSE);
                continue;
            }
        }
        known = renew_once(shared, &mut client);
    }
    let announce = &shared.setup.announce;
    shared.desk().stop_all();
    let end = Instant::now() + LEAVE_PATIENCE;
    while !shared.desk().results().is_empty() && Instant::now() < end {
        report_once(shared, &mut client);
    }
    let (worker, incarnation) = (announce.worker.clone(), announce.incarnation);
    let _ = client.call(&Call::Leave(Leave {
        worker,
        incarnation,
    }));
}

/// Renews once; false if the cell doesn't know the worker.
fn renew_once(shared: &Shared, client: &mut Client) -> bool {
    let sent = shared.now();
    let renew = shared.desk().renewal(HOLD);
    match client.call(&Call::Renew(renew)) {
        Ok(Reply::Lease(lease)) => carry_out(shared, lease, sent),
        Ok(Reply::Refused(refusal)) => {
            thread::sleep(PAUSE);
            return refusal.outcome.reason != Reason::WorkerLost;
        }
        Ok(_) | Err(_) => thread::sleep(PAUSE),
    }
    true
}

fn carry_out(shared: &Shared, lease: Lease, sent: Time) {
    let mut desk = shared.desk();
    let begun = desk.lease(lease, sent, shared.now());
    drop(desk);
    for run in begun {
        (shared.began)(&run);
    }
}

/// Ends runs whose time has come, and all of them when the lease is over.
fn run(shared: &Shared) {
    while !shared.is_stopping() {
        let mut desk = shared.desk();
        desk.tick(shared.now());
        drop(desk);
        thread::sleep(STEP);
    }
}

/// Reports results until they are acknowledged.
fn report(shared: &Shared) {
    let mut client = shared.client();
    while !shared.is_stopping() {
        report_once(shared, &mut client);
        thread::sleep(STEP);
    }
}

fn report_once(shared: &Shared, client: &mut Client) {
    let results = shared.desk().results();
    for finish in results {
        let token = finish.token;
        match client.call(&Call::Finish(finish)) {
            Ok(Reply::Done) => shared.desk().acknowledged(&token, shared.now()),
            Ok(_) | Err(_) => thread::sleep(PAUSE),
        }
    }
}
