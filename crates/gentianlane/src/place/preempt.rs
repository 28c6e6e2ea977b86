//! Urgent work that takes the place of other work.

use std::ops::ControlFlow;

use indexmap::IndexSet;

use crate::id;
use crate::place::claim::{Claim, victims};
use crate::place::queue::Shape;
use crate::place::room::{Order, Seat, times};
use crate::place::round::Round;
use crate::place::{Decision, Job, Planner};

/// How many workers are looked at for one that urgent work could take.
const LOOKS: usize = 24;

/// How many jobs may have room set aside before urgent work waits its turn.
const CLAIMS: usize = 512;

impl Planner {
    /// Has others stop for an urgent job of a team within its quota.
    pub(crate) fn take_over(&mut self, job: &Job, round: &mut Round) -> bool {
        let shape = Shape::of(job);
        let more = job.size.times(job.count).unwrap_or(job.size);
        let may = job.urgent && self.shares.is_entitled(&job.team, &more);
        if !may || self.claims.len() >= CLAIMS || round.stuck.contains(&shape) {
            return false;
        }
        round.searches = round.searches.saturating_sub(1);
        let Some((seats, jobs)) = self.prey(job) else {
            round.stuck.insert(shape);
            return false;
        };
        for id in jobs {
            if let Some(held) = self.held.get_mut(&id) {
                held.stops = true;
                round.decisions.push(Decision::Preempt { job: id });
            }
        }
        let Some(job) = self.queue.remove(job.job) else {
            return false;
        };
        self.claim(Claim {
            job,
            seats,
            at: None,
        });
        true
    }

    /// Workers that an urgent job could have, and whom it would stop there.
    fn prey(&self, job: &Job) -> Option<(Vec<Seat>, IndexSet<id::Job>)> {
        let stops = |id| self.held.get(&id).is_some_and(|held| held.stops);
        let mut seats = Vec::new();
        let mut jobs = IndexSet::new();
        let sides: &[usize] = match job.size.accelerators.0 {
            0 => &[0, 1],
            _ => &[1],
        };
        for &side in sides {
            let mut looks = 0;
            self.fleet.reach[side].visit(&job.size, Order::Tight, |seat| {
                looks += 1;
                let left = job.count - u32::try_from(seats.len()).unwrap_or(job.count);
                let most = times(&job.size, &self.fleet.post(seat).size).min(left);
                let ways = (1..=most).rev().find_map(|count| {
                    let need = job.size.times(count)?;
                    let jobs = victims(&self.fleet, seat, &need, stops)?;
                    Some((count, jobs))
                });
                if let Some((count, more)) = ways {
                    seats.extend(std::iter::repeat_n(seat, count as usize));
                    jobs.extend(more);
                }
                let done = seats.len() == job.count as usize;
                match done || looks >= LOOKS + job.count as usize {
                    true => ControlFlow::Break(()),
                    false => ControlFlow::Continue(()),
                }
            });
            if seats.len() == job.count as usize {
                return Some((seats, jobs));
            }
        }
        None
    }
}
