//! Times and sizes as settings write them: a whole number and its unit.

use gentianlane::unit::Span;

/// Times' units, in milliseconds.
const SPAN_UNITS: [(&str, u64); 3] = [("ms", 1), ("s", 1_000), ("min", 60_000)];

/// Sizes' units, in bytes.
const SIZE_UNITS: [(&str, u64); 3] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];

/// A time such as `100ms`, `5s` or `2min`.
pub(super) fn span(text: &str) -> Result<Span, String> {
    let millis = parse(text, &SPAN_UNITS);
    let fault = || format!("`{text}` is no time; write `100ms`, `5s` or `2min`");
    millis.map(Span::from_millis).ok_or_else(fault)
}

/// A size such as `16KiB`.
pub(super) fn size(text: &str) -> Result<usize, String> {
    let bytes = parse(text, &SIZE_UNITS).and_then(|bytes| usize::try_from(bytes).ok());
    bytes.ok_or_else(|| format!("`{text}` is no size; write `512B`, `16KiB` or `1MiB`"))
}

fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}
