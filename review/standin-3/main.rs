//! The stand-ins of the review's scripts: `standin-3 CASE PROGRAM RECORD`.

mod daily_jobs;
mod fleet;
mod gang_rack;
mod http;
mod json;
mod late_start;
mod lost_answer;
mod new_process;
mod record;
mod worker;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use record::Record;

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE PROGRAM RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new(Path::new(record)));
    let program = Path::new(program);
    let play = || match case.as_str() {
        "lost-answer" => lost_answer::play(program, &record, trouble),
        "daily-jobs" => daily_jobs::play(program, &record, trouble),
        "gang-rack" => gang_rack::play(program, &record, trouble),
        "late-start" => late_start::play(program, &record, trouble),
        "new-process" => new_process::play(program, &record, trouble),
        _ => Outcome::NotRun("no such case".to_owned()),
    };
    // After a panic the processes that were started have been ended too.
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let outcome = outcome.unwrap_or(Outcome::NotRun("a panic".to_owned()));
    let (code, line) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::NotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    record.add(&line);
    println!("{line}");
    exit(code);
}
