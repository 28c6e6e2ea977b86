//! The sample jobs of `gentianlaned dev`: a service, batch work, a gang, a notice
//! that must not run twice, and a job that fits no worker.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use gentianlane::api::{Answer, Call, NoteText, Refusal, Reply, Submit};
use gentianlane::id;
use gentianlane::note::Ruling;
use gentianlane::unit::Span;
use gentianlane::verdict::{Reason, Verdict};
use gentianlane_client::Client;

use crate::clock::Clock;

/// The longest time for one step.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two polls of the cell.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The release note that defines the sample's workloads.
const NOTE: &str = include_str!("sample.json");

/// One step of the sample: returns its result, or the unexpected reply.
type Step = fn(&mut Client) -> Result<String, String>;

/// Runs all steps and prints their results; false if any of them failed.
pub(super) fn run(entries: &[SocketAddr]) -> bool {
    let mut client = Client::new(entries.iter().copied());
    let steps: [(&str, Step); 6] = [
        ("note", note),
        ("service", service),
        ("batch", batch),
        ("gang", gang),
        ("notice", notice),
        ("misfit", infeasible),
    ];
    let mut passed = true;
    for (name, step) in steps {
        match step(&mut client) {
            Ok(text) => println!("{name}: {text}"),
            Err(text) => {
                println!("{name}: WRONG: {text}");
                passed = false;
            }
        }
    }
    passed
}

fn note(client: &mut Client) -> Result<String, String> {
    let call = Call::Note(NoteText {
        text: NOTE.to_owned(),
    });
    poll_until(|| match client.call(&call) {
        Ok(Reply::Note(reply)) => match reply.ruling {
            Ruling::Accepted(revision) => Some(Ok(format!("in force as {revision}"))),
            other => Some(Err(format!("{other:?}"))),
        },
        _ => None,
    })
}

fn service(client: &mut Client) -> Result<String, String> {
    poll_until(|| {
        let Ok(Reply::Jobs(jobs)) = client.call(&Call::Jobs) else {
            return None;
        };
        let listeners = jobs
            .iter()
            .filter(|job| job.workload.as_str() == "listener");
        let workers: Vec<String> = listeners
            .flat_map(|job| &job.workers)
            .map(ToString::to_string)
            .collect();
        (workers.len() == 2).then(|| Ok(format!("stands on {}", workers.join(" and "))))
    })
}

fn batch(client: &mut Client) -> Result<String, String> {
    let submit = submit("route-batch", "sleep=20 route 7 sorted");
    check(client.submit(&submit, STEP_TIMEOUT), &["route 7 sorted"])
}

fn gang(client: &mut Client) -> Result<String, String> {
    let submit = submit("image-run", "sleep=20 sorted");
    check(client.submit(&submit, STEP_TIMEOUT), &["sorted"; 4])
}

fn notice(client: &mut Client) -> Result<String, String> {
    let submit = submit("notice", "sent to flue 12");
    let first = client.submit(&submit, STEP_TIMEOUT);
    let second = client.submit(&submit, STEP_TIMEOUT);
    if first != second {
        return Err(format!("{first:?}, and resent {second:?}"));
    }
    check(second, &["sent to flue 12"])
}

fn infeasible(client: &mut Client) -> Result<String, String> {
    match client.submit(&submit("castle", "one"), STEP_TIMEOUT) {
        Ok(answer) if answer.outcome.verdict == Verdict::NotRun => Ok(describe(&answer)),
        other => Err(format!("{other:?}")),
    }
}

fn submit(workload: &str, payload: &str) -> Submit {
    let random: [u8; 10] = rand::random();
    Submit {
        key: id::Key::new(Clock::wall(), &random),
        team: id::Team::from("town"),
        workload: id::Workload::from(workload),
        payload: payload.to_owned(),
        count: None,
        deadline: Some(Span::from_secs(20)),
        trace: None,
        hold: Span::ZERO,
    }
}

fn check(answer: Result<Answer, Refusal>, outputs: &[&str]) -> Result<String, String> {
    let answer = answer.map_err(|refusal| format!("{refusal:?}"))?;
    let texts: Vec<&str> = answer
        .outputs
        .iter()
        .map(|output| output.text.as_str())
        .collect();
    let complete = answer
        .outputs
        .iter()
        .all(gentianlane::api::Output::is_whole);
    let done = answer.outcome.reason == Reason::Done;
    match done && complete && texts == outputs {
        true => Ok(describe(&answer)),
        false => Err(format!("{answer:?}")),
    }
}

fn describe(answer: &Answer) -> String {
    let texts: Vec<&str> = answer
        .outputs
        .iter()
        .map(|output| output.text.as_str())
        .collect();
    let outcome = &answer.outcome;
    format!("{}, {}: {texts:?}", outcome.verdict, outcome.reason)
}

/// Polls until the probe returns a result, or [`STEP_TIMEOUT`] is over.
fn poll_until(
    mut probe: impl FnMut() -> Option<Result<String, String>>,
) -> Result<String, String> {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(result) = probe() {
            return result;
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err("timed out".to_owned())
}
