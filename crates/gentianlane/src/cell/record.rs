//! Records of requests by idempotency key, so that a resend gets the same
//! answer.

use serde::{Deserialize, Serialize};

use crate::api::Answer;
use crate::digest::Digest;
use crate::id;

/// The record of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request's digest; `None` if it was cancelled before it arrived.
    pub digest: Option<Digest>,
    /// Whether the request is answered.
    pub status: Status,
}

/// Whether a request is answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// This job works on it.
    Open(id::Job),
    /// It has its final answer.
    Closed(Answer),
}

/// The assumed memory of a record without its outputs, in bytes.
const RECORD_OVERHEAD: u64 = 256;

/// The assumed memory of an output without its text, in bytes.
const OUTPUT_OVERHEAD: u64 = 72;

impl Record {
    /// The approximate memory of the record, in bytes.
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
