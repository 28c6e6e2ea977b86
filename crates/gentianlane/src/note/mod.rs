//! Release notes: strict reading, ruling on them in log order, what is in force.

mod book;
mod check;
mod fault;
mod place;
mod text;

pub use book::{Book, Revision, Ruling};
pub use fault::{Fault, Faults, Problem};
pub use text::{Note, Quota, Section, Settings, Withdrawal, Workload};
