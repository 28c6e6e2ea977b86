//! Tests of the fleet scheduler with simulated workers in virtual time.

mod dispatch;
mod fuzz;
mod lease;
mod simulated_worker;
mod world;
