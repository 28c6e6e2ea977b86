//! What each team's runs use, against its limit.
//!
//! Every run that may exist counts: started, being stopped, without an answer, or
//! unknown to a new leader. The ledger is rebuilt from the runs at the start of each
//! placement pass, so that no event can be counted twice or be missed.

use crate::collections::IndexMap;
use crate::fleet::job::Resources;
use crate::fleet::team::Team;
use crate::id;

/// What a run counts for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// The team whose limit it counts against.
    pub team: id::Team,
    /// What the run uses. A best-effort task counts with all that it asks for.
    pub amount: Resources,
}

/// The accounts of all teams that have a limit.
#[derive(Debug, Default, Clone)]
pub struct Ledger {
    accounts: IndexMap<id::Team, Account>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Account {
    limit: Resources,
    used: Resources,
    /// What a waiting gang or large task of the team needs, which steps that rank
    /// below it leave free.
    claimed: Option<Resources>,
}

impl Ledger {
    /// A ledger in which nothing is used.
    ///
    /// ```
    /// use gentianlane::fleet::job::Resources;
    /// use gentianlane::fleet::team::{Charge, Ledger, Team};
    /// let cores = |millicores| Resources { millicores, ..Resources::default() };
    /// let team = Team { limit: cores(4_000), ..Team::default() };
    /// let mut ledger = Ledger::new([(&"a".into(), &team)]);
    /// ledger.charge(&Charge { team: "a".into(), amount: cores(1_000) });
    /// assert_eq!(ledger.allowance(&"a".into(), &cores(1_000)), 3);
    /// assert_eq!(ledger.allowance(&"without limit".into(), &cores(1_000)), u32::MAX);
    /// ```
    #[must_use]
    pub fn new<'a>(teams: impl IntoIterator<Item = (&'a id::Team, &'a Team)>) -> Self {
        let has_limit = |team: &Team| team.limit != Resources::default();
        let account = |(name, team): (&id::Team, &Team)| {
            let limit = team.limit;
            (
                name.clone(),
                Account {
                    limit,
                    ..Account::default()
                },
            )
        };
        let limited = teams.into_iter().filter(|(_, team)| has_limit(team));
        Self {
            accounts: limited.map(account).collect(),
        }
    }

    /// Counts a run.
    pub fn charge(&mut self, charge: &Charge) {
        self.add(&charge.team, &charge.amount);
    }

    /// Counts an amount that a team uses, or may use.
    pub(crate) fn add(&mut self, team: &id::Team, amount: &Resources) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.used = account.used.plus(amount);
        }
    }

    /// How many more tasks of a size a team may start.
    ///
    /// A task that is larger than its team's limit is allowed while the team runs
    /// nothing, since it could never run otherwise.
    #[must_use]
    pub fn allowance(&self, team: &id::Team, task: &Resources) -> u32 {
        let Some(account) = self.accounts.get(team) else {
            return u32::MAX;
        };
        let count = account.count_of(task);
        match count == 0 && account.is_idle() && !account.limit.admits(task) {
            true => 1,
            false => count,
        }
    }

    /// Whether a team may start a gang now.
    #[must_use]
    pub fn allows_gang(&self, team: &id::Team, task: &Resources, members: u32) -> bool {
        let Some(account) = self.accounts.get(team) else {
            return true;
        };
        let total = task.times(u64::from(members));
        account.count_of(&total) > 0
            || (account.is_idle() && can_ever_start(&account.limit, task, members))
    }

    /// Whether a run that is counted already takes its team beyond its limit, which may
    /// have been lowered since; not if the team runs nothing else.
    pub(crate) fn is_exceeded_by(&self, charge: &Charge) -> bool {
        let account = self.accounts.get(&charge.team);
        account.is_some_and(|account| {
            !account.limit.admits(&account.used) && account.used != charge.amount
        })
    }

    /// Keeps room for a gang or a task that waits for its team's limit, unless the
    /// team has such a claim already.
    pub(crate) fn claim(&mut self, team: &id::Team, amount: Resources) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.claimed.get_or_insert(amount);
        }
    }

    /// What a team's runs use, if it has a limit.
    #[must_use]
    pub fn used(&self, team: &id::Team) -> Option<Resources> {
        self.accounts.get(team).map(|account| account.used)
    }
}

impl Account {
    fn is_idle(&self) -> bool {
        self.used == Resources::default() && self.claimed.is_none()
    }

    /// How many of an amount fit below the limit, beside what is used and claimed.
    fn count_of(&self, amount: &Resources) -> u32 {
        let taken = self.used.plus(&self.claimed.unwrap_or_default());
        let quotient = |limit: u64, taken: u64, need: u64| match (limit, need) {
            (0, _) | (_, 0) => u64::from(u32::MAX),
            _ => limit.saturating_sub(taken) / need,
        };
        let count = quotient(self.limit.millicores, taken.millicores, amount.millicores)
            .min(quotient(
                self.limit.memory_mib,
                taken.memory_mib,
                amount.memory_mib,
            ))
            .min(quotient(
                self.limit.accelerators,
                taken.accelerators,
                amount.accelerators,
            ));
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// Whether tasks that start together can ever run below a limit: alone, at most the
/// last of them may exceed it.
pub(crate) fn can_ever_start(limit: &Resources, task: &Resources, members: u32) -> bool {
    let others = task.times(u64::from(members.saturating_sub(1)));
    limit.admits(&others)
}
