//! Teams: which team a caller belongs to, how much a team may run, and which of
//! its jobs lie beyond its share.
//!
//! All of it is in force only while the operator's plan has an [`Access`].
//! [`Credential`] identifies a caller's team, [`Ledger`] holds each team to its
//! limit, and [`Shares`] tells which jobs a team sends beyond its share.

mod access;
mod credential;
mod ledger;
mod owner;
mod share;

pub use access::{Access, Entry, Fault, Team};
pub use credential::Credential;
pub(crate) use ledger::can_ever_start;
pub use ledger::{Charge, Ledger};
pub use owner::{Owner, Owners};
pub(crate) use share::BURST_WINDOW;
pub use share::Shares;
