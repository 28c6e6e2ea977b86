//! The format of a release note: JSON with comments, with unknown fields
//! rejected.

use indexmap::IndexMap;
use json_comments::StripComments;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use std::io::Read;

use crate::digest::Digest;
use crate::id;
use crate::note::check::Check;
use crate::note::position::Positions;
use crate::note::{Fault, Faults, Problem, Revision};
use crate::place::Kind;
use crate::unit::{Size, Span};

/// The longest note, in bytes, comments included.
const NOTE_LIMIT: usize = 1 << 20;

/// One release note: what it adds, changes and withdraws.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// The note's number, chosen by the operator above `base`; only one note
    /// is accepted under each number.
    pub number: u64,
    /// The revision that the note was written against; it is accepted only if
    /// this is still in force.
    pub base: Revision,
    /// Entries to create; their names must not exist yet.
    #[serde(default)]
    pub add: Section,
    /// Entries to replace as a whole; their names must exist.
    #[serde(default)]
    pub change: Section,
    /// Entries to delete; their names must exist.
    #[serde(default)]
    pub withdraw: Withdrawal,
}

impl Note {
    /// Parses a note and checks all that doesn't depend on what is in force.
    ///
    /// # Errors
    ///
    /// All [`Faults`] that were found, each with its line and column; after an
    /// error of the JSON syntax only that one.
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
        if text.len() > NOTE_LIMIT {
            let problem = Problem::TooLong { limit: NOTE_LIMIT };
            return Err(Faults(vec![Fault::new(text, 0, problem)]));
        }
        let mut plain = String::new();
        let mut comments = StripComments::new(text.as_bytes());
        if let Err(error) = comments.read_to_string(&mut plain) {
            let problem = Problem::Syntax(error.to_string());
            let end = Fault::new(text, text.len(), problem);
            return Err(Faults(vec![end]));
        }
        Self::read_plain(&plain)
    }

    /// Reads a note whose comments have been replaced by spaces.
    fn read_plain(text: &str) -> Result<Self, Faults> {
        if let Err(error) = serde_json::from_str::<IgnoredAny>(text) {
            return Err(Faults(vec![Fault::from_json(&error)]));
        }
        let positions = Positions::read(text);
        let mut check = Check::new(text, &positions);
        let note: Self = match serde_json::from_str(text) {
            Ok(note) => note,
            Err(error) => {
                let mut faults = check.finish();
                faults.push(Fault::from_json(&error));
                return Err(Faults(faults));
            }
        };
        check.check_note(&note);
        let faults = check.finish();
        match faults.is_empty() {
            true => Ok(note),
            false => Err(Faults(faults)),
        }
    }

    /// The digest of the note's content, independent of layout and comments.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let text = serde_json::to_vec(self).unwrap_or_default();
        Digest::of(&text)
    }
}

/// The entries that a note adds or changes.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// Workloads by name.
    #[serde(default)]
    pub workloads: IndexMap<id::Workload, Workload>,
    /// Teams by name.
    #[serde(default)]
    pub teams: IndexMap<id::Team, Quota>,
    /// The cell's settings, replaced as a whole; unchanged if absent.
    #[serde(default)]
    pub settings: Option<Settings>,
}

/// The names of the entries that a note withdraws.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// The workloads to delete.
    #[serde(default)]
    pub workloads: Vec<id::Workload>,
    /// The teams to delete; no workload in force may name one of them then.
    #[serde(default)]
    pub teams: Vec<id::Team>,
}

/// A kind of work that callers request by its name, or a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Whether its tasks are a service's replicas, a batch or a gang.
    pub kind: Kind,
    /// The resources that one task needs.
    pub size: Size,
    /// The number of tasks of a job unless its request names another; for a
    /// service, the number of replicas to keep running.
    #[serde(default = "one")]
    pub count: u32,
    /// Whether the work may safely run more than once.
    pub idempotent: bool,
    /// Whether it may preempt work that isn't urgent.
    #[serde(default)]
    pub urgent: bool,
    /// The team that a service's replicas count towards.
    #[serde(default)]
    pub team: id::Team,
    /// How many attempts idempotent work gets before it fails for good.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// How long one task is expected to run, in milliseconds.
    #[serde(default)]
    pub expected: Option<Span>,
    /// The input of a service's replicas.
    #[serde(default)]
    pub payload: String,
}

const fn one() -> u32 {
    1
}

const fn default_attempts() -> u32 {
    3
}

/// A team's quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The resources that the team is entitled to; it may borrow what other
    /// teams leave idle.
    pub size: Size,
    /// The team's weight against other teams that borrow.
    #[serde(default = "one")]
    pub weight: u32,
}

/// Settings of the whole cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The trade-off of placement between short waits (0) and dense packing
    /// (100).
    #[serde(default = "default_packing")]
    pub packing: u8,
}

const fn default_packing() -> u8 {
    50
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            packing: default_packing(),
        }
    }
}
