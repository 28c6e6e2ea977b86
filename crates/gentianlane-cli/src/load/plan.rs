//! Which requests are sent, and when.

use std::str::FromStr;
use std::time::Duration;

use gentianlane::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A workload and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Mix {
    pub(crate) workload: id::Workload,
    pub(crate) weight: u32,
}

impl FromStr for Mix {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let fault = || format!("`{text}` isn't WORKLOAD=WEIGHT");
        let (workload, weight) = text.split_once('=').ok_or_else(fault)?;
        Ok(Self {
            workload: id::Workload::from(workload),
            weight: weight.parse().map_err(|_| fault())?,
        })
    }
}

/// What is sent, and how fast.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) mix: Vec<Mix>,
    pub(crate) team: id::Team,
    pub(crate) payload: String,
    /// Requests a second.
    pub(crate) rate: u32,
    pub(crate) seconds: u32,
    /// Per cent that are sent again.
    pub(crate) resends: u32,
    /// Per cent that are withdrawn.
    pub(crate) cancels: u32,
    /// How many requests may be open at a time.
    pub(crate) senders: u32,
    pub(crate) patience: Duration,
    pub(crate) seed: u64,
}

/// What is done with one request besides sending it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Twist {
    /// Nothing.
    Plain,
    /// It is sent again once it is answered.
    Resend,
    /// It is withdrawn at once.
    Cancel,
}

/// One request.
#[derive(Debug, Clone)]
pub(crate) struct Shot {
    /// When it is meant to leave, from the start on.
    pub(crate) due: Duration,
    pub(crate) workload: id::Workload,
    pub(crate) twist: Twist,
}

impl Plan {
    /// The sum of all weights.
    pub(crate) fn total_weight(&self) -> u64 {
        self.mix.iter().map(|mix| u64::from(mix.weight)).sum()
    }

    /// All requests, in the order in which they are due.
    pub(crate) fn shots(&self) -> impl Iterator<Item = Shot> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let count = u64::from(self.rate) * u64::from(self.seconds);
        (0..count).map(move |number| Shot {
            due: Duration::from_nanos(number * 1_000_000_000 / u64::from(self.rate)),
            workload: self.draw(&mut random),
            twist: self.twist(&mut random),
        })
    }

    fn draw(&self, random: &mut ChaCha8Rng) -> id::Workload {
        let mut left = random.random_range(0..self.total_weight().max(1));
        for mix in &self.mix {
            let weight = u64::from(mix.weight);
            if left < weight {
                return mix.workload.clone();
            }
            left -= weight;
        }
        id::Workload::default()
    }

    fn twist(&self, random: &mut ChaCha8Rng) -> Twist {
        let percent = random.random_range(0..100);
        if percent < self.resends {
            Twist::Resend
        } else if percent < self.resends + self.cancels {
            Twist::Cancel
        } else {
            Twist::Plain
        }
    }
}
