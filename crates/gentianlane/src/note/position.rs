//! The byte offset of each key in a JSON text, for faults that name a line and
//! column.

use indexmap::{IndexMap, IndexSet};

/// What precedes each key in a path.
const SEPARATOR: char = '\0';

/// How many levels deep offsets are recorded; the fields of a note lie less
/// deep.
const MAX_DEPTH: usize = 8;

/// How many characters of each key are kept in a path.
const KEY_LIMIT: usize = 128;

/// The byte offsets of the keys of a text, by path.
#[derive(Debug, Default)]
pub(crate) struct Positions {
    offsets: IndexMap<String, usize>,
    /// Keys that occur twice in one object, with the offset of the second.
    pub(crate) duplicates: Vec<(String, usize)>,
}

/// An object or array whose end hasn't been read yet.
enum Open {
    Object {
        known: IndexSet<String>,
        /// The key whose value is being read; `None` if a key comes next.
        key: Option<String>,
    },
    /// The index of the element that is being read.
    Array(usize),
}

impl Positions {
    /// Reads a text that has been checked to be valid JSON.
    pub(crate) fn read(text: &str) -> Self {
        let mut positions = Self::default();
        let mut open: Vec<Open> = Vec::new();
        let bytes = text.as_bytes();
        let mut at = 0;
        while let Some(&byte) = bytes.get(at) {
            let start = at;
            at += 1;
            match byte {
                b'{' => open.push(Open::Object {
                    known: IndexSet::new(),
                    key: None,
                }),
                b'[' => open.push(Open::Array(0)),
                b'}' | b']' => {
                    open.pop();
                }
                b',' => match open.last_mut() {
                    Some(Open::Object { key, .. }) => *key = None,
                    Some(Open::Array(index)) => *index += 1,
                    None => {}
                },
                b'"' => {
                    at = end_of_string(bytes, at);
                    let string = text.get(start..at).unwrap_or_default();
                    positions.record(&mut open, string, start);
                }
                _ => {}
            }
        }
        positions
    }

    /// Records a string at offset `at` if it is a key or an array element.
    fn record(&mut self, open: &mut [Open], string: &str, at: usize) {
        match open.last_mut() {
            Some(Open::Object { known, key }) if key.is_none() => {
                let name: String = serde_json::from_str(string).unwrap_or_default();
                if !known.insert(name.clone()) {
                    self.duplicates.push((name.clone(), at));
                }
                *key = Some(name);
            }
            Some(Open::Array(_)) => {}
            Some(Open::Object { .. }) | None => return,
        }
        if open.len() <= MAX_DEPTH {
            self.offsets.insert(path_of(open), at);
        }
    }

    /// The offset of the key at `path`, or of its nearest ancestor that the
    /// text has; zero if there is none.
    pub(crate) fn find(&self, path: &[&str]) -> usize {
        let known = (1..=path.len())
            .rev()
            .find_map(|length| self.offsets.get(&join(path[..length].iter())).copied());
        known.unwrap_or(0)
    }
}

fn path_of(open: &[Open]) -> String {
    let name = |open: &Open| match open {
        Open::Object { key, .. } => key.clone().unwrap_or_default(),
        Open::Array(index) => index.to_string(),
    };
    join(open.iter().map(name))
}

fn join(keys: impl Iterator<Item = impl AsRef<str>>) -> String {
    let mut path = String::new();
    for key in keys {
        path.push(SEPARATOR);
        path.extend(key.as_ref().chars().take(KEY_LIMIT));
    }
    path
}

/// The offset after the closing quotation mark of a string whose content
/// begins at `at`.
fn end_of_string(bytes: &[u8], mut at: usize) -> usize {
    while let Some(&byte) = bytes.get(at) {
        at += match byte {
            b'\\' => 2,
            b'"' => return at + 1,
            _ => 1,
        };
    }
    bytes.len()
}
