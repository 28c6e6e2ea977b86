//! A release note as an operator writes it: JSON with comments.

use indexmap::IndexMap;
use json_comments::StripComments;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::io::Read;

use crate::digest::Digest;
use crate::id;
use crate::note::check::Check;
use crate::note::place::Places;
use crate::note::{Fault, Faults, Problem, Revision};
use crate::place::Kind;
use crate::unit::{Size, Span};

/// The longest note, in bytes.
const LIMIT: usize = 1 << 20;

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
    /// Reads a note and checks it whole.
    ///
    /// # Errors
    ///
    /// All [`Faults`] that can be told at once, each with its line and column.
    ///
    /// ```
    /// use gentianlane::note::Note;
    /// let text = "{ \"number\": 1, \"base\": 0 } // the first";
    /// assert_eq!(Note::read(text)?.number, 1);
    /// let faults = Note::read("{\n \"numbr\": 1 }").unwrap_err();
    /// assert_eq!(faults.0[0].line, 2);
    /// # Ok::<(), gentianlane::note::Faults>(())
    /// ```
    pub fn read(text: &str) -> Result<Self, Faults> {
        if text.len() > LIMIT {
            let problem = Problem::TooLong { limit: LIMIT };
            return Err(Faults(vec![Fault::new(text, 0, problem)]));
        }
        let mut plain = String::new();
        let mut comments = StripComments::new(text.as_bytes());
        if let Err(error) = comments.read_to_string(&mut plain) {
            let problem = Problem::Text(error.to_string());
            let end = Fault::new(text, text.len(), problem);
            return Err(Faults(vec![end]));
        }
        Self::read_plain(&plain)
    }

    /// Reads a note without comments.
    fn read_plain(text: &str) -> Result<Self, Faults> {
        if let Err(error) = serde_json::from_str::<IgnoredAny>(text) {
            return Err(Faults(vec![Fault::of(&error)]));
        }
        let places = Places::read(text);
        let mut check = Check::new(text, &places);
        let note: Self = match serde_json::from_str(text) {
            Ok(note) => note,
            Err(error) => {
                let mut faults = check.finish();
                faults.push(Fault::of(&error));
                return Err(Faults(faults));
            }
        };
        check.note(&note);
        let faults = check.finish();
        match faults.is_empty() {
            true => Ok(note),
            false => Err(Faults(faults)),
        }
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
