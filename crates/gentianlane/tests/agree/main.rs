//! Agreement among nodes whose messages, disks and clocks are made up.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a harness ends where it is contradicted"
)]

mod election;
mod fuzz;
mod member;
mod net;
mod replicate;
mod snapshot;
