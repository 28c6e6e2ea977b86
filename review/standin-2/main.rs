//! Starts a case of the second review and reports whether its rule held.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod worker;

use std::process::ExitCode;

use cases::Verdict;
use record::Record;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let outcome = match case.as_str() {
        "late-start" => cases::late_start(trouble, &record),
        "crashed-replica" => cases::crashed_replica(trouble, &record),
        "crashed-service" => cases::crashed_service(trouble, &record),
        "cancelled-job" => cases::cancelled_job(trouble, &record),
        "wide-step" => cases::wide_step(trouble, &record),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (code, text) = match outcome {
        Ok(Verdict::Held(text)) => (0, format!("the rule held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("the rule was broken: {text}")),
        Err(error) => (2, format!("the case couldn't run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
