//! How much work has lately come for each rack.

use crate::collections::IndexMap;
use crate::fleet::job::Resources;
use crate::unit::{Span, Time};

/// The period over which work is counted: some runs long, so that bursts even out, and
/// short enough to follow callers who turn to another rack.
const PERIOD: Span = Span::from_secs(4);

/// The number of racks from which on no further ones are counted; bounds memory, as
/// callers name the racks.
const RACK_LIMIT: usize = 4_096;

/// The work that came for each rack in the present period and the one before: resources
/// times milliseconds.
#[derive(Debug, Default, Clone)]
pub(crate) struct RackDemands {
    racks: IndexMap<String, Demand>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    began_at: Time,
    present: Resources,
    before: Resources,
}

impl Demand {
    /// Moves on to the period that is present now.
    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.began_at);
        if elapsed >= PERIOD {
            self.before = match elapsed >= PERIOD.saturating_mul(2) {
                true => Resources::default(),
                false => self.present,
            };
            self.present = Resources::default();
            self.began_at = now;
        }
    }
}

impl RackDemands {
    /// Adds work that comes for a rack.
    pub(crate) fn add(&mut self, rack: &str, work: &Resources, now: Time) {
        if !self.racks.contains_key(rack) && self.racks.len() >= RACK_LIMIT {
            return;
        }
        let demand = self.racks.entry(rack.to_owned()).or_default();
        demand.advance(now);
        demand.present = demand.present.plus(work);
    }

    /// The work that came for a rack lately, in thousandths of what its workers, with
    /// this capacity, can do in the same time.
    pub(crate) fn load(&self, rack: &str, capacity: &Resources, now: Time) -> u64 {
        let Some(mut demand) = self.racks.get(rack).copied() else {
            return 0;
        };
        demand.advance(now);
        let elapsed = (PERIOD + now.since(demand.began_at)).as_millis();
        let work = demand.present.plus(&demand.before);
        let load = |work: u64, capacity: u64| {
            work.saturating_mul(1_000) / capacity.saturating_mul(elapsed).max(1)
        };
        load(work.millicores, capacity.millicores)
            .max(load(work.memory_mib, capacity.memory_mib))
            .max(load(work.accelerators, capacity.accelerators))
    }
}
