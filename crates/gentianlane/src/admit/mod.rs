//! Admission: what is taken in, and what is refused early and cheaply.
//!
//! [`Gate`] bounds the work that waits by length, by age and by caller.
//! [`Budget`] bounds how much sending again may add to the load.

mod budget;
mod gate;

pub use budget::Budget;
pub use gate::{Bounds, Gate, Party, Taken, Turned};
