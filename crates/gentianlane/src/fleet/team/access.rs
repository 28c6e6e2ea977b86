//! The part of the operator's plan about teams: their keys, weights and limits.

use derive_more::{Display, Error};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::fleet::job::Resources;
use crate::fleet::team::Credential;
use crate::id;

/// Who may call which queue, and how much each team may run.
///
/// Keys are kept only as digests.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Access {
    teams: IndexMap<id::Team, Team>,
    keys: IndexMap<Digest, id::Team>,
    /// The names of the queues that need no key.
    public_queues: IndexSet<String>,
}

/// A team's share and limit.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The team's share while room is short, in thousandths of a job per second;
    /// zero if all of its jobs are within its share.
    pub share_permille: u64,
    /// What the team's runs may use in total; zero is no limit, for each resource
    /// apart.
    pub limit: Resources,
}

/// A team as the operator lists it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The team's name.
    pub name: id::Team,
    /// The keys of the team's callers.
    pub keys: Vec<Credential>,
    /// Its share and limit.
    pub team: Team,
}

/// Why a list of teams is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// Two teams have the same name.
    #[display("two teams have the name {team}")]
    RepeatedTeam {
        /// The name.
        team: id::Team,
    },
    /// Two teams have the same key, so that it doesn't identify either.
    #[display("teams {first} and {second} share a key")]
    SharedKey {
        /// The team that comes first in the list.
        first: id::Team,
        /// The other team.
        second: id::Team,
    },
    /// A key is empty, so that a call without a key would have it.
    #[display("team {team} has an empty key")]
    EmptyKey {
        /// The team.
        team: id::Team,
    },
}

impl Access {
    /// Builds the lookup tables from the operator's list.
    ///
    /// # Errors
    ///
    /// All faults of the list. They don't contain any key.
    ///
    /// ```
    /// use gentianlane::fleet::team::{Access, Entry, Team};
    /// let entry = |name: &str, key: &str| Entry {
    ///     name: name.into(),
    ///     keys: vec![key.into()],
    ///     team: Team::default(),
    /// };
    /// let access = Access::new([entry("a", "k1"), entry("b", "k2")], ["open".to_owned()])?;
    /// assert_eq!(access.identify(&"k2".into()), Some(&"b".into()));
    /// assert_eq!(access.identify(&"k3".into()), None);
    /// assert!(access.is_public("open"));
    /// assert!(Access::new([entry("a", "k"), entry("b", "k")], []).is_err());
    /// # Ok::<(), Vec<gentianlane::fleet::team::Fault>>(())
    /// ```
    pub fn new(
        entries: impl IntoIterator<Item = Entry>,
        public_queues: impl IntoIterator<Item = String>,
    ) -> Result<Self, Vec<Fault>> {
        let mut access = Self {
            public_queues: public_queues.into_iter().collect(),
            ..Self::default()
        };
        let mut faults = Vec::new();
        for Entry { name, keys, team } in entries {
            for key in keys {
                if key.is_empty() {
                    faults.push(Fault::EmptyKey { team: name.clone() });
                    continue;
                }
                let first = access.keys.entry(key.digest()).or_insert(name.clone());
                if *first != name {
                    faults.push(Fault::SharedKey {
                        first: first.clone(),
                        second: name.clone(),
                    });
                }
            }
            if access.teams.insert(name.clone(), team).is_some() {
                faults.push(Fault::RepeatedTeam { team: name });
            }
        }
        match faults.is_empty() {
            true => Ok(access),
            false => Err(faults),
        }
    }

    /// The team that has a key.
    #[must_use]
    pub fn identify(&self, credential: &Credential) -> Option<&id::Team> {
        self.keys.get(&credential.digest())
    }

    /// Whether a queue needs no key.
    #[must_use]
    pub fn is_public(&self, queue: &str) -> bool {
        self.public_queues.contains(queue)
    }

    /// The team with this name.
    #[must_use]
    pub fn team(&self, name: &id::Team) -> Option<&Team> {
        self.teams.get(name)
    }

    /// All teams, as the operator ordered them.
    pub fn teams(&self) -> impl Iterator<Item = (&id::Team, &Team)> {
        self.teams.iter()
    }
}
