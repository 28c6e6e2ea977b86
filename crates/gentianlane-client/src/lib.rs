//! Clients of a cell, for callers and operators, and simulated workers.
//!
//! [`Client`] sends one call to any entry VM and retries where that is safe.
//! [`simulated::Worker`] implements the worker's side of the lease protocol
//! with tasks that only simulate work, for trials and tests of a cell.

mod client;
mod fault;
mod route;
pub mod simulated;

pub use client::Client;
pub use fault::Fault;
pub use route::{Method, Route};
