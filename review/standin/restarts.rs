//! Cases about tasks that last and have to be started again.

use std::thread;
use std::time::Duration;

use crate::cases::{Verdict, job, minion, wait_start};
use crate::cluster::{Cluster, MinionSpec};
use crate::wall_ms;

const SECOND: Duration = Duration::from_secs(1);

/// When a task may not be at rest any more, by the rule LOST: 6 s after its last run and
/// 3 s more.
const LIMIT_MS: u64 = 9_000;

/// When disturbances have to be over for that: the 3 s and the 4 s before them are calm.
const CALM_MS: u64 = 7_000;

/// Brings up the operator's first configuration and minions of these sizes.
fn start_minions(cluster: &Cluster, sizes: &[u64]) -> Result<Vec<MinionSpec>, String> {
    if !cluster.configure(1, &[("r-main", "/main/", "catalog")]) {
        return Err("the first configuration wasn't acknowledged".to_owned());
    }
    let specs: Vec<MinionSpec> = (1..=20u8)
        .zip(sizes)
        .map(|(host, cpu)| MinionSpec {
            cpu: *cpu,
            kind: "a".to_owned(),
            ..minion(host, 0)
        })
        .collect();
    for spec in &specs {
        cluster.start_minion(spec);
    }
    match cluster.wait_ready() {
        true => Ok(specs),
        false => Err("the entries didn't become ready".to_owned()),
    }
}

/// How long a minion that is lost for good counts as a disturbance.
const CRASH_MS: u64 = 5_000;

/// A minion falls silent for good just before a task that lasts is to be started there.
pub fn bound(cluster: &Cluster, trouble: bool) -> Verdict {
    // The smallest minion with room takes a task.
    let specs = start_minions(
        cluster,
        &[2_000, 4_000, 16_000, 16_000, 16_000, 16_000, 16_000, 16_000],
    )?;
    thread::sleep(3 * SECOND);
    // Some work for each minion, so that there are channels to all of them.
    let warm = cluster.new_job();
    let step = "{\"count\":70,\"cpu\":1500,\"mem_mb\":64,\"estimated_ms\":300}";
    cluster.submit(&format!("/main/{warm}"), &job(step, "work=300"));
    thread::sleep(3 * SECOND);
    let fails_at = wall_ms() + 6_000;
    let id = cluster.new_job();
    let step = "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":1000,\
                \"long_running\":true,\"image\":\"watch\"}";
    let spec = format!("failuntil={}:6000", fails_at - 2_000);
    if !cluster.submit(&format!("/main/{id}"), &job(step, &spec)) {
        return Err("the job wasn't accepted".to_owned());
    }
    let task = format!("{id}.0.0.0");
    let first =
        wait_start(cluster, &task, 0, 3 * SECOND).ok_or("the task didn't start")?;
    if first.minion != specs[0].id {
        return Err(format!("the task started on {}", first.minion));
    }
    while wall_ms() + 300 < first.at + 6_000 {
        thread::sleep(Duration::from_millis(10));
    }
    let lost_at = wall_ms();
    if trouble {
        cluster.signal(&specs[1].name, "STOP");
    }
    thread::sleep(25 * SECOND);
    let events = cluster.events();
    let end = events
        .iter()
        .find(|it| it.what == "end" && it.task == task)
        .ok_or("the first run didn't end")?
        .at;
    let next = events
        .iter()
        .find(|it| it.what == "start" && it.task == task && it.at >= end)
        .map_or(wall_ms(), |it| it.at);
    cluster.note(&format!("the task had no run for {} ms", next - end));
    let limit = (end + LIMIT_MS).max(lost_at + CRASH_MS + CALM_MS);
    Ok((next > limit)
        .then(|| format!("the task that lasts had no run for {} ms", next - end)))
}

/// How many of the minions have the label that the jobs need.
const LABELLED: u8 = 2;

/// Two tasks that last fail once each, on the minions that have a label; they are started
/// again, and later another job that needs the label is handed in.
pub fn suspects(cluster: &Cluster, trouble: bool) -> Verdict {
    if !cluster.configure(1, &[("r-main", "/main/", "catalog")]) {
        return Err("the first configuration wasn't acknowledged".to_owned());
    }
    for host in 1..=8u8 {
        let kind = if host <= LABELLED { "b" } else { "a" };
        cluster.start_minion(&MinionSpec {
            kind: kind.to_owned(),
            ..minion(host, 0)
        });
    }
    if !cluster.wait_ready() {
        return Err("the entries didn't become ready".to_owned());
    }
    thread::sleep(3 * SECOND);
    let fails_at = wall_ms() + 4_000;
    let first = cluster.new_job();
    let step = format!(
        "{{\"count\":{LABELLED},\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":1000,\
         \"long_running\":true,\"image\":\"watch\",\"anti_affinity\":1,\
         \"required_label\":\"b\"}}"
    );
    let spec = match trouble {
        true => format!("failuntil={}:3000", fails_at - 2_000),
        false => "lasts".to_owned(),
    };
    if !cluster.submit(&format!("/main/{first}"), &job(&step, &spec)) {
        return Err("the first job wasn't accepted".to_owned());
    }
    thread::sleep(12 * SECOND);
    let id = cluster.new_job();
    let path = format!("/main/{id}");
    let step = "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":1000,\
                \"required_label\":\"b\"}";
    let handed_in = wall_ms();
    if !cluster.submit(&path, &job(step, "work=1000")) {
        return Err("the second job wasn't accepted".to_owned());
    }
    thread::sleep(30 * SECOND);
    let state = cluster.state(&path);
    let start = wait_start(cluster, &format!("{id}.0.0.0"), 0, SECOND);
    let waited = start
        .map_or(wall_ms(), |it| it.at)
        .saturating_sub(handed_in);
    cluster.note(&format!(
        "GET {path}: {state}; after {waited} ms of waiting"
    ));
    Ok((state == "pending").then(|| {
        format!(
            "an accepted job has nothing running for {waited} ms, while each of the \
             {LABELLED} minions that may run it has 15 of 16 cores free"
        )
    }))
}
