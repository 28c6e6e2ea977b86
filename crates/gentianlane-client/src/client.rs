//! A client that tries one entry VM after another.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::header::CONTENT_TYPE;
use gentianlane::api::{Answer, Call, Cancel, Refusal, Reply, Submit, Wait};
use gentianlane::id::Key;
use gentianlane::unit::Span;
use gentianlane::verdict::{Reason, Verdict};
use rand::RngExt;

use crate::{Fault, Method, Route};

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer than the call's own hold a reply may take.
const REPLY_SLACK: Duration = Duration::from_secs(5);

/// The longest that one call is held; a longer wait is several calls.
const HOLD: Span = Span::from_secs(5);

/// The shortest pause before a call is sent again.
const PAUSE_MIN: Duration = Duration::from_millis(20);

/// The longest pause before a call is sent again.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// A client of one cell.
#[derive(Debug, Clone)]
pub struct Client {
    entries: Vec<SocketAddr>,
    next: usize,
}

impl Client {
    /// A client that knows these entry VMs.
    #[must_use]
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
            next: 0,
        }
    }

    /// Sends a call once, to the entry VM that was used last.
    ///
    /// # Errors
    ///
    /// A [`Fault`] that says whether the call may have arrived; the next call
    /// goes to another entry VM.
    pub fn call(&mut self, call: &Call) -> Result<Reply, Fault> {
        let Some(entry) = self.entries.get(self.next % self.entries.len().max(1)) else {
            return Err(Fault::Unreachable("none is known".to_owned()));
        };
        let reply = send(*entry, call);
        if reply.is_err() {
            self.next += 1;
        }
        reply
    }

    /// Asks for work and waits for the answer, resending under the same key
    /// until `patience` is over.
    ///
    /// # Errors
    ///
    /// The last [`Refusal`] if no answer came in time.
    pub fn ask(
        &mut self,
        submit: &Submit,
        patience: Duration,
    ) -> Result<Answer, Refusal> {
        let mut submit = submit.clone();
        submit.hold = HOLD;
        self.until_answered(&Call::Submit(submit), patience)
    }

    /// Waits for the answer to an earlier request.
    ///
    /// # Errors
    ///
    /// The last [`Refusal`] if no answer came in time.
    pub fn wait(&mut self, wait: &Wait, patience: Duration) -> Result<Answer, Refusal> {
        let wait = Wait {
            key: wait.key,
            hold: HOLD,
        };
        self.until_answered(&Call::Wait(wait), patience)
    }

    /// Withdraws a request, also one that hasn't come yet, and waits for the
    /// answer that stands from then on.
    ///
    /// # Errors
    ///
    /// The last [`Refusal`] if no answer came in time.
    pub fn cancel(&mut self, key: Key, patience: Duration) -> Result<Answer, Refusal> {
        let cancel = Cancel { key, hold: HOLD };
        self.until_answered(&Call::Cancel(cancel), patience)
    }

    fn until_answered(
        &mut self,
        call: &Call,
        patience: Duration,
    ) -> Result<Answer, Refusal> {
        let end = Instant::now() + patience;
        let mut pause = PAUSE_MIN;
        let mut may_have_run = false;
        loop {
            let refusal = match self.call(call) {
                Ok(Reply::Answer(answer)) => return Ok(answer),
                Ok(Reply::Refused(refusal)) if is_final(&refusal) => return Err(refusal),
                Ok(Reply::Refused(refusal)) => refusal,
                Ok(_) => Refusal::not_run(Reason::Malformed, "an unexpected reply"),
                Err(fault) => Refusal {
                    outcome: fault.outcome(),
                    detail: fault.to_string(),
                },
            };
            may_have_run |= refusal.outcome.verdict == Verdict::MayHaveRun;
            if Instant::now() + pause >= end {
                return Err(given_up(refusal, may_have_run));
            }
            let least = refusal
                .outcome
                .retry_after
                .map_or(PAUSE_MIN, Duration::from);
            thread::sleep(rand::rng().random_range(least..=least.max(pause) * 2));
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }
}

/// The last refusal, as it stands after all that was sent: one that holds only
/// up to now doesn't undo that an earlier sending may have arrived.
fn given_up(mut refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run {
        refusal.outcome.verdict = Verdict::MayHaveRun;
    }
    refusal
}

/// Whether asking again under the same key would change nothing.
fn is_final(refusal: &Refusal) -> bool {
    match refusal.outcome.reason {
        Reason::Pending | Reason::NoQuorum | Reason::Overloaded | Reason::Stopping => {
            false
        }
        _ => refusal.outcome.retry_after.is_none(),
    }
}

/// How long a call asks to be held.
fn hold(call: &Call) -> Span {
    match call {
        Call::Submit(submit) => submit.hold,
        Call::Wait(wait) => wait.hold,
        Call::Cancel(cancel) => cancel.hold,
        Call::Renew(renew) => renew.hold,
        _ => Span::ZERO,
    }
}

fn send(entry: SocketAddr, call: &Call) -> Result<Reply, Fault> {
    let route = Route::of(call);
    let url = format!("http://{entry}{}", route.path);
    let request = match route.method {
        Method::Get => attohttpc::get(url),
        Method::Post => attohttpc::post(url),
    };
    let timeout = Duration::from(hold(call)) + REPLY_SLACK;
    let response = request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
        .timeout(timeout)
        .header(CONTENT_TYPE, "application/json")
        .text(route.body)
        .send()
        .map_err(|error| fault(&error))?;
    let text = response
        .text()
        .map_err(|error| Fault::Lost(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| Fault::Unreadable(error.to_string()))
}

fn fault(error: &attohttpc::Error) -> Fault {
    match error.kind() {
        attohttpc::ErrorKind::ConnectError { .. } => {
            Fault::Unreachable(error.to_string())
        }
        attohttpc::ErrorKind::Io(io)
            if io.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Fault::Unreachable(error.to_string())
        }
        _ => Fault::Lost(error.to_string()),
    }
}
