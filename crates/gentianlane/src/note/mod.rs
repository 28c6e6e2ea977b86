//! Release notes: the files by which operators add, change and withdraw
//! workloads, teams and settings.
//!
//! [`Note::read`] parses and checks a note by itself and reports every fault
//! with its line and column. [`Catalog`] holds what the accepted notes have put
//! in force; every node applies the notes to it in log order.

mod catalog;
mod check;
mod fault;
mod position;
mod text;

pub use catalog::{Catalog, Revision, Ruling};
pub use fault::{Fault, Faults, Problem};
pub use text::{Note, Quota, Section, Settings, Withdrawal, Workload};
