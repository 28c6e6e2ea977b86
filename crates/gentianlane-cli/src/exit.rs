//! Exit codes of the commands.

use std::process::ExitCode;

use gentianlane::api::Reply;
use gentianlane::note::Ruling;
use gentianlane::verdict::{Reason, Verdict};

/// The result of a command, as its exit code tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded; submitted work ran and succeeded.
    Success,
    /// There was no reply, a file could not be read, a data folder is damaged, or
    /// the answers to a load were wrong.
    Error,
    /// The work did not run, or the call was refused.
    NotRun,
    /// The work may have run; a retry under the same key tells.
    MayHaveRun,
    /// The work ran and failed.
    Failed,
}

impl Exit {
    /// The result that a reply stands for.
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
            Exit::Error => 1,
            // clap exits with 2 if the command line is invalid.
            Exit::NotRun => 3,
            Exit::MayHaveRun => 4,
            Exit::Failed => 5,
        })
    }
}
