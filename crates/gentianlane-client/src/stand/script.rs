//! What a pretended task does, as its payload says.

use gentianlane::api::Ending;
use gentianlane::unit::Span;

/// What a pretended task does: `sleep=MILLIS`, `fail` and `forever`, apart by
/// spaces; every other word is written as output.
///
/// ```
/// use gentianlane_client::stand::Script;
/// let script = Script::read("sleep=20 route 7");
/// assert_eq!(script.output, "route 7");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// How long it runs; `None` until it is stopped.
    pub runs: Option<Span>,
    /// How it ends.
    pub ending: Ending,
    /// What it writes.
    pub output: String,
}

impl Script {
    /// Reads a payload; any text is a script.
    #[must_use]
    pub fn read(payload: &str) -> Self {
        let mut script = Self {
            runs: Some(Span::ZERO),
            ending: Ending::Done,
            output: String::new(),
        };
        let mut words = Vec::new();
        for word in payload.split_whitespace() {
            let millis = word.strip_prefix("sleep=").map(str::parse);
            match (word, millis) {
                (_, Some(Ok(millis))) => {
                    script.runs = Some(Span::from_millis(millis));
                }
                ("forever", _) => script.runs = None,
                ("fail", _) => script.ending = Ending::Failed,
                _ => words.push(word),
            }
        }
        script.output = words.join(" ");
        script
    }
}
