//! Complete configurations: queues, the pools that serve them, and limits.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::unit::Span;

/// One complete configuration; the highest version is in force.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The version, which rises in uneven steps.
    pub version: u64,
    /// The queues by name.
    pub queues: IndexMap<String, Queue>,
    /// The pools of workers by name.
    pub pools: IndexMap<String, Pool>,
    /// The text as the operator sent it, for reading back.
    pub text: String,
}

/// A queue, which takes jobs under a host and a path.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub path_prefix: String,
    /// How long a caller waits for an answer.
    pub timeout: Span,
    /// How long a job may wait beyond its work.
    pub latency_target: Span,
    /// The urgency; zero comes first.
    pub priority: u32,
    /// The pool whose workers run the tasks.
    pub pool: String,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// How much longer than its longest chain a job may take, in thousandths.
    pub stretch_permille: u64,
    /// What advice costs, where only advice tells which workers may run a
    /// step.
    pub advice: Option<Advice>,
}

/// What it takes to ask which workers may run a step.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// The time that each question takes.
    pub base: Span,
    /// The time for each worker named, in microseconds.
    pub per_worker_micros: u64,
    /// How long a ticket is good.
    pub ticket_validity: Span,
}

impl Advice {
    /// How long a question about some workers takes.
    #[must_use]
    pub const fn duration(&self, workers: usize) -> Span {
        let each = self.per_worker_micros * workers as u64 / 1_000;
        Span::from_millis(self.base.as_millis() + each)
    }
}

/// A pool of workers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Whether workers refuse by themselves what doesn't fit.
    pub enforces_capacity: bool,
    /// Whether the pool's VMs are off.
    pub standby: bool,
}

/// Why a configuration can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// A queue names a pool that isn't there.
    #[display("queue {queue} names pool {pool}, which the plan doesn't have")]
    UnknownPool {
        /// The queue.
        queue: String,
        /// The pool.
        pool: String,
    },
    /// Two queues take the same host and path.
    #[display("queues {first} and {second} have the same host and path prefix")]
    DuplicateRoute {
        /// The first queue.
        first: String,
        /// The other.
        second: String,
    },
    /// A queue's callers would wait no time at all.
    #[display("queue {queue} has a timeout of zero")]
    ZeroTimeout {
        /// The queue.
        queue: String,
    },
    /// The version isn't a positive number.
    #[display("the version has to be above zero")]
    ZeroVersion,
}

impl Plan {
    /// Checks what a configuration says against itself.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found; such a plan never comes into force.
    pub fn check(&self) -> Result<(), Fault> {
        if self.version == 0 {
            return Err(Fault::ZeroVersion);
        }
        let mut places: IndexMap<(&str, &str), &str> = IndexMap::new();
        for (name, queue) in &self.queues {
            if !self.pools.contains_key(&queue.pool) {
                let (queue, pool) = (name.clone(), queue.pool.clone());
                return Err(Fault::UnknownPool { queue, pool });
            }
            if queue.timeout == Span::ZERO {
                let queue = name.clone();
                return Err(Fault::ZeroTimeout { queue });
            }
            let place = (queue.host.as_str(), queue.path_prefix.as_str());
            if let Some(first) = places.insert(place, name) {
                let (first, second) = (first.to_owned(), name.clone());
                return Err(Fault::DuplicateRoute { first, second });
            }
        }
        Ok(())
    }

    /// The queue that a host and path select, and what follows its prefix.
    ///
    /// ```
    /// use gentianlane::fleet::plan::{Plan, Queue};
    /// let queue = Queue { host: "h".into(), path_prefix: "/a/".into(), ..Queue::default() };
    /// let plan = Plan {
    ///     queues: [("q".to_owned(), queue)].into_iter().collect(),
    ///     ..Plan::default()
    /// };
    /// assert_eq!(plan.find_queue("h", "/a/7").map(|found| (found.0, found.2)), Some(("q", "7")));
    /// assert!(plan.find_queue("h", "/b/7").is_none());
    /// ```
    #[must_use]
    pub fn find_queue<'a>(
        &'a self,
        host: &str,
        path: &'a str,
    ) -> Option<(&'a str, &'a Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |queue: &Queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
        };
        let found = self.queues.iter().filter(|(_, queue)| fits(queue));
        let (name, queue) = found.max_by_key(|(_, queue)| queue.path_prefix.len())?;
        Some((name, queue, &path[queue.path_prefix.len()..]))
    }
}
