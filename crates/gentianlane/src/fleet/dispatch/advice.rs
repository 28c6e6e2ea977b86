//! Who asks for advice, and what is asked next.
//!
//! The adviser serves one question at a time for each VM that asks, so every
//! entry helps the leader by asking for it, one question each.

use indexmap::IndexMap;

use crate::fleet::job::Stage;
use crate::fleet::order::{Number, Question};
use crate::id;
use crate::unit::{Span, Time};

/// Whoever can put a question for the leader; numbered by the process.
pub type Helper = u64;

/// How long beyond its own time an answer may take.
const ANSWER_SLACK: Span = Span::from_millis(1_200);

/// How long a helper that gave no answer is left alone.
const HELPER_REST: Span = Span::from_millis(1_500);

/// The helpers and their questions.
#[derive(Debug, Default, Clone)]
pub(crate) struct Desk {
    helpers: IndexMap<Helper, Option<Asked>>,
    resting: IndexMap<Helper, Time>,
}

/// A question that is under way.
#[derive(Debug, Clone)]
pub(crate) struct Asked {
    pub(crate) number: Number,
    pub(crate) stage: Stage,
    pub(crate) workers: Vec<id::Worker>,
    pub(crate) since: Time,
    pub(crate) until: Time,
}

impl Desk {
    /// Takes in a helper.
    pub(crate) fn join(&mut self, helper: Helper) {
        self.helpers.entry(helper).or_insert(None);
    }

    /// Drops a helper, and gives the question that it leaves behind.
    pub(crate) fn leave(&mut self, helper: Helper) -> Option<Asked> {
        self.resting.swap_remove(&helper);
        self.helpers.swap_remove(&helper).flatten()
    }

    /// A helper that is free.
    pub(crate) fn free(&mut self, now: Time) -> Option<Helper> {
        self.resting.retain(|_, until| *until > now);
        let idle = |helper: &Helper| !self.resting.contains_key(helper);
        let mut free = self.helpers.iter().filter(|(_, asked)| asked.is_none());
        free.find(|(helper, _)| idle(helper))
            .map(|(&helper, _)| helper)
    }

    /// How many helpers there are.
    pub(crate) fn count(&self) -> usize {
        self.helpers.len()
    }

    /// How many helpers are free.
    pub(crate) fn free_count(&self, now: Time) -> usize {
        let idle =
            |helper: &Helper| self.resting.get(helper).is_none_or(|&until| until <= now);
        let free = self.helpers.iter().filter(|(_, asked)| asked.is_none());
        free.filter(|(helper, _)| idle(helper)).count()
    }

    /// Gives a helper a question.
    pub(crate) fn ask(
        &mut self,
        helper: Helper,
        number: Number,
        stage: Stage,
        workers: Vec<id::Worker>,
        takes: Span,
        now: Time,
    ) -> Question {
        let timeout = takes + ANSWER_SLACK;
        let asked = Asked {
            number,
            stage,
            workers: workers.clone(),
            since: now,
            until: now.after(timeout).after(ANSWER_SLACK),
        };
        self.helpers.insert(helper, Some(asked));
        Question {
            number,
            stage,
            workers,
            timeout,
        }
    }

    /// Takes back the question that a helper has answered.
    pub(crate) fn answered(&mut self, helper: Helper, number: Number) -> Option<Asked> {
        let slot = self.helpers.get_mut(&helper)?;
        if slot.as_ref().is_none_or(|asked| asked.number != number) {
            return None;
        }
        slot.take()
    }

    /// Lets a helper rest that found no answer.
    pub(crate) fn rest(&mut self, helper: Helper, now: Time) {
        self.resting.insert(helper, now.after(HELPER_REST));
    }

    /// Takes back the questions whose helpers were silent for too long.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<Asked> {
        let mut expired = Vec::new();
        for (&helper, slot) in &mut self.helpers {
            if slot.as_ref().is_some_and(|asked| asked.until <= now) {
                expired.extend(slot.take());
                self.resting.insert(helper, now.after(HELPER_REST));
            }
        }
        expired
    }
}
