//! Durations and sizes in settings: a whole number with a unit.

use gentianlane::unit::Span;

/// The units of durations, in milliseconds.
const SPAN_UNITS: [(&str, u64); 3] = [("ms", 1), ("s", 1_000), ("min", 60_000)];

/// The units of sizes, in bytes.
const SIZE_UNITS: [(&str, u64); 3] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];

/// Parses a duration such as `100ms`, `5s` or `2min`.
pub(super) fn span(text: &str) -> Result<Span, String> {
    let millis = parse(text, &SPAN_UNITS);
    let fault = || format!("`{text}` isn't a duration; write `100ms`, `5s` or `2min`");
    millis.map(Span::from_millis).ok_or_else(fault)
}

/// Parses a size such as `16KiB`, in bytes.
pub(super) fn size(text: &str) -> Result<usize, String> {
    let bytes = parse(text, &SIZE_UNITS).and_then(|bytes| usize::try_from(bytes).ok());
    bytes.ok_or_else(|| format!("`{text}` isn't a size; write `512B`, `16KiB` or `1MiB`"))
}

fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}
