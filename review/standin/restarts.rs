//! Cases about tasks that last and have to be started again.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use crate::cases::{Verdict, job, minion, wait_start};
use crate::cluster::{Cluster, Event, MinionSpec};
use crate::wall_ms;

const SECOND: Duration = Duration::from_secs(1);

/// The tasks of the step that lasts.
const TASKS: u64 = 36;

/// For how long its tasks fail.
const FAILING_MS: u64 = 42_000;

/// When a task may not be at rest any more, by the rule LOST: 6 s after its last run and
/// 3 s more.
const LIMIT_MS: u64 = 9_000;

/// When disturbances have to be over for that: the 3 s and the 4 s before them are calm.
const CALM_MS: u64 = 7_000;

/// The longest time for which each task had no run, from `from` on until `to`.
fn gaps(events: &[Event], from: u64, to: u64) -> HashMap<String, (u64, u64)> {
    let mut ended: HashMap<&str, u64> = HashMap::new();
    let mut running: HashMap<&str, u64> = HashMap::new();
    let mut longest: HashMap<String, (u64, u64)> = HashMap::new();
    let mut note = |task: &str, since: u64, until: u64| {
        let gap = until.saturating_sub(since);
        let entry = longest.entry(task.to_owned()).or_default();
        if until > from && gap > entry.1.saturating_sub(entry.0) {
            *entry = (since, until);
        }
    };
    for event in events {
        match event.what.as_str() {
            "start" => {
                *running.entry(&event.task).or_default() += 1;
                if let Some(since) = ended.remove(event.task.as_str()) {
                    note(&event.task, since, event.at);
                }
            }
            "end" => {
                let count = running.entry(&event.task).or_default();
                *count = count.saturating_sub(1);
                if *count == 0 {
                    ended.insert(&event.task, event.at);
                }
            }
            _ => {}
        }
    }
    for (task, since) in ended {
        note(task, since, to);
    }
    longest
}

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

/// A leader is killed while tasks that last fail often.
pub fn numbers(cluster: &Cluster, trouble: bool) -> Verdict {
    let specs = start_minions(cluster, &[16_000; 2])?;
    thread::sleep(3 * SECOND);
    let until = wall_ms() + FAILING_MS;
    let id = cluster.new_job();
    let step = format!(
        "{{\"count\":{TASKS},\"cpu\":100,\"mem_mb\":64,\"estimated_ms\":1000,\
         \"long_running\":true,\"image\":\"watch\"}}"
    );
    let spec = format!("failuntil={until}:50");
    if !cluster.submit(&format!("/main/{id}"), &job(&step, &spec)) {
        return Err("the job wasn't accepted".to_owned());
    }
    // A batch job takes the minion that they run on, so that they move to the other one.
    thread::sleep(20 * SECOND);
    let newest = cluster.events().into_iter().rfind(|it| it.what == "start");
    let used = newest.ok_or("no task started")?.minion;
    let used = specs.iter().find(|it| it.id == used).ok_or("no such minion")?;
    let batch = format!("/main/{}", cluster.new_job());
    let step = format!(
        "{{\"count\":160,\"cpu\":100,\"mem_mb\":64,\"estimated_ms\":10000,\
         \"required_label\":\"r1-{}\"}}",
        used.host
    );
    if !cluster.submit(&batch, &job(&step, "work=10000")) {
        return Err("the batch job wasn't accepted".to_owned());
    }
    while wall_ms() + 300 < until {
        thread::sleep(Duration::from_millis(50));
    }
    let before = cluster.events();
    let starts = before.iter().filter(|it| it.what == "start").count();
    cluster.note(&format!("the tasks were started {starts} times so far"));
    let mut calm_from = wall_ms();
    if trouble {
        let leader = cluster.leader().ok_or("no core leads")?;
        cluster.kill(&format!("core-{leader}"));
        thread::sleep(SECOND);
        cluster.start_node("core", leader, false);
        calm_from = wall_ms();
    }
    thread::sleep(30 * SECOND);
    let now = wall_ms();
    let mut events = cluster.events();
    events.retain(|it| it.task.starts_with(&id));
    let starts = events.iter().filter(|it| it.what == "start").count();
    cluster.note(&format!("the tasks were started {starts} times in all"));
    let gaps = gaps(&events, calm_from, now);
    let mut worst: Vec<(u64, &String, u64, u64)> = gaps
        .iter()
        .map(|(task, (since, to))| (to - since, task, *since, *to))
        .collect();
    worst.sort_unstable();
    let broken = worst
        .iter()
        .filter(|(gap, _, _, to)| *gap >= LIMIT_MS && *to >= calm_from + CALM_MS);
    let broken = broken.count();
    let Some((gap, task, ..)) = worst.last() else {
        return Err("no task ran".to_owned());
    };
    cluster.note(&format!("longest time without a run: {gap} ms, of {task}"));
    Ok((broken > 0).then(|| {
        format!("{broken} of {TASKS} tasks that last had no run for over 9 s, {task} for {gap} ms")
    }))
}

/// How long a minion that is lost for good counts as a disturbance.
const CRASH_MS: u64 = 5_000;

/// A minion falls silent for good just before a task that lasts is to be started there.
pub fn bound(cluster: &Cluster, trouble: bool) -> Verdict {
    // The smallest minion with room takes a task.
    let specs = start_minions(cluster, &[2_000, 4_000, 16_000, 16_000])?;
    thread::sleep(3 * SECOND);
    // Some work for each minion, so that there are channels to all of them.
    let warm = cluster.new_job();
    let step = "{\"count\":24,\"cpu\":1500,\"mem_mb\":64,\"estimated_ms\":300}";
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
    let first = wait_start(cluster, &task, 0, 3 * SECOND).ok_or("the task didn't start")?;
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
    Ok((next > limit).then(|| {
        format!("the task that lasts had no run for {} ms", next - end)
    }))
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
    let waited = start.map_or(wall_ms(), |it| it.at).saturating_sub(handed_in);
    cluster.note(&format!("GET {path}: {state}; after {waited} ms of waiting"));
    Ok((state == "pending").then(|| {
        format!(
            "an accepted job has nothing running for {waited} ms, while each of the \
             {LABELLED} minions that may run it has 15 of 16 cores free"
        )
    }))
}
