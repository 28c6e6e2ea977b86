//! What is remembered of a request, so that a resend gets the same answer.

use serde::{Deserialize, Serialize};

use crate::api::Answer;
use crate::digest::Digest;
use crate::id;

/// What is remembered of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request's digest; none if it was cancelled before it came.
    pub digest: Option<Digest>,
    /// How far the request has come.
    pub status: Status,
}

/// How far a request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It is this job.
    Open(id::Job),
    /// It is answered for good.
    Closed(Answer),
}

/// What a record weighs besides its texts, in bytes.
const RECORD_OVERHEAD: u64 = 256;

/// What an output weighs besides its text, in bytes.
const OUTPUT_OVERHEAD: u64 = 72;

impl Record {
    /// About how much memory the record takes, in bytes.
    #[must_use]
    pub fn approximate_size(&self) -> u64 {
        let Status::Closed(answer) = &self.status else {
            return RECORD_OVERHEAD;
        };
        let texts = answer.outputs.iter();
        let texts = texts.map(|output| OUTPUT_OVERHEAD + output.text.len() as u64);
        RECORD_OVERHEAD + texts.sum::<u64>()
    }
}
