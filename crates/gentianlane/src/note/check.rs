//! What a note has to keep to besides its grammar.

use indexmap::IndexSet;

use crate::id;
use crate::note::place::Places;
use crate::note::{Fault, Note, Problem, Quota, Section, Workload};
use crate::place::Kind;
use crate::unit::Size;

/// How far a note's number may lie ahead of its base.
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

/// The most attempts.
const ATTEMPT_LIMIT: u64 = 100;

/// The longest expected run time, in milliseconds: a year.
const EXPECTED_LIMIT: u64 = 366 * 24 * 3_600 * 1_000;

/// The largest weight of a team.
const WEIGHT_LIMIT: u64 = 1_000_000;

/// The most that waiting and packing are weighed.
const PACKING_LIMIT: u64 = 100;

/// All that is wrong with a note, by where it stands.
pub(crate) struct Check<'a> {
    text: &'a str,
    places: &'a Places,
    faults: Vec<Fault>,
}

impl<'a> Check<'a> {
    pub(crate) fn new(text: &'a str, places: &'a Places) -> Self {
        let twice = places.twice.iter().map(|(key, at)| {
            let problem = Problem::Twice(key.clone());
            Fault::new(text, *at, problem)
        });
        Self {
            text,
            places,
            faults: twice.collect(),
        }
    }

    /// The faults in the order of the text.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        self.faults
    }

    fn say(&mut self, path: &[&str], problem: Problem) {
        let at = self.places.find(path);
        self.faults.push(Fault::new(self.text, at, problem));
    }

    fn range(
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
            self.say(path, problem);
        }
    }

    fn name(&mut self, path: &[&str], name: &str) {
        let body = |byte: u8| {
            byte.is_ascii_lowercase()
                || byte.is_ascii_digit()
                || matches!(byte, b'.' | b'_' | b'-')
        };
        let first = name.bytes().next();
        let begins = first.is_some_and(|byte| byte.is_ascii_alphanumeric());
        if !begins || name.len() > NAME_LIMIT || !name.bytes().all(body) {
            self.say(path, Problem::Name(name.to_owned()));
        }
    }

    pub(crate) fn note(&mut self, note: &Note) {
        let base = note.base.0;
        let limits = (base.saturating_add(1), base.saturating_add(NUMBER_AHEAD));
        self.range(&["number"], "number", note.number, limits);
        self.section("add", &note.add);
        self.section("change", &note.change);
        let workloads = note.withdraw.workloads.iter().map(id::Workload::as_str);
        let teams = note.withdraw.teams.iter().map(id::Team::as_str);
        self.withdrawn("workloads", workloads.clone());
        self.withdrawn("teams", teams.clone());
        let added = note.add.workloads.keys().map(id::Workload::as_str);
        let changed = note.change.workloads.keys().map(id::Workload::as_str);
        self.sections("workloads", added, changed, workloads);
        let added = note.add.teams.keys().map(id::Team::as_str);
        let changed = note.change.teams.keys().map(id::Team::as_str);
        self.sections("teams", added, changed, teams);
        if note.add.settings.is_some() && note.change.settings.is_some() {
            let problem = Problem::Sections("settings".to_owned());
            self.say(&["change", "settings"], problem);
        }
    }

    fn withdrawn<'n>(&mut self, kind: &str, names: impl Iterator<Item = &'n str>) {
        for (at, name) in names.enumerate() {
            self.name(&["withdraw", kind, &at.to_string()], name);
        }
    }

    fn sections<'n>(
        &mut self,
        kind: &str,
        added: impl Iterator<Item = &'n str>,
        changed: impl Iterator<Item = &'n str>,
        withdrawn: impl Iterator<Item = &'n str>,
    ) {
        let mut known: IndexSet<&str> = added.collect();
        for name in changed {
            if !known.insert(name) {
                let problem = Problem::Sections(name.to_owned());
                self.say(&["change", kind, name], problem);
            }
        }
        for (at, name) in withdrawn.enumerate() {
            if !known.insert(name) {
                let problem = Problem::Sections(name.to_owned());
                self.say(&["withdraw", kind, &at.to_string()], problem);
            }
        }
    }

    fn section(&mut self, part: &str, section: &Section) {
        for (name, workload) in &section.workloads {
            let path = [part, "workloads", name.as_str()];
            self.name(&path, name.as_str());
            self.workload(&path, workload);
        }
        for (name, quota) in &section.teams {
            let path = [part, "teams", name.as_str()];
            self.name(&path, name.as_str());
            self.quota(&path, quota);
        }
        if let Some(settings) = &section.settings {
            let packing = u64::from(settings.packing);
            let path = [part, "settings", "packing"];
            self.range(&path, "packing", packing, (0, PACKING_LIMIT));
        }
    }

    fn workload(&mut self, path: &[&str; 3], workload: &Workload) {
        let &[part, kind, name] = path;
        let at = |field| [part, kind, name, field];
        self.size(path, &workload.size, 1);
        let least = match workload.kind {
            Kind::Service => 0,
            Kind::Batch | Kind::Gang => 1,
        };
        let count = u64::from(workload.count);
        self.range(&at("count"), "count", count, (least, COUNT_LIMIT));
        let attempts = u64::from(workload.attempts);
        self.range(&at("attempts"), "attempts", attempts, (1, ATTEMPT_LIMIT));
        if let Some(expected) = workload.expected {
            let what = "expected milliseconds";
            let most = (1, EXPECTED_LIMIT);
            self.range(&at("expected"), what, expected.as_millis(), most);
        }
        let length = workload.payload.len() as u64;
        let most = (0, crate::api::TEXT_LIMIT as u64);
        self.range(&at("payload"), "bytes of payload", length, most);
        let team = workload.team.as_str();
        if !team.is_empty() {
            self.name(&at("team"), team);
        } else if workload.kind == Kind::Service {
            self.say(path, Problem::NoTeam);
        }
    }

    fn quota(&mut self, path: &[&str; 3], quota: &Quota) {
        let &[part, kind, name] = path;
        self.size(path, &quota.size, 0);
        let weight = u64::from(quota.weight);
        let path = [part, kind, name, "weight"];
        self.range(&path, "weight", weight, (1, WEIGHT_LIMIT));
    }

    fn size(&mut self, path: &[&str; 3], size: &Size, least: u64) {
        let &[part, kind, name] = path;
        let at = |field| [part, kind, name, "size", field];
        let (cpu, memory) = (size.cpu.0, size.memory.0);
        self.range(&at("cpu"), "millicores", cpu, (least, CPU_LIMIT));
        let what = "bytes of memory";
        self.range(&at("memory"), what, memory, (least, MEMORY_LIMIT));
        let accelerators = u64::from(size.accelerators.0);
        let most = (0, ACCELERATOR_LIMIT);
        self.range(&at("accelerators"), "accelerators", accelerators, most);
    }
}
