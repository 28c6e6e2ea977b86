//! Exit codes.

use std::process::ExitCode;

use gentianlane::api::Reply;
use gentianlane::note::Ruling;
use gentianlane::verdict::{Reason, Verdict};

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command did what was asked; the work ran and succeeded.
    Success,
    /// No reply, a file that can't be read, or wrong answers.
    Fault,
    /// The work has not run, or the call was refused.
    NotRun,
    /// The work may have run; ask again under the same key.
    MayHaveRun,
    /// The work ran and failed.
    Failed,
}

impl Exit {
    /// The exit code that goes with a reply.
    pub(crate) fn of(reply: &Reply) -> Self {
        match (reply, reply.verdict()) {
            (Reply::Answer(answer), Some(Verdict::Ran)) => match answer.outcome.reason {
                Reason::Done => Self::Success,
                _ => Self::Failed,
            },
            (_, Some(Verdict::MayHaveRun)) => Self::MayHaveRun,
            (_, Some(Verdict::NotRun)) => Self::NotRun,
            (Reply::Note(note), _) => match note.ruling {
                Ruling::Accepted(_) => Self::Success,
                _ => Self::NotRun,
            },
            _ => Self::Success,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::Fault => 1,
            // Two is the command line's own code for a wrong command.
            Exit::NotRun => 3,
            Exit::MayHaveRun => 4,
            Exit::Failed => 5,
        })
    }
}
