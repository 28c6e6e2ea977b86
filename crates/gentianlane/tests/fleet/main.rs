//! Tests of the fleet scheduler with simulated workers in virtual time.

mod cancel;
mod capacity;
mod crash;
mod crash_fuzz;
mod departure;
mod departure_fuzz;
mod dispatch;
mod foreign_report;
mod fuzz;
mod large;
mod late_start;
mod lease;
mod proof;
mod regression;
mod restart;
mod restart_fuzz;
mod review;
mod run_number;
mod simulated_worker;
mod stop;
mod team;
mod team_fuzz;
mod trial;
mod wait;
mod whole_core;
mod world;
