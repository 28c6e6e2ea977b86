//! Registration, draining and removal of workers.

use crate::api::{Announce, Ending, Leave, Output, Refusal, Reply};
use crate::cell::{Event, State};
use crate::id;
use crate::place::Worker;
use crate::verdict::Reason;

impl State {
    /// Registers a worker. A newer incarnation ends the tasks of the earlier
    /// one; an older one is refused. The worker keeps its draining flag.
    pub(super) fn announce(
        &mut self,
        announce: Announce,
        events: &mut Vec<Event>,
    ) -> Reply {
        let Announce {
            worker: name,
            incarnation,
            size,
            region,
            domain,
            rack,
            ..
        } = announce;
        let old = self.ledger.get(&name);
        let draining = old.is_some_and(|old| old.draining);
        if let Some(known) = old.map(|old| old.incarnation) {
            if known > incarnation {
                let detail = format!(
                    "worker {name} is registered with the newer incarnation {known}"
                );
                return Reply::Refused(Refusal::not_run(Reason::WorkerLost, detail));
            }
            if known < incarnation {
                self.release_tasks(&name, &[], events);
            }
        }
        let mut worker = Worker::new(incarnation, (region, domain, rack), size);
        worker.draining = draining;
        self.ledger.put(&name, worker);
        events.push(Event::WorkerUpdated(name));
        Reply::Done
    }

    pub(super) fn leave(&mut self, leave: &Leave, events: &mut Vec<Event>) -> Reply {
        self.remove_worker(&leave.worker, leave.incarnation, &[], events)
    }

    /// Removes a worker with its tasks, unless it has another incarnation by
    /// now.
    pub(super) fn remove_worker(
        &mut self,
        name: &id::Worker,
        incarnation: id::Incarnation,
        unsent: &[id::Token],
        events: &mut Vec<Event>,
    ) -> Reply {
        let known = self.ledger.get(name).map(|worker| worker.incarnation);
        if known == Some(incarnation) {
            self.release_tasks(name, unsent, events);
            self.ledger.remove_unused(name);
            events.push(Event::WorkerRemoved(name.clone()));
        }
        Reply::Done
    }

    /// Ends all tasks on a worker, where they are known not to run any more.
    /// Those in `unsent` never began.
    fn release_tasks(
        &mut self,
        name: &id::Worker,
        unsent: &[id::Token],
        events: &mut Vec<Event>,
    ) {
        for token in self.reserved_tokens.shift_remove(name).unwrap_or_default() {
            let ending = match unsent.contains(&token) {
                true => Ending::NeverBegan,
                false => Ending::Stopped,
            };
            self.release(token, ending, Output::new(String::new()), events);
        }
    }

    pub(super) fn drain(
        &mut self,
        name: &id::Worker,
        on: bool,
        events: &mut Vec<Event>,
    ) -> Reply {
        if !self.ledger.set_draining(name, on) {
            let detail = format!("no worker is registered as {name}");
            return Reply::Refused(Refusal::not_run(Reason::Malformed, detail));
        }
        events.push(Event::WorkerUpdated(name.clone()));
        Reply::Done
    }
}
