//! Clients of a cell: for callers and operators, and for workers.
//!
//! [`Client`] sends one call to any entry VM and resends where that is safe.
//! [`stand::Worker`] is a stand-in worker that keeps the worker's side of the
//! lease protocol and pretends to run tasks.

mod client;
mod fault;
mod route;
pub mod stand;

pub use client::Client;
pub use fault::Fault;
pub use route::{Method, Route};
