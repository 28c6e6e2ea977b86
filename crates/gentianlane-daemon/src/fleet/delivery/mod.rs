//! The delivery of orders to workers: a budget of the process's descriptors, the
//! client whose connections keep within it, and the sending of orders.
//!
//! What it decides without I/O is in [`gentianlane::fleet::delivery`].

mod budget;
mod client;
mod order;

pub(crate) use budget::{Budget, Descriptors};
pub(crate) use client::{Client, request_advice};
pub(super) use order::{OrderLosses, send_order};
