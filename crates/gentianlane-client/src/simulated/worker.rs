//! The threads of a simulated worker.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use gentianlane::api::{Announce, Call, Lease, Leave, Reply};
use gentianlane::unit::{Span, Time};
use gentianlane::verdict::Reason;

use crate::Client;
use crate::simulated::{Run, State};

/// How long the cell may hold a renewal open for orders.
const RENEWAL_HOLD: Span = Span::from_secs(2);

/// The interval at which runs are checked for their end and results reported.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a worker that leaves keeps reporting its results.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// The settings of a simulated worker.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The announcement by which the worker registers.
    pub announce: Announce,
    /// The addresses of the entry VMs that the worker calls.
    pub entries: Vec<SocketAddr>,
}

/// A simulated worker that runs until it is stopped.
#[derive(Debug)]
pub struct Worker {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// The state that the worker's threads share.
struct Shared {
    setup: Setup,
    state: Mutex<State>,
    /// The origin of the worker's clock.
    origin: Instant,
    stop: Arc<AtomicBool>,
    /// Called for each run that starts.
    on_start: Box<dyn Fn(&Run) + Send + Sync>,
}

impl Worker {
    /// Starts the worker's threads; `on_start` is called for each run that starts.
    pub fn start(setup: Setup, on_start: impl Fn(&Run) + Send + Sync + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let announce = &setup.announce;
        let state = State::new(announce.worker.clone(), announce.incarnation);
        let shared = Arc::new(Shared {
            setup,
            state: Mutex::new(state),
            origin: Instant::now(),
            stop: Arc::clone(&stop),
            on_start: Box::new(on_start),
        });
        let loops: [fn(&Shared); 3] = [renew_loop, tick_loop, report_loop];
        let threads = loops
            .into_iter()
            .map(|body| {
                let shared = Arc::clone(&shared);
                thread::spawn(move || body(&shared))
            })
            .collect();
        Self { stop, threads }
    }

    /// Stops all runs, leaves the cell and waits for the threads to end.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Announces the worker, renews its lease until the worker is stopped, and then
/// leaves the cell once the results are acknowledged or the time limit is over.
fn renew_loop(shared: &Shared) {
    let mut client = shared.client();
    let mut announced = false;
    while !shared.is_stopping() {
        if !announced {
            let call = Call::Announce(shared.setup.announce.clone());
            announced = matches!(client.call(&call), Ok(Reply::Done));
            if !announced {
                thread::sleep(RETRY_DELAY);
                continue;
            }
        }
        announced = renew_once(shared, &mut client);
    }
    let announce = &shared.setup.announce;
    shared.state().stop_all();
    let deadline = Instant::now() + FINAL_REPORT_TIMEOUT;
    while !shared.state().results().is_empty() && Instant::now() < deadline {
        report_once(shared, &mut client);
    }
    let (worker, incarnation) = (announce.worker.clone(), announce.incarnation);
    let _ = client.call(&Call::Leave(Leave {
        worker,
        incarnation,
    }));
}

/// Sends one renewal; returns false if the cell doesn't know the worker and it
/// has to be announced again.
fn renew_once(shared: &Shared, client: &mut Client) -> bool {
    let sent = shared.now();
    let renew = shared.state().renewal(RENEWAL_HOLD);
    match client.call(&Call::Renew(renew)) {
        Ok(Reply::Lease(lease)) => apply_lease(shared, lease, sent),
        Ok(Reply::Refused(refusal)) => {
            thread::sleep(RETRY_DELAY);
            return refusal.outcome.reason != Reason::WorkerLost;
        }
        Ok(_) | Err(_) => thread::sleep(RETRY_DELAY),
    }
    true
}

/// Applies a lease and its orders.
fn apply_lease(shared: &Shared, lease: Lease, sent: Time) {
    let mut state = shared.state();
    let started = state.handle_lease(lease, sent, shared.now());
    drop(state);
    for run in started {
        (shared.on_start)(&run);
    }
}

/// Ends the runs that are due, and all of them once the lease has expired.
fn tick_loop(shared: &Shared) {
    while !shared.is_stopping() {
        let mut state = shared.state();
        state.tick(shared.now());
        drop(state);
        thread::sleep(TICK_INTERVAL);
    }
}

/// Reports results, each until it is acknowledged.
fn report_loop(shared: &Shared) {
    let mut client = shared.client();
    while !shared.is_stopping() {
        report_once(shared, &mut client);
        thread::sleep(TICK_INTERVAL);
    }
}

/// Reports each pending result once.
fn report_once(shared: &Shared, client: &mut Client) {
    let results = shared.state().results();
    for finish in results {
        let token = finish.token;
        match client.call(&Call::Finish(finish)) {
            Ok(Reply::Done) => shared.state().acknowledge(&token, shared.now()),
            Ok(_) | Err(_) => thread::sleep(RETRY_DELAY),
        }
    }
}
