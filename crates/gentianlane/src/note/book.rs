//! The notes in force, and the ruling on the next one.

use derive_more::{Display, From, Into};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::id;
use crate::note::{Note, Quota, Settings, Workload};

/// How many notes have been accepted.
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

/// Whether a note was accepted, and why not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ruling {
    /// The note is in force as this revision.
    Accepted(Revision),
    /// Another note took the number; its digest and revision.
    Taken(Digest, Revision),
    /// The note was written against another revision than the one in force.
    Stale(Revision),
    /// The note adds what exists, or changes or withdraws what doesn't.
    Unsound(String),
    /// The text can't be read; where and why.
    Unreadable(String),
    /// The number is older than the digests that are kept, so that it isn't
    /// known whether this note took it; it isn't put in force now.
    Expired(Revision),
}

/// How many accepted notes are remembered by their digests.
const REMEMBERED: usize = 4_096;

/// All that release notes have put in force.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// The revision in force.
    revision: Revision,
    /// The digests of the newest accepted notes, by number, oldest first.
    accepted: IndexMap<u64, (Digest, Revision)>,
    /// The largest number whose digest was forgotten.
    forgotten: u64,
    workloads: IndexMap<id::Workload, Workload>,
    teams: IndexMap<id::Team, Quota>,
    settings: Settings,
}

impl Book {
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

    /// Rules on a note and, if it is accepted, puts it in force.
    ///
    /// A note that was accepted before is told so again.
    pub fn rule(&mut self, note: &Note) -> Ruling {
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
        self.put(note);
        self.revision = Revision(self.revision.0 + 1);
        self.remember(note.number, digest);
        Ruling::Accepted(self.revision)
    }

    fn remember(&mut self, number: u64, digest: Digest) {
        self.accepted.insert(number, (digest, self.revision));
        if self.accepted.len() > REMEMBERED
            && let Some((number, _)) = self.accepted.shift_remove_index(0)
        {
            self.forgotten = self.forgotten.max(number);
        }
    }

    fn check(&self, note: &Note) -> Result<(), String> {
        for name in note.add.workloads.keys() {
            if self.workloads.contains_key(name) {
                return Err(format!("workload {name} exists"));
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
                return Err(format!("team {name} exists"));
            }
        }
        for name in note.change.teams.keys().chain(&note.withdraw.teams) {
            if !self.teams.contains_key(name) {
                return Err(format!("team {name} doesn't exist"));
            }
        }
        self.check_withdrawn_teams(note)
    }

    /// A team goes only once no service in force counts for it.
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

    fn put(&mut self, note: &Note) {
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
