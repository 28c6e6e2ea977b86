//! The cost of identifying a caller and of checking a start against its team's limit,
//! by the number of teams.

use std::hint::black_box;
use std::time::Instant;

use gentianlane::fleet::job::Resources;
use gentianlane::fleet::team::{Access, Charge, Credential, Entry, Ledger, Team};
use gentianlane::id;

/// How many calls each cost is the mean of.
const CALLS: u32 = 200_000;

fn main() {
    println!("teams  identify ns  check ns  rules bytes/team");
    for teams in [20, 80, 2_000] {
        let name = |at: u32| id::Team(format!("team-{at}"));
        let key = |at: u32| Credential::from(format!("key-of-team-{at}"));
        let limit = Resources {
            millicores: u64::MAX / 2,
            memory_mib: u64::MAX / 2,
            accelerators: 0,
        };
        let team = Team {
            share_permille: 1_000,
            limit,
        };
        let entries = (0..teams).map(|at| Entry {
            name: name(at),
            keys: vec![key(at)],
            team,
        });
        let Ok(access) = Access::new(entries, []) else {
            return;
        };
        let keys: Vec<Credential> = (0..teams).map(key).collect();
        let names: Vec<id::Team> = (0..teams).map(name).collect();
        let mut ledger = Ledger::new(access.teams());
        let task = Resources {
            millicores: 500,
            memory_mib: 64,
            accelerators: 0,
        };
        let at = |call: u32| (call.wrapping_mul(7_919) % teams) as usize;
        let identify = mean_ns(|call| {
            black_box(access.identify(&keys[at(call)]));
        });
        let charges: Vec<Charge> = names
            .iter()
            .map(|team| Charge {
                team: team.clone(),
                amount: task,
            })
            .collect();
        let check = mean_ns(|call| {
            let team = &names[at(call)];
            if black_box(ledger.allowance(team, &task)) > 0 {
                ledger.charge(&charges[at(call)]);
            }
        });
        let bytes = postcard::to_allocvec(&access).map_or(0, |bytes| bytes.len());
        println!(
            "{teams:>5}  {identify:>11.0}  {check:>8.0}  {:>16}",
            bytes / teams as usize
        );
    }
}

/// The mean time of a call, in nanoseconds.
fn mean_ns(mut call: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    for number in 0..CALLS {
        call(number);
    }
    started.elapsed().as_nanos() as f64 / f64::from(CALLS)
}
