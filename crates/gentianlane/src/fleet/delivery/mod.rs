//! Delivery of orders to workers: what it decides, without I/O.
//!
//! [`connection::Pool`] decides which connection carries a request, within a
//! budget of connections.

pub mod connection;
