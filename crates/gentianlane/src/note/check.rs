//! The limits that a note keeps besides its grammar: names, ranges and
//! duplicates.

use indexmap::IndexSet;

use crate::id;
use crate::note::position::Positions;
use crate::note::{Fault, Note, Problem, Quota, Section, Workload};
use crate::place::Kind;
use crate::unit::Size;

/// How far a note's number may be above its base revision.
const NUMBER_AHEAD: u64 = 1_000_000;

/// The longest name, in bytes.
const NAME_LIMIT: usize = 64;

/// The most thousandths of a core in a workload's or a quota's size.
const CPU_LIMIT: u64 = 1_000_000_000;

/// The most bytes of memory in a workload's or a quota's size.
const MEMORY_LIMIT: u64 = 1 << 50;

/// The most accelerators in a workload's or a quota's size.
const ACCELERATOR_LIMIT: u64 = 100_000;

/// The most tasks of one workload.
const COUNT_LIMIT: u64 = 20_000;

/// The most attempts of one workload.
const ATTEMPT_LIMIT: u64 = 100;

/// The longest expected run time, in milliseconds: a year.
const EXPECTED_LIMIT: u64 = 366 * 24 * 3_600 * 1_000;

/// The largest weight of a team.
const WEIGHT_LIMIT: u64 = 1_000_000;

/// The largest `packing` setting, in percent.
const PACKING_LIMIT: u64 = 100;

/// A check of one note, which collects all faults with their positions.
pub(crate) struct Check<'a> {
    text: &'a str,
    positions: &'a Positions,
    faults: Vec<Fault>,
}

impl<'a> Check<'a> {
    /// Starts a check. Keys that the text repeats are reported at once.
    pub(crate) fn new(text: &'a str, positions: &'a Positions) -> Self {
        let duplicates = positions.duplicates.iter().map(|(key, at)| {
            let problem = Problem::DuplicateKey(key.clone());
            Fault::new(text, *at, problem)
        });
        Self {
            text,
            positions,
            faults: duplicates.collect(),
        }
    }

    /// The faults in the order of the text.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        self.faults
    }

    /// Adds a fault at the position of `path`.
    fn report(&mut self, path: &[&str], problem: Problem) {
        let at = self.positions.find(path);
        self.faults.push(Fault::new(self.text, at, problem));
    }

    /// Checks a quantity against its inclusive limits.
    fn check_range(
        &mut self,
        path: &[&str],
        what: &'static str,
        found: u64,
        (least, most): (u64, u64),
    ) {
        if found < least || found > most {
            let problem = Problem::Range {
                what,
                found,
                least,
                most,
            };
            self.report(path, problem);
        }
    }

    /// Checks the length and the characters of a name.
    fn check_name(&mut self, path: &[&str], name: &str) {
        let is_allowed = |byte: u8| {
            byte.is_ascii_lowercase()
                || byte.is_ascii_digit()
                || matches!(byte, b'.' | b'_' | b'-')
        };
        let first = name.bytes().next();
        let starts_well = first.is_some_and(|byte| byte.is_ascii_alphanumeric());
        if !starts_well || name.len() > NAME_LIMIT || !name.bytes().all(is_allowed) {
            self.report(path, Problem::InvalidName(name.to_owned()));
        }
    }

    /// Checks a whole note.
    pub(crate) fn check_note(&mut self, note: &Note) {
        let base = note.base.0;
        let limits = (base.saturating_add(1), base.saturating_add(NUMBER_AHEAD));
        self.check_range(&["number"], "number", note.number, limits);
        self.check_section("add", &note.add);
        self.check_section("change", &note.change);
        let workloads = note.withdraw.workloads.iter().map(id::Workload::as_str);
        let teams = note.withdraw.teams.iter().map(id::Team::as_str);
        self.check_withdrawn("workloads", workloads.clone());
        self.check_withdrawn("teams", teams.clone());
        let added = note.add.workloads.keys().map(id::Workload::as_str);
        let changed = note.change.workloads.keys().map(id::Workload::as_str);
        self.check_unique("workloads", added, changed, workloads);
        let added = note.add.teams.keys().map(id::Team::as_str);
        let changed = note.change.teams.keys().map(id::Team::as_str);
        self.check_unique("teams", added, changed, teams);
        if note.add.settings.is_some() && note.change.settings.is_some() {
            let problem = Problem::RepeatedName("settings".to_owned());
            self.report(&["change", "settings"], problem);
        }
    }

    /// Checks the names that the note withdraws; `kind` is the key of their
    /// list.
    fn check_withdrawn<'n>(&mut self, kind: &str, names: impl Iterator<Item = &'n str>) {
        for (at, name) in names.enumerate() {
            self.check_name(&["withdraw", kind, &at.to_string()], name);
        }
    }

    /// Checks that each name is only in one of the three sections, and once.
    fn check_unique<'n>(
        &mut self,
        kind: &str,
        added: impl Iterator<Item = &'n str>,
        changed: impl Iterator<Item = &'n str>,
        withdrawn: impl Iterator<Item = &'n str>,
    ) {
        let mut known: IndexSet<&str> = added.collect();
        for name in changed {
            if !known.insert(name) {
                let problem = Problem::RepeatedName(name.to_owned());
                self.report(&["change", kind, name], problem);
            }
        }
        for (at, name) in withdrawn.enumerate() {
            if !known.insert(name) {
                let problem = Problem::RepeatedName(name.to_owned());
                self.report(&["withdraw", kind, &at.to_string()], problem);
            }
        }
    }

    /// Checks the section under the key `part`.
    fn check_section(&mut self, part: &str, section: &Section) {
        for (name, workload) in &section.workloads {
            let path = [part, "workloads", name.as_str()];
            self.check_name(&path, name.as_str());
            self.check_workload(&path, workload);
        }
        for (name, quota) in &section.teams {
            let path = [part, "teams", name.as_str()];
            self.check_name(&path, name.as_str());
            self.check_quota(&path, quota);
        }
        if let Some(settings) = &section.settings {
            let packing = u64::from(settings.packing);
            let path = [part, "settings", "packing"];
            self.check_range(&path, "packing", packing, (0, PACKING_LIMIT));
        }
    }

    fn check_workload(&mut self, path: &[&str; 3], workload: &Workload) {
        let &[part, kind, name] = path;
        let at = |field| [part, kind, name, field];
        self.check_size(path, &workload.size, 1);
        let least = match workload.kind {
            Kind::Service => 0,
            Kind::Batch | Kind::Gang => 1,
        };
        let count = u64::from(workload.count);
        self.check_range(&at("count"), "count", count, (least, COUNT_LIMIT));
        let attempts = u64::from(workload.attempts);
        self.check_range(&at("attempts"), "attempts", attempts, (1, ATTEMPT_LIMIT));
        if let Some(expected) = workload.expected {
            let what = "expected milliseconds";
            let limits = (1, EXPECTED_LIMIT);
            self.check_range(&at("expected"), what, expected.as_millis(), limits);
        }
        let length = workload.payload.len() as u64;
        let limits = (0, crate::api::TEXT_LIMIT as u64);
        self.check_range(&at("payload"), "bytes of payload", length, limits);
        let team = workload.team.as_str();
        if !team.is_empty() {
            self.check_name(&at("team"), team);
        } else if workload.kind == Kind::Service {
            self.report(path, Problem::MissingTeam);
        }
    }

    fn check_quota(&mut self, path: &[&str; 3], quota: &Quota) {
        let &[part, kind, name] = path;
        self.check_size(path, &quota.size, 0);
        let weight = u64::from(quota.weight);
        let path = [part, kind, name, "weight"];
        self.check_range(&path, "weight", weight, (1, WEIGHT_LIMIT));
    }

    /// Checks a size whose processors and memory are at least `least`.
    fn check_size(&mut self, path: &[&str; 3], size: &Size, least: u64) {
        let &[part, kind, name] = path;
        let at = |field| [part, kind, name, "size", field];
        let (cpu, memory) = (size.cpu.0, size.memory.0);
        self.check_range(&at("cpu"), "millicores", cpu, (least, CPU_LIMIT));
        let what = "bytes of memory";
        self.check_range(&at("memory"), what, memory, (least, MEMORY_LIMIT));
        let accelerators = u64::from(size.accelerators.0);
        let limits = (0, ACCELERATOR_LIMIT);
        self.check_range(&at("accelerators"), "accelerators", accelerators, limits);
    }
}
