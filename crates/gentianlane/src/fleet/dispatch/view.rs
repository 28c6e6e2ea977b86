//! What operators see of the leader's work.

use serde::{Deserialize, Serialize};

use crate::fleet::State;
use crate::fleet::dispatch::Lead;

/// The leader's view at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// The version of the plan in force.
    pub plan: Option<u64>,
    /// Each voter's VM and its disk's generation.
    pub voters: Vec<String>,
    /// The leadership's number.
    pub fence: u64,
    /// How many jobs aren't over.
    pub open_jobs: usize,
    /// How many steps have tasks that wait.
    pub waiting_steps: usize,
    /// How many runs there are.
    pub runs: usize,
    /// The workers.
    pub workers: Vec<Worker>,
}

/// One worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// When its life began, in milliseconds since 1970.
    pub born: u64,
    /// The pool that it serves.
    pub pool: String,
    /// Whether it is being emptied.
    pub draining: bool,
    /// How many orders in a row found no answer.
    pub silent: u32,
    /// How many runs there are.
    pub runs: usize,
    /// The thousandths of a core that nothing has.
    pub free_millicores: u64,
    /// The mebibytes of memory that nothing has.
    pub free_memory: u64,
    /// The accelerators that nothing has.
    pub free_accelerators: u64,
}

impl Lead {
    /// The leader's view as JSON.
    #[must_use]
    pub fn overview(&self, state: &State, voters: Vec<String>) -> String {
        let worker = |session: &super::session::Session| {
            let free = session.free();
            Worker {
                name: session.life.worker.to_string(),
                born: session.life.born.as_millis(),
                pool: session.site.pool.clone(),
                draining: session.draining,
                silent: session.silent,
                runs: session.runs.len(),
                free_millicores: free.millicores,
                free_memory: free.memory,
                free_accelerators: free.accelerators,
            }
        };
        let waiting = self
            .stages
            .values()
            .filter(|stage| !stage.pending.is_empty());
        let overview = Overview {
            plan: state.plan().map(|plan| plan.version),
            voters,
            fence: self.fence,
            open_jobs: self.since.len(),
            waiting_steps: waiting.count(),
            runs: self.placed.len(),
            workers: self.sessions.values().map(worker).collect(),
        };
        serde_json::to_string(&overview).unwrap_or_default()
    }
}
