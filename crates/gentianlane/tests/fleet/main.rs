//! A fleet of called workers in virtual time.

mod dispatch;
mod fuzz;
mod standin;
mod world;
