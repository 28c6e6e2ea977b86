//! Orders to a worker that are carried out late, by the next process of its name.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Message;
use crate::worker::Worker;

impl Worker {
    /// From now on the renewals of its lease get no answer and are kept.
    pub(crate) fn postpone_renewals(&self) {
        self.postpones.store(true, Ordering::SeqCst);
    }

    /// Keeps a request that is to be carried out late; whether it did.
    pub(crate) fn postpone(&self, request: &Message) -> bool {
        let is_renewal = request.first.get(1).is_some_and(|it| it == "/v1/hold")
            && !request.json()["deadline_ms"].is_null();
        let postpones = is_renewal && self.postpones.load(Ordering::SeqCst);
        if postpones {
            self.postponed.lock().unwrap().push(request.clone());
        }
        postpones
    }

    /// Waits for a renewal that is kept, for some time.
    pub(crate) fn await_postponed(&self, at_most: Duration) {
        let end = Instant::now() + at_most;
        while self.postponed.lock().unwrap().is_empty()
            && !self.is_over()
            && Instant::now() < end
        {
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub(crate) fn take_postponed(&self) -> Vec<Message> {
        std::mem::take(&mut *self.postponed.lock().unwrap())
    }

    /// Carries out orders to an earlier process after a while. Nobody gets an answer.
    pub(crate) fn carry_out_late(self: &Arc<Self>, orders: Vec<Message>, after_ms: u64) {
        for order in orders {
            let worker = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(after_ms));
                worker
                    .record
                    .fault(&worker.name, "is to carry out a late renewal");
                let (status, _) = worker.answer(&order);
                let what = format!("has answered a late renewal: {status}");
                worker.record.fault(&worker.name, what);
            });
        }
    }
}
