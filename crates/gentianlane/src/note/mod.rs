//! Release notes: strict reading, ruling on them in log order, what is in force.

mod book;
mod text;

pub use book::{Book, Revision, Ruling};
pub use text::{Fault, Note, Quota, Section, Settings, Workload};
