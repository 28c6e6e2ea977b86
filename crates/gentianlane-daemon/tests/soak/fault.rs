//! The faults of a soak, drawn from its seed: lanes of them that overlap.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, Scope};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Fleet, Member, Role};
use crate::habit::Habits;
use crate::record::Record;
use crate::worker::{Setup, Worker};

/// For how long a worker drains once that was acknowledged, at least.
const DRAIN_MS: u64 = 2_000;

/// How long a worker without a confirmation of its departure runs on.
const UNCONFIRMED_MS: u64 = 4_000;

/// How a process that shuts down treats its sockets before its end.
#[derive(Debug, Clone, Copy)]
enum Closing {
    Nothing,
    Listener,
    ListenerAndConnections,
}

/// A fault of one worker, with the times in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// `closes_ms` is counted from the acknowledgement of the drain.
    Depart {
        closing: Closing,
        closes_ms: u64,
        announces_ms: u64,
        is_lost: bool,
        restart: Restart,
    },
    /// Another worker's process gets the address of one that runs on.
    Replace {
        drains: bool,
        closing: Closing,
        taken_ms: u64,
        ends_ms: u64,
        mute: bool,
    },
    /// The listener is closed for a time, while the process goes on.
    Close {
        closing: Closing,
        for_ms: u64,
    },
    Crash {
        restart: Restart,
    },
    Stall {
        for_ms: u64,
    },
    Cut {
        for_ms: u64,
    },
    Resets {
        for_ms: u64,
    },
    Deafen {
        executes: bool,
    },
    FillBacklog {
        for_ms: u64,
    },
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Restart {
    pub(crate) after_ms: u64,
    pub(crate) same_id: bool,
}

/// The place of a worker: an address, and the process that has it now.
pub(crate) struct Slot {
    number: u8,
    pub(crate) current: Mutex<Arc<Worker>>,
    incarnations: Mutex<u64>,
    /// How many processes it has had.
    processes: AtomicU64,
    /// Whether a change of its process is under way.
    pub(crate) busy: AtomicBool,
}

pub(crate) struct Plan<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) record: &'a Arc<Record>,
    pub(crate) slots: Vec<Slot>,
    pub(crate) seed: u64,
    /// No fault begins after this time.
    pub(crate) until: Duration,
    /// Held while a core is down.
    pub(crate) cores: Mutex<()>,
}

pub(crate) fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

impl<'a> Plan<'a> {
    pub(crate) fn new(
        fleet: &'a Fleet,
        record: &'a Arc<Record>,
        seed: u64,
        workers: u8,
        until: Duration,
    ) -> Self {
        let slot = |number| {
            let setup = Setup {
                id: format!("i-{number}"),
                address: fleet.worker_address(number),
                cores: fleet.controls(),
                rate: 1_000 - 10 * u64::from(number % 3),
                lists_stopping: number % 2 == 0,
                lease_limit_ms: fleet.lease_limit_ms,
                habits: habits(seed, number, 0),
            };
            Slot {
                number,
                current: Mutex::new(Worker::start(record, setup)),
                incarnations: Mutex::new(0),
                processes: AtomicU64::new(1),
                busy: AtomicBool::new(false),
            }
        };
        Self {
            fleet,
            record,
            slots: (0..workers).map(slot).collect(),
            seed,
            until,
            cores: Mutex::new(()),
        }
    }

    pub(crate) fn rng(&self, lane: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed << 8 | 0x80 | lane)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.record.now() >= self.until
    }

    /// Plays all lanes; their faults have ended when the scope has.
    pub(crate) fn play<'scope>(&'scope self, scope: &'scope Scope<'scope, '_>) {
        for lane in 0..3 {
            scope.spawn(move || self.play_worker_faults(scope, lane));
        }
        scope.spawn(|| self.play_process_faults());
        scope.spawn(|| self.play_restarts_before_lost_leaders());
        scope.spawn(|| self.play_configurations());
    }

    /// Ends every worker.
    pub(crate) fn end(&self) {
        for slot in &self.slots {
            slot.current.lock().unwrap().kill("the soak ends");
        }
    }

    fn play_worker_faults<'scope>(
        &'scope self,
        scope: &'scope Scope<'scope, '_>,
        lane: u64,
    ) {
        let mut rng = self.rng(lane);
        sleep_ms(rng.random_range(500..2_000));
        while !self.is_over() {
            // Now and then one worker after another, as an upgrade does it.
            let first = rng.random_range(0..self.slots.len());
            let series = if rng.random_range(0..4) == 0 { 3 } else { 1 };
            let fault = draw(&mut rng);
            for step in 0..series {
                let slot = &self.slots[(first + step) % self.slots.len()];
                scope.spawn(move || self.strike(slot, fault));
                sleep_ms(rng.random_range(10..300));
            }
            sleep_ms(rng.random_range(200..1_500));
        }
    }

    fn strike(&self, slot: &Slot, fault: Fault) {
        let worker = Arc::clone(&slot.current.lock().unwrap());
        let until = |ms| self.record.now() + Duration::from_millis(ms);
        let changes_process = matches!(
            fault,
            Fault::Depart { .. }
                | Fault::Replace { .. }
                | Fault::Close { .. }
                | Fault::Crash { .. }
        );
        if changes_process && slot.busy.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.fault(&worker.name, format!("{fault:?}"));
        match fault {
            Fault::Depart {
                closing,
                closes_ms,
                announces_ms,
                is_lost,
                restart,
            } => {
                self.drain(&worker);
                sleep_ms(closes_ms.min(announces_ms));
                if closes_ms < announces_ms {
                    close(&worker, closing);
                    sleep_ms(announces_ms - closes_ms);
                }
                let is_confirmed = !worker.is_over() && worker.announce(is_lost);
                close(&worker, closing);
                if !is_confirmed {
                    wait_for_end(&worker, UNCONFIRMED_MS);
                }
                worker.kill("departed");
                self.restart(slot, &worker, restart);
            }
            Fault::Replace {
                drains,
                closing,
                taken_ms,
                ends_ms,
                mute,
            } => {
                if drains {
                    self.drain(&worker);
                }
                worker.close_listener();
                close(&worker, closing);
                worker.mute.store(mute, Ordering::SeqCst);
                let restart = Restart {
                    after_ms: taken_ms,
                    same_id: false,
                };
                self.restart(slot, &worker, restart);
                wait_for_end(&worker, ends_ms);
                worker.kill("replaced");
            }
            Fault::Close { closing, for_ms } => {
                close(&worker, closing);
                wait_for_end(&worker, for_ms);
                if !worker.is_over() {
                    worker.open_listener();
                }
            }
            Fault::Crash { restart } => {
                worker.kill("crashed");
                self.restart(slot, &worker, restart);
            }
            Fault::Stall { for_ms } => worker.stalled.set(until(for_ms)),
            Fault::Cut { for_ms } => worker.cut.set(until(for_ms)),
            Fault::Resets { for_ms } => worker.resets.set(until(for_ms)),
            Fault::Deafen { executes } => worker.deafen_channels(executes),
            Fault::FillBacklog { for_ms } => {
                worker.full.set(until(for_ms));
                let filling = worker.fill_backlog();
                sleep_ms(for_ms);
                drop(filling);
            }
        }
        if changes_process {
            slot.busy.store(false, Ordering::SeqCst);
        } else if let Fault::Stall { for_ms } | Fault::Cut { for_ms } = fault {
            sleep_ms(for_ms);
        }
    }

    /// Has a worker report that it drains, until that is acknowledged.
    fn drain(&self, worker: &Worker) {
        worker.draining.store(true, Ordering::SeqCst);
        let end = Instant::now() + Duration::from_secs(5);
        while !worker.drain_acknowledged.load(Ordering::SeqCst)
            && !worker.is_over()
            && Instant::now() < end
        {
            sleep_ms(5);
        }
        self.record.fault(&worker.name, "drain acknowledged");
    }

    pub(crate) fn restart(&self, slot: &Slot, before: &Worker, restart: Restart) {
        sleep_ms(restart.after_ms);
        let mut setup = before.setup.clone();
        let process = slot.processes.fetch_add(1, Ordering::SeqCst);
        setup.habits = habits(self.seed, slot.number, process);
        if !restart.same_id {
            let mut incarnations = slot.incarnations.lock().unwrap();
            *incarnations += 1;
            setup.id = format!("i-{}-{incarnations}", slot.number);
        }
        let next = Worker::start(self.record, setup);
        *slot.current.lock().unwrap() = next;
    }

    /// At most one core and one entry are down at a time.
    fn play_process_faults(&self) {
        let mut rng = self.rng(8);
        let members: Vec<Member> = Member::all().collect();
        while !self.is_over() {
            sleep_ms(rng.random_range(500..3_500));
            let member = members[rng.random_range(0..members.len())];
            let name = member.name();
            let down = rng.random_range(50..2_000);
            let _cores = self.cores.lock().unwrap();
            match rng.random_range(0..5) {
                0 => {
                    self.record.fault(&name, format!("SIGKILL, down {down}"));
                    self.fleet.kill(member);
                    sleep_ms(down);
                    self.fleet.run(member, false);
                }
                1 => {
                    self.record.fault(&name, format!("SIGTERM, down {down}"));
                    self.fleet.stop(member);
                    sleep_ms(down);
                    self.fleet.run(member, false);
                }
                2 | 3 if member.role == Role::Core => {
                    let stopped = rng.random_range(1_000..3_000);
                    self.record.fault(&name, format!("SIGSTOP for {stopped}"));
                    self.fleet.signal(member, "STOP");
                    sleep_ms(stopped);
                    self.fleet.signal(member, "CONT");
                }
                _ => {
                    self.record.fault(&name, "SIGHUP");
                    self.fleet.write_settings(member, false);
                    self.fleet.signal(member, "HUP");
                }
            }
        }
    }

    fn play_configurations(&self) {
        let mut rng = self.rng(9);
        while !self.is_over() {
            sleep_ms(rng.random_range(500..3_000));
            let version = self.fleet.configure();
            self.record.fault("operator", format!("version {version}"));
        }
    }
}

/// The habits of a worker's process.
fn habits(seed: u64, slot: u8, process: u64) -> Habits {
    let of_slot = seed << 24 | u64::from(slot) << 16 | process;
    Habits::draw(&mut ChaCha8Rng::seed_from_u64(of_slot), process)
}

fn close(worker: &Worker, closing: Closing) {
    match closing {
        Closing::Nothing => {}
        Closing::Listener => worker.close_listener(),
        Closing::ListenerAndConnections => {
            worker.close_listener();
            worker.close_channels();
        }
    }
}

fn wait_for_end(worker: &Worker, at_most_ms: u64) {
    let end = Instant::now() + Duration::from_millis(at_most_ms);
    while Instant::now() < end && !worker.is_over() {
        sleep_ms(5);
    }
}

fn draw(rng: &mut ChaCha8Rng) -> Fault {
    let closing = match rng.random_range(0..3) {
        0 => Closing::Nothing,
        1 => Closing::Listener,
        _ => Closing::ListenerAndConnections,
    };
    let restart = Restart {
        after_ms: rng.random_range(20..1_500),
        same_id: rng.random(),
    };
    let for_ms = rng.random_range(300..4_000);
    match rng.random_range(0..16) {
        0..5 => Fault::Depart {
            closing,
            closes_ms: rng.random_range(0..2 * DRAIN_MS),
            announces_ms: DRAIN_MS + rng.random_range(0..1_500),
            is_lost: rng.random(),
            restart,
        },
        5 | 6 => Fault::Replace {
            drains: rng.random(),
            closing,
            taken_ms: rng.random_range(10..2_500),
            ends_ms: rng.random_range(1_000..5_000),
            mute: rng.random(),
        },
        7 => Fault::Close { closing, for_ms },
        8 => Fault::Crash { restart },
        9 | 10 => Fault::Stall { for_ms: for_ms * 2 },
        11 | 12 => Fault::Cut { for_ms: for_ms * 2 },
        13 => Fault::Resets { for_ms },
        14 => Fault::Deafen {
            executes: rng.random(),
        },
        _ => Fault::FillBacklog { for_ms },
    }
}
