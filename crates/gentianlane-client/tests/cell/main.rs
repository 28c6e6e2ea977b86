//! The whole core with fake workers and callers, on virtual time.

mod cut;
mod fuzz;
mod lease;
mod world;
