//! Which core leads, as a process of the fleet knows it, and which to try.

use std::net::Ipv4Addr;

use gentianlane::fleet::link::Guide;
use indexmap::IndexSet;

/// The cores that are known, and the one that leads.
#[derive(Debug, Default)]
pub(crate) struct Known {
    /// The core that leads, by its own or another core's word.
    leader: Option<Ipv4Addr>,
    cores: IndexSet<Ipv4Addr>,
    next: usize,
}

/// The most cores that are kept in mind.
const CORE_LIMIT: usize = 32;

impl Known {
    /// Takes in what the settings say.
    pub(crate) fn seed(&mut self, seeds: impl IntoIterator<Item = Ipv4Addr>) {
        for seed in seeds {
            if self.cores.len() < CORE_LIMIT {
                self.cores.insert(seed);
            }
        }
    }

    /// Takes in what a core says.
    pub(crate) fn learn(&mut self, from: Ipv4Addr, guide: &Guide) {
        self.leader = match guide.leads {
            true => Some(from),
            false => guide.leader.filter(|&leader| leader != from),
        };
        self.seed(guide.voters.iter().copied());
    }

    /// A core that was tried didn't answer, or doesn't lead any more.
    pub(crate) fn doubt(&mut self, core: Ipv4Addr) {
        if self.leader == Some(core) {
            self.leader = None;
        }
    }

    /// The core to try next: the leader, or each in turn.
    pub(crate) fn choose(&mut self) -> Option<Ipv4Addr> {
        if self.leader.is_some() {
            return self.leader;
        }
        if self.cores.is_empty() {
            return None;
        }
        self.next = (self.next + 1) % self.cores.len();
        self.cores.get_index(self.next).copied()
    }
}
