//! Commands that wait for an answer and show their progress on a terminal.

use clap::ArgMatches;
use gentianlane::api::{Answer, Call, Refusal, Reply, Submit, Wait};
use gentianlane::id;
use gentianlane::unit::{Span, Wall};
use gentianlane_client::Client;
use miette::Result;
use std::io::{IsTerminal, Write};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::command::call::{key, number, text};
use crate::command::show;
use crate::exit::Exit;

/// The interval at which the status of the nodes is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time limit for a note to come into force at every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) fn submit(
    client: &mut Client,
    matches: &ArgMatches,
    json: bool,
) -> Result<Exit> {
    let key = matches.get_one("key").copied().unwrap_or_else(new_key);
    let submit = Submit {
        key,
        team: id::Team(text(matches, "team")),
        workload: id::Workload(text(matches, "WORKLOAD")),
        payload: text(matches, "PAYLOAD"),
        count: matches.get_one("count").copied(),
        deadline: Some(Span::from_secs(number(matches, "deadline"))),
        trace: None,
        hold: Span::ZERO,
    };
    show_progress(&format!("waiting for {key}"));
    let timeout = Duration::from_secs(number(matches, "patience"));
    show(&reply(client.submit(&submit, timeout)), json)
}

pub(super) fn wait(
    client: &mut Client,
    matches: &ArgMatches,
    json: bool,
) -> Result<Exit> {
    let key = key(matches)?;
    let wait = Wait {
        key,
        hold: Span::ZERO,
    };
    show_progress(&format!("waiting for {key}"));
    let timeout = Duration::from_secs(number(matches, "patience"));
    show(&reply(client.wait(&wait, timeout)), json)
}

/// Waits until the revision in force at the leader is in force at every node.
pub(super) fn wait_in_force(client: &mut Client, json: bool) -> Result<Exit> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let reply = client.call(&Call::NoteStatus);
        if let Ok(reply) = &reply {
            let done = match reply {
                Reply::NoteStatus(status) => {
                    status.nodes.iter().all(|node| node.in_force)
                }
                _ => false,
            };
            if done || Instant::now() >= deadline {
                show(reply, json)?;
                return Ok(match done {
                    true => Exit::Success,
                    false => Exit::NotRun,
                });
            }
        }
        if Instant::now() >= deadline {
            return Ok(Exit::Error);
        }
        show_progress("waiting until it is in force at every node");
        thread::sleep(POLL_INTERVAL);
    }
}

fn reply(answer: Result<Answer, Refusal>) -> Reply {
    match answer {
        Ok(answer) => Reply::Answer(answer),
        Err(refusal) => Reply::Refused(refusal),
    }
}

/// Shows a progress line on standard error if that is a terminal.
fn show_progress(text: &str) {
    let mut stderr = std::io::stderr();
    if stderr.is_terminal() {
        let _ = write!(stderr, "\r\x1b[K{text}\r");
        let _ = stderr.flush();
    }
}

/// Makes a request key from the current time and random bytes.
pub(crate) fn new_key() -> id::Key {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    let wall = Wall::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
    let random: [u8; 10] = rand::random();
    id::Key::new(wall, &random)
}
