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
