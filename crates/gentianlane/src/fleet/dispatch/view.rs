//! What operators see of the leader's work.

use serde::Serialize;

use crate::fleet::State;
use crate::fleet::dispatch::Lead;

/// The leader's view at one moment.
#[derive(Debug, Serialize)]
struct Overview {
    plan: Option<u64>,
    /// Each voter's VM and its disk's generation.
    voters: Vec<String>,
    fence: u64,
    open_jobs: usize,
    waiting_steps: usize,
    runs: usize,
    workers: Vec<Worker>,
}

/// One worker.
#[derive(Debug, Serialize)]
struct Worker {
    name: String,
    born: u64,
    pool: String,
    draining: bool,
    silent: u32,
    runs: usize,
    free_millicores: u64,
    free_memory: u64,
    free_accelerators: u64,
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
