//! Where each key of a JSON text stands.

use indexmap::{IndexMap, IndexSet};

/// What joins the keys of a path.
const JOINT: char = '\0';

/// How deep the keys of a note lie, at most; those below have no place.
const DEPTH: usize = 8;

/// How many characters of each key count in a path.
const KEY: usize = 128;

/// Where the keys of a text stand, by path, in bytes.
#[derive(Debug, Default)]
pub(crate) struct Places {
    places: IndexMap<String, usize>,
    /// Keys that an object has twice, and where the second one stands.
    pub(crate) twice: Vec<(String, usize)>,
}

/// An object or array that is being read.
enum Open {
    Object {
        known: IndexSet<String>,
        key: Option<String>,
    },
    Array(usize),
}

impl Places {
    /// Reads a text that is known to be JSON.
    pub(crate) fn read(text: &str) -> Self {
        let mut places = Self::default();
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
                    places.take(&mut open, string, start);
                }
                _ => {}
            }
        }
        places
    }

    fn take(&mut self, open: &mut [Open], string: &str, at: usize) {
        match open.last_mut() {
            Some(Open::Object { known, key }) if key.is_none() => {
                let name: String = serde_json::from_str(string).unwrap_or_default();
                if !known.insert(name.clone()) {
                    self.twice.push((name.clone(), at));
                }
                *key = Some(name);
            }
            Some(Open::Array(_)) => {}
            Some(Open::Object { .. }) | None => return,
        }
        if open.len() <= DEPTH {
            self.places.insert(path_of(open), at);
        }
    }

    /// Where a key, or the nearest one above it that there is, stands.
    pub(crate) fn find(&self, path: &[&str]) -> usize {
        let known = (1..=path.len())
            .rev()
            .find_map(|length| self.places.get(&join(path[..length].iter())).copied());
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
        path.push(JOINT);
        path.extend(key.as_ref().chars().take(KEY));
    }
    path
}

/// Where a string ends whose first byte after the quotation mark is at `at`.
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
