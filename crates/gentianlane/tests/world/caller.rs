//! A caller that asks again until it is answered.

use gentianlane::api::{Answer, Call, Reply, Submit};
use gentianlane::id;
use gentianlane::unit::{Span, Time};
use gentianlane::verdict::Reason;

/// How long a caller waits for a reply before it asks at another entry.
const PATIENCE: Span = Span::from_millis(700);

/// A caller that asks again until it is answered.
pub(crate) struct Caller {
    pub(crate) submit: Submit,
    pub(crate) answer: Option<Answer>,
    /// The last refusal's reason.
    pub(crate) refused: Option<Reason>,
    pub(crate) cancels: bool,
    /// Whether it goes on asking after it was answered.
    pub(crate) insists: bool,
    entry: id::Node,
    due: Time,
}

impl Caller {
    pub(crate) fn new(entry: id::Node, submit: Submit) -> Self {
        Self {
            submit,
            answer: None,
            refused: None,
            cancels: false,
            insists: false,
            entry,
            due: Time::from_millis(0),
        }
    }

    /// The next call and where it goes, if it is time.
    pub(crate) fn due(&mut self, now: Time, nodes: u64) -> Option<(id::Node, Call)> {
        let done = self.answer.is_some() && !self.insists;
        if done || now < self.due {
            return None;
        }
        self.due = now.after(PATIENCE);
        let entry = self.entry;
        self.entry = id::Node(entry.0 % nodes + 1);
        if self.cancels {
            let cancel = gentianlane::api::Cancel {
                key: self.submit.key,
                hold: PATIENCE,
            };
            return Some((entry, Call::Cancel(cancel)));
        }
        Some((entry, Call::Submit(self.submit.clone())))
    }

    pub(crate) fn hear(&mut self, reply: Reply, breaches: &mut Vec<String>) {
        match reply {
            Reply::Answer(answer) => {
                let key = self.submit.key;
                let whole = answer
                    .outputs
                    .iter()
                    .all(gentianlane::api::Output::is_whole);
                if answer.key != key || !whole {
                    breaches.push(format!("{key} got an answer that isn't its own"));
                }
                if self.answer.as_ref().is_some_and(|first| *first != answer) {
                    breaches.push(format!("{key} got two unlike answers"));
                }
                self.answer.get_or_insert(answer);
            }
            Reply::Refused(refusal) => self.refused = Some(refusal.outcome.reason),
            _ => {}
        }
    }
}
