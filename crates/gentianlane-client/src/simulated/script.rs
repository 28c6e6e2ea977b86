//! The behaviour of a simulated task, read from its payload.

use gentianlane::api::Ending;
use gentianlane::unit::Span;

/// The behaviour of a simulated task.
///
/// A payload consists of words separated by spaces: `sleep=MILLIS` sets the
/// duration, `forever` lets the task run until it is stopped, `fail` makes it
/// fail, and all other words become its output.
///
/// ```
/// use gentianlane_client::simulated::Script;
/// let script = Script::parse("sleep=20 route 7");
/// assert_eq!(script.output, "route 7");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// How long the task runs; `None` if it runs until it is stopped.
    pub duration: Option<Span>,
    /// How the task ends if it isn't stopped.
    pub ending: Ending,
    /// The task's output.
    pub output: String,
}

impl Script {
    /// Parses a payload; every text is valid. Without `sleep` or `forever` the
    /// duration is zero.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        let mut script = Self {
            duration: Some(Span::ZERO),
            ending: Ending::Done,
            output: String::new(),
        };
        let mut words = Vec::new();
        for word in payload.split_whitespace() {
            let millis = word.strip_prefix("sleep=").map(str::parse);
            match (word, millis) {
                (_, Some(Ok(millis))) => {
                    script.duration = Some(Span::from_millis(millis));
                }
                ("forever", _) => script.duration = None,
                ("fail", _) => script.ending = Ending::Failed,
                _ => words.push(word),
            }
        }
        script.output = words.join(" ");
        script
    }
}
