//! The plan: the operator's configuration of queues and worker pools.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::unit::Span;

/// A complete configuration; the one with the highest version is in force.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The version, above zero; later plans have higher ones, not always by one.
    pub version: u64,
    /// The queues, by name.
    pub queues: IndexMap<String, Queue>,
    /// The pools of workers, by name.
    pub pools: IndexMap<String, Pool>,
    /// The plan as the operator sent it, returned when it is read.
    pub text: String,
}

/// A queue, which receives the jobs sent to a host and a path prefix.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// The host of the callers' requests, without a port.
    pub host: String,
    /// The prefix of the requests' paths; the job's id follows it.
    pub path_prefix: String,
    /// How long a caller waits for a response.
    pub timeout: Span,
    /// How long a job may take beyond its stretched critical path and still
    /// count as on time.
    pub latency_target: Span,
    /// The priority; zero is the most urgent.
    pub priority: u32,
    /// The name of the pool whose workers run the tasks.
    pub pool: String,
    /// How many times a task may fail before its job fails.
    pub max_attempts: u32,
    /// The factor by which a job may exceed its critical path, in thousandths.
    pub stretch_permille: u64,
    /// The cost of asking the adviser, for queues where only the adviser knows
    /// which workers may run a step.
    pub advice: Option<Advice>,
}

/// The time that the adviser takes to say which workers may run a step, and how
/// long its tickets are valid.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// The fixed time for each request.
    pub base: Span,
    /// The additional time for each worker in a request, in microseconds.
    pub per_worker_micros: u64,
    /// How long a ticket is valid.
    pub ticket_validity: Span,
}

impl Advice {
    /// How long a request about this number of workers takes.
    #[must_use]
    pub const fn duration(&self, workers: usize) -> Span {
        let each = self.per_worker_micros.saturating_mul(workers as u64) / 1_000;
        Span::from_millis(self.base.as_millis().saturating_add(each))
    }
}

/// A pool of workers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Whether the workers themselves refuse tasks that exceed their free
    /// capacity.
    pub rejects_overcommit: bool,
    /// Whether the pool's VMs are switched off.
    pub standby: bool,
}

/// Why a plan is rejected.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// A queue names a pool that the plan doesn't define.
    #[display("queue {queue} names pool {pool}, which the plan doesn't have")]
    UnknownPool {
        /// The name of the queue.
        queue: String,
        /// The name of the missing pool.
        pool: String,
    },
    /// Two queues have the same host and path prefix.
    #[display("queues {first} and {second} have the same host and path prefix")]
    DuplicateRoute {
        /// The name of the queue that comes first in the plan.
        first: String,
        /// The name of the other queue.
        second: String,
    },
    /// A queue's timeout is zero, so that no caller would get a response.
    #[display("queue {queue} has a timeout of zero")]
    ZeroTimeout {
        /// The name of the queue.
        queue: String,
    },
    /// The plan's version is zero.
    #[display("the version has to be above zero")]
    ZeroVersion,
}

impl Plan {
    /// Checks that the plan is consistent in itself.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found. A plan with a fault is never put into force.
    pub fn check(&self) -> Result<(), Fault> {
        if self.version == 0 {
            return Err(Fault::ZeroVersion);
        }
        let mut routes: IndexMap<(&str, &str), &str> = IndexMap::new();
        for (name, queue) in &self.queues {
            if !self.pools.contains_key(&queue.pool) {
                let (queue, pool) = (name.clone(), queue.pool.clone());
                return Err(Fault::UnknownPool { queue, pool });
            }
            if queue.timeout == Span::ZERO {
                let queue = name.clone();
                return Err(Fault::ZeroTimeout { queue });
            }
            let route = (queue.host.as_str(), queue.path_prefix.as_str());
            if let Some(first) = routes.insert(route, name) {
                let (first, second) = (first.to_owned(), name.clone());
                return Err(Fault::DuplicateRoute { first, second });
            }
        }
        Ok(())
    }

    /// Finds the queue for a host and path.
    ///
    /// Gives the queue's name, the queue and the part of the path that follows
    /// its prefix. A port after the host is ignored, and of several matching
    /// queues the one with the longest prefix is chosen.
    ///
    /// ```
    /// use gentianlane::fleet::plan::{Plan, Queue};
    /// let queue = Queue {
    ///     host: "h".into(),
    ///     path_prefix: "/a/".into(),
    ///     ..Queue::default()
    /// };
    /// let plan = Plan {
    ///     queues: [("q".to_owned(), queue)].into_iter().collect(),
    ///     ..Plan::default()
    /// };
    /// let found = plan.find_queue("h", "/a/7").map(|found| (found.0, found.2));
    /// assert_eq!(found, Some(("q", "7")));
    /// assert!(plan.find_queue("h", "/b/7").is_none());
    /// ```
    #[must_use]
    pub fn find_queue<'a, 'b>(
        &'a self,
        host: &str,
        path: &'b str,
    ) -> Option<(&'a str, &'a Queue, &'b str)> {
        let host = host.split(':').next().unwrap_or(host);
        let matches = |queue: &Queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
        };
        let found = self.queues.iter().filter(|(_, queue)| matches(queue));
        let (name, queue) = found.max_by_key(|(_, queue)| queue.path_prefix.len())?;
        Some((name, queue, &path[queue.path_prefix.len()..]))
    }
}
