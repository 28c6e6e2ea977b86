//! A client that fails over from one entry VM to the next.

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

/// The time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer a reply may take than the call asks to be held open.
const REPLY_MARGIN: Duration = Duration::from_secs(5);

/// How long one call is held open at most; a longer wait takes several calls.
const MAX_HOLD: Span = Span::from_secs(5);

/// The shortest delay before a retry.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);

/// The upper bound of the exponential retry delay, before jitter and a cell's
/// own `retry_after`.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// A client of one cell.
#[derive(Debug, Clone)]
pub struct Client {
    entries: Vec<SocketAddr>,
    next: usize,
}

impl Client {
    /// Creates a client that sends its calls to these entry VMs.
    #[must_use]
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            entries: entries.into_iter().collect(),
            next: 0,
        }
    }

    /// Sends a call once, to the entry VM that is in use.
    ///
    /// # Errors
    ///
    /// A [`Fault`] if there is no valid reply; its outcome tells whether the call
    /// may have arrived. The next call goes to the next entry VM.
    pub fn call(&mut self, call: &Call) -> Result<Reply, Fault> {
        let Some(entry) = self.entries.get(self.next % self.entries.len().max(1)) else {
            return Err(Fault::Unreachable("no address was given".to_owned()));
        };
        let reply = send(*entry, call);
        if reply.is_err() {
            self.next += 1;
        }
        reply
    }

    /// Submits work and waits for the answer, retrying under the same key until
    /// `timeout` has passed.
    ///
    /// # Errors
    ///
    /// The last [`Refusal`] if no answer came in time.
    pub fn submit(
        &mut self,
        submit: &Submit,
        timeout: Duration,
    ) -> Result<Answer, Refusal> {
        let mut submit = submit.clone();
        submit.hold = MAX_HOLD;
        self.retry_until_answered(&Call::Submit(submit), timeout)
    }

    /// Waits for the answer to a request that was submitted earlier.
    ///
    /// # Errors
    ///
    /// The last [`Refusal`] if no answer came in time.
    pub fn wait(&mut self, wait: &Wait, timeout: Duration) -> Result<Answer, Refusal> {
        let wait = Wait {
            key: wait.key,
            hold: MAX_HOLD,
        };
        self.retry_until_answered(&Call::Wait(wait), timeout)
    }

    /// Cancels a request, also one that has yet to reach the cell, and waits for
    /// its final answer.
    ///
    /// # Errors
    ///
    /// The last [`Refusal`] if no answer came in time.
    pub fn cancel(&mut self, key: Key, timeout: Duration) -> Result<Answer, Refusal> {
        let cancel = Cancel {
            key,
            hold: MAX_HOLD,
        };
        self.retry_until_answered(&Call::Cancel(cancel), timeout)
    }

    fn retry_until_answered(
        &mut self,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + timeout;
        let mut delay = RETRY_DELAY_MIN;
        let mut may_have_run = false;
        loop {
            let refusal = match self.call(call) {
                Ok(Reply::Answer(answer)) => return Ok(answer),
                Ok(Reply::Refused(refusal)) if is_final(&refusal) => return Err(refusal),
                Ok(Reply::Refused(refusal)) => refusal,
                Ok(_) => Refusal::not_run(
                    Reason::Malformed,
                    "the reply does not match the call",
                ),
                Err(fault) => Refusal {
                    outcome: fault.outcome(),
                    detail: fault.to_string(),
                },
            };
            may_have_run |= refusal.outcome.verdict == Verdict::MayHaveRun;
            if Instant::now() + delay >= deadline {
                return Err(with_verdict(refusal, may_have_run));
            }
            let shortest = refusal
                .outcome
                .retry_after
                .map_or(RETRY_DELAY_MIN, Duration::from);
            thread::sleep(rand::rng().random_range(shortest..=shortest.max(delay) * 2));
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }
}

/// The last refusal, with its verdict widened to cover all attempts: that the
/// last one did not run doesn't rule out that an earlier one arrived.
fn with_verdict(mut refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run {
        refusal.outcome.verdict = Verdict::MayHaveRun;
    }
    refusal
}

/// Whether a retry under the same key would get the same refusal.
fn is_final(refusal: &Refusal) -> bool {
    match refusal.outcome.reason {
        Reason::Pending | Reason::NoQuorum | Reason::Overloaded | Reason::Stopping => {
            false
        }
        _ => refusal.outcome.retry_after.is_none(),
    }
}

/// How long a call asks to be held open.
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
    let timeout = Duration::from(hold(call)) + REPLY_MARGIN;
    let response = request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
        .timeout(timeout)
        .header(CONTENT_TYPE, "application/json")
        .text(route.body)
        .send()
        .map_err(|error| classify(&error))?;
    let text = response
        .text()
        .map_err(|error| Fault::ReplyLost(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| Fault::InvalidReply(error.to_string()))
}

/// Tells an error before anything was sent from one that leaves it open whether
/// the call arrived.
fn classify(error: &attohttpc::Error) -> Fault {
    match error.kind() {
        attohttpc::ErrorKind::ConnectError { .. } => {
            Fault::Unreachable(error.to_string())
        }
        attohttpc::ErrorKind::Io(io)
            if io.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Fault::Unreachable(error.to_string())
        }
        _ => Fault::ReplyLost(error.to_string()),
    }
}
