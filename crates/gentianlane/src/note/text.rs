//! A release note as an operator writes it: JSON with comments.

use indexmap::IndexMap;
use json_comments::StripComments;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::id;
use crate::note::Revision;
use crate::place::Kind;
use crate::unit::{Size, Span};

/// One release note: what is added, changed and withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// The number that the operator gave it; the next free one.
    pub number: u64,
    /// The revision that the operator wrote it against.
    pub base: Revision,
    /// What didn't exist and shall.
    #[serde(default)]
    pub add: Section,
    /// What exists and shall read otherwise.
    #[serde(default)]
    pub change: Section,
    /// What exists and shall not.
    #[serde(default)]
    pub withdraw: Withdrawal,
}

impl Note {
    /// Reads a note, and refuses unknown fields.
    ///
    /// # Errors
    ///
    /// A [`Fault`] with the line and column at which reading ended.
    ///
    /// ```
    /// use gentianlane::note::Note;
    /// let text = "{ \"number\": 1, \"base\": 0 } // the first";
    /// assert_eq!(Note::read(text)?.number, 1);
    /// assert_eq!(Note::read("{\n \"numbr\": 1 }").unwrap_err().line, 2);
    /// # Ok::<(), gentianlane::note::Fault>(())
    /// ```
    pub fn read(text: &str) -> Result<Self, Fault> {
        let plain = StripComments::new(text.as_bytes());
        serde_json::from_reader(plain).map_err(|error| Fault::new(&error))
    }

    /// The digest of what the note says, however it is laid out.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let text = serde_json::to_vec(self).unwrap_or_default();
        Digest::of(&text)
    }
}

/// Workloads, teams and settings, to add or to change.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// Workloads by name.
    #[serde(default)]
    pub workloads: IndexMap<id::Workload, Workload>,
    /// Teams by name.
    #[serde(default)]
    pub teams: IndexMap<id::Team, Quota>,
    /// The cell's settings.
    #[serde(default)]
    pub settings: Option<Settings>,
}

/// Names that shall be gone.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Workloads by name.
    #[serde(default)]
    pub workloads: Vec<id::Workload>,
    /// Teams by name.
    #[serde(default)]
    pub teams: Vec<id::Team>,
}

/// One named kind of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Service, batch or gang.
    pub kind: Kind,
    /// What one task needs.
    pub size: Size,
    /// How many tasks at once; for a service, how many replicas stand.
    #[serde(default = "one")]
    pub count: u32,
    /// Whether running twice does no harm.
    pub idempotent: bool,
    /// Whether it may take the place of work that isn't urgent.
    #[serde(default)]
    pub urgent: bool,
    /// The team that a service's replicas count for.
    #[serde(default)]
    pub team: id::Team,
    /// How often idempotent work is tried before it is given up on.
    #[serde(default = "three")]
    pub attempts: u32,
    /// How long one task is expected to run, in milliseconds.
    #[serde(default)]
    pub expected: Option<Span>,
    /// What a service's replicas get as their input.
    #[serde(default)]
    pub payload: String,
}

const fn one() -> u32 {
    1
}

const fn three() -> u32 {
    3
}

/// What a team may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// What the team is entitled to; it may borrow more while it lies idle.
    pub size: Size,
    /// Its weight among teams that borrow.
    #[serde(default = "one")]
    pub weight: u32,
}

/// Settings that hold for the whole cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// From 0, wait least, to 100, pack most.
    #[serde(default = "fifty")]
    pub packing: u8,
}

const fn fifty() -> u8 {
    50
}

impl Default for Settings {
    fn default() -> Self {
        Self { packing: fifty() }
    }
}

/// Why a note can't be read, and where.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("line {line}, column {column}: {message}")]
pub struct Fault {
    /// The line, counted from one.
    pub line: usize,
    /// The column, counted from one.
    pub column: usize,
    /// What was wrong there.
    pub message: String,
}

impl Fault {
    fn new(error: &serde_json::Error) -> Self {
        let text = error.to_string();
        let message = match text.rfind(" at line ") {
            Some(end) => text[..end].to_owned(),
            None => text,
        };
        Self {
            line: error.line(),
            column: error.column(),
            message,
        }
    }
}
