//! What is wrong with a release note, and where.

use derive_more::{Display, Error};

/// One thing that is wrong with a note.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("line {line}, column {column}: {problem}")]
pub struct Fault {
    /// The line, counted from one.
    pub line: usize,
    /// The column in bytes, counted from one.
    pub column: usize,
    /// What is wrong at that position.
    #[error(not(source))]
    pub problem: Problem,
}

impl Fault {
    /// A fault at a byte offset of the text.
    pub(crate) fn new(text: &str, offset: usize, problem: Problem) -> Self {
        let before = text.as_bytes().get(..offset).unwrap_or_default();
        let lines = before.iter().filter(|&&byte| byte == b'\n').count();
        let start = before.iter().rposition(|&byte| byte == b'\n');
        Self {
            line: lines + 1,
            column: offset - start.map_or(0, |start| start + 1) + 1,
            problem,
        }
    }

    /// The fault for an error of the JSON parser, at the position that it
    /// names.
    pub(crate) fn from_json(error: &serde_json::Error) -> Self {
        let text = error.to_string();
        let message = match text.rfind(" at line ") {
            Some(end) => text[..end].to_owned(),
            None => text,
        };
        Self {
            line: error.line().max(1),
            column: error.column().max(1),
            problem: Problem::Syntax(message),
        }
    }
}

/// The faults of a note in the order of its text, at least one; displayed one
/// a line.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

/// What is wrong at one position of a note.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// The text isn't JSON with comments, or has an unknown or missing field or
    /// a value of a wrong type; the parser's message.
    #[display("{_0}")]
    Syntax(String),
    /// The text is too long.
    #[display("the note is longer than the limit of {limit} bytes")]
    TooLong {
        /// The most bytes that a note may have.
        limit: usize,
    },
    /// An object has this key twice.
    #[display("the key {_0:?} is given twice")]
    DuplicateKey(String),
    /// This name is added, changed or withdrawn more than once.
    #[display("{_0:?} is added, changed or withdrawn more than once")]
    RepeatedName(String),
    /// This name is empty, too long or has characters that aren't allowed.
    #[display(
        "{_0:?} isn't a valid name: 1 to 64 characters of a-z, 0-9, '.', '_' \
         and '-', starting with a letter or digit"
    )]
    InvalidName(String),
    /// A quantity is out of its range.
    #[display("{what} is {found}, but has to be from {least} to {most}")]
    Range {
        /// The quantity, with its unit if it has one.
        what: &'static str,
        /// The value in the note.
        found: u64,
        /// The smallest value that is allowed.
        least: u64,
        /// The largest value that is allowed.
        most: u64,
    },
    /// A service names no team that its replicas count towards.
    #[display("a service needs a team")]
    MissingTeam,
}
