//! Parses settings and keeps the location of each value, so that faults can point
//! at it.

use std::fmt;
use std::ops::RangeInclusive;

use gentianlane::id;
use gentianlane::unit::Span;
use json_comments::StripComments;
use miette::{LabeledSpan, NamedSource, SourceSpan};
use serde::de::{DeserializeOwned, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::io::Read;

use crate::process::settings::{Fault, Peer, Settings, check, quantity, section};

/// A value with its location in the text.
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) at: SourceSpan,
}

/// The fields of one JSON object that weren't read yet, in order and with
/// duplicates.
#[derive(Default)]
pub(super) struct Object<'a> {
    fields: Vec<(String, &'a RawValue)>,
    /// The names of all fields asked for, which tell duplicates from unknown
    /// fields.
    requested: Vec<&'static str>,
}

impl<T> Located<T> {
    /// The later of two locations. A default has the start of the text, and so
    /// yields to any value that was given.
    pub(super) fn later_location<U>(&self, other: &Located<U>) -> SourceSpan {
        match self.at.offset() >= other.at.offset() {
            true => self.at,
            false => other.at,
        }
    }
}

impl<'a> Object<'a> {
    fn take_field(&mut self, name: &'static str) -> Option<&'a RawValue> {
        self.requested.push(name);
        let index = self.fields.iter().position(|(field, _)| field == name)?;
        Some(self.fields.remove(index).1)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Object<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldVisitor)
    }
}

/// Collects the fields of an object.
struct FieldVisitor;

impl<'de> Visitor<'de> for FieldVisitor {
    type Value = Object<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<Object<'de>, M::Error> {
        let mut object = Object::default();
        while let Some(field) = map.next_entry()? {
            object.fields.push(field);
        }
        Ok(object)
    }
}

/// Reads one text and collects its faults.
pub(super) struct Reader<'a> {
    text: &'a str,
    faults: Vec<LabeledSpan>,
}

impl<'a> Reader<'a> {
    /// Records a fault at a location.
    pub(super) fn report(&mut self, at: SourceSpan, message: impl Into<String>) {
        let label = Some(message.into());
        self.faults.push(LabeledSpan::new_with_span(label, at));
    }

    /// The location of a value, limited to its first line.
    fn location(&self, raw: &RawValue) -> SourceSpan {
        let offset = raw.get().as_ptr().addr() - self.text.as_ptr().addr();
        let length = raw.get().lines().next().map_or(0, str::len);
        SourceSpan::from((offset, length))
    }

    fn value<T: Deserialize<'a>>(&mut self, raw: &'a RawValue) -> Option<T> {
        match serde_json::from_str(raw.get()) {
            Ok(value) => Some(value),
            Err(error) => {
                let text = error.to_string();
                let message = text.split(" at line ").next().unwrap_or_default();
                self.report(self.location(raw), message);
                None
            }
        }
    }

    /// Reads an optional field.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        object: &mut Object<'a>,
        name: &'static str,
    ) -> Option<Located<T>> {
        let raw = object.take_field(name)?;
        let (value, at) = (self.value(raw)?, self.location(raw));
        Some(Located { value, at })
    }

    /// Reads a required field; `at` is the location of its object.
    fn required<T: DeserializeOwned>(
        &mut self,
        object: &mut Object<'a>,
        name: &'static str,
        at: SourceSpan,
    ) -> Option<Located<T>> {
        if !object.fields.iter().any(|(field, _)| field == name) {
            self.report(at, format!("`{name}` is missing"));
            object.requested.push(name);
            return None;
        }
        self.optional(object, name)
    }

    /// Reads a duration within a range, or takes the default.
    pub(super) fn span(
        &mut self,
        object: &mut Object<'a>,
        name: &'static str,
        range: RangeInclusive<Span>,
        default: Span,
    ) -> Located<Span> {
        let text = self.optional::<String>(object, name);
        self.in_range(text, name, |text| quantity::span(text), range, default)
    }

    /// Reads a size in bytes within a range, or takes the default.
    pub(super) fn size(
        &mut self,
        object: &mut Object<'a>,
        name: &'static str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> Located<usize> {
        let text = self.optional::<String>(object, name);
        self.in_range(text, name, |text| quantity::size(text), range, default)
    }

    /// Reads a count within a range, or takes the default.
    pub(super) fn count(
        &mut self,
        object: &mut Object<'a>,
        name: &'static str,
        range: RangeInclusive<usize>,
        default: usize,
    ) -> Located<usize> {
        let count = self.optional::<usize>(object, name);
        self.in_range(count, name, |count| Ok(*count), range, default)
    }

    fn in_range<F, T>(
        &mut self,
        given: Option<Located<F>>,
        name: &str,
        read: impl Fn(&F) -> Result<T, String>,
        range: RangeInclusive<T>,
        default: T,
    ) -> Located<T>
    where
        T: PartialOrd + fmt::Display,
    {
        let Some(Located { value, at }) = given else {
            let at = SourceSpan::from(0);
            return Located { value: default, at };
        };
        match read(&value) {
            Ok(value) if range.contains(&value) => return Located { value, at },
            Ok(value) => {
                let (low, high) = (range.start(), range.end());
                self.report(
                    at,
                    format!("`{name}`: {value} isn't within {low} to {high}"),
                );
            }
            Err(message) => self.report(at, message),
        }
        Located { value: default, at }
    }

    /// Reads a section, which is empty if it is missing.
    pub(super) fn object(
        &mut self,
        object: &mut Object<'a>,
        name: &'static str,
    ) -> Object<'a> {
        let raw = object.take_field(name);
        raw.and_then(|raw| self.value(raw)).unwrap_or_default()
    }

    /// Reports the fields that were not read: unknown ones and duplicates.
    pub(super) fn reject_unknown_fields(&mut self, object: Object<'a>) {
        for (name, raw) in object.fields {
            let twice = object.requested.contains(&name.as_str());
            let at = self.location(raw);
            match twice {
                true => self.report(at, format!("`{name}` is given twice")),
                false => self.report(at, format!("unknown field `{name}`")),
            }
        }
    }

    fn peers(&mut self, root: &mut Object<'a>, at: SourceSpan) -> Vec<Located<Peer>> {
        let Some(raw) = root.take_field("nodes") else {
            self.report(at, "`nodes` is missing");
            return Vec::new();
        };
        let raws: Vec<&RawValue> = self.value(raw).unwrap_or_default();
        raws.into_iter().filter_map(|raw| self.peer(raw)).collect()
    }

    fn peer(&mut self, raw: &'a RawValue) -> Option<Located<Peer>> {
        let at = self.location(raw);
        let mut object: Object<'a> = self.value(raw)?;
        let node = self.required(&mut object, "node", at);
        let voter = self.required(&mut object, "voter", at);
        let region = self.optional(&mut object, "region");
        let domain = self.required::<id::Domain>(&mut object, "domain", at);
        let http = self.required(&mut object, "http", at);
        let peer = self.required(&mut object, "peer", at);
        let rpc = self.required(&mut object, "rpc", at);
        self.reject_unknown_fields(object);
        let value = Peer {
            node: node?.value,
            voter: voter?.value,
            region: region.map(|region| region.value).unwrap_or_default(),
            domain: domain?.value,
            http: http?.value,
            peer: peer?.value,
            rpc: rpc?.value,
        };
        Some(Located { value, at })
    }

    fn root(&mut self, root: &'a RawValue) -> Option<Settings> {
        let at = self.location(root);
        let mut object: Object<'a> = self.value(root)?;
        let cell = self.required(&mut object, "cell", at);
        let node = self.required(&mut object, "node", at);
        let data = self.optional(&mut object, "data");
        let nodes = self.peers(&mut object, at);
        let timing = section::timing(self, &mut object);
        let lease = section::lease(self, &mut object);
        let limits = section::limits(self, &mut object);
        let stop = section::stop(self, &mut object);
        let telemetry = section::telemetry(self, &mut object);
        self.reject_unknown_fields(object);
        check::nodes(self, &nodes);
        let node = node?;
        check::own_node(self, &node, data.is_some(), &nodes);
        Some(Settings {
            cell: cell?.value,
            node: node.value,
            data: data.map(|data| data.value),
            nodes: nodes.into_iter().map(|peer| peer.value).collect(),
            timing,
            lease,
            limits,
            stop,
            telemetry,
        })
    }
}

/// Parses the text of a settings file.
pub(super) fn parse_settings(name: &str, text: &str) -> Result<Settings, Fault> {
    let mut json = String::new();
    let stripped = StripComments::new(text.as_bytes()).read_to_string(&mut json);
    let mut reader = Reader {
        text: &json,
        faults: Vec::new(),
    };
    let settings = match (stripped, serde_json::from_str::<&RawValue>(&json)) {
        (Err(error), _) => {
            reader.report(SourceSpan::from(0), error.to_string());
            None
        }
        (_, Err(error)) => {
            let at = byte_offset(&json, error.line(), error.column());
            reader.report(SourceSpan::from(at), error.to_string());
            None
        }
        (_, Ok(root)) => reader.root(root),
    };
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(Fault::Text {
            name: name.to_owned(),
            source_code: NamedSource::new(name, text.to_owned()),
            labels: reader.faults,
        }),
    }
}

/// The byte offset of a line and column, both counted from one.
fn byte_offset(text: &str, line: usize, column: usize) -> usize {
    let before = text.split_inclusive('\n').take(line.saturating_sub(1));
    let start: usize = before.map(str::len).sum();
    (start + column.saturating_sub(1)).min(text.len())
}
