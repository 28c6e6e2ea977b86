//! Workers that start again under their names and are cut off soon after, while the
//! leader is lost in between.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::caller::Caller;
use crate::fault::{Plan, Restart, Slot, sleep_ms};
use crate::fleet::{Fleet, Member, Role};

/// How many workers start again at once.
const WORKERS: usize = 3;

/// The tasks that last and come when they are back.
const TASKS: u64 = 12;

/// The number of the caller that submits them.
const CALLER: u64 = 8;

impl Plan<'_> {
    pub(crate) fn play_restarts_before_lost_leaders(&self) {
        let mut rng = self.rng(10);
        let mut caller = Caller::new(self.fleet, self.record, self.seed, CALLER);
        sleep_ms(rng.random_range(2_000..4_000));
        while !self.is_over() {
            self.restart_before_lost_leader(&mut rng, &mut caller);
            sleep_ms(rng.random_range(200..2_000));
        }
    }

    fn restart_before_lost_leader(&self, rng: &mut ChaCha8Rng, caller: &mut Caller<'_>) {
        let first = rng.random_range(0..self.slots.len());
        let restarts = 1 + u64::from(rng.random_ratio(1, 3));
        let leaders = 1 + u64::from(rng.random_ratio(1, 4));
        let after_ms = rng.random_range(100..700);
        // At once, before any order of its own reaches the next process, or later.
        let late_ms = match rng.random() {
            true => 0,
            false => rng.random_range(20..900),
        };
        let slots = self.slots.iter().cycle().skip(first).take(self.slots.len());
        let idle = |slot: &&Slot| !slot.busy.swap(true, Ordering::SeqCst);
        let slots: Vec<&Slot> = slots.filter(idle).take(WORKERS).collect();
        let _cores = self.cores.lock().unwrap();
        for _ in 0..restarts {
            self.restart_all(&slots, after_ms, late_ms);
        }
        caller.submit_lasting(TASKS);
        sleep_ms(rng.random_range(200..900));
        for _ in 0..leaders {
            let Some(leader) = self.fleet.leader() else {
                break;
            };
            let name = leader.name();
            if rng.random() {
                self.record.fault(&name, "SIGKILL, the leader");
                self.fleet.kill(leader);
            } else {
                self.record.fault(&name, "SIGTERM, the leader");
                self.fleet.stop(leader);
            }
            sleep_ms(rng.random_range(500..1_300));
            self.fleet.run(leader, false);
        }
        let for_ms = rng.random_range(8_000..11_000);
        let until = self.record.now() + Duration::from_millis(for_ms);
        for slot in &slots {
            let worker = Arc::clone(&slot.current.lock().unwrap());
            let what = format!("cut off for {for_ms} after the leader was lost");
            self.record.fault(&worker.name, what);
            worker.cut.set(until);
        }
        drop(_cores);
        sleep_ms(for_ms);
        for slot in slots {
            slot.busy.store(false, Ordering::SeqCst);
        }
    }

    /// Has workers start again under their names, and carry out late what was sent to
    /// their earlier processes.
    fn restart_all(&self, slots: &[&Slot], after_ms: u64, late_ms: u64) {
        let before: Vec<_> = slots
            .iter()
            .map(|slot| Arc::clone(&slot.current.lock().unwrap()))
            .collect();
        before.iter().for_each(|worker| worker.postpone_renewals());
        for worker in &before {
            worker.await_postponed(Duration::from_millis(1_500));
        }
        for worker in &before {
            worker.kill("crashed, and starts again under its name");
        }
        sleep_ms(after_ms);
        for (slot, worker) in slots.iter().zip(&before) {
            let restart = Restart {
                after_ms: 0,
                same_id: true,
            };
            self.restart(slot, worker, restart);
            let next = Arc::clone(&slot.current.lock().unwrap());
            next.carry_out_late(worker.take_postponed(), late_ms);
        }
    }
}

impl Fleet {
    /// The core that leads, once one does.
    fn leader(&self) -> Option<Member> {
        let newest = || {
            let terms = Member::all().filter_map(|it| Some((self.leads(it)?, it)));
            terms.max_by_key(|(term, _)| *term).map(|(_, it)| it)
        };
        let tries = (0..20).map(|_| {
            newest().or_else(|| {
                sleep_ms(100);
                None
            })
        });
        tries.flatten().next()
    }

    /// The term in which a process leads, by what it has logged since its start.
    fn leads(&self, member: Member) -> Option<u64> {
        let said = self.said_since_start(member);
        let line = said.lines().rfind(|line| line.contains("event=role "))?;
        let term = line.split_once("term=")?.1.split(' ').next()?;
        let leads = member.role == Role::Core && line.contains("role=Leader");
        term.parse().ok().filter(|_| leads)
    }
}
