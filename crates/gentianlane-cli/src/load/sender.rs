//! The threads that send the requests of a load.

use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use flume::Receiver;
use gentianlane::api::{Answer, Call, Refusal, Submit};
use gentianlane::unit::Span;
use gentianlane_client::Client;
use miette::{IntoDiagnostic, Result, miette};

use crate::command::new_key;
use crate::load::plan::{Plan, Request, Variant};
use crate::load::tally::Tally;

/// How many requests may wait for a free sender; the wait counts as latency.
const QUEUE_LIMIT: usize = 64;

/// The stack size of a sender thread, in bytes.
const STACK_SIZE: usize = 256 << 10;

/// Sends all requests of a plan and returns the tally of all senders.
pub(crate) fn run(plan: &Plan, entries: &[SocketAddr]) -> Result<Tally> {
    let (sender, requests) = flume::bounded(QUEUE_LIMIT);
    let start = Instant::now();
    thread::scope(|scope| {
        let mut senders = Vec::new();
        for number in 0..plan.senders as usize {
            let mut entries = entries.to_vec();
            let first = number.checked_rem(entries.len()).unwrap_or_default();
            entries.rotate_left(first);
            let requests = requests.clone();
            let work = move || send_all(plan, &entries, start, &requests);
            let builder = thread::Builder::new().stack_size(STACK_SIZE);
            senders.push(builder.spawn_scoped(scope, work).into_diagnostic()?);
        }
        drop(requests);
        for request in plan.requests() {
            thread::sleep(request.due.saturating_sub(start.elapsed()));
            sender.send(request).into_diagnostic()?;
        }
        drop(sender);
        let mut sum = Tally::new()?;
        for sender in senders {
            let tally = sender
                .join()
                .map_err(|_| miette!("a sender thread panicked"))?;
            sum.add(tally?)?;
        }
        Ok(sum)
    })
}

/// Sends the requests that this thread takes from the queue. It sends repeats
/// through the entry VMs in reverse order, mostly another than the first time.
fn send_all(
    plan: &Plan,
    entries: &[SocketAddr],
    start: Instant,
    requests: &Receiver<Request>,
) -> Result<Tally> {
    let mut client = Client::new(entries.iter().copied());
    let mut resender = Client::new(entries.iter().rev().copied());
    let mut tally = Tally::new()?;
    for request in requests {
        let submit = submit(plan, &request);
        let answer = match request.variant {
            Variant::Cancel => {
                tally.counts.cancelled += 1;
                cancel(&mut client, &submit, plan)
            }
            Variant::Plain | Variant::Resend => client.submit(&submit, plan.timeout),
        };
        let took = start.elapsed().saturating_sub(request.due);
        let is_own = answer.as_ref().is_ok_and(|answer| answer.key == submit.key);
        tally.record(&answer, is_own, took);
        if request.variant == Variant::Resend {
            tally.counts.resent += 1;
            let second = resender.submit(&submit, plan.timeout);
            tally.counts.differed += u64::from(answer.is_ok() && second != answer);
        }
    }
    Ok(tally)
}

fn submit(plan: &Plan, request: &Request) -> Submit {
    let deadline = u64::try_from(plan.timeout.as_millis()).unwrap_or(u64::MAX);
    Submit {
        key: new_key(),
        team: plan.team.clone(),
        workload: request.workload.clone(),
        payload: plan.payload.clone(),
        count: None,
        deadline: Some(Span::from_millis(deadline)),
        trace: None,
        hold: Span::ZERO,
    }
}

/// Submits a request, cancels it at once and returns the final answer.
fn cancel(client: &mut Client, submit: &Submit, plan: &Plan) -> Result<Answer, Refusal> {
    let _ = client.call(&Call::Submit(submit.clone()));
    client.cancel(submit.key, plan.timeout)
}
