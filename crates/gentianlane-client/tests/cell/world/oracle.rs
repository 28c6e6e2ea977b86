//! What really ran, and whether what was said is true.

use gentianlane::api::{Answer, Reply};
use gentianlane::id::{self, Task};
use gentianlane::verdict::{Reason, Verdict};
use indexmap::IndexMap;

use super::Wish;

/// Counts real runs at the fake workers; knows nothing of the cell.
#[derive(Default)]
pub(crate) struct Oracle {
    /// How often each task of each payload has begun.
    begun: IndexMap<String, IndexMap<Task, u32>>,
    /// How often a task of each payload has ended by itself with success.
    done: IndexMap<String, u32>,
    answers: IndexMap<id::Key, Answer>,
    never: Vec<Wish>,
    pub(crate) faults: Vec<String>,
}

impl Oracle {
    pub(crate) fn began(&mut self, payload: &str, task: Task) {
        let tasks = self.begun.entry(payload.to_owned()).or_default();
        *tasks.entry(task).or_default() += 1;
    }

    pub(crate) fn done(&mut self, payload: &str) {
        *self.done.entry(payload.to_owned()).or_default() += 1;
    }

    /// How often any task of a payload has begun.
    pub(crate) fn runs(&self, payload: &str) -> u32 {
        let tasks = self.begun.get(payload);
        tasks.map_or(0, |tasks| tasks.values().sum())
    }

    pub(crate) fn fault(&mut self, text: String) {
        self.faults.push(text);
    }

    /// A reply leaves a node; whether it arrives or not, it has to be true.
    pub(crate) fn leaving(&mut self, wish: &Wish, reply: &Reply) {
        match reply {
            Reply::Answer(answer) => self.answered(wish, answer),
            Reply::Refused(refusal) => {
                let outcome = &refusal.outcome;
                let other = outcome.reason == Reason::KeyReused;
                if outcome.verdict != Verdict::NotRun || other {
                    return;
                }
                if self.runs(&wish.payload) > 0 {
                    self.fault(format!("{wish:?} has run, but: {refusal:?}"));
                }
                if outcome.retry_after.is_none() {
                    self.never.push(wish.clone());
                }
            }
            other => self.fault(format!("{wish:?} got {other:?}")),
        }
    }

    fn answered(&mut self, wish: &Wish, answer: &Answer) {
        if answer.key != wish.key {
            self.fault(format!("{wish:?} got another's {answer:?}"));
        }
        match self.answers.get(&answer.key) {
            Some(first) if first != answer => {
                let text = format!("{wish:?}: first {first:?}, then {answer:?}");
                self.fault(text);
            }
            Some(_) => {}
            None => {
                self.answers.insert(answer.key, answer.clone());
                self.check_answer(wish, answer);
            }
        }
    }

    fn check_answer(&mut self, wish: &Wish, answer: &Answer) {
        let done = self.done.get(&wish.payload).copied().unwrap_or(0);
        match answer.outcome.verdict {
            Verdict::NotRun => self.never.push(wish.clone()),
            Verdict::Ran if answer.outcome.reason == Reason::Done => {
                let texts = answer.outputs.iter().map(|output| &output.text);
                let whole = texts.clone().all(|text| *text == wish.output);
                if done < wish.tasks || texts.count() != wish.tasks as usize || !whole {
                    self.fault(format!("{wish:?}: {done} done, but {answer:?}"));
                }
            }
            Verdict::Ran | Verdict::MayHaveRun => {}
        }
        if answer.outcome.verdict == Verdict::Ran && self.runs(&wish.payload) == 0 {
            self.fault(format!("{wish:?} never ran, but {answer:?}"));
        }
    }

    /// What holds at any time.
    pub(crate) fn check(&mut self, wishes: &[Wish]) {
        let never = std::mem::take(&mut self.never);
        for wish in &never {
            if self.runs(&wish.payload) > 0 {
                self.fault(format!("{wish:?} ran after not run"));
            }
        }
        self.never = never;
        for wish in wishes.iter().filter(|wish| !wish.idempotent) {
            let tasks = self.begun.get(&wish.payload);
            let most = tasks.and_then(|tasks| tasks.values().max().copied());
            let runs = self.runs(&wish.payload);
            if most.unwrap_or(0) > 1 || runs > wish.tasks {
                self.fault(format!("{wish:?} ran {runs} times"));
            }
        }
    }
}
