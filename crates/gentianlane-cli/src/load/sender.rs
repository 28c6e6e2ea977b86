//! The threads that send.

use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use flume::Receiver;
use gentianlane::api::{Answer, Call, Refusal, Submit};
use gentianlane::unit::Span;
use gentianlane_client::Client;
use miette::{IntoDiagnostic, Result, miette};

use crate::command::new_key;
use crate::load::plan::{Plan, Shot, Twist};
use crate::load::tally::Tally;

/// How many requests may wait for a sender; their latency runs meanwhile.
const WAITING_LIMIT: usize = 64;

/// The stack of a sender, in bytes.
const STACK: usize = 256 << 10;

/// Sends all that the plan says; what became of it.
pub(crate) fn run(plan: &Plan, entries: &[SocketAddr]) -> Result<Tally> {
    let (sender, shots) = flume::bounded(WAITING_LIMIT);
    let start = Instant::now();
    thread::scope(|scope| {
        let mut senders = Vec::new();
        for number in 0..plan.senders as usize {
            let mut entries = entries.to_vec();
            let first = number.checked_rem(entries.len()).unwrap_or_default();
            entries.rotate_left(first);
            let shots = shots.clone();
            let work = move || send_all(plan, &entries, start, &shots);
            let builder = thread::Builder::new().stack_size(STACK);
            senders.push(builder.spawn_scoped(scope, work).into_diagnostic()?);
        }
        drop(shots);
        for shot in plan.shots() {
            thread::sleep(shot.due.saturating_sub(start.elapsed()));
            sender.send(shot).into_diagnostic()?;
        }
        drop(sender);
        let mut sum = Tally::new()?;
        for sender in senders {
            let tally = sender.join().map_err(|_| miette!("a sender ended early"))?;
            sum.add(tally?)?;
        }
        Ok(sum)
    })
}

fn send_all(
    plan: &Plan,
    entries: &[SocketAddr],
    start: Instant,
    shots: &Receiver<Shot>,
) -> Result<Tally> {
    let mut client = Client::new(entries.iter().copied());
    let mut last = Client::new(entries.iter().rev().copied());
    let mut tally = Tally::new()?;
    for shot in shots {
        let submit = submit(plan, &shot);
        let answer = match shot.twist {
            Twist::Cancel => {
                tally.counts.cancelled += 1;
                cancel(&mut client, &submit, plan)
            }
            Twist::Plain | Twist::Resend => client.submit(&submit, plan.patience),
        };
        let took = start.elapsed().saturating_sub(shot.due);
        let is_own = answer.as_ref().is_ok_and(|answer| answer.key == submit.key);
        tally.ended(&answer, is_own, took);
        if shot.twist == Twist::Resend {
            tally.counts.resent += 1;
            let again = last.submit(&submit, plan.patience);
            tally.counts.differed += u64::from(answer.is_ok() && again != answer);
        }
    }
    Ok(tally)
}

fn submit(plan: &Plan, shot: &Shot) -> Submit {
    let deadline = u64::try_from(plan.patience.as_millis()).unwrap_or(u64::MAX);
    Submit {
        key: new_key(),
        team: plan.team.clone(),
        workload: shot.workload.clone(),
        payload: plan.payload.clone(),
        count: None,
        deadline: Some(Span::from_millis(deadline)),
        trace: None,
        hold: Span::ZERO,
    }
}

/// Sends a request and withdraws it at once; what it is answered.
fn cancel(client: &mut Client, submit: &Submit, plan: &Plan) -> Result<Answer, Refusal> {
    let _ = client.call(&Call::Submit(submit.clone()));
    client.cancel(submit.key, plan.patience)
}
