//! Tests of the consensus module on simulated links, disks and clocks.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod election;
mod fuzz;
mod member;
mod net;
mod replicate;
mod snapshot;
