//! A fleet of called workers in virtual time.

mod dispatch;
mod fuzz;
mod simulated_worker;
mod world;
