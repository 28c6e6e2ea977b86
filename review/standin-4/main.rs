//! Runs the cases of the fourth review: `review-4 CASE RECORD`.
//!
//! It starts the project's own processes on loopback addresses, plays consumers, the
//! operator and the workers, and judges what these have seen. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run.

mod adviser;
mod cases;
mod client;
mod http;
mod json;
mod record;
mod system;
mod worker;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Verdict;
use crate::record::Record;

/// After this time the test ends, whatever it does.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-4 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(format!("case {case}, trouble {trouble}"));
    // The processes end with this one.
    thread::spawn(|| {
        thread::sleep(LIMIT);
        std::process::exit(2);
    });
    let played = catch_unwind(AssertUnwindSafe(|| cases::run(case, trouble, &record)));
    let verdict =
        played.unwrap_or_else(|_| Verdict::Void("the test panicked".to_owned()));
    let (code, text) = match &verdict {
        Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
        Verdict::Held(why) => (0, format!("HELD: {why}")),
        Verdict::Void(why) => (2, format!("COULD NOT RUN: {why}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
