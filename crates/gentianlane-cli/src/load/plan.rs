//! The schedule of requests, drawn from a seed.

use std::str::FromStr;
use std::time::Duration;

use gentianlane::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A workload and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Share {
    pub(crate) workload: id::Workload,
    pub(crate) weight: u32,
}

impl FromStr for Share {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let error = || {
            format!(
                "`{text}` is not of the form WORKLOAD=WEIGHT with a whole number as weight"
            )
        };
        let (workload, weight) = text.split_once('=').ok_or_else(error)?;
        Ok(Self {
            workload: id::Workload::from(workload),
            weight: weight.parse().map_err(|_| error())?,
        })
    }
}

/// The settings of a load.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) mix: Vec<Share>,
    pub(crate) team: id::Team,
    pub(crate) payload: String,
    /// Requests per second.
    pub(crate) rate: u32,
    /// How long requests are sent, in seconds.
    pub(crate) seconds: u32,
    /// The percentage of requests that are sent again after their answer.
    pub(crate) resends: u32,
    /// The percentage of requests that are cancelled.
    pub(crate) cancels: u32,
    /// The number of sender threads, each with at most one open request.
    pub(crate) senders: u32,
    /// How long to wait for an answer.
    pub(crate) timeout: Duration,
    pub(crate) seed: u64,
}

/// What is done with a request besides submitting it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Variant {
    /// Nothing else.
    Plain,
    /// It is sent again under the same key once it is answered.
    Resend,
    /// It is cancelled at once.
    Cancel,
}

/// One request of the schedule.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// The scheduled send time, counted from the start of the load.
    pub(crate) due: Duration,
    pub(crate) workload: id::Workload,
    pub(crate) variant: Variant,
}

impl Plan {
    /// The sum of all weights.
    pub(crate) fn total_weight(&self) -> u64 {
        self.mix.iter().map(|share| u64::from(share.weight)).sum()
    }

    /// All requests, in the order of their send times.
    pub(crate) fn requests(&self) -> impl Iterator<Item = Request> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let count = u64::from(self.rate) * u64::from(self.seconds);
        (0..count).map(move |number| Request {
            due: Duration::from_nanos(number * 1_000_000_000 / u64::from(self.rate)),
            workload: self.pick_workload(&mut random),
            variant: self.pick_variant(&mut random),
        })
    }

    fn pick_workload(&self, random: &mut ChaCha8Rng) -> id::Workload {
        let mut remaining = random.random_range(0..self.total_weight().max(1));
        for share in &self.mix {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return share.workload.clone();
            }
            remaining -= weight;
        }
        id::Workload::default()
    }

    fn pick_variant(&self, random: &mut ChaCha8Rng) -> Variant {
        let percent = random.random_range(0..100);
        if percent < self.resends {
            Variant::Resend
        } else if percent < self.resends + self.cancels {
            Variant::Cancel
        } else {
            Variant::Plain
        }
    }
}
