//! What the accepted notes have put in force, and the ruling on the next note.

use derive_more::{Display, From, Into};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::id;
use crate::note::{Note, Quota, Settings, Workload};

/// A state of the catalog: the number of notes accepted so far.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Whether a note was accepted, and if not, why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ruling {
    /// The note was accepted, now or earlier, and made this revision.
    Accepted(Revision),
    /// Another accepted note has the same number; its digest and revision.
    Taken(Digest, Revision),
    /// The note's base isn't the revision in force, which is this one.
    Stale(Revision),
    /// The note conflicts with what is in force: it adds a name that exists,
    /// changes or withdraws one that doesn't, or withdraws a team that still
    /// has a workload.
    Unsound(String),
    /// The note can't be parsed or breaks a limit; the faults, one a line.
    Unreadable(String),
    /// The number is older than the digests that are kept, so it isn't known
    /// whether this note was accepted before. It is rejected; this is the
    /// revision in force.
    Expired(Revision),
}

/// How many of the newest accepted notes have their digests kept, to recognise
/// a note that is sent again.
const DIGEST_LIMIT: usize = 4_096;

/// The workloads, teams and settings that the accepted notes have put in force.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The revision in force.
    revision: Revision,
    /// The newest accepted notes by number, oldest first.
    accepted: IndexMap<u64, (Digest, Revision)>,
    /// The largest number of an accepted note whose digest is no longer kept.
    forgotten: u64,
    workloads: IndexMap<id::Workload, Workload>,
    teams: IndexMap<id::Team, Quota>,
    settings: Settings,
}

impl Catalog {
    /// The revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The workload of this name.
    #[must_use]
    pub fn workload(&self, name: &id::Workload) -> Option<&Workload> {
        self.workloads.get(name)
    }

    /// All workloads in the order in which they were added.
    pub fn workloads(&self) -> impl Iterator<Item = (&id::Workload, &Workload)> {
        self.workloads.iter()
    }

    /// All teams in the order in which they were added.
    pub fn teams(&self) -> impl Iterator<Item = (&id::Team, &Quota)> {
        self.teams.iter()
    }

    /// The cell's settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Puts a note in force, or says why it is rejected.
    ///
    /// A note that was accepted before changes nothing and gets the same ruling
    /// again, so sending it twice is safe.
    pub fn apply(&mut self, note: &Note) -> Ruling {
        let digest = note.digest();
        if let Some(&(taken, revision)) = self.accepted.get(&note.number) {
            return match taken == digest {
                true => Ruling::Accepted(revision),
                false => Ruling::Taken(taken, revision),
            };
        }
        if note.number <= self.forgotten {
            return Ruling::Expired(self.revision);
        }
        if note.base != self.revision {
            return Ruling::Stale(self.revision);
        }
        if let Err(fault) = self.check(note) {
            return Ruling::Unsound(fault);
        }
        self.merge(note);
        self.revision = Revision(self.revision.0 + 1);
        self.record_accepted(note.number, digest);
        Ruling::Accepted(self.revision)
    }

    /// Keeps an accepted note's digest, and drops the oldest one at the limit.
    fn record_accepted(&mut self, number: u64, digest: Digest) {
        self.accepted.insert(number, (digest, self.revision));
        if self.accepted.len() > DIGEST_LIMIT
            && let Some((number, _)) = self.accepted.shift_remove_index(0)
        {
            self.forgotten = self.forgotten.max(number);
        }
    }

    /// Checks that added names are new and that changed or withdrawn ones exist.
    fn check(&self, note: &Note) -> Result<(), String> {
        for name in note.add.workloads.keys() {
            if self.workloads.contains_key(name) {
                return Err(format!("workload {name} already exists"));
            }
        }
        let changed = note.change.workloads.keys();
        for name in changed.chain(&note.withdraw.workloads) {
            if !self.workloads.contains_key(name) {
                return Err(format!("workload {name} doesn't exist"));
            }
        }
        for name in note.add.teams.keys() {
            if self.teams.contains_key(name) {
                return Err(format!("team {name} already exists"));
            }
        }
        for name in note.change.teams.keys().chain(&note.withdraw.teams) {
            if !self.teams.contains_key(name) {
                return Err(format!("team {name} doesn't exist"));
            }
        }
        self.check_withdrawn_teams(note)
    }

    /// Checks that no workload, as it would be after the note, counts towards a
    /// team that the note withdraws.
    fn check_withdrawn_teams(&self, note: &Note) -> Result<(), String> {
        let stays = |name: &&id::Workload| !note.withdraw.workloads.contains(name);
        let names = self.workloads.keys().filter(stays);
        let names = names.chain(note.add.workloads.keys());
        for name in names {
            let sections = [&note.change, &note.add];
            let new = sections
                .iter()
                .find_map(|section| section.workloads.get(name));
            let Some(workload) = new.or_else(|| self.workloads.get(name)) else {
                continue;
            };
            if note.withdraw.teams.contains(&workload.team) {
                let team = &workload.team;
                return Err(format!("team {team} still has workload {name}"));
            }
        }
        Ok(())
    }

    /// Merges a checked note into the catalog.
    fn merge(&mut self, note: &Note) {
        for section in [&note.add, &note.change] {
            for (name, workload) in &section.workloads {
                self.workloads.insert(name.clone(), workload.clone());
            }
            for (name, quota) in &section.teams {
                self.teams.insert(name.clone(), quota.clone());
            }
            if let Some(settings) = &section.settings {
                self.settings = settings.clone();
            }
        }
        for name in &note.withdraw.workloads {
            self.workloads.shift_remove(name);
        }
        for name in &note.withdraw.teams {
            self.teams.shift_remove(name);
        }
    }
}
